"""The retry budget of one service: this router's quota of the retries that all routers together may make.

The rule: in any window, the retries of all routers stay below `ratio` x requests + `slack`. A router may be
killed at any moment and loses all counts, so no decision depends on what an earlier process spent:

1. Each router keeps a token bucket. A request adds `ratio` tokens, a retry takes one, and the bucket holds no
   more than the router's quota of the slack.
2. A new process starts with an empty bucket. What its predecessor spent was paid for by the predecessor's own
   requests, or by the tokens of its bucket.
3. The slack is divided by the number of routers that may exist, reachable or not: the largest number known
   within the longest time that a network partition may last (`RouterCount`).

Over any span, and whichever routers are killed in it, the retries are at most `ratio` x the span's requests
plus the tokens in the buckets at its start: at most `CAPACITY_RATIO` x the slack.
"""

from __future__ import annotations

from msgspec import Struct

CAPACITY_RATIO = 0.8  # of the slack that is divided among the routers
MIN_CAPACITY_TOKENS = 1.0  # a smaller bucket never allows a retry
TOKEN_TOLERANCE = 1e-9  # rounding of sums of tokens
ROUTER_COUNT_WINDOW_S = 300.0  # a router that left the membership still counts for this long


class RouterCount:
    """How many routers may spend from one budget: the most that were known within the window."""

    def __init__(self) -> None:
        self._current = 1
        self._former: list[tuple[int, float]] = []  # (larger count, until when it held), largest first

    def record(self, count: int, now: float) -> None:
        """Record that `count` routers are known from now on, this one included."""
        if count < self._current:
            self._former = [each for each in self._former if each[0] > self._current]
            self._former.append((self._current, now))
        self._current = max(1, count)

    def count(self, now: float) -> int:
        """Return the divisor of the slack."""
        while self._former and self._former[0][1] < now - ROUTER_COUNT_WINDOW_S:
            del self._former[0]
        return max(self._current, self._former[0][0] if self._former else 1)


class RetryBudgetMetrics(Struct, frozen=True):
    """Metrics of one budget; the counts are those since the previous metrics."""

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
        """Return the most tokens that the bucket holds."""
        return max(MIN_CAPACITY_TOKENS, CAPACITY_RATIO * self.slack / self.routers.count(now))

    def record_request(self, now: float) -> None:
        """Add the tokens of a new request."""
        self._requests += 1
        self._add(self.ratio, now)

    def allows(self, now: float) -> bool:
        """Return whether one more retry is within the budget, and count a denial."""
        allowed = self.has_token(now)
        self._denied += not allowed
        return allowed

    def has_token(self, now: float) -> bool:
        """Return whether one more retry would be allowed."""
        self._add(0.0, now)
        return self._tokens >= 1.0 - TOKEN_TOLERANCE

    def spend(self) -> None:
        """Take the token of a retry that is sent."""
        self._retries += 1
        self._tokens -= 1.0

    def refund(self, now: float) -> None:
        """Give back the token of a retry that reached no backend."""
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
