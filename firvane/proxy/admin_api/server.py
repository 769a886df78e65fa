"""The operators' connections: one call each, answered at once and closed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from firvane.proxy.admin_api.calls import Asked, Line, Useless, no

CALLERS = 16  # that may stand at once; one more, and the one that has stood longest without a call goes
STAY = 5.0  # s that a caller may take for its line, or to read its answer
DESCRIPTORS = CALLERS + 4  # kept for the door and for those that are accepted before the oldest has gone

Answer = Callable[[Asked], bytes]


class Desk:
    """All that call."""

    def __init__(self, loop: asyncio.AbstractEventLoop, answer: Answer) -> None:
        self.loop, self.answer = loop, answer
        self.callers: dict[Caller, float] = {}  # by when each must be done, in order of arrival

    def caller(self) -> Caller:
        return Caller(self)

    def came(self, caller: Caller) -> None:
        self.callers[caller] = self.loop.time() + STAY
        if len(self.callers) > CALLERS:
            next(iter(self.callers)).transport.abort()

    def sweep(self) -> None:
        now = self.loop.time()
        for caller in [caller for caller, until in self.callers.items() if until <= now]:
            caller.transport.abort()

    def close(self) -> None:
        for caller in list(self.callers):
            caller.transport.close()


class Caller(asyncio.Protocol):
    """One that calls."""

    def __init__(self, desk: Desk) -> None:
        self.desk, self.line = desk, Line()
        self.done = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.desk.came(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.desk.callers.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.done:
            return  # one line to a connection
        try:
            asked = self.line.feed(data)
        except Useless as useless:
            self._say(no(str(useless)))
            return
        if asked:
            self._say(self.desk.answer(asked))

    def eof_received(self) -> None:
        if not self.done:
            self._say(no("the call has no end: a line feed is missing"))

    def _say(self, answer: bytes) -> None:
        self.done = True
        self.transport.write(answer)
        # A close with bytes unread would reset the connection and may destroy the answer on its way.
        if not self.transport.is_closing():
            self.transport.write_eof()
