"""The retry budget of one service: this router's part of what all routers together may spend.

In any window the arrivals beyond the first of each request must stay below `ratio` x requests + `slack`,
over all routers. A router may be killed at any moment, and forgets all that it has counted. So nothing here
depends on what was spent before:

1. Each router keeps a bucket of tokens. A request puts `ratio` tokens in, a repeat takes one out, and no more
   are kept than the router's part of the slack.
2. A new process begins with an empty bucket. Whatever the process before it has spent, its own requests had
   paid for, or the tokens that it kept.
3. The slack is divided by all routers that may be there, heard or not: by the most that were known at once
   for as long as a partition may last (`Sharers`).

Over any span, and whoever is killed in it, the repeats are at most `ratio` x the requests in it, and the
tokens that were kept when it began: at most `RESERVE` x the slack.
"""

from __future__ import annotations

from msgspec import Struct

RESERVE = 0.8  # of the slack that is given out
LEAST_CAPACITY = 1.0  # tokens: a bucket that holds less never allows a repeat
ROUNDING = 1e-9  # of sums of tokens
SHARER_MEMORY = 300.0  # s for which a router that has left the membership still counts as one that may spend


class Sharers:
    """How many routers may spend from one budget: the most that were known at once within the memory."""

    def __init__(self) -> None:
        self._known = 1
        self._former: list[tuple[int, float]] = []  # larger counts, and until when they held; largest first

    def note(self, count: int, now: float) -> None:
        """So many routers are known from now on, this one included."""
        if count < self._known:
            self._former = [each for each in self._former if each[0] > self._known]
            self._former.append((self._known, now))
        self._known = max(1, count)

    def count(self, now: float) -> int:
        """The divisor of the slack."""
        while self._former and self._former[0][1] < now - SHARER_MEMORY:
            del self._former[0]
        return max(self._known, self._former[0][0] if self._former else 1)


class BudgetFigures(Struct, frozen=True):
    """What one budget tells the log; the counts are since the last look."""

    tokens: float
    capacity: float
    requests: int
    repeats: int
    denied: int  # repeats that were not allowed


class RetryBudget:
    """A bucket of tokens, one for each repeat that may be made."""

    def __init__(self, ratio: float, slack: float, sharers: Sharers) -> None:
        self.ratio, self.slack, self.sharers = ratio, slack, sharers
        self._tokens = 0.0
        self._requests = self._repeats = self._denied = 0

    def capacity(self, now: float) -> float:
        """The most tokens that are kept."""
        return max(LEAST_CAPACITY, RESERVE * self.slack / self.sharers.count(now))

    def note_request(self, now: float) -> None:
        """A request has come: it pays for a part of a repeat."""
        self._requests += 1
        self._add(self.ratio, now)

    def allows(self, now: float) -> bool:
        """Whether one more repeat is within the budget; a no is counted."""
        allowed = self.has_token(now)
        self._denied += not allowed
        return allowed

    def has_token(self, now: float) -> bool:
        """Whether one more repeat would be allowed."""
        self._add(0.0, now)
        return self._tokens >= 1.0 - ROUNDING

    def spend(self, now: float) -> None:
        """A repeat goes out."""
        self._repeats += 1
        self._tokens -= 1.0

    def refund(self, now: float) -> None:
        """A repeat reached no backend."""
        self._repeats -= 1
        self._add(1.0, now)

    def _add(self, tokens: float, now: float) -> None:
        """Put tokens in; the capacity may also have become smaller."""
        self._tokens = min(self.capacity(now), self._tokens + tokens)

    def take_figures(self, now: float) -> BudgetFigures:
        """The figures of this moment; the counts begin anew."""
        self._add(0.0, now)
        figures = BudgetFigures(self._tokens, self.capacity(now), self._requests, self._repeats, self._denied)
        self._requests = self._repeats = self._denied = 0
        return figures
