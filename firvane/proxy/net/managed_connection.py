"""What the connection limiter sees of one client's connection."""

from __future__ import annotations

import asyncio

from firvane.core.net.connection_checks import NoInputCheck, PeerOpenCheck
from firvane.core.net.http_reader import BoundedReadProtocol

IDLE_TIMEOUT_S = 60.0
BUSY = 5  # the retention priority of a connection that is in use


class ManagedConnection(BoundedReadProtocol):
    """One client's connection, as far as the limiter that may close it is concerned.

    Attributes:
        reading_paused: Nothing more is read from the kernel.
        request_count: Requests that were taken up on it.
        rate_second: The last second (of loop time) in which it sent a request.
        rate_count: Requests in that second.
        idle_since: Loop time in s at which it was made or last fell idle.
        expires_at: Loop time in s after which `expire` is called.
    """

    def __init__(self, has_no_input: NoInputCheck, is_peer_open: PeerOpenCheck) -> None:
        """Create a connection.

        Args:
            has_no_input: Whether the kernel holds nothing that the loop has yet to hand over.
            is_peer_open: Whether the client has not ended the connection behind whatever is unread.
        """
        self.has_no_input, self.is_peer_open = has_no_input, is_peer_open
        self.reading_paused = False
        self.request_count = 0
        self.rate_second, self.rate_count = 0, 0
        self.idle_since = 0.0
        self.expires_at = 0.0
        self.transport: asyncio.Transport

    def is_idle(self) -> bool:
        """Whether it has no part of a request or of a response."""
        raise NotImplementedError

    def retention_priority(self) -> tuple[int, float]:
        """How far it is worth keeping where connections run short, as a rank and `idle_since`.

        The least is closed first: connections without requests before those of regular clients.
        """
        raise NotImplementedError

    def on_client_gone(self) -> None:
        """The client has closed the connection, which unread bytes hid from the event loop."""
        raise NotImplementedError

    def close_or_reject(self) -> None:
        """Close the connection where it is idle, and reject a request that is incomplete."""
        raise NotImplementedError

    def expire(self) -> None:
        """End the connection, whose time is over, or extend its time where it makes progress."""
        raise NotImplementedError
