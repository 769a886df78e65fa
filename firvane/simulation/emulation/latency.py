"""Latencies of served requests: a histogram of the whole run, and quantiles by second."""

from __future__ import annotations

from array import array
from math import ceil

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from firvane.simulation.emulation.metrics import Series

LONGEST = 10_000_000  # µs; greater latencies are recorded as this
DIGITS = 3  # significant digits of the histogram
NAMED = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99.9": 99.9}
CURVE = (0.0, 10.0, 20.0, 30.0, 40.0, 50.0, 60.0, 70.0, 80.0, 85.0, 90.0, 92.5, 95.0, 96.0, 97.0, 98.0, 98.5,
         99.0, 99.25, 99.5, 99.7, 99.8, 99.9, 99.95, 99.98, 99.99)  # fmt: skip
SETTLED = 60  # s after which no more latencies of a second are added


def quantile(ordered: list[int], part: float) -> float:
    """Return the least of the values that at least the part `part` of them doesn't exceed."""
    return float(ordered[max(0, ceil(len(ordered) * part) - 1)])


class Latencies:
    """Latencies by planned send time; they may be added out of order."""

    def __init__(self, warm_up: float) -> None:
        self.warm_up = warm_up
        self.whole = HdrHistogram(1, LONGEST, DIGITS)
        self._seconds: dict[int, array[int]] = {}  # µs, of seconds that may still get latencies
        self._settled: dict[int, tuple[float, float]] = {}  # p50 and p99 in ms

    def add(self, meant: float, took: float) -> None:
        micros = min(LONGEST, max(1, round(took * 1e6)))
        if meant >= self.warm_up:
            self.whole.record_value(micros)
        second = int(max(0.0, meant))
        if second not in self._seconds:
            self._settle(second - SETTLED)
            self._seconds[second] = array("l")
        self._seconds[second].append(micros)

    def p99_ms(self) -> float:
        return float(self.whole.get_value_at_percentile(99.0)) / 1e3 if self.whole.get_total_count() else 0.0

    def percentiles(self) -> dict[str, float]:
        """Return percentiles in ms, by name; empty if no request was served."""
        if not self.whole.get_total_count():
            return {}
        named = {name: self.whole.get_value_at_percentile(part) / 1e3 for name, part in NAMED.items()}
        return {**named, "max": self.whole.get_max_value() / 1e3}

    def curve(self) -> list[tuple[float, float]]:
        """Return pairs of percentile and ms, as far as there are enough latencies for the percentile."""
        count = self.whole.get_total_count()
        enough = [part for part in CURVE if count * (1 - part / 100) >= 1]
        return [(part, self.whole.get_value_at_percentile(part) / 1e3) for part in enough]

    def series(self, seconds: int, per: int) -> tuple[Series, Series]:
        """Return p50 and p99 in ms by step of `per` seconds: the median p50 and the worst p99 of a step."""
        self._settle(1 << 62)
        middles: Series = []
        worst: Series = []
        for begin in range(0, seconds, per):
            there = [self._settled[n] for n in range(begin, begin + per) if n in self._settled]
            middles.append(sorted(p50 for p50, _ in there)[len(there) // 2] if there else None)
            worst.append(max(p99 for _, p99 in there) if there else None)
        return middles, worst

    def _settle(self, before: int) -> None:
        for second in [second for second in self._seconds if second < before]:
            ordered = sorted(self._seconds.pop(second))
            self._settled[second] = quantile(ordered, 0.5) / 1e3, quantile(ordered, 0.99) / 1e3
