"""Asks proxies at their operators' doors where they are on their way back from a loss of power.

What a door says is on a wire, as all that is recorded. A proxy that does not answer has no state, and nothing
waits for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from firvane.fleet.records import Stated
from firvane.rehearsal.boxes import Sink
from firvane.rehearsal.clock import Clock
from firvane.rehearsal.plan import Address

ASK_S = 0.25  # from one question to the next
LINE, FIELD = b"recovery\n", b"state "
SILENT = ""  # the state of one that does not answer


class Question(asyncio.Protocol):
    """One call at a door."""

    def __init__(self, heard: Callable[[str], None]) -> None:
        self.heard, self.answer = heard, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).write(LINE)

    def data_received(self, data: bytes) -> None:
        self.answer += data

    def connection_lost(self, error: Exception | None) -> None:
        lines = [line for line in self.answer.split(b"\n") if line.startswith(FIELD)]
        self.heard(lines[0][len(FIELD) :].decode("latin-1") if lines else SILENT)


class Asker:
    """Of one proxy; a change of what it says is a record."""

    def __init__(self, clock: Clock, proxy: str, door: Address, sink: Sink) -> None:
        self.clock, self.proxy, self.door, self.sink = clock, proxy, door, sink
        self.state, self.closed = SILENT, False
        self.asking: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Ask from 0 s on."""
        self.clock.call_at(0.0, self._ask)

    def _ask(self, now: float) -> None:
        if not self.closed:
            self.asking = self.clock.loop.create_task(self._dial())
            self.clock.call_at(now + ASK_S, self._ask)

    async def _dial(self) -> None:
        try:
            await self.clock.loop.create_connection(lambda: Question(self._heard), *self.door)
        except OSError:
            self._heard(SILENT)

    def _heard(self, state: str) -> None:
        if state != self.state and not self.closed:
            self.state = state
            self.sink(Stated(self.clock.now(), self.proxy, state))

    def close(self) -> None:
        self.closed = True
        if self.asking:
            self.asking.cancel()
