"""The interface of a client connection for the connection limiter."""

from __future__ import annotations

import asyncio

from firvane.core.net.connection_checks import NoInputCheck, PeerOpenCheck
from firvane.core.net.http_reader import BoundedReadProtocol

IDLE_TIMEOUT_S = 60.0
BUSY = 5  # the retention priority of a connection that is in use


class ManagedConnection(BoundedReadProtocol):
    """A client connection, as the limiter that may close it sees it.

    Attributes:
        reading_paused: Reading from the kernel is paused.
        request_count: Requests accepted on the connection.
        rate_second: The last second (of loop time) in which a request arrived.
        rate_count: Requests in that second.
        idle_since: Loop time in s at which the connection was made or last became idle.
        expires_at: Loop time in s after which `expire` is called.
    """

    def __init__(self, has_no_input: NoInputCheck, is_peer_open: PeerOpenCheck) -> None:
        """Create a connection.

        Args:
            has_no_input: Whether the kernel has no input that the loop has not read.
            is_peer_open: Whether the client has not closed the connection, even behind unread input.
        """
        self.has_no_input, self.is_peer_open = has_no_input, is_peer_open
        self.reading_paused = False
        self.request_count = 0
        self.rate_second, self.rate_count = 0, 0
        self.idle_since = 0.0
        self.expires_at = 0.0
        self.transport: asyncio.Transport

    def is_idle(self) -> bool:
        """Return whether the connection has no part of a request or response."""
        raise NotImplementedError

    def retention_priority(self) -> tuple[int, float]:
        """Return the priority for keeping the connection when descriptors run short: a rank and `idle_since`.

        The lowest is closed first: connections without requests before those of regular clients.
        """
        raise NotImplementedError

    def on_client_gone(self) -> None:
        """Abort the connection, which the client has closed; unread bytes hid that from the loop."""
        raise NotImplementedError

    def close_or_reject(self) -> None:
        """Close the connection if it is idle, or reject its request if that is incomplete."""
        raise NotImplementedError

    def expire(self) -> None:
        """End the connection, whose timeout has expired, or extend the timeout if it makes progress."""
        raise NotImplementedError
