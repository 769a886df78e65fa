"""The sequential comparison of old and new proxies, which may be evaluated after any interval.

Invariants:

1. One observation is the difference between the new and the old side in the same interval and zone, with
   zones weighted by the traffic of both sides there: influences common to both sides cancel out. New proxies
   in a zone that never had an old proxy are compared with all old proxies. Intervals with too few requests of
   a key are merged.
2. Each metric and key has a confidence sequence around its mean difference: a normal mixture, which is valid
   at all times simultaneously. Its variance is that of the observations, increased by their autocorrelation,
   and never below the sampling variance of counts of that size.
3. WORSE: a lower bound is above the threshold; alpha is divided among the metrics and keys. FINE: after the
   soak time, every upper bound is below its threshold. A key with enough requests and an inconclusive bound
   keeps the verdict at CANNOT_TELL.
4. Processes with an uptime below `settle_s` are left out, on either side.
5. While the old side does worse than the fleet did before the rollout, intervals are not counted. Earlier
   intervals decide this, so that no observation is selected by its own value.

Source: Robbins, "Statistical methods related to the law of the iterated logarithm", for the normal mixture.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf, log, sqrt

from firvane.proxy.rollout.comparison_types import Block, Finding, RequestCounts, Side, Verdict
from firvane.proxy.rollout.plan import ComparisonSettings

MIN_OBSERVATIONS = 10  # needed to estimate their variance
SLOPE_INTERVAL_S = 10.0  # between observations of memory and descriptors
RECENT_INTERVALS = 5  # whose in-time share is compared with the baseline
SLOW_QUANTILE = 0.9  # of the old side's latencies; responses above it are slow
LATENCY_DECAY = 0.9  # factor on the weight of earlier latencies in each interval
MIN_LATENCY_WEIGHT = 1e-3  # latency buckets with a lower weight are dropped
EVEN_SHARE = 0.5  # from here on a share can be of attempts, which can exceed one per request
MIN_CORRELATION = -0.6
MAX_CORRELATION = 0.9
MAX_TENANT_THRESHOLD = 0.5
SECONDS_PER_MINUTE = 60
TIME_TOLERANCE_S = 1e-6
MIN_CPU_DEVIATION = 0.05  # of CPU time per request, relative
MIN_SLOPE_DEVIATION = 0.5  # as a multiple of the threshold


def in_time_share(blocks: Iterable[Block], least: int = 1) -> float | None:
    """Return the share of requests in the blocks answered in time; None for fewer than `least` requests."""
    taken = in_time = 0
    for block in blocks:
        for key, counts in block.counts.items():
            if key.startswith("class:"):
                taken += counts.taken
                in_time += counts.in_time
    return in_time / taken if taken >= max(1, least) else None


def half_width(count: int, alpha: float, planned: int) -> float:
    """Return half the width of a confidence sequence, in standard deviations of one observation.

    Args:
        count: The number of observations.
        alpha: The probability that the true mean is ever outside the sequence.
        planned: The number of observations for which the sequence is optimized.
    """
    tightness = (-2 * log(alpha) + log(1 - 2 * log(alpha))) / planned
    inner = count * tightness + 1
    return sqrt(2 * inner / (count * count * tightness) * log(sqrt(inner) / alpha))


@dataclass
class _MetricTrack:
    """Running statistics of the differences in one metric of one key."""

    threshold: float
    planned: int  # observations in a soak time
    is_slope: bool = False  # slopes share end points: an error in one has the opposite sign in the next
    count: int = 0
    mean: float = 0.0
    squares: float = 0.0  # the sum of squared deviations
    lagged: float = 0.0  # the sum of products of consecutive deviations
    last: float = 0.0
    min_variance: float = 0.0  # the mean over observations
    old: float = 0.0  # the mean of the old side's values
    new: float = 0.0

    def add(self, old: float, new: float, value: float, min_variance: float) -> None:
        """Add one observation: the values of both sides, their difference, and its minimum variance."""
        self.count += 1
        deviation = value - self.mean
        self.mean += deviation / self.count
        self.squares += deviation * (value - self.mean)
        if self.count > 1:
            self.lagged += (self.last - self.mean) * (value - self.mean)
        self.last = value
        self.min_variance += (min_variance - self.min_variance) / self.count
        self.old += (old - self.old) / self.count
        self.new += (new - self.new) / self.count

    def half_width(self, alpha: float) -> float:
        """Return half the width of the confidence sequence at alpha."""
        if self.count < MIN_OBSERVATIONS:
            return inf
        variance = self.squares / (self.count - 1)
        if variance:
            # Subtract the correlation expected from chance alone.
            correlation, chance = self.lagged / self.squares, 1 / sqrt(self.count)
            if self.is_slope and correlation < 0:
                correlation = max(MIN_CORRELATION, min(0.0, correlation + chance))
            else:
                correlation = min(MAX_CORRELATION, max(0.0, correlation - chance))
            variance *= (1 + correlation) / (1 - correlation)
        return sqrt(max(variance, self.min_variance)) * half_width(self.count, alpha, self.planned)


@dataclass
class _RequestPool:
    """Requests of one key by zone and side, pooled until there are enough for an observation."""

    zones: dict[str, dict[Side, RequestCounts]] = field(default_factory=dict)
    old_latency: dict[int, float] = field(default_factory=dict)  # weights of earlier intervals, by bucket
    events: dict[str, float] = field(default_factory=dict)  # of both sides by metric, for the min. variance
    requests: float = 0.0
    taken: int = 0  # by the new side

    def add(self, zone: str, side: Side, counts: RequestCounts) -> None:
        sides = self.zones.setdefault(zone, {})
        sides[side] = _add_counts(sides[side], counts) if side in sides else counts
        if side is Side.NEW:
            self.taken += counts.taken

    def is_complete(self, least: int) -> bool:
        """Whether each side has at least `least` requests in the zones where both sides have requests."""
        pairs = [sides for sides in self.zones.values() if len(sides) == len(Side)]
        return bool(pairs) and all(sum(sides[side].taken for sides in pairs) >= least for side in Side)


def _add_counts(first: RequestCounts, second: RequestCounts) -> RequestCounts:
    latency = dict(first.latency)
    for number, count in second.latency.items():
        latency[number] = latency.get(number, 0) + count
    return RequestCounts(
        first.taken + second.taken,
        first.in_time + second.in_time,
        first.refused + second.refused,
        first.failed + second.failed,
        first.attempts + second.attempts,
        latency,
    )


METRICS_OF_COUNTS: dict[str, Callable[[RequestCounts], float]] = {
    "refused": lambda counts: counts.refused,
    "failed": lambda counts: counts.failed,
    "late": lambda counts: counts.taken - counts.in_time,
    "attempts": lambda counts: counts.attempts,
}
METRICS_BY_KEY = (*METRICS_OF_COUNTS, "slow")
METRICS_OF_PROCESS = ("cpu", "memory", "descriptors", "errors")
METRIC_NAMES = {
    "refused": "the share refused",
    "failed": "the share failed",
    "late": "the share not in time",
    "attempts": "attempts per request",
    "slow": "the share slower than nine in ten requests of the old side",
    "cpu": "CPU seconds per request",
    "memory": "memory growth in MB per minute",
    "descriptors": "descriptor growth per minute",
    "errors": "error log lines per second",
}


class Comparison:
    """One comparison, from its `StartComparison` to the next one or to `StopComparison`."""

    def __init__(
        self,
        settings: ComparisonSettings,
        alpha: float,
        soak_s: float,
        baseline: float | None = None,
        covers_all: bool = False,
    ) -> None:
        """Start without observations.

        Args:
            settings: The comparison settings of the plan.
            alpha: The probability of a false alarm.
            soak_s: The compared time that a FINE verdict requires.
            baseline: The `in_time_share` before the rollout.
            covers_all: Whether the stage replaces all proxies, so that finally the fleet is compared with
                the baseline.
        """
        self.settings = settings
        self.alpha = alpha
        self.soak_s = soak_s
        self.baseline = baseline
        self.covers_all = covers_all
        self._tracks: dict[tuple[str, str], _MetricTrack] = {}
        self._pools: dict[str, _RequestPool] = {}
        self._old_zones: set[str] = set()
        self._recent: deque[tuple[float, float]] = deque(maxlen=RECENT_INTERVALS)  # in time, taken
        self._slope_starts: dict[str, Block] = {}
        self._slopes_at = -inf
        self._cpu: list[Block] = []
        self._compared_s = 0.0  # of intervals with both sides
        self._new_only_s = 0.0  # of intervals with the new side only
        self._is_fleet_degraded = False

    # Observations

    def add(self, interval_blocks: Sequence[Block]) -> None:
        """Add the blocks of all proxies for one interval, which ends `block_s` after the previous one."""
        settled = self.settings.settle_s + self.settings.block_s
        blocks = [block for block in interval_blocks if block.uptime_s >= settled]
        old = [block for block in blocks if block.side is Side.OLD]
        new = [block for block in blocks if block.side is Side.NEW]
        self._is_fleet_degraded = self._is_below_baseline()
        self._record_fleet(old or (new if self.covers_all else []))
        if self._is_fleet_degraded:
            return
        if not old or not new:
            if self.covers_all and new and not any(block.side is Side.OLD for block in interval_blocks):
                self._new_only_s += self.settings.block_s
            return
        self._compared_s += self.settings.block_s
        self._old_zones.update(block.zone for block in old)
        self._add_requests(blocks)
        self._add_cpu(blocks)
        self._add_errors(old, new)
        self._add_slopes(blocks)

    def _record_fleet(self, blocks: Sequence[Block]) -> None:
        """Record the in-time counts of the fleet, which decide whether later intervals are counted."""
        counts = [
            counts for block in blocks for key, counts in block.counts.items() if key.startswith("class:")
        ]
        if counts:
            self._recent.append((sum(c.in_time for c in counts), sum(c.taken for c in counts)))

    def _is_below_baseline(self) -> bool:
        taken = sum(taken for _, taken in self._recent)
        if self.baseline is None or taken < self.settings.least_requests:
            return False
        return sum(good for good, _ in self._recent) / taken < self.baseline - self.settings.fleet_harm

    def _add_requests(self, blocks: Sequence[Block]) -> None:
        has_unpaired = any(block.zone not in self._old_zones for block in blocks)
        for block in blocks:
            paired = block.zone in self._old_zones
            for key, counts in block.counts.items():
                pool = self._pools.setdefault(key, _RequestPool())
                pool.add(block.zone if paired else "", block.side, counts)
                if has_unpaired and block.side is Side.OLD:
                    pool.add("", block.side, counts)
        for key, pool in self._pools.items():
            if pool.is_complete(self.settings.least_requests):
                self._add_observations(key, pool)

    def _add_observations(self, key: str, pool: _RequestPool) -> None:
        """Add one observation of each metric of a key, and empty its pool."""
        pairs = [(s[Side.OLD], s[Side.NEW]) for s in pool.zones.values() if len(s) == len(Side)]
        pairs = [(old, new) for old, new in pairs if old.taken and new.taken]
        pool.requests += sum(old.taken + new.taken for old, new in pairs)
        for metric, events in METRICS_OF_COUNTS.items():
            shares = [(events(old), old.taken, events(new), new.taken) for old, new in pairs]
            self._add_share(key, metric, pool, shares)
        if pool.old_latency:
            limit = _quantile(pool.old_latency)
            slow = [(_count_above(old, limit), _count_above(new, limit)) for old, new in pairs]
            answered = [(a, n, b, m) for (a, n), (b, m) in slow if n and m]
            if answered:
                self._add_share(key, "slow", pool, answered)
        pool.old_latency = {
            number: count * LATENCY_DECAY
            for number, count in pool.old_latency.items()
            if count > MIN_LATENCY_WEIGHT
        }
        for old, _ in pairs:
            for number, count in old.latency.items():
                pool.old_latency[number] = pool.old_latency.get(number, 0.0) + count
        pool.zones.clear()

    def _add_share(
        self, key: str, metric: str, pool: _RequestPool, pairs: Sequence[tuple[float, int, float, int]]
    ) -> None:
        """Add one observation; `pairs` has old events, old requests, new events and new requests by zone."""
        weights = [n * m / (n + m) for _, n, _, m in pairs]
        total = sum(weights)
        old = sum(w * a / n for w, (a, n, _, _) in zip(weights, pairs, strict=True)) / total
        new = sum(w * b / m for w, (_, _, b, m) in zip(weights, pairs, strict=True)) / total
        events = pool.events[metric] = pool.events.get(metric, 0.0) + sum(a + b for a, _, b, _ in pairs)
        share = (events + 1) / (pool.requests + 2)
        if metric == "attempts":
            share = abs(share - 1) + 1 / pool.requests  # attempts beyond the first one
        # With weights n m / (n + m), the weighted difference has the variance p (1 - p) / sum of weights.
        variance = share * (1 - share) if share < EVEN_SHARE else EVEN_SHARE**2 + share
        self._track(metric, key).add(old, new, new - old, variance / total)

    def _add_cpu(self, blocks: Sequence[Block]) -> None:
        self._cpu += blocks
        sides = {side: [block for block in self._cpu if block.side is side] for side in Side}
        taken = {side: sum(map(_count_requests, blocks)) for side, blocks in sides.items()}
        if min(taken.values()) < self.settings.least_requests:
            return
        self._cpu = []
        old, new = (sum(b.usage.cpu_s for b in sides[side]) / taken[side] for side in (Side.OLD, Side.NEW))
        if old > 0:
            self._track("cpu", "").add(old, new, new / old - 1, MIN_CPU_DEVIATION**2)

    def _add_errors(self, old: Sequence[Block], new: Sequence[Block]) -> None:
        block_s = self.settings.block_s
        old_rate, new_rate = (
            sum(block.usage.errors for block in side) / len(side) / block_s for side in (old, new)
        )
        track = self._track("errors", "")
        total = (track.old + track.new) * track.count + old_rate + new_rate
        rate = (total + 1 / block_s) / (2 * (track.count + 1))
        min_variance = rate / block_s * (1 / len(old) + 1 / len(new))
        track.add(old_rate, new_rate, new_rate - old_rate, min_variance)

    def _add_slopes(self, blocks: Sequence[Block]) -> None:
        at = blocks[0].at
        if at - self._slopes_at < SLOPE_INTERVAL_S - TIME_TOLERANCE_S:
            return
        starts, self._slope_starts = self._slope_starts, {block.proxy: block for block in blocks}
        self._slopes_at = at
        for metric, of in (
            ("memory", lambda block: block.usage.rss_mb),
            ("descriptors", lambda block: float(block.usage.descriptors)),
        ):
            slopes: dict[Side, list[float]] = {Side.OLD: [], Side.NEW: []}
            for block in blocks:
                start = starts.get(block.proxy)
                if start and block.side is start.side and block.uptime_s > start.uptime_s:  # the same process
                    slopes[block.side].append(
                        (of(block) - of(start)) * SECONDS_PER_MINUTE / (block.at - start.at)
                    )
            if all(slopes.values()):
                old, new = (sum(s) / len(s) for s in (slopes[Side.OLD], slopes[Side.NEW]))
                track = self._track(metric, "")
                track.add(old, new, new - old, (MIN_SLOPE_DEVIATION * track.threshold) ** 2)

    def _track(self, metric: str, key: str) -> _MetricTrack:
        track = self._tracks.get((metric, key))
        if track is None:
            harm: float = getattr(self.settings.harms, metric)
            if key.startswith("tenant:"):
                harm = min(MAX_TENANT_THRESHOLD, harm * self.settings.tenant_times)
            slope = metric in ("memory", "descriptors")
            planned = max(
                MIN_OBSERVATIONS, round(self.soak_s / (SLOPE_INTERVAL_S if slope else self.settings.block_s))
            )
            track = self._tracks[metric, key] = _MetricTrack(harm, planned, slope)
        return track

    # Verdicts

    def verdict(self) -> Finding:
        """Return the finding from the observations so far."""
        if self._is_fleet_degraded:
            return Finding(
                Verdict.CANNOT_TELL,
                f"the old side does worse than the fleet before the rollout ({self.baseline:.1%} in time): "
                "the comparison is suspended",
            )
        # Divide alpha by all metrics of all known keys, observed yet or not, and the process metrics.
        alpha = self.alpha / max(1, len(METRICS_BY_KEY) * len(self._pools) + len(METRICS_OF_PROCESS))
        lower_bounds = [
            (t.mean - t.half_width(alpha), name, t)
            for name, t in self._tracks.items()
            if t.count >= MIN_OBSERVATIONS
        ]
        worse = [entry for entry in lower_bounds if entry[0] > entry[2].threshold]
        if worse:
            bound, name, track = max(worse, key=lambda entry: entry[0] / entry[2].threshold)
            return _finding(Verdict.WORSE, name, track, bound)
        return self._verdict_if_not_worse()

    def _verdict_if_not_worse(self) -> Finding:
        if self.covers_all and self._new_only_s >= self.soak_s:
            return Finding(
                Verdict.FINE, "no old proxy is left, and the fleet does as well as before the rollout"
            )
        if self._compared_s < self.soak_s:
            progress = f"{self._compared_s:.0f} of {self.soak_s:.0f} s are compared"
            return Finding(Verdict.CANNOT_TELL, progress)
        small = {key for key, pool in self._pools.items() if pool.taken < self.settings.least_key}
        compared_keys = [key for key in self._pools if key not in small]
        if not any(key.startswith("class:") for key in compared_keys):
            return Finding(Verdict.CANNOT_TELL, "the new side has had too few requests of every class")
        # A key without latency observations does not delay the verdict.
        required = [(metric, key) for key in compared_keys for metric in METRICS_OF_COUNTS]
        required += [name for name, track in self._tracks.items() if name[1] not in small and track.count]
        upper_bounds = []
        for name in dict.fromkeys(required):
            track = self._tracks.get(name) or self._track(*name)
            upper_bounds.append((track.mean + track.half_width(self.settings.unsure), name, track))
        bound, name, track = max(upper_bounds, key=lambda entry: entry[0] / entry[2].threshold)
        if bound < track.threshold:
            finding = _finding(Verdict.FINE, name, track, bound)
            if small:
                small_keys = ", ".join(sorted(small))
                finding = Finding(finding.verdict, f"{finding.reason}; too few requests of {small_keys}")
            return finding
        return _finding(Verdict.CANNOT_TELL, name, track, bound)

    def estimates(self) -> Mapping[tuple[str, str], tuple[float, float, float, float]]:
        """Return the means of the old and new side and the bounds of their difference, by metric and key."""
        alpha = self.alpha / max(1, len(METRICS_BY_KEY) * len(self._pools) + len(METRICS_OF_PROCESS))
        bounds = ((name, t, t.half_width(alpha)) for name, t in self._tracks.items())
        return {name: (t.old, t.new, t.mean - half, t.mean + half) for name, t, half in bounds}


def _count_requests(block: Block) -> int:
    return sum(counts.taken for key, counts in block.counts.items() if key.startswith("class:"))


def _quantile(latencies: Mapping[int, float]) -> int:
    """Return the bucket that contains `SLOW_QUANTILE` of the latencies."""
    rest = (1 - SLOW_QUANTILE) * sum(latencies.values())
    for number in sorted(latencies, reverse=True):
        rest -= latencies[number]
        if rest < 0:
            return number
    return min(latencies)


def _count_above(counts: RequestCounts, limit: int) -> tuple[int, int]:
    return sum(n for b, n in counts.latency.items() if b > limit), sum(counts.latency.values())


def _finding(verdict: Verdict, name: tuple[str, str], track: _MetricTrack, bound: float) -> Finding:
    metric, key = name
    suffix = f" of {key.replace(':', ' ', 1)}" if key else ""
    description = f"{METRIC_NAMES[metric]}{suffix}: old {track.old:.4g}, new {track.new:.4g}"
    match verdict:
        case Verdict.WORSE:
            reason = f"{description}, worse by at least {bound:.4g}; the threshold is {track.threshold:.4g}"
        case Verdict.FINE:
            reason = f"no metric is worse by its threshold; closest: {description}, at most {bound:.4g} worse"
        case _:
            uncertainty = f"may be worse by {bound:.4g}" if bound < inf else "too few observations"
            reason = f"{description}, {uncertainty}; the threshold is {track.threshold:.4g}"
    return Finding(verdict, reason, metric, key, track.old, track.new, bound, track.threshold)
