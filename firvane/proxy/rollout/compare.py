"""Old proxies against new ones of the same time, looked at as often as one likes.

Rules that hold here and nowhere else:

1. One observation is the difference of the new side to the old one in the same moment and zone, zones
   weighted by the traffic that both sides had there: what strikes both alike cancels out. A zone that never
   had an old place is set against all old ones. Moments with too few requests of a key are joined.
2. Around the mean difference of each metric and key lies a confidence sequence: a normal mixture, which holds
   at all times at once. Its scatter is the observations' own, swollen by what lingers from one to the next,
   and never below what counts of that size scatter by chance.
3. Worse: a lower bound is above the least harm, each metric and key having its part of alpha. Fine: every
   upper bound is below it, after the soak. What cannot be told of a key with enough requests keeps it open.
4. Processes younger than `settle_s` are left out, whichever side they are on.
5. While the old side does worse than the fleet did before the roll, moments are not counted: what is looked
   at for that lies before the moment, so that no observation is chosen by its own value.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf, log, sqrt

from firvane.proxy.rollout.messages import Block, Counts, Finding, Side, Verdict
from firvane.proxy.rollout.plan import Limits

LEAST = 10  # observations: fewer tell nothing of their own scatter
SLOPE_S = 10.0  # from one look at memory and descriptors to the next
RECENT = 5  # moments by which the fleet is held against before
QUANTILE = 0.9  # of the old side's latencies, above which an answer is slow
FADES = 0.9  # of those latencies from moment to moment
STEADY = 0.05  # the least scatter of CPU a request, as a part of it
JERKS = 0.5  # the least scatter of a slope, in harms that count

Sums = list[float]  # of one side: events, requests


def in_time_share(blocks: Iterable[Block], least: int = 1) -> float | None:
    """The part of all requests of these blocks that was answered in time; None under `least` requests."""
    taken = in_time = 0
    for block in blocks:
        for key, counts in block.by.items():
            if key.startswith("class:"):
                taken += counts.taken
                in_time += counts.in_time
    return in_time / taken if taken >= max(1, least) else None


def half_width(count: int, alpha: float, planned: int) -> float:
    """Half the width of a confidence sequence in standard deviations of one observation, narrowest for its
    size where `count` is about `planned`."""
    tightness = (-2 * log(alpha) + log(1 - 2 * log(alpha))) / planned
    inner = count * tightness + 1
    return sqrt(2 * inner / (count * count * tightness) * log(sqrt(inner) / alpha))


@dataclass
class _Track:
    """The differences of one metric of one key."""

    least_harm: float
    planned: int  # observations in a soak
    slope: bool = False  # between levels: what one is too high by, the next is too low by
    count: int = 0
    mean: float = 0.0
    squares: float = 0.0  # of what is off the mean
    lagged: float = 0.0  # products of neighbours, each off the mean of its time
    last: float = 0.0
    floor: float = 0.0  # the least variance, the mean over observations
    old: float = 0.0  # the mean of the old side's figure
    new: float = 0.0

    def add(self, old: float, new: float, value: float, floor: float) -> None:
        self.count += 1
        off = value - self.mean
        self.mean += off / self.count
        self.squares += off * (value - self.mean)
        if self.count > 1:
            self.lagged += (self.last - self.mean) * (value - self.mean)
        self.last = value
        self.floor += (floor - self.floor) / self.count
        self.old += (old - self.old) / self.count
        self.new += (new - self.new) / self.count

    def half(self, alpha: float) -> float:
        if self.count < LEAST:
            return inf
        scatter = self.squares / (self.count - 1)
        if scatter:
            # What chance alone shows of neighbours being alike is taken off.
            linger, chance = self.lagged / self.squares, 1 / sqrt(self.count)
            if self.slope and linger < 0:
                linger = max(-0.6, min(0.0, linger + chance))
            else:
                linger = min(0.9, max(0.0, linger - chance))
            scatter *= (1 + linger) / (1 - linger)
        return sqrt(max(scatter, self.floor)) * half_width(self.count, alpha, self.planned)


@dataclass
class _Pool:
    """Requests of one key, by zone and side, until there are enough of them."""

    zones: dict[str, dict[Side, Counts]] = field(default_factory=dict)
    usual: dict[int, float] = field(default_factory=dict)  # the old side's latencies of earlier moments
    events: dict[str, float] = field(default_factory=dict)  # of both sides by metric, for the floor
    requests: float = 0.0
    taken: int = 0  # by the new side

    def put(self, zone: str, side: Side, counts: Counts) -> None:
        sides = self.zones.setdefault(zone, {})
        sides[side] = _sum(sides[side], counts) if side in sides else counts
        if side is Side.NEW:
            self.taken += counts.taken

    def enough(self, least: int) -> bool:
        pairs = [sides for sides in self.zones.values() if len(sides) == 2]
        return bool(pairs) and all(sum(sides[side].taken for sides in pairs) >= least for side in Side)


def _sum(one: Counts, other: Counts) -> Counts:
    latency = dict(one.latency)
    for number, count in other.latency.items():
        latency[number] = latency.get(number, 0) + count
    return Counts(
        one.taken + other.taken,
        one.in_time + other.in_time,
        one.refused + other.refused,
        one.failed + other.failed,
        one.attempts + other.attempts,
        latency,
    )


SHARES: dict[str, Callable[[Counts], float]] = {
    "refused": lambda counts: counts.refused,
    "failed": lambda counts: counts.failed,
    "late": lambda counts: counts.taken - counts.in_time,
    "attempts": lambda counts: counts.attempts,
}
BY_KEY = (*SHARES, "slow")
WHOLE = ("cpu", "memory", "descriptors", "errors")
NAMES = {
    "refused": "the share refused",
    "failed": "the share failed",
    "late": "the share not in time",
    "attempts": "attempts a request",
    "slow": "the share slower than nine in ten of the old",
    "cpu": "CPU seconds a request",
    "memory": "memory's growth in MB a minute",
    "descriptors": "descriptors' growth a minute",
    "errors": "lines of errors a second",
}


class Comparison:
    """One comparison, from `Compare` to the next one or `Stop`. `before`: `in_time_share` before the roll.

    `alone`: in the end no old side is left, and the fleet is held against before.
    """

    def __init__(
        self, limits: Limits, alpha: float, soak_s: float, before: float | None = None, alone: bool = False
    ) -> None:
        self.limits, self.alpha, self.soak_s, self.before, self.alone = limits, alpha, soak_s, before, alone
        self._tracks: dict[tuple[str, str], _Track] = {}
        self._pools: dict[str, _Pool] = {}
        self._old_zones: set[str] = set()
        self._recent: deque[tuple[float, float]] = deque(maxlen=RECENT)  # in time, taken
        self._anchors: dict[str, Block] = {}
        self._anchored = -inf
        self._cpu: list[Block] = []
        self._judged_s = 0.0  # of moments with both sides
        self._alone_s = 0.0  # of moments with the new side alone
        self._struck = False

    # What goes in

    def add(self, moment: Sequence[Block]) -> None:
        """All proxies' blocks that ended at one moment, `block_s` after the last."""
        settled = self.limits.settle_s + self.limits.block_s
        blocks = [block for block in moment if block.up >= settled]
        old = [block for block in blocks if block.side is Side.OLD]
        new = [block for block in blocks if block.side is Side.NEW]
        self._struck = self._is_struck()
        self._note(old or (new if self.alone else []))
        if self._struck:
            return
        if not old or not new:
            if self.alone and new and not any(block.side is Side.OLD for block in moment):
                self._alone_s += self.limits.block_s
            return
        self._judged_s += self.limits.block_s
        self._old_zones.update(block.zone for block in old)
        self._add_keys(blocks)
        self._add_cpu(blocks)
        self._add_errors(old, new)
        self._add_slopes(blocks)

    def _note(self, blocks: Sequence[Block]) -> None:
        """How the fleet does, for the moments after this one."""
        counts = [counts for block in blocks for key, counts in block.by.items() if key.startswith("class:")]
        if counts:
            self._recent.append((sum(c.in_time for c in counts), sum(c.taken for c in counts)))

    def _is_struck(self) -> bool:
        taken = sum(taken for _, taken in self._recent)
        if self.before is None or taken < self.limits.least_requests:
            return False
        return sum(good for good, _ in self._recent) / taken < self.before - self.limits.fleet_harm

    def _add_keys(self, blocks: Sequence[Block]) -> None:
        strange = any(block.zone not in self._old_zones for block in blocks)
        for block in blocks:
            paired = block.zone in self._old_zones
            for key, counts in block.by.items():
                pool = self._pools.setdefault(key, _Pool())
                pool.put(block.zone if paired else "", block.side, counts)
                if strange and block.side is Side.OLD:
                    pool.put("", block.side, counts)
        for key, pool in self._pools.items():
            if pool.enough(self.limits.least_requests):
                self._observe(key, pool)

    def _observe(self, key: str, pool: _Pool) -> None:
        """One observation of each metric of a key."""
        pairs = [(s[Side.OLD], s[Side.NEW]) for s in pool.zones.values() if len(s) == 2]
        pairs = [(old, new) for old, new in pairs if old.taken and new.taken]
        pool.requests += sum(old.taken + new.taken for old, new in pairs)
        for metric, of in SHARES.items():
            self._share(key, metric, pool, [(of(o), o.taken, of(n), n.taken) for o, n in pairs])
        if pool.usual:
            limit = _quantile(pool.usual)
            slow = [(_above(old, limit), _above(new, limit)) for old, new in pairs]
            told = [(a, n, b, m) for (a, n), (b, m) in slow if n and m]
            if told:
                self._share(key, "slow", pool, told)
        pool.usual = {number: count * FADES for number, count in pool.usual.items() if count > 1e-3}
        for old, _ in pairs:
            for number, count in old.latency.items():
                pool.usual[number] = pool.usual.get(number, 0.0) + count
        pool.zones.clear()

    def _share(
        self, key: str, metric: str, pool: _Pool, pairs: Sequence[tuple[float, int, float, int]]
    ) -> None:
        """`pairs`: events and requests of the old, then of the new side, of each zone."""
        weights = [n * m / (n + m) for _, n, _, m in pairs]
        whole = sum(weights)
        old = sum(w * a / n for w, (a, n, _, _) in zip(weights, pairs, strict=True)) / whole
        new = sum(w * b / m for w, (_, _, b, m) in zip(weights, pairs, strict=True)) / whole
        events = pool.events[metric] = pool.events.get(metric, 0.0) + sum(a + b for a, _, b, _ in pairs)
        part = (events + 1) / (pool.requests + 2)
        if metric == "attempts":
            part = abs(part - 1) + 1 / pool.requests  # beyond the first one
        # With weights n m / (n + m) the variance of the weighted difference is p (1 - p) over their sum.
        floor = (part * (1 - part) if part < 0.5 else 0.25 + part) / whole
        self._track(metric, key).add(old, new, new - old, floor)

    def _add_cpu(self, blocks: Sequence[Block]) -> None:
        self._cpu += blocks
        sides = {side: [block for block in self._cpu if block.side is side] for side in Side}
        taken = {side: sum(map(_taken, blocks)) for side, blocks in sides.items()}
        if min(taken.values()) < self.limits.least_requests:
            return
        self._cpu = []
        old, new = (sum(b.use.cpu_s for b in sides[side]) / taken[side] for side in (Side.OLD, Side.NEW))
        if old > 0:
            self._track("cpu", "").add(old, new, new / old - 1, STEADY**2)

    def _add_errors(self, old: Sequence[Block], new: Sequence[Block]) -> None:
        span = self.limits.block_s
        before, after = (sum(b.use.errors for b in side) / len(side) / span for side in (old, new))
        track = self._track("errors", "")
        seen = (track.old + track.new) * track.count + before + after
        rate = (seen + 1 / span) / (2 * (track.count + 1))
        track.add(before, after, after - before, rate / span * (1 / len(old) + 1 / len(new)))

    def _add_slopes(self, blocks: Sequence[Block]) -> None:
        at = blocks[0].at
        if at - self._anchored < SLOPE_S - 1e-6:
            return
        anchors, self._anchors, self._anchored = self._anchors, {b.proxy: b for b in blocks}, at
        for metric, of in (
            ("memory", lambda block: block.use.rss_mb),
            ("descriptors", lambda block: float(block.use.descriptors)),
        ):
            slopes: dict[Side, list[float]] = {Side.OLD: [], Side.NEW: []}
            for block in blocks:
                was = anchors.get(block.proxy)
                if was and block.side is was.side and block.up > was.up:  # the same process
                    slopes[block.side].append((of(block) - of(was)) * 60 / (block.at - was.at))
            if all(slopes.values()):
                old, new = (sum(s) / len(s) for s in (slopes[Side.OLD], slopes[Side.NEW]))
                track = self._track(metric, "")
                track.add(old, new, new - old, (JERKS * track.least_harm) ** 2)

    def _track(self, metric: str, key: str) -> _Track:
        track = self._tracks.get((metric, key))
        if track is None:
            harm: float = getattr(self.limits.harms, metric)
            if key.startswith("tenant:"):
                harm = min(0.5, harm * self.limits.tenant_times)
            slope = metric in ("memory", "descriptors")
            planned = max(LEAST, round(self.soak_s / (SLOPE_S if slope else self.limits.block_s)))
            track = self._tracks[metric, key] = _Track(harm, planned, slope)
        return track

    # What comes out

    def verdict(self) -> Finding:
        """What can be said by now."""
        if self._struck:
            return Finding(
                Verdict.CANNOT_TELL,
                f"the old side does worse than the fleet before the roll ({self.before:.1%} in time): "
                "nothing is judged meanwhile",
            )
        # Each metric of each key that there is, observed by now or not, and the metrics of the process.
        alpha = self.alpha / max(1, len(BY_KEY) * len(self._pools) + len(WHOLE))
        found = [(t.mean - t.half(alpha), name, t) for name, t in self._tracks.items() if t.count >= LEAST]
        worse = [one for one in found if one[0] > one[2].least_harm]
        if worse:
            bound, name, track = max(worse, key=lambda one: one[0] / one[2].least_harm)
            return _finding(Verdict.WORSE, name, track, bound)
        return self._fine_or_not()

    def _fine_or_not(self) -> Finding:
        if self.alone and self._alone_s >= self.soak_s:
            return Finding(
                Verdict.FINE, "no old proxy is left, and the fleet does as well as before the roll"
            )
        if self._judged_s < self.soak_s:
            soaked = f"{self._judged_s:.0f} of {self.soak_s:.0f} s are judged"
            return Finding(Verdict.CANNOT_TELL, soaked)
        small = {key for key, pool in self._pools.items() if pool.taken < self.limits.least_key}
        told = [key for key in self._pools if key not in small]
        if not any(key.startswith("class:") for key in told):
            return Finding(Verdict.CANNOT_TELL, "the new side has had too few requests of every class")
        # Latencies that nobody tells are no reason to wait.
        wanted = [(metric, key) for key in told for metric in SHARES]
        wanted += [name for name, track in self._tracks.items() if name[1] not in small and track.count]
        uppers = []
        for name in dict.fromkeys(wanted):
            track = self._tracks.get(name) or self._track(*name)
            uppers.append((track.mean + track.half(self.limits.unsure), name, track))
        bound, name, track = max(uppers, key=lambda one: one[0] / one[2].least_harm)
        if bound < track.least_harm:
            finding = _finding(Verdict.FINE, name, track, bound)
            if small:
                few = ", ".join(sorted(small))
                finding = Finding(finding.verdict, f"{finding.why}; too few requests of {few}")
            return finding
        return _finding(Verdict.CANNOT_TELL, name, track, bound)

    def figures(self) -> Mapping[tuple[str, str], tuple[float, float, float, float]]:
        """Old, new, and the bounds of the difference at alpha, by metric and key: for the report."""
        alpha = self.alpha / max(1, len(BY_KEY) * len(self._pools) + len(WHOLE))
        told = ((name, t, t.half(alpha)) for name, t in self._tracks.items())
        return {name: (t.old, t.new, t.mean - half, t.mean + half) for name, t, half in told}


def _taken(block: Block) -> int:
    return sum(counts.taken for key, counts in block.by.items() if key.startswith("class:"))


def _quantile(latencies: Mapping[int, float]) -> int:
    """The bucket that the quantile lies in."""
    rest = (1 - QUANTILE) * sum(latencies.values())
    for number in sorted(latencies, reverse=True):
        rest -= latencies[number]
        if rest < 0:
            return number
    return min(latencies)


def _above(counts: Counts, limit: int) -> tuple[int, int]:
    return sum(n for b, n in counts.latency.items() if b > limit), sum(counts.latency.values())


def _finding(verdict: Verdict, name: tuple[str, str], track: _Track, bound: float) -> Finding:
    metric, key = name
    of = f" of {key.replace(':', ' ', 1)}" if key else ""
    what = f"{NAMES[metric]}{of}: old {track.old:.4g}, new {track.new:.4g}"
    match verdict:
        case Verdict.WORSE:
            why = f"{what}, worse by more than {bound:.4g} for sure; {track.least_harm:.4g} counts"
        case Verdict.FINE:
            why = f"no metric is worse by as much as counts; nearest {what}, at most {bound:.4g} worse"
        case _:
            may = f"may be worse by {bound:.4g}" if bound < inf else "too few observations"
            why = f"{what}, {may}; {track.least_harm:.4g} counts"
    return Finding(verdict, why, metric, key, track.old, track.new, bound, track.least_harm)
