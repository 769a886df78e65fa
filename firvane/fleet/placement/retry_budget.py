"""The retry budget of one service: this router's quota of the retries that all routers together may make.

In any window, the retries of all routers must stay below `ratio` x requests + `slack`. A router process may
be killed at any moment and then loses all counts, so that no decision depends on the retries of an earlier
process:

1. Each router keeps a token bucket. A request adds `ratio` tokens, a retry takes one, and the capacity of the
   bucket is the router's quota of the slack.
2. A new process starts with an empty bucket. The retries of its predecessor were paid for by the
   predecessor's own requests, or by the tokens in its bucket.
3. The slack is divided by the number of routers that may exist, reachable or not: the largest number known
   within the longest time that a network partition may last (`RouterCount`).

Over any period, and whichever routers are killed in it, the retries are at most `ratio` x the period's
requests plus the tokens in the buckets at its start, which are at most `CAPACITY_RATIO` x the slack.
"""

from __future__ import annotations

from msgspec import Struct

CAPACITY_RATIO = 0.8  # part of the slack that is divided among the routers
MIN_CAPACITY_TOKENS = 1.0  # a smaller bucket never allows a retry
TOKEN_TOLERANCE = 1e-9  # for rounding errors in sums of tokens
ROUTER_COUNT_WINDOW_S = 300.0  # a router that left the membership still counts for this time


class RouterCount:
    """The number of routers that may spend from one budget: the maximum known within the window."""

    def __init__(self) -> None:
        self._current = 1
        self._former: list[tuple[int, float]] = []  # (larger count, when it became outdated), largest first

    def record(self, count: int, now: float) -> None:
        """Record that `count` routers are known from now on, including this one."""
        if count < self._current:
            self._former = [each for each in self._former if each[0] > self._current]
            self._former.append((self._current, now))
        self._current = max(1, count)

    def count(self, now: float) -> int:
        """Return the number of routers among which the slack is divided."""
        while self._former and self._former[0][1] < now - ROUTER_COUNT_WINDOW_S:
            del self._former[0]
        return max(self._current, self._former[0][0] if self._former else 1)


class RetryBudgetMetrics(Struct, frozen=True):
    """Metrics of one budget; counts are since the previous metrics were taken."""

    tokens: float
    capacity: float
    requests: int
    retries: int
    denied: int


class RetryBudget:
    """A token bucket; each retry takes one token."""

    def __init__(self, ratio: float, slack: float, routers: RouterCount) -> None:
        self.ratio, self.slack, self.routers = ratio, slack, routers
        self._tokens = 0.0
        self._requests = self._retries = self._denied = 0

    def capacity(self, now: float) -> float:
        """Return the capacity of the bucket in tokens."""
        return max(MIN_CAPACITY_TOKENS, CAPACITY_RATIO * self.slack / self.routers.count(now))

    def record_request(self, now: float) -> None:
        """Add the tokens of a new request."""
        self._requests += 1
        self._add(self.ratio, now)

    def allows(self, now: float) -> bool:
        """Return whether the budget allows one more retry; a denial is counted."""
        allowed = self.has_token(now)
        self._denied += not allowed
        return allowed

    def has_token(self, now: float) -> bool:
        """Return whether the budget would allow one more retry, without counting a denial."""
        self._add(0.0, now)
        return self._tokens >= 1.0 - TOKEN_TOLERANCE

    def spend(self) -> None:
        """Take the token of a retry that is sent."""
        self._retries += 1
        self._tokens -= 1.0

    def refund(self, now: float) -> None:
        """Return the token of a retry that reached no backend to the bucket."""
        self._retries -= 1
        self._add(1.0, now)

    def _add(self, tokens: float, now: float) -> None:
        self._tokens = min(self.capacity(now), self._tokens + tokens)  # the capacity may have shrunk

    def take_metrics(self, now: float) -> RetryBudgetMetrics:
        """Return the current metrics and reset the counts."""
        self._add(0.0, now)
        metrics = RetryBudgetMetrics(
            self._tokens, self.capacity(now), self._requests, self._retries, self._denied
        )
        self._requests = self._retries = self._denied = 0
        return metrics
