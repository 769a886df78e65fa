"""Usual clients: an open loop over kept connections, every time counted from the intended send.

    python -m benchmarks.rig.load '{"port": 8080, "connections": 30, "phases": [["calm", 0, 2, 200]]}'

Times in the specification count from the instant that it is told to begin at. A request is due at its instant
whatever became of those before it. It goes out on an idle connection; where none is idle a new one is
opened, up to the most that there may be; beyond that it waits at its client, on its own time, and the newest
goes first. A connection that ends without a byte of the answer costs its request one more send, as with the
platform's clients.
"""

from __future__ import annotations

import asyncio
import gc
import json
import random
import sys
import time
from array import array
from collections import Counter, deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, cast

import uvloop
from hdrh.histogram import HdrHistogram

from benchmarks.rig.answers import Answer, Answers
from benchmarks.rig.procs import Usage, percentile, say, told_to_begin

TICK = 0.001  # s from one look at what is due to the next
SLACK = 0.1  # s beyond its time for which a client still waits: the proxy may answer at the very end of it
LONGEST = 60_000_000  # us that a histogram holds
HEAD = b"GET URL HTTP/1.1\r\nHost: a\r\nX-Call-Id: %016x\r\nX-Budget-Ms: %d\r\nX-Route-Hash: %08x\r\n%s\r\n"
COMING = 50  # connections made at once at the start: more would overflow the listener's queue
AT_ONCE = 200  # calls begun in one turn, so that answers are still seen in time when many are due


@dataclass(frozen=True)
class Spec:
    """What these clients do. Times in s; the phases are [name, from, to, calls a second]."""

    port: int
    connections: int  # kept from the start
    phases: list[tuple[str, float, float, float]]
    most: int = 0  # connections at the most; 0: as many as from the start
    aim: float = 0.5
    budget: float = 2.0
    retries: int = 0
    heed: bool = True  # come back when the answer says, else at once
    url: str = "/read/x"
    keys: int = 500
    seed: int = 1


def schedule(phases: Sequence[Phase], seed: int) -> Iterator[tuple[float, Phase]]:
    """The instants at which calls are due: independent clients, so the gaps are exponential."""
    draw = random.Random(seed)
    for phase in phases:
        at = phase.begin
        while phase.rate > 0 and (at := at + draw.expovariate(phase.rate)) < phase.end:
            yield at, phase


class Call:
    """One client's wish: its first try, and those that follow it."""

    __slots__ = ("due", "key", "over", "phase", "resent", "sent", "tries")

    def __init__(self, due: float, key: int, phase: Phase) -> None:
        self.due, self.key, self.phase = due, key, phase
        self.tries, self.sent = 0, 0.0
        self.resent = self.over = False


class Kept(asyncio.Protocol):
    """A client's connection."""

    def __init__(self, load: Load) -> None:
        self.load, self.call, self.answers = load, cast(Call | None, None), Answers()
        self.made = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.made = cast(asyncio.Transport, transport), True
        self.load.connected(self)

    def data_received(self, data: bytes) -> None:
        try:
            for answer in self.answers.feed(data):
                self.load.answered(self, answer)
        except ValueError:
            self.load.counts["unreadable"] += 1
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.load.ended(self)


class Phase:
    """What came of the calls that were due in a stretch of time."""

    def __init__(self, name: str, begin: float, end: float, rate: float) -> None:
        self.name, self.begin, self.end, self.rate = name, begin, end, rate
        self.counts: Counter[str] = Counter()
        self.took = array("d")  # s from the intended send to the last byte, of what was served
        self.refusals = array("d")  # s from a try's send to its refusal
        self.late = array("d")  # s by which this process was late to begin a call
        self.seconds = [0] * (int(end - begin) + 1)  # served in time, by the second in which they were due

    def result(self) -> dict[str, Any]:
        histogram = HdrHistogram(1, LONGEST, 3)
        for took in self.took:
            histogram.record_value(max(1, min(LONGEST, int(took * 1e6))))
        return {
            "seconds": self.end - self.begin,
            "counts": dict(self.counts),
            "in_time_by_second": self.seconds,
            "histogram": histogram.encode().decode(),
            "refusal_p99_ms": 1000 * percentile(sorted(self.refusals), 0.99),
            "late_p99_ms": 1000 * percentile(sorted(self.late), 0.99),
        }


class Load:
    """All clients of this process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, spec: Spec) -> None:
        self.loop, self.spec, self.most = loop, spec, max(spec.most, spec.connections)
        self.draw = random.Random(spec.seed + 1)
        self.phases = [Phase(*phase) for phase in spec.phases]
        self.dues = schedule(self.phases, spec.seed)
        self.next: tuple[float, Phase] | None = None
        self.idle: deque[Kept] = deque()  # used in turn, so that none stands unused
        self.open, self.coming = 0, 0  # connections, and those of them that are being made
        self.waiting: deque[Call] = deque()  # for a connection, the newest last
        self.owed: deque[Call] = deque()  # in the order of their ends
        self.out: dict[Call, Kept] = {}
        self.counts: Counter[str] = Counter()
        self.head = HEAD.replace(b"URL", spec.url.replace("%", "%%").encode())
        self.finished = asyncio.Event()
        self.serial = self.draw.getrandbits(31) << 32

    async def start(self) -> None:
        while self.open < self.spec.connections or self.coming:
            while self.open < self.spec.connections and self.coming < COMING:
                self.connect()
            await asyncio.sleep(0.001)

    # Connections

    def connect(self) -> None:
        self.open += 1
        self.coming += 1
        self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        kept = Kept(self)
        try:
            await self.loop.create_connection(lambda: kept, "127.0.0.1", self.spec.port)
        except OSError:
            if not kept.made:
                self.open -= 1
                self.coming -= 1
                self.counts["connects refused"] += 1
                self.loop.call_later(0.05, self._serve)

    def connected(self, kept: Kept) -> None:
        self.coming -= 1
        self.idle.append(kept)
        self._serve()

    def ended(self, kept: Kept) -> None:
        self.open -= 1
        call, kept.call = kept.call, None
        if call is None:
            if kept in self.idle:
                self.idle.remove(kept)
            self.counts["connections closed between calls"] += 1
        else:
            del self.out[call]
            if not call.over:
                self._cut(call, kept.answers.begun)
        self._serve()

    def _cut(self, call: Call, begun: bool) -> None:
        """Its connection ended under it; once it may be that the proxy had not read it."""
        if begun or call.resent:
            self._over(call, "lost")
        else:
            call.resent = True
            self.counts["sent again after a close"] += 1
            call.tries -= 1
            self._begin(call)

    # Calls

    def tick(self) -> None:
        now, begun = time.monotonic(), 0
        while self.next and self.next[0] <= now and begun < AT_ONCE:
            due, phase = self.next
            phase.late.append(now - due)
            call = Call(due, self.draw.randrange(self.spec.keys), phase)
            phase.counts["offered"] += 1
            self.owed.append(call)
            self._begin(call)
            self.next = next(self.dues, None)
            begun += 1
        while self.owed and (self.owed[0].over or self.owed[0].due + self.spec.budget + SLACK <= now):
            self._expire(self.owed.popleft())
        while self.waiting and self.waiting[0].over:
            self.waiting.popleft()
        if self.owed or self.next:
            self.loop.call_later(TICK, self.tick)
        else:
            self.finished.set()

    def _begin(self, call: Call) -> None:
        self.waiting.append(call)
        self._serve()

    def _serve(self) -> None:
        """Give waiting calls idle connections, or make more of them."""
        while self.waiting and self.idle:
            call = self.waiting.pop()
            if not call.over:
                self._send(self.idle.popleft(), call)
        if len(self.waiting) > self.coming and self.open < self.most:
            self.connect()

    def _send(self, kept: Kept, call: Call) -> None:
        now = time.monotonic()
        left = max(1, int(1000 * (call.due + self.spec.budget - now)))
        again = b"X-Again: 1\r\n" if call.tries else b""
        self.serial += 1
        kept.call, self.out[call] = call, kept
        call.tries, call.sent = call.tries + 1, now
        self.counts["tries"] += 1
        kept.transport.write(self.head % (self.serial, left, call.key, again))

    def answered(self, kept: Kept, answer: Answer) -> None:
        call, kept.call = kept.call, None
        if call is None:
            self.counts["answers to nothing"] += 1
            kept.transport.abort()
            return
        del self.out[call]
        if answer.close:
            kept.transport.close()
        else:
            self.idle.append(kept)
        now = time.monotonic()
        if answer.status == 200:
            self._served(call, now - call.due)
        else:
            refused = answer.status in (429, 503)
            self.counts["refusals" if refused else "failures"] += 1
            if refused:
                call.phase.refusals.append(now - call.sent)
            wait = answer.retry_after if self.spec.heed else 0.0
            if call.tries <= self.spec.retries and now + wait < call.due + self.spec.budget:
                # The loop counts whole ms and calls up to one early: nobody comes before the time told.
                self.loop.call_later(wait + TICK, self._again, call)
            else:
                self._over(call, "refused" if refused else "failed")
        self._serve()

    def _again(self, call: Call) -> None:
        if not call.over:
            self._begin(call)

    def _served(self, call: Call, took: float) -> None:
        phase, in_time = call.phase, took <= self.spec.aim
        phase.took.append(took)
        if in_time:
            phase.seconds[int(call.due - phase.begin)] += 1
        self._over(call, "in time" if in_time else "late")

    def _over(self, call: Call, how: str) -> None:
        call.over = True
        call.phase.counts[how] += 1

    def _expire(self, call: Call) -> None:
        """Its time is up: its client goes away."""
        if call.over:
            return
        kept = self.out.get(call)
        # One that came again and waits has had an answer; one that found no connection was never asked.
        self._over(call, "unanswered" if kept else "refused" if call.tries else self._unsent(call))
        if kept:
            kept.transport.abort()

    @staticmethod
    def _unsent(call: Call) -> str:
        return "lost" if call.resent else "never sent"


async def main(spec: Spec) -> None:
    gc.disable()  # a look through hundreds of thousands of calls would make all of them late
    loop = asyncio.get_running_loop()
    load = Load(loop, spec)
    await load.start()
    begin = await told_to_begin()
    for phase in load.phases:
        phase.begin, phase.end = phase.begin + begin, phase.end + begin
    await asyncio.sleep(max(0.0, load.phases[0].begin - time.monotonic()))
    before, began = Usage.of_self(), time.monotonic()
    load.next = next(load.dues, None)
    load.tick()
    await load.finished.wait()
    after, span = Usage.of_self(), time.monotonic() - began
    say(
        phases={phase.name: phase.result() for phase in load.phases},
        counts=dict(load.counts),
        cpu=(after.cpu - before.cpu) / span,
        kept_off=(after.kept_off - before.kept_off) / span,
    )


if __name__ == "__main__":
    uvloop.run(main(Spec(**json.loads(sys.argv[1]))))
