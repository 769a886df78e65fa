"""Helpers of the network tests: split input, a fake transport, fake targets and a virtual clock."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from firvane.core import interface as api
from firvane.core.terminations import Termination
from firvane.proxy.limits.descriptors import Descriptors, Use
from firvane.proxy.net.resource_monitor import ResourceMonitor, Usage
from tests.helpers import settings

seeded = hypothesis_settings(derandomize=True, max_examples=60, deadline=None)
garbage = st.binary(max_size=400)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    """Return the bytes in pieces, split at these places modulo the length."""
    ends = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[a:b] for a, b in itertools.pairwise(ends)]


places = st.lists(st.integers(0, 10_000), max_size=12)


HANG = 120.0  # s: far above the duration of any test on a busy machine; only detects hangs


def run(work: Coroutine[Any, Any, None]) -> None:
    """Run the work of a test on the event loop of the program; a hang is a failure."""

    async def guarded() -> None:
        async with asyncio.timeout(HANG):
            await work

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(guarded())


class Timer:
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Clock:
    """A virtual event loop: time passes only when the test advances it."""

    def __init__(self) -> None:
        self.at = 1000.0
        self.due: list[tuple[float, int, Timer, Callable[..., Any], tuple[Any, ...]]] = []
        self.order = itertools.count()

    def time(self) -> float:
        return self.at

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Any:
        timer = Timer()
        heapq.heappush(self.due, (when, next(self.order), timer, callback, args))
        return timer

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> Any:
        return self.call_at(self.at, callback, *args)

    def turn(self) -> None:
        """Run one iteration of the loop: the callbacks that were due when it began."""
        for _ in range(sum(when <= self.at for when, *_ in self.due)):
            _, _, timer, callback, args = heapq.heappop(self.due)
            if not timer.cancelled:
                callback(*args)

    def advance(self, span: float) -> None:
        end = self.at + span
        while self.due and self.due[0][0] <= end:
            when, _, timer, callback, args = heapq.heappop(self.due)
            self.at = max(self.at, when)
            if not timer.cancelled:
                callback(*args)
        self.at = end


class Wire:
    """A transport that records the written data."""

    def __init__(self, protocol: Any) -> None:
        self.protocol, self.written, self.closed, self.eof, self.paused = protocol, b"", False, False, False
        self.buffered, self.stuck = 0, False
        protocol.connection_made(self)

    def write(self, data: bytes) -> None:
        self.writelines([data])

    def writelines(self, pieces: Any) -> None:
        """Record data as written at once, unless the test has blocked the transport."""
        self.written += b"".join(pieces)
        if self.stuck and not self.buffered:
            self.buffered = 1
            self.protocol.pause_writing()

    def unstick(self) -> None:
        self.stuck, self.buffered = False, 0
        self.protocol.resume_writing()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.protocol.connection_lost(None)

    abort = close

    def write_eof(self) -> None:
        self.eof = True

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def set_write_buffer_limits(self, high: int) -> None: ...

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False


class Ended:
    """An exchange that records its termination."""

    def __init__(self, deadline: float, start_before: float = math.inf) -> None:
        self.deadline, self.start_before = deadline, start_before
        self.endings: list[Termination] = []
        self.answer: Any = None
        self.over = asyncio.Event()

    def on_request_sent(self) -> None: ...

    def on_body_consumed(self) -> None: ...

    def on_response_started(self, answer: Any) -> None: ...

    def on_ended(self, ending: Termination, answer: Any = None) -> None:
        self.endings.append(ending)
        self.answer = answer
        self.over.set()


class Handle:
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Parties:
    """Targets, peers, discovery and client in one object, which records all calls."""

    def __init__(self) -> None:
        self.forwards: list[tuple[str, Any, Handle]] = []
        self.told: list[tuple[int | None, bytes]] = []
        self.answers: list[tuple[str, Any]] = []

    def forward(self, request: Any, target: str, exchange: Any) -> Handle:
        handle = Handle()
        self.forwards.append((target, exchange, handle))
        exchange.on_request_sent()  # sent at once: an unsent request would be withdrawn with its flow
        return handle

    def probe(self, target: str, exchange: Any) -> Handle:
        return self.forward(None, target, exchange)

    def close_idle(self, target: str) -> None: ...

    def refresh(self) -> None: ...

    def send_datagram(self, peer: int | None, payload: bytes) -> None:
        self.told.append((peer, payload))

    def on_response(self, answer: Any) -> None:
        self.answers.append(("served", answer))

    def on_response_started(self, answer: Any) -> None:
        self.answers.append(("started", answer))

    def on_response_finished(self) -> None:
        self.answers.append(("finished", None))

    def on_response_aborted(self) -> None:
        self.answers.append(("aborted", None))

    def on_rejected(self, retry_after: float) -> None:
        self.answers.append(("refused", retry_after))

    def on_failed(self) -> None:
        self.answers.append(("failed", None))

    def on_bad_request(self) -> None:
        self.answers.append(("at fault", None))


def make_monitor(clock: Any, places: int = 100) -> ResourceMonitor:
    """Return a monitor that limits only the descriptors for clients and for targets."""
    made = ResourceMonitor(
        clock, settings(), cores=1.0, memory_mb=192, sockets=1024, usage=lambda: Usage(clock.time() / 10, 0)
    )
    make_places(made, places)
    return made


def make_places(made: ResourceMonitor, places: int) -> None:
    both = {Use.TARGETS: places, Use.CLIENTS: places}
    held = made.descriptors.open
    made.descriptors = Descriptors(2 * places, {use: both.get(use, 0) for use in Use})
    made.descriptors.open.update({use: held[use] for use in both})


def endpoint(name: str, port: int, **more: Any) -> dict[str, Any]:
    base = {"name": name, "address": f"127.0.0.1:{port}", "zone": "a", "type": "big", "group": 0}
    return {**base, "status": "up", "weight": 1.0, "since_ms": 0, **more}


READ = api.RequestClass("read", latency_target=0.5, deadline=2.0, idempotency=api.Idempotency.SAFE)
PAY = api.RequestClass("pay", latency_target=0.5, deadline=2.0, idempotency=api.Idempotency.UNSAFE)
