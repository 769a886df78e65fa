"""The limits at work: reads what the process uses, keeps the account, and passes pressure on."""

from __future__ import annotations

import asyncio
import contextlib
import io
import resource
import time
from collections.abc import Callable
from typing import NamedTuple

from firvane.core import interface as api
from firvane.core.logs import QUIET, Log
from firvane.core.net.http_reader import MAX_BODY_BYTES, MAX_HEAD_BYTES
from firvane.proxy.limits.admission import Admission
from firvane.proxy.limits.descriptors import Descriptors, Use
from firvane.proxy.limits.loop_budget import Turns
from firvane.proxy.limits.memory_account import Account, Leases
from firvane.proxy.limits.memory_costs import MB, Bounds, derive
from firvane.proxy.limits.overload import Level, Measure, Overload, Resource

PERIOD = 0.25  # s from one look at what is used to the next
LATE = 0.25  # of the shortest aim: a loop that is this late costs requests their worth
LEAST_LATE = 0.01  # s, whatever the aim: the loop counts whole ms, and a turn with requests takes some 3
WAIT = 0.1  # of the shortest aim: the longest that a request may wait for its turn
CORE = 1500.0  # requests a second that a core carries at the least, until that is seen
STATM, PAGE = "/proc/self/statm", resource.getpagesize()


class Usage(NamedTuple):
    """What this process has used: CPU seconds since its start, and bytes that are its own now."""

    cpu: float
    memory: int


class OwnUsage:
    """Reads it from the kernel, as the platform counts it."""

    def __init__(self) -> None:
        self.file: io.FileIO | None = None  # kept for as long as the proxy lives
        with contextlib.suppress(OSError):  # a system that has no such file: the account alone must do
            self.file = io.FileIO(STATM)

    def __call__(self) -> Usage:
        memory = 0
        if self.file:
            self.file.seek(0)
            resident, shared = self.file.read(128).split()[1:3]
            memory = (int(resident) - int(shared)) * PAGE
        return Usage(time.process_time(), memory)


class Guard:
    """All limits of one proxy."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: api.Settings,
        *,
        cores: float,
        memory_mb: float,
        sockets: int,
        usage: Callable[[], Usage],
        log: Log = QUIET,
    ) -> None:
        """`ValueError` where the limits cannot hold a proxy."""
        self.log = log
        self.loop, self.usage, self.cores = loop, usage, cores
        self.bounds: Bounds = derive(memory_mb, sockets, cores)
        self.limit = memory_mb * MB
        self.account = Account(self.bounds.memory)
        self.leases = Leases(self.bounds.bodies, MAX_BODY_BYTES + MAX_HEAD_BYTES)
        self.descriptors = Descriptors(self.bounds.sockets)
        self.turns = Turns(loop.call_soon, 0.0)
        self.retune(settings)
        self.turns.rate = CORE * cores
        self.overload = Overload()
        self.admission = Admission()
        self.tell: Callable[[api.Pressure], None] = lambda pressure: None
        self.counts: Callable[[], tuple[int, int, tuple[int, ...]]] = lambda: (0, 0, ())
        self.lag = 0.0  # s, the worst since the last look
        self._worst = 0.0  # and since it was last reported
        self._looked = loop.time()
        self._cpu = usage().cpu
        self._last = (0, 0, 0)  # taken, wished, overflowed, as of the last look
        self._told = api.Pressure(0.0, False, True)

    def retune(self, settings: api.Settings) -> None:
        """How late a turn, and how long a wait, is too long: by the shortest aim."""
        aim = min(cls.aim for cls in settings.classes)
        # Aims shorter than any turn must not make each turn a sign of overload, for that would never end.
        self.late, self.turns.most_wait = max(LEAST_LATE, LATE * aim), WAIT * aim

    def start(self) -> None:
        self.loop.call_at(self.loop.time() + PERIOD, self._look, self.loop.time() + PERIOD)

    def see(self, what: Resource, figure: float) -> None:
        """A figure as it is now; a step that follows is logged once."""
        step = self.overload.see(what, figure, self.loop.time())
        if step:
            given = sorted(measure.value for measure in self.overload.given_up)
            (self.log.warning if step.after > Level.BUSY else self.log.info)(
                "pressure",
                on=what.value,
                now=step.after.name.lower(),
                was=step.before.name.lower(),
                part=figure,
                given_up=",".join(given) or "nothing",
            )

    def gives_up(self, measure: Measure) -> bool:
        return measure in self.overload.given_up

    def see_descriptors(self) -> None:
        self.see(Resource.DESCRIPTORS, self.descriptors.part(Use.CLIENTS))

    def late_by(self, lag: float) -> None:
        """The loop was late by so many seconds."""
        self.lag = max(self.lag, lag)
        self._worst = max(self._worst, lag)

    def worst_lag(self) -> float:
        """The worst lateness in seconds since the last call."""
        worst, self._worst = self._worst, 0.0
        return worst

    def _look(self, due: float) -> None:
        now = self.loop.time()
        span, self._looked = now - self._looked, now
        self.late_by(now - due)
        used = self.usage()
        cpu, self._cpu = used.cpu - self._cpu, used.cpu
        self.see(Resource.MEMORY, max(self.account.part(), used.memory / self.limit))
        self.see(Resource.LAG, self.lag / self.late)
        self.see(Resource.CPU, cpu / span / self.cores if span > 0 else 0.0)
        self.see_descriptors()
        self.lag = 0.0
        self._admit(span)
        self.loop.call_at(now + PERIOD, self._look, now + PERIOD)

    def _admit(self, span: float) -> None:
        """What of the requests that come can be carried, and the news of it to the decisions."""
        wished, overflowed, unseen = self.counts()
        before, self._last = self._last, (self.turns.taken, wished, overflowed)
        taken, wished, overflowed = (new - old for new, old in zip(self._last, before, strict=True))
        part = self.admission.period(span, taken, wished, overflowed, bool(self.turns.line))
        self.turns.rate = self.admission.carried or CORE * self.cores
        pressure = api.Pressure(
            part, self.gives_up(Measure.TURN_AWAY), not self.gives_up(Measure.NO_COPIES), unseen
        )
        known = self._told
        same = (pressure.over_share, pressure.copies) == (known.over_share, known.copies)
        if not same or part or known.part or pressure.over_share:
            self._told = pressure
            self.tell(pressure)
