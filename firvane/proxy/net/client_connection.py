"""What is seen of one client's connection by whoever gives out the places of all of them."""

from __future__ import annotations

import asyncio

from firvane.core.net.connection_checks import NoInputCheck, PeerOpenCheck
from firvane.core.net.http_reader import BoundedReadProtocol

IDLE = 60.0  # s between requests
BUSY = 5  # the claim of a connection that is in use


class ClientConnection(BoundedReadProtocol):
    """One client's connection, as far as its claim to a place goes."""

    def __init__(self, has_no_input: NoInputCheck, is_peer_open: PeerOpenCheck) -> None:
        """Create a connection.

        Args:
            has_no_input: Whether the kernel holds nothing that the loop has yet to hand over.
            is_peer_open: Whether the client has not ended the connection behind whatever is unread.
        """
        self.has_no_input, self.is_peer_open = has_no_input, is_peer_open
        self.paused = False  # nothing more is taken from the kernel
        self.asked = 0  # requests of its that have been taken on
        self.second, self.recent = 0, 0  # the last second in which it asked, and how often
        self.since = 0.0  # when it was made or last fell idle
        self.expires = 0.0
        self.transport: asyncio.Transport

    def is_idle(self) -> bool:
        """Whether nothing of a request or of an answer is here."""
        raise NotImplementedError

    def claim(self) -> tuple[int, float]:
        """How strong its claim to a place is: those that only stand there go before the usual clients'."""
        raise NotImplementedError

    def has_gone(self) -> None:
        """Its client has left, and what it had sent hid that from the loop."""
        raise NotImplementedError

    def turn_out(self) -> None:
        """Who has asked nothing goes, and who is still at it is refused: its last byte may cross the end, and
        is then answered."""
        raise NotImplementedError

    def expire(self) -> None:
        """What it has kept for too long ends, or has its time anew where it may go on."""
        raise NotImplementedError
