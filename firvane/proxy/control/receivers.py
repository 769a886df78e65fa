"""The registry of receivers: their demand, and their reports about the backends.

1. A receiver is identified by its node id. It is registered from its first stream until `retention_s` after
   its last stream has ended: for so long its share of the demand is reserved, since it continues to use its
   last assignment.
2. Its demand is its reported rate, smoothed, and at least `assumed_rps` until its second report. Without
   further reports it keeps its last rate.
3. Reports are validated: the receiver must be registered, counts are clipped at `max_rps`, backends must be
   listed. `clipped` counts what was clipped or ignored.
4. The failure ratio of a backend is the median over the receivers with enough attempts there if there are at
   least three, else the minimum. So a single faulty receiver cannot take a backend away from the others.
5. Counts are released evenly over the interval between reports, in whole numbers, and none is lost.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from statistics import median

from firvane.proxy.capacity.load_reports import LoadSummary
from firvane.proxy.control.types import UNKNOWN_ZONE, Report

RETENTION_S = 15.0  # of a receiver without a stream
ASSUMED_RPS = 10.0  # of a receiver without reports
MAX_RPS = 100_000.0  # that a receiver may report
RATE_SMOOTHING = 0.5  # weight of each report
MIN_ATTEMPTS = 3  # at a backend, for a receiver's failure ratio to count
MIN_RECEIVERS_FOR_MEDIAN = 3
MIN_BACKENDS_FOR_USUAL = 3
MIN_REPORTS = 2  # before the reported rate alone counts
MIN_COMPLETION_RPS = 0.01  # of a backend that is responsive
UNRESPONSIVE_INTERVALS = 2.5  # of reports with requests in progress and none completed
MAX_RECEIVERS = 20_000
MIN_REPORT_SPAN_S = 0.1
MAX_REPORT_SPAN_S = 60.0


class BackendObservations:
    """One receiver's recent counts at one backend."""

    __slots__ = ("failed", "in_progress", "issued", "served", "stalled_since")

    def __init__(self) -> None:
        self.served = self.failed = self.issued = 0.0  # requests a second, smoothed
        self.in_progress = 0.0  # requests, smoothed
        self.stalled_since = 0.0  # when requests were in progress and none completed; 0: not stalled


class Receiver:
    """A registered receiver."""

    def __init__(self, name: str, zone: int, now: float) -> None:
        self.name = name
        self.zone = zone
        self.streams = 0
        self.disconnected_at = now
        self.reported_at: float | None = None
        self.reports = 0
        self.rate = 0.0  # requests a second
        self.backends: dict[str, BackendObservations] = {}


class ReceiverRegistry:
    """All registered receivers; times are seconds of one clock, `interval_s` is that between reports."""

    def __init__(
        self,
        interval_s: float,
        retention_s: float = RETENTION_S,
        assumed_rps: float = ASSUMED_RPS,
        max_rps: float = MAX_RPS,
    ) -> None:
        self.interval_s = interval_s
        self.retention_s = retention_s
        self.assumed_rps = assumed_rps
        self.max_rps = max_rps
        self.receivers: dict[str, Receiver] = {}
        self.clipped = 0
        self._pending: dict[str, list[float]] = {}  # served, failed, issued: not released yet, by backend
        self._taken_at: float | None = None

    def connect(self, name: str, zone: int, now: float) -> bool:
        """Register a stream of a receiver; returns False if there are too many receivers."""
        receiver = self.receivers.get(name)
        if receiver is None:
            if len(self.receivers) >= MAX_RECEIVERS:
                return False
            receiver = self.receivers[name] = Receiver(name, zone, now)
        receiver.zone = zone
        receiver.streams += 1
        return True

    def disconnect(self, name: str, now: float) -> None:
        """Record the end of a receiver's stream."""
        if receiver := self.receivers.get(name):
            receiver.streams = max(0, receiver.streams - 1)
            receiver.disconnected_at = now

    def report(
        self,
        name: str,
        reports: Mapping[str, Report],
        listed: Collection[str],
        span: float,
        now: float,
        dropped: int = 0,
    ) -> None:
        """Take a load report over `span` seconds; requests `dropped` by assignment count as demand."""
        receiver = self.receivers.get(name)
        if receiver is None:
            self.clipped += 1
            return
        span = min(max(span, MIN_REPORT_SPAN_S), MAX_REPORT_SPAN_S)
        max_count = self.max_rps * span
        total = 0.0
        for backend, one in reports.items():
            if backend not in listed:
                self.clipped += 1
                continue
            counts = [float(max(0, n)) for n in (one.served, one.failed, one.issued)]
            left = max(0.0, max_count - total)
            if counts[2] > left or max(counts[:2]) > max_count:
                self.clipped += 1
                counts = [min(n, left) for n in counts]
            total += counts[2]
            self._observe(receiver, backend, counts, min(max(0, one.out), int(max_count)), span, now)
        for backend in receiver.backends.keys() - reports.keys():
            self._observe(receiver, backend, [0.0, 0.0, 0.0], 0, span, now)
        total = min(max_count, total + max(0, dropped))
        first = receiver.reports == 0
        receiver.reports += 1
        receiver.reported_at = now
        rate = total / span
        receiver.rate = rate if first else receiver.rate + RATE_SMOOTHING * (rate - receiver.rate)

    def _observe(
        self, receiver: Receiver, backend: str, counts: list[float], in_progress: int, span: float, now: float
    ) -> None:
        seen = receiver.backends.get(backend)
        if seen is None:
            seen = receiver.backends[backend] = BackendObservations()
        served, failed, issued = counts
        seen.served += RATE_SMOOTHING * (served / span - seen.served)
        seen.failed += RATE_SMOOTHING * (failed / span - seen.failed)
        seen.issued += RATE_SMOOTHING * (issued / span - seen.issued)
        seen.in_progress += RATE_SMOOTHING * (in_progress - seen.in_progress)
        if served or failed or not in_progress:
            seen.stalled_since = 0.0
        elif not seen.stalled_since:
            seen.stalled_since = now
        pending = self._pending.setdefault(backend, [0.0, 0.0, 0.0])
        for i, n in enumerate(counts):
            pending[i] += n

    def sweep(self, listed: Collection[str], now: float) -> list[str]:
        """Remove expired receivers and unlisted backends; returns the names of the receivers."""
        gone = [
            name
            for name, one in self.receivers.items()
            if not one.streams and now > one.disconnected_at + self.retention_s
        ]
        for name in gone:
            del self.receivers[name]
        known = set(listed)
        for receiver in self.receivers.values():
            for backend in receiver.backends.keys() - known:
                del receiver.backends[backend]
        for backend in self._pending.keys() - known:
            del self._pending[backend]
        return gone

    def rate(self, receiver: Receiver) -> float:
        """A receiver's demand in requests a second."""
        return max(receiver.rate, self.assumed_rps) if receiver.reports < MIN_REPORTS else receiver.rate

    def demand(self) -> dict[int, float]:
        """The demand in requests a second, by zone of the receivers."""
        found: dict[int, float] = {}
        for receiver in self.receivers.values():
            found[receiver.zone] = found.get(receiver.zone, 0.0) + self.rate(receiver)
        return found

    def largest(self) -> dict[int, float]:
        """The largest share of the total demand that one receiver has, by zone."""
        total = sum(self.demand().values()) or 1.0
        found = {UNKNOWN_ZONE: 0.0}
        for receiver in self.receivers.values():
            found[receiver.zone] = max(found.get(receiver.zone, 0.0), self.rate(receiver) / total)
        return found

    def take(self, now: float) -> dict[str, LoadSummary]:
        """Release the counts that are due since the last call, by backend."""
        span = min(self.interval_s, now - self._taken_at) if self._taken_at is not None else 0.0
        self._taken_at = now
        part = min(1.0, max(0.0, span / self.interval_s))
        by_backend: dict[str, list[BackendObservations]] = {}
        for receiver in self.receivers.values():
            for backend, seen in receiver.backends.items():
                by_backend.setdefault(backend, []).append(seen)
        found = {}
        for backend, observations in by_backend.items():
            found[backend] = self._sum(self._release(backend, part), observations, now)
        bad = [one.failure_ratio for one in found.values() if one.rate]
        usual = median(bad) if len(bad) >= MIN_BACKENDS_FOR_USUAL else 0.0
        return {
            backend: one._replace(excess_failure_ratio=_beyond(one.failure_ratio, usual))
            for backend, one in found.items()
        }

    def _release(self, backend: str, part: float) -> tuple[int, int, int]:
        pending = self._pending.get(backend)
        if pending is None:
            return 0, 0, 0
        out = []
        for i, n in enumerate(pending):
            released = int(min(n, max(1.0, n * part)))
            pending[i] = n - released
            out.append(released)
        return out[0], out[1], out[2]

    def _sum(
        self, counts: tuple[int, int, int], observations: list[BackendObservations], now: float
    ) -> LoadSummary:
        ratios = []
        stalled = responsive = 0
        for seen in observations:
            ended = seen.served + seen.failed
            if (ended or seen.issued) * self.interval_s * 2 >= MIN_ATTEMPTS and ended:
                ratios.append(seen.failed / ended)
            if seen.stalled_since and now > seen.stalled_since + UNRESPONSIVE_INTERVALS * self.interval_s:
                stalled += 1
            elif seen.served + seen.failed > MIN_COMPLETION_RPS:
                responsive += 1
        bad = 0.0
        if ratios:
            bad = float(median(ratios)) if len(ratios) >= MIN_RECEIVERS_FOR_MEDIAN else min(ratios)
        return LoadSummary(
            *counts,
            pending=sum(seen.in_progress for seen in observations),
            rate=sum(seen.served + seen.failed for seen in observations),
            failure_ratio=bad,
            silent=stalled > responsive,
        )


def _beyond(bad: float, usual: float) -> float:
    """The failure ratio beyond the usual one."""
    return max(0.0, (bad - usual) / (1.0 - usual)) if usual < 1.0 else 0.0
