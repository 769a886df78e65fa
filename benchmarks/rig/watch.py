"""Watching the proxy from outside: memory many times a second, and how long `/up` takes."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import time
from dataclasses import dataclass, field

from benchmarks.rig.answers import Answers
from benchmarks.rig.procs import memory_mb

EVERY = 0.02  # s
REQUEST = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
DANGER = 4096.0  # MB at which the proxy is ended whatever its limit is: the machine has others


@dataclass
class Watch:
    """Samples of one run; instants on the monotonic clock, times in ms, memory in MB."""

    pid: int
    port: int
    limit_mb: float
    kill: bool = False  # as the platform does over the limit
    memory: list[tuple[float, float, float]] = field(default_factory=list)  # when, RSS, of it its own
    ups: list[tuple[float, float]] = field(default_factory=list)  # when asked, how long it took
    over_at: float | None = None
    killed_at: float | None = None

    async def run(self) -> None:
        """Until cancelled, or until the process has ended."""
        await asyncio.gather(self._sample(), self._probe())

    async def _sample(self) -> None:
        while True:
            try:
                now, (held, own) = time.monotonic(), memory_mb(self.pid)
            except OSError:
                return
            self.memory.append((now, held, own))
            if held > self.limit_mb and self.over_at is None:
                self.over_at = now
            if (held > self.limit_mb and self.kill) or held > DANGER:
                self.killed_at = now
                os.kill(self.pid, signal.SIGKILL)
                return
            await asyncio.sleep(EVERY)

    async def _probe(self) -> None:
        """Ask every 20 ms on a connection of its own, counting from when the question was due."""
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                return  # it takes no more connections
            try:
                await self._ask(reader, writer)
            except OSError:
                pass
            finally:
                writer.close()
            await asyncio.sleep(EVERY)

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answers, due = Answers(), time.monotonic()
        while True:
            writer.write(REQUEST)
            place = len(self.ups)
            self.ups.append((due, float("inf")))  # until it is answered
            while not (whole := answers.feed(data := await reader.read(4096))):
                if not data:
                    self.ups.pop(place)  # closed between questions, as it may be
                    return
            self.ups[place] = (due, 1000 * (time.monotonic() - due))
            if whole[0].close:
                return
            # Questions that fell due meanwhile are not asked late: they would tell of the same wait.
            due = max(due + EVERY, time.monotonic() - EVERY)
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    def worst_up(self, begin: float, end: float) -> float:
        """The longest wait for `/up`, in ms, of those due in that time; one unanswered counts to its end."""
        waits = (min(took, 1000 * (end - due)) for due, took in self.ups if begin <= due < end)
        return max(waits, default=0.0)

    def stalled_ms(self, begin: float, end: float) -> float:
        """The longest that the rig itself had no turn: a look is due every 20 ms."""
        looks = [begin, *(row[0] for row in self.memory if begin <= row[0] < end)]
        return 1000 * max((b - a - EVERY for a, b in itertools.pairwise(looks)), default=0.0)

    def most(self, begin: float, end: float, own: bool = False) -> float:
        """The most memory seen in that time, of all or of its own."""
        return max((row[1 + own] for row in self.memory if begin <= row[0] < end), default=0.0)
