"""The rule for repeats of requests, counted over every window, whoever sent what."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass

BACK = (0.0, 0.5, 1.0)  # windows by which the window in which requests are counted may lie earlier


@dataclass(frozen=True, slots=True)
class RetryRule:
    """At most `ratio` x requests + `slack` repeats in any `window` seconds, over all routers."""

    ratio: float
    slack: float
    window: float

    def worst_excess(self, requests: Sequence[float], repeats: Sequence[float]) -> float:
        """How far the repeats of any window exceed what the rule allows there; both are sorted times in s."""
        worst = -self.slack
        for first in repeats:
            most = max(self._count(requests, first - back * self.window) for back in BACK)
            worst = max(worst, self._count(repeats, first) - self.ratio * most - self.slack)
        return worst

    def _count(self, times: Sequence[float], start: float) -> int:
        return bisect_left(times, start + self.window) - bisect_left(times, start)
