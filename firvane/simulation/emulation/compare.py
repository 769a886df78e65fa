"""Tests whether two runs differ significantly, from their figures over time.

Invariants of this module:

1. Runs are divided into blocks of `BLOCK` s after the warm-up, so that an effect lasting some seconds is one
   observation. Remaining correlation between successive blocks reduces their effective number.
2. Runs with the same troubles at the same times are compared block by block (paired), so that effects common
   to both cancel out. Otherwise each run contributes its own variance.
3. Runs differ if the 95% confidence interval of the mean difference excludes 0. Fewer than `LEAST` blocks
   are inconclusive.
4. The variance is that within these runs. Another seed affects other backends: rely only on a difference that
   several seeds show.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise
from math import sqrt
from statistics import NormalDist, fmean, variance

from msgspec import Struct

from firvane.simulation.emulation.metrics import OverTime, Series, ServiceResult

BLOCK = 5.0  # s
LEAST = 6  # blocks
Z = NormalDist().inv_cdf(0.975)


class Difference(Struct, frozen=True, kw_only=True):
    """The second run's figure minus the first run's, with its 95% confidence interval."""

    what: str
    unit: str
    first: float
    second: float
    change: float
    low: float
    high: float
    apart: bool | None  # None: the runs are too short to tell

    @property
    def verdict(self) -> str:
        if self.apart is None:
            return "too short to tell"
        if not self.apart:
            return "cannot be told apart"
        return "more" if self.change > 0 else "less"


def differences(
    first: ServiceResult, second: ServiceResult, warm_up: float, paired: bool
) -> list[Difference]:
    """Return the differences of the figures over time; seconds before `warm_up` are left out.

    `paired` means that both runs had the same troubles at the same times.
    """
    a, b = first.over_time, second.over_time
    figures: list[tuple[str, str, Callable[[OverTime], Series]]] = [
        ("service", "", lambda over: over.service),
        ("median latency by second", "ms", lambda over: over.p50_ms),
        ("p99 latency by second", "ms", lambda over: over.p99_ms),
        ("retries by clients", "/s", lambda over: _rates(over, over.again)),
        ("refusals", "/s", lambda over: _rates(over, over.refused)),
        ("attempts by proxies", "/s", lambda over: _rates(over, over.attempts)),
    ]
    found = []
    for what, unit, series in figures:
        one, other = blocks(series(a), a.step_s, warm_up), blocks(series(b), b.step_s, warm_up)
        found.append(_difference(what, unit, one, other, paired))
    return found


def blocks(series: Series, step: float, warm_up: float) -> Series:
    """Return the mean of each block; None for a block without values."""
    by_block: dict[int, list[float]] = {}
    for n, value in enumerate(series):
        if n * step >= warm_up and value is not None:
            by_block.setdefault(int((n * step - warm_up) / BLOCK), []).append(value)
    return [fmean(by_block[n]) if n in by_block else None for n in range(max(by_block, default=-1) + 1)]


def interval(values: list[float]) -> tuple[float, float]:
    """Return the mean and half the width of its 95% confidence interval; at least 2 `values` are needed."""
    mean, spread = fmean(values), variance(values)
    if not spread:
        return mean, 0.0
    correlation = sum((a - mean) * (b - mean) for a, b in pairwise(values))
    correlation = max(0.0, correlation / (len(values) - 1) / spread)
    number = max(3.0, len(values) * (1 - correlation) / (1 + correlation))
    return mean, student(number - 1) * sqrt(spread / number)


def student(degrees_of_freedom: float) -> float:
    """Return the 97.5% quantile of Student's t, by its expansion around the normal quantile."""
    z = Z
    terms = (
        (z**3 + z) / 4,
        (5 * z**5 + 16 * z**3 + 3 * z) / 96,
        (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384,
    )
    return z + sum(term / degrees_of_freedom**n for n, term in enumerate(terms, 1))


def _difference(what: str, unit: str, one: Series, other: Series, paired: bool) -> Difference:
    pairs = [(a, b) for a, b in zip(one, other, strict=False) if a is not None and b is not None]
    a_s, b_s = [a for a, _ in pairs], [b for _, b in pairs]
    if not paired:
        a_s = [value for value in one if value is not None]
        b_s = [value for value in other if value is not None]
    first, second = (fmean(values) if values else 0.0 for values in (a_s, b_s))
    if min(len(a_s), len(b_s)) < LEAST:
        change = second - first
        return Difference(
            what=what,
            unit=unit,
            first=first,
            second=second,
            change=change,
            low=change,
            high=change,
            apart=None,
        )
    if paired:
        change, half = interval([b - a for a, b in pairs])
    else:
        (mean_a, half_a), (mean_b, half_b) = interval(a_s), interval(b_s)
        change, half = mean_b - mean_a, sqrt(half_a**2 + half_b**2)
    low, high = change - half, change + half
    apart = low > 0 or high < 0
    return Difference(
        what=what, unit=unit, first=first, second=second, change=change, low=low, high=high, apart=apart
    )


def _rates(over: OverTime, counts: list[int]) -> Series:
    return [count / over.step_s for count in counts]
