"""The clock of a rehearsal, on whatever loop it runs.

It stands at 0 until the clients begin: boxes, agents and proxies must be up before, and nothing of the model
may age meanwhile. What falls due is told the time for which it was set, where rounding makes it a little
earlier: a model would say that nothing is due yet.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import ceil
from typing import Any

Callback = Callable[..., Any]

UVLOOP = 0.001  # s: the grain of its timers
LATE_S = 0.02  # s by which what falls due may be late and still be in time


class Timer:
    """What falls due at `at`; called with the time it is, never less than `at`."""

    __slots__ = ("args", "at", "callback", "clock", "handle", "live")

    def __init__(self, clock: Clock, at: float, callback: Callback, args: tuple[Any, ...]) -> None:
        self.clock, self.at, self.callback, self.args = clock, at, callback, args
        self.handle: asyncio.TimerHandle | None = None
        self.live = True

    def fire(self) -> None:
        if self.live:
            self.live = False
            self.callback(self.clock.fire(self.at), *self.args)

    def cancel(self) -> None:
        self.live = False
        if self.handle:
            self.handle.cancel()
            self.handle = None


class Clock:
    """Seconds since the clients began.

    `ticks` is where they come from: the loop's own time where that is virtual, the system's monotonic clock
    where it is not, as uvloop's stands still for a turn and knows milliseconds only. Both begin at one time.
    `wall` is Unix time.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ticks: Callable[[], float],
        wall: Callable[[], float],
        grain: float = 0.0,
    ) -> None:
        """`grain` is what the loop rounds its timers to, in s, where it does: nothing may then come early, or
        an answer could be recorded before its question."""
        self.loop, self.ticks, self.wall, self.grain = loop, ticks, wall, grain
        self.start: float | None = None
        self.waiting: list[Timer] = []
        # How many fell due, how many of them over `LATE_S` before they were seen to, and the worst of them.
        self.fired = self.late = 0
        self.latest = 0.0

    def begin(self, start: float) -> None:
        """Time runs from `start` on, as `ticks` counts."""
        self.start = start
        for timer in self.waiting:
            if timer.live:
                self._set(timer)
        self.waiting.clear()

    def now(self) -> float:
        """Seconds since the clients began; 0 before."""
        if self.start is None:
            return 0.0
        now = self.ticks() - self.start
        return now if now > 0.0 else 0.0

    def fire(self, at: float) -> float:
        """The time for what was due at `at`; notes how late it is."""
        now = self.now()
        self.fired += 1
        if now - at > self.latest:
            self.latest = now - at
        if now - at > LATE_S:
            self.late += 1
        return now if now > at else at

    def unix(self, at: float) -> float:
        """Unix time at `at`."""
        return self.wall() - self.now() + at

    def call_at(self, at: float, callback: Callback, *args: Any) -> Timer:
        """Call it with the time, at `at` s; what is due already is called in the loop's next turn."""
        timer = Timer(self, at, callback, args)
        if self.start is None:
            self.waiting.append(timer)
        else:
            self._set(timer)
        return timer

    def _set(self, timer: Timer) -> None:
        assert self.start is not None
        wait = timer.at + self.start - self.loop.time()
        if wait < 0.0:  # due already: nobody is late with it yet
            timer.at, wait = self.now(), 0.0
        elif self.grain:
            wait = ceil(wait / self.grain) * self.grain
        timer.handle = self.loop.call_later(wait, timer.fire)
