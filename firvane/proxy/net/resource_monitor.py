"""Monitors the resource usage of the process against its limits, and reports overload to the balancer."""

from __future__ import annotations

import asyncio
import contextlib
import io
import resource
import time
from collections.abc import Callable
from typing import NamedTuple

from firvane.core import interface as api
from firvane.core.body_leases import BodyLeases
from firvane.core.logs import QUIET, Log
from firvane.core.net.http_reader import MAX_BODY_BYTES, MAX_HEAD_BYTES
from firvane.proxy.limits.admission import AdmissionController
from firvane.proxy.limits.descriptors import Descriptors, Use
from firvane.proxy.limits.loop_budget import LoopBudget
from firvane.proxy.limits.memory_account import MemoryAccount
from firvane.proxy.limits.memory_costs import MB, Bounds, derive
from firvane.proxy.limits.overload import Level, Overload, OverloadAction, Resource

SAMPLE_INTERVAL_S = 0.25
LAG_FRACTION = 0.25  # of the shortest latency target: more lag of the event loop counts as overload
MIN_LAG_S = 0.01  # the loop's clock has a resolution of 1 ms, and an iteration with requests takes some 3 ms
TURN_WAIT_FRACTION = (
    0.1  # of the shortest latency target: the longest time that a request may be queued for the loop
)
INITIAL_RATE_PER_CORE = 1500.0  # requests a second, until the rate is measured
STATM = "/proc/self/statm"
PAGE_BYTES = resource.getpagesize()


class Usage(NamedTuple):
    """The resource usage of the process.

    Attributes:
        cpu: CPU seconds since the start of the process.
        memory: Bytes of private memory, without shared pages.
    """

    cpu: float
    memory: int


class ProcessUsage:
    """Reads the usage of this process from the kernel, as the platform counts it."""

    def __init__(self) -> None:
        self.file: io.FileIO | None = None  # stays open for the life of the process
        with contextlib.suppress(OSError):  # without this file only the memory account is used
            self.file = io.FileIO(STATM)

    def __call__(self) -> Usage:
        """Sample the usage."""
        memory = 0
        if self.file:
            self.file.seek(0)
            resident, shared = self.file.read(128).split()[1:3]
            memory = (int(resident) - int(shared)) * PAGE_BYTES
        return Usage(time.process_time(), memory)


class ResourceMonitor:
    """The resource limits of one proxy and the usage of each."""

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
        """Create a monitor; raises `ValueError` if the limits are too small for a proxy.

        Args:
            loop: The event loop.
            settings: The settings of the balancer.
            cores: CPU cores that the process may use.
            memory_mb: Megabytes of memory that the process may use.
            sockets: File descriptors that the process may open.
            usage: Samples the usage of the process.
            log: For changes of the load level.
        """
        self.log = log
        self.loop, self.usage, self.cores = loop, usage, cores
        self.bounds: Bounds = derive(memory_mb, sockets, cores)
        self.limit = memory_mb * MB
        self.account = MemoryAccount(self.bounds.memory)
        self.leases = BodyLeases(self.bounds.bodies, MAX_BODY_BYTES + MAX_HEAD_BYTES)
        self.descriptors = Descriptors(self.bounds.sockets)
        self.loop_budget = LoopBudget(loop.call_soon, 0.0)
        self.apply_settings(settings)
        self.loop_budget.rate = INITIAL_RATE_PER_CORE * cores
        self.overload = Overload()
        self.admission = AdmissionController()
        self.report_pressure: Callable[[api.OverloadSignal], None] = lambda pressure: None
        self.counts: Callable[[], tuple[int, int, tuple[int, ...]]] = lambda: (0, 0, ())
        self.lag = 0.0  # s, the maximum since the last sample
        self._worst_lag = 0.0  # s, since `worst_lag` was last called
        self._sampled_at = loop.time()
        self._cpu = usage().cpu
        self._last_counts = (0, 0, 0)  # requests decided, shed and overflowed up to the last sample
        self._reported = api.OverloadSignal(0.0, False, True)

    def apply_settings(self, settings: api.Settings) -> None:
        """Set the bounds on lag and queueing by the shortest latency target of the settings."""
        target = min(cls.latency_target for cls in settings.classes)
        # If the target is shorter than an iteration of the loop, not every iteration may count as overload.
        self.max_lag, self.loop_budget.max_wait_s = (
            max(MIN_LAG_S, LAG_FRACTION * target),
            TURN_WAIT_FRACTION * target,
        )

    def start(self) -> None:
        """Start sampling regularly."""
        self.loop.call_at(
            self.loop.time() + SAMPLE_INTERVAL_S, self._sample, self.loop.time() + SAMPLE_INTERVAL_S
        )

    def record_usage(self, kind: Resource, fraction: float) -> None:
        """Record the usage of a resource, as a fraction of its limit; log a change of its load level."""
        step = self.overload.update(kind, fraction, self.loop.time())
        if step:
            actions = sorted(action.value for action in self.overload.active_actions)
            (self.log.warning if step.after > Level.BUSY else self.log.info)(
                "pressure",
                resource=kind.value,
                load_level=step.after.name.lower(),
                previous_load_level=step.before.name.lower(),
                usage=fraction,
                active_actions=",".join(actions) or "none",
            )

    def is_active(self, action: OverloadAction) -> bool:
        """Return whether an action against overload is active."""
        return action in self.overload.active_actions

    def record_descriptor_usage(self) -> None:
        """Record the usage of the descriptors for client connections."""
        self.record_usage(Resource.DESCRIPTORS, self.descriptors.usage(Use.CLIENTS))

    def record_lag(self, lag: float) -> None:
        """Record that the event loop ran a timer `lag` seconds late."""
        self.lag = max(self.lag, lag)
        self._worst_lag = max(self._worst_lag, lag)

    def worst_lag(self) -> float:
        """Return the largest lag in seconds since the last call."""
        worst, self._worst_lag = self._worst_lag, 0.0
        return worst

    def _sample(self, due: float) -> None:
        now = self.loop.time()
        span, self._sampled_at = now - self._sampled_at, now
        self.record_lag(now - due)
        used = self.usage()
        cpu, self._cpu = used.cpu - self._cpu, used.cpu
        self.record_usage(Resource.MEMORY, max(self.account.usage(), used.memory / self.limit))
        self.record_usage(Resource.LAG, self.lag / self.max_lag)
        self.record_usage(Resource.CPU, cpu / span / self.cores if span > 0 else 0.0)
        self.record_descriptor_usage()
        self.lag = 0.0
        self._admit(span)
        self.loop.call_at(now + SAMPLE_INTERVAL_S, self._sample, now + SAMPLE_INTERVAL_S)

    def _admit(self, span: float) -> None:
        """Estimate the fraction of requests that exceeds the capacity, and report it to the balancer."""
        shed, overflowed, unseen = self.counts()
        before, self._last_counts = self._last_counts, (self.loop_budget.decided, shed, overflowed)
        accepted, shed, overflowed = (new - old for new, old in zip(self._last_counts, before, strict=True))
        excess = self.admission.update(span, accepted, shed, overflowed, bool(self.loop_budget.queue))
        self.loop_budget.rate = self.admission.capacity or INITIAL_RATE_PER_CORE * self.cores
        pressure = api.OverloadSignal(
            excess,
            self.is_active(OverloadAction.SHED_LOAD),
            not self.is_active(OverloadAction.DISABLE_HEDGING),
            unseen,
        )
        previous = self._reported
        switches = pressure.shed_over_quota, pressure.hedging_allowed
        changed = switches != (previous.shed_over_quota, previous.hedging_allowed)
        if changed or excess or previous.excess_fraction or pressure.shed_over_quota:
            self._reported = pressure
            self.report_pressure(pressure)
