"""The limit on retries in every window, counted over all senders together."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass

WINDOW_OFFSETS = (0.0, 0.5, 1.0)  # in windows: how much earlier than the retries the requests may be counted


@dataclass(frozen=True, slots=True)
class RetryRule:
    """At max_requests `ratio` x requests + `slack` retries in any `window` seconds, over all routers."""

    ratio: float
    slack: float
    window: float

    def worst_excess(self, requests: Sequence[float], retries: Sequence[float]) -> float:
        """The largest excess of retries in any window over its limit; arguments are sorted times in s."""
        worst = -self.slack
        for first in retries:
            max_requests = max(
                self._count(requests, first - offset * self.window) for offset in WINDOW_OFFSETS
            )
            worst = max(worst, self._count(retries, first) - self.ratio * max_requests - self.slack)
        return worst

    def _count(self, times: Sequence[float], start: float) -> int:
        return bisect_left(times, start + self.window) - bisect_left(times, start)
