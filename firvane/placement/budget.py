"""The retry budget of one service: this router's part of what all routers together may spend.

Within each window of the rule the arrivals beyond the first of each request stay below
`ratio` x requests + `slack`, over all routers. Each router spends at most `ratio` x its own requests and its
part of the slack, with a reserve for routers that start anew and forget what they have spent.
"""

from __future__ import annotations

from dataclasses import dataclass

RESERVE = 0.8  # of the slack that is given out
BUCKETS = 40  # of a window


@dataclass(frozen=True, slots=True)
class BudgetFigures:
    """What one budget has counted, for the log: over the last window, but for `denied`."""

    requests: int
    repeats: int
    allowed: float
    routers: int  # that the slack is divided by
    denied: int  # repeats that were not allowed since the last look


class RetryBudget:
    """Counts requests and repeats by time. `window` in seconds."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio, self.slack = ratio, slack
        self.span = window / BUCKETS
        self.requests = [0] * BUCKETS
        self.repeats = [0] * (BUCKETS + 1)  # one more: counted at least as long as the window
        self.routers = 1
        self.denied = 0
        self._last = 0

    def note_request(self, now: float) -> None:
        self._advance(now)
        self.requests[self._last % BUCKETS] += 1

    def allows(self, now: float) -> bool:
        """Whether one more repeat is within the budget."""
        self._advance(now)
        allowed = sum(self.repeats) + 1 <= self._most()
        self.denied += not allowed
        return allowed

    def _most(self) -> float:
        return self.ratio * sum(self.requests) + RESERVE * self.slack / self.routers

    def take_figures(self, now: float) -> BudgetFigures:
        """The figures of this moment; the count of what was denied begins anew."""
        self._advance(now)
        denied, self.denied = self.denied, 0
        return BudgetFigures(sum(self.requests), sum(self.repeats), self._most(), self.routers, denied)

    def spend(self, now: float) -> None:
        self._advance(now)
        self.repeats[self._last % (BUCKETS + 1)] += 1

    def refund(self, now: float) -> None:
        """A repeat reached no backend."""
        self._advance(now)
        place = self._last % (BUCKETS + 1)
        if self.repeats[place]:
            self.repeats[place] -= 1

    def _advance(self, now: float) -> None:
        """Clear the buckets that have passed since the last call."""
        number = int(now / self.span)
        if number <= self._last:
            return
        for passed in range(max(self._last + 1, number - BUCKETS), number + 1):
            self.requests[passed % BUCKETS] = 0
            self.repeats[passed % (BUCKETS + 1)] = 0
        self._last = number
