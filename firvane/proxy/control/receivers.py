"""The registry of receivers: their demand and their load reports.

1. A receiver is identified by its node id. It is registered from its first stream until `retention_s` after
   its last stream has ended: its share of the demand stays reserved meanwhile, since it continues to use its
   last assignment.
2. A receiver's demand is its reported rate, smoothed, and at least `assumed_rps` until its second report.
   Without further reports the demand stays at the last rate.
3. Reports are validated: the receiver must be registered, counts are clipped at `max_rps`, backends must be
   listed. `clipped` counts the clipped or ignored reports of backends.
4. The failure ratio of a backend is the median over the receivers with enough attempts there if there are at
   least three, else the minimum. So a single faulty receiver cannot get a backend ejected for the others.
5. Counts are released evenly over the interval between reports, as integers that add up to the reported sums.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from statistics import median

from firvane.proxy.capacity.load_reports import LoadSummary
from firvane.proxy.control.types import UNKNOWN_ZONE, Report

RETENTION_S = 15.0  # of a receiver without a stream
ASSUMED_RPS = 10.0  # of a receiver with fewer than MIN_REPORTS reports
MAX_RPS = 100_000.0  # that a receiver may report
RATE_SMOOTHING = 0.5  # weight of each report
MIN_ATTEMPTS = 3  # at a backend, for a receiver's failure ratio to be used
MIN_RECEIVERS_FOR_MEDIAN = 3
MIN_BACKENDS_FOR_TYPICAL_RATIO = 3
MIN_REPORTS = 2  # before the reported rate alone is used
MIN_COMPLETION_RPS = 0.01  # observed by a receiver, of a responsive backend
UNRESPONSIVE_INTERVALS = 2.5  # report intervals with requests in progress and none completed
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
        self._pending: dict[str, list[float]] = {}  # unreleased counts (served, failed, issued) by backend
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
        span_s: float,
        now: float,
        dropped: int = 0,
    ) -> None:
        """Record a load report over `span_s` seconds; requests `dropped` by assignment count as demand."""
        receiver = self.receivers.get(name)
        if receiver is None:
            self.clipped += 1
            return
        span_s = min(max(span_s, MIN_REPORT_SPAN_S), MAX_REPORT_SPAN_S)
        max_count = self.max_rps * span_s
        total = 0.0
        for backend, backend_report in reports.items():
            if backend not in listed:
                self.clipped += 1
                continue
            counts = [
                float(max(0, count))
                for count in (backend_report.served, backend_report.failed, backend_report.issued)
            ]
            remaining = max(0.0, max_count - total)
            if counts[2] > remaining or max(counts[:2]) > max_count:
                self.clipped += 1
                counts = [min(count, remaining) for count in counts]
            total += counts[2]
            self._observe(
                receiver,
                backend,
                counts,
                min(max(0, backend_report.in_progress), int(max_count)),
                span_s,
                now,
            )
        for backend in receiver.backends.keys() - reports.keys():
            self._observe(receiver, backend, [0.0, 0.0, 0.0], 0, span_s, now)
        total = min(max_count, total + max(0, dropped))
        is_first = receiver.reports == 0
        receiver.reports += 1
        receiver.reported_at = now
        rate = total / span_s
        receiver.rate = rate if is_first else receiver.rate + RATE_SMOOTHING * (rate - receiver.rate)

    def _observe(
        self,
        receiver: Receiver,
        backend: str,
        counts: list[float],
        in_progress: int,
        span_s: float,
        now: float,
    ) -> None:
        observations = receiver.backends.get(backend)
        if observations is None:
            observations = receiver.backends[backend] = BackendObservations()
        served, failed, issued = counts
        observations.served += RATE_SMOOTHING * (served / span_s - observations.served)
        observations.failed += RATE_SMOOTHING * (failed / span_s - observations.failed)
        observations.issued += RATE_SMOOTHING * (issued / span_s - observations.issued)
        observations.in_progress += RATE_SMOOTHING * (in_progress - observations.in_progress)
        if served or failed or not in_progress:
            observations.stalled_since = 0.0
        elif not observations.stalled_since:
            observations.stalled_since = now
        pending = self._pending.setdefault(backend, [0.0, 0.0, 0.0])
        for i, count in enumerate(counts):
            pending[i] += count

    def sweep(self, listed: Collection[str], now: float) -> list[str]:
        """Remove expired receivers and unlisted backends; returns the names of the receivers."""
        expired = [
            name
            for name, candidate in self.receivers.items()
            if not candidate.streams and now > candidate.disconnected_at + self.retention_s
        ]
        for name in expired:
            del self.receivers[name]
        listed_backends = set(listed)
        for receiver in self.receivers.values():
            for backend in receiver.backends.keys() - listed_backends:
                del receiver.backends[backend]
        for backend in self._pending.keys() - listed_backends:
            del self._pending[backend]
        return expired

    def rate(self, receiver: Receiver) -> float:
        """Return a receiver's demand in requests a second."""
        return max(receiver.rate, self.assumed_rps) if receiver.reports < MIN_REPORTS else receiver.rate

    def demand(self) -> dict[int, float]:
        """Return the demand in requests a second, by zone of the receivers."""
        by_zone: dict[int, float] = {}
        for receiver in self.receivers.values():
            by_zone[receiver.zone] = by_zone.get(receiver.zone, 0.0) + self.rate(receiver)
        return by_zone

    def largest_shares(self) -> dict[int, float]:
        """Return the largest share of the total demand that a single receiver has, by zone."""
        total = sum(self.demand().values()) or 1.0
        by_zone = {UNKNOWN_ZONE: 0.0}
        for receiver in self.receivers.values():
            by_zone[receiver.zone] = max(by_zone.get(receiver.zone, 0.0), self.rate(receiver) / total)
        return by_zone

    def take(self, now: float) -> dict[str, LoadSummary]:
        """Release the counts that are due since the last call, by backend."""
        span_s = min(self.interval_s, now - self._taken_at) if self._taken_at is not None else 0.0
        self._taken_at = now
        fraction = min(1.0, max(0.0, span_s / self.interval_s))
        by_backend: dict[str, list[BackendObservations]] = {}
        for receiver in self.receivers.values():
            for backend, backend_observations in receiver.backends.items():
                by_backend.setdefault(backend, []).append(backend_observations)
        summaries = {}
        for backend, observations in by_backend.items():
            summaries[backend] = self._sum(self._release(backend, fraction), observations, now)
        failure_ratios = [summary.failure_ratio for summary in summaries.values() if summary.rate]
        typical_ratio = (
            median(failure_ratios) if len(failure_ratios) >= MIN_BACKENDS_FOR_TYPICAL_RATIO else 0.0
        )
        return {
            backend: summary._replace(
                excess_failure_ratio=_excess_ratio(summary.failure_ratio, typical_ratio)
            )
            for backend, summary in summaries.items()
        }

    def _release(self, backend: str, fraction: float) -> tuple[int, int, int]:
        pending = self._pending.get(backend)
        if pending is None:
            return 0, 0, 0
        released_counts = []
        for i, count in enumerate(pending):
            released = int(min(count, max(1.0, count * fraction)))
            pending[i] = count - released
            released_counts.append(released)
        return released_counts[0], released_counts[1], released_counts[2]

    def _sum(
        self, counts: tuple[int, int, int], observations: list[BackendObservations], now: float
    ) -> LoadSummary:
        failure_ratios = []
        stalled = responsive = 0
        for observed in observations:
            completed = observed.served + observed.failed
            if (completed or observed.issued) * self.interval_s * 2 >= MIN_ATTEMPTS and completed:
                failure_ratios.append(observed.failed / completed)
            if (
                observed.stalled_since
                and now > observed.stalled_since + UNRESPONSIVE_INTERVALS * self.interval_s
            ):
                stalled += 1
            elif observed.served + observed.failed > MIN_COMPLETION_RPS:
                responsive += 1
        combined_ratio = 0.0
        if failure_ratios:
            combined_ratio = (
                float(median(failure_ratios))
                if len(failure_ratios) >= MIN_RECEIVERS_FOR_MEDIAN
                else min(failure_ratios)
            )
        return LoadSummary(
            *counts,
            pending=sum(observed.in_progress for observed in observations),
            rate=sum(observed.served + observed.failed for observed in observations),
            failure_ratio=combined_ratio,
            silent=stalled > responsive,
        )


def _excess_ratio(failure_ratio: float, typical_ratio: float) -> float:
    """Return how far a failure ratio exceeds the typical one, as a fraction of the possible excess."""
    return max(0.0, (failure_ratio - typical_ratio) / (1.0 - typical_ratio)) if typical_ratio < 1.0 else 0.0
