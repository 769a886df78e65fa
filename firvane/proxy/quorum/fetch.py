"""A policy's text, got by its digest from the operators' doors of proxies that may have it.

Rules that hold here and nowhere else:

1. One connection at a time, one piece to a connection, as the door has it. A piece is on time or its holder
   is given up; the next one is asked from the start, since nobody knows which piece was wrong.
2. Whatever a holder says, no more than one piece is held beside the text, and the text is checked against its
   digest. It is called whole only when it is of that digest.
3. Each holder is tried once. Who wants it after that asks again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import cast

from firvane.core.address import Address
from firvane.core.net.connection_checks import Quiet
from firvane.core.net.dialer import Dialer, Dialing
from firvane.core.terminations import Termination
from firvane.proxy.admin_api.calls import Call, got
from firvane.proxy.quorum.uploads import Gathered

LONGEST = 17 << 10  # bytes of an answer with one piece
PATIENCE = 2.0  # s for one piece, from dialling on
PIECES = 16  # to one text and holder at the most
Whole = Callable[[bytes | None, str], None]


class Piece(asyncio.Protocol):
    """One call at a door, for one piece."""

    def __init__(self, line: bytes, heard: Callable[[bytes], None]) -> None:
        self.line, self.heard, self.answer = line, heard, bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.line)

    def data_received(self, data: bytes) -> None:
        self.answer += data
        if b"\n" in data or len(self.answer) > LONGEST:
            self._over()

    def connection_lost(self, error: Exception | None) -> None:
        self._over()

    def _over(self) -> None:
        heard, self.heard = self.heard, lambda answer: None
        if self.transport:
            self.transport.close()
        heard(bytes(self.answer) if len(self.answer) <= LONGEST else b"")


class Fetching:
    """One text being got. `over` is called once: with the text, or with None and why there is none."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dialer: Dialer,
        doors: Sequence[Address],
        digest: bytes,
        holders: Iterable[int],
        over: Whole,
    ) -> None:
        self.loop, self.dialer, self.doors, self.digest, self.over = loop, dialer, doors, digest, over
        self.holders: list[int] = []  # to be tried yet
        self.tried: set[int] = set()
        self.why = "no other proxy is known to have it"
        self.gathered, self.pieces = Gathered(digest), 0
        self.dialing: Dialing | None = None
        self.piece: Piece | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False
        self.more(holders)
        loop.call_soon(self._next)

    def more(self, holders: Iterable[int]) -> None:
        """These may have it, too."""
        for holder in holders:
            if 0 <= holder < len(self.doors) and holder not in self.tried:
                self.tried.add(holder)
                self.holders.append(holder)

    def close(self) -> None:
        """Give it up; nobody is called."""
        self.closed = True
        self._hang_up()

    def _next(self) -> None:
        """Ask the next holder, from the start."""
        if self.closed:
            return
        if not self.holders:
            self.close()
            self.over(None, self.why)
            return
        self.holder = self.holders.pop(0)
        self.gathered, self.pieces = Gathered(self.digest), 0
        self._ask()

    def _ask(self) -> None:
        if self.closed:
            return
        self.pieces += 1
        line = f"{Call.POLICY_GET.value} {self.digest.hex()} {len(self.gathered.held)}\n".encode()
        piece = self.piece = Piece(line, lambda answer: self._heard(piece, answer))
        deadline = self.loop.time() + PATIENCE
        self.timer = self.loop.call_at(deadline, self._late, piece)
        self.dialing = self.dialer.dial(
            self.doors[self.holder],
            deadline,
            lambda quiet: self._made(piece, quiet),
            lambda up: None,
            lambda ending: self._undialled(piece, ending),
        )

    def _made(self, piece: Piece, quiet: Quiet) -> Piece:
        return piece

    def _undialled(self, piece: Piece, ending: Termination) -> None:
        self._fails(piece, f"its door cannot be reached: {ending.value}")

    def _late(self, piece: Piece) -> None:
        self._fails(piece, f"no answer in {PATIENCE:g} s")

    def _fails(self, piece: Piece, why: str) -> None:
        if piece is self.piece and not self.closed:
            self.why = f"proxy {self.holder}: {why}"
            self._hang_up()
            self.loop.call_soon(self._next)

    def _heard(self, piece: Piece, answer: bytes) -> None:
        if piece is not self.piece or self.closed:
            return
        try:
            length, data = got(answer.decode("ascii", "replace"))
            text = self.gathered.add(length, len(self.gathered.held), data)
        except ValueError as error:
            self._fails(piece, str(error)[:100])
            return
        self._hang_up()
        if text is not None:
            self.closed = True
            self.over(text, "")
        elif self.pieces >= PIECES:
            self.why = f"proxy {self.holder}: its pieces are too small"
            self._next()
        else:
            self._ask()

    def _hang_up(self) -> None:
        piece, self.piece = self.piece, None
        dialing, self.dialing = self.dialing, None
        timer, self.timer = self.timer, None
        if timer:
            timer.cancel()
        if piece and piece.transport:
            piece.transport.abort()
        elif dialing:
            dialing.close()
