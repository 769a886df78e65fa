"""What is seen of one client's connection by whoever gives out the places of all of them."""

from __future__ import annotations

import asyncio

from firvane.core.net.connection_checks import Quiet, Stands
from firvane.core.net.http import Buffered

IDLE = 60.0  # s between requests
BUSY = 5  # the claim of a connection that is in use


class ClientConnection(Buffered):
    """One client's connection, as far as its claim to a place goes."""

    def __init__(self, quiet: Quiet, stands: Stands) -> None:
        """`quiet` tells whether nothing has come that the loop has yet to hand over, `stands` whether its
        client has not ended the connection behind whatever is unread."""
        self.quiet, self.stands = quiet, stands
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
