"""Asks proxies at their operators' doors, over and over: how far their recovery is, which policy is in use.

What a door says is on a wire, as all that is recorded. A proxy that does not answer has no state, and nothing
waits for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from firvane.simulation.emulation.records import InUse, Stated
from firvane.simulation.runner.backends import Sink
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.plan import Address

ASK_S = 0.25  # from one question to the next
RECOVERY, POLICY = "recovery", "policy-status"
SILENT = ""  # the state of one that does not answer


class Question(asyncio.Protocol):
    """One call at a door; what it answered is heard once, b"" where it did not."""

    def __init__(self, line: str, heard: Callable[[bytes], None]) -> None:
        self.line, self.heard, self.answer = line, heard, b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.line.encode() + b"\n")

    def data_received(self, data: bytes) -> None:
        self.answer += data

    def connection_lost(self, error: Exception | None) -> None:
        self.heard(self.answer)


def field(answer: bytes, name: bytes) -> str:
    """What a line of an answer says; "" where there is none of that name."""
    lines = [line for line in answer.split(b"\n") if line.startswith(name + b" ")]
    return lines[0][len(name) + 1 :].decode("latin-1") if lines else ""


class Asker:
    """Of one proxy; what comes of each answer is up to `heard`."""

    def __init__(self, clock: Clock, door: Address, line: str, heard: Callable[[bytes], None]) -> None:
        self.clock, self.door, self.line, self.heard = clock, door, line, heard
        self.closed = False
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
            await self.clock.loop.create_connection(lambda: Question(self.line, self._heard), *self.door)
        except OSError:
            self._heard(b"")

    def _heard(self, answer: bytes) -> None:
        if not self.closed:
            self.heard(answer)

    def close(self) -> None:
        self.closed = True
        if self.asking:
            self.asking.cancel()


def recovery(clock: Clock, proxy: str, door: Address, sink: Sink) -> Asker:
    """Where a proxy is on its way back from a loss of power: a change of what it says is a record."""
    state = SILENT

    def heard(answer: bytes) -> None:
        nonlocal state
        if (told := field(answer, b"state")) != state:
            state = told
            sink(Stated(clock.now(), proxy, state))

    return Asker(clock, door, RECOVERY, heard)


def policy(clock: Clock, proxy: str, door: Address, sink: Sink) -> Asker:
    """Which policy is in use at a proxy: a change of what it says is a record."""
    last = (0, "")

    def heard(answer: bytes) -> None:
        nonlocal last
        epoch = field(answer, b"epoch")
        if epoch.isdigit() and (told := (int(epoch), field(answer, b"digest"))) != last:
            last = told
            sink(InUse(clock.now(), proxy, *told))

    return Asker(clock, door, POLICY, heard)
