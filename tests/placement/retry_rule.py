"""The rule for repeats as an oracle: it counts every window, whoever sent what."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryRule:
    """At most `ratio` x requests + `slack` repeats in any `window` seconds, over all routers."""

    ratio: float
    slack: float
    window: float

    def worst_excess(self, requests: Sequence[float], repeats: Sequence[float]) -> float:
        """How far the repeats of any window exceed what the rule allows there; both are sorted times in s."""
        worst = -self.slack
        for end in repeats:
            start = end - self.window + 1e-9
            starts = (start, start - self.window / 2, start - self.window)
            most = max(self._count(requests, each) for each in starts)
            worst = max(worst, self._count(repeats, start) - self.ratio * most - self.slack)
        return worst

    def _count(self, times: Sequence[float], start: float) -> int:
        return bisect_left(times, start + self.window) - bisect_left(times, start)
