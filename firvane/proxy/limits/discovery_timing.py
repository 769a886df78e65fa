"""When a proxy calls for its endpoint list, and when a call or a watch times out.

Invariants:

1. Where the list is pushed, the agent that answers is on the proxy's own machine: a call costs nothing, and
   a failed one is repeated soon, since the list binds a proxy whether it has received it or not.
2. Where the list is polled, one service answers the whole fleet at a limited rate; a call that waits too
   long in its queue fails, and has cost as much. So the calls of a fleet that starts together are spread
   over a span that grows with its size up to `MAX_SPREAD_S`; each backoff is twice the last. All are drawn,
   so that proxies that failed together do not call together again.
3. A proxy that knows no list calls at once.
4. A watch that has brought a line times out `WATCH_TIMEOUT_S` after its last one. Discovery writes one
   every 2 s, and what is missed binds 6 s later: two lines are missed by then, and more than a second is
   left to receive it on another watch.
5. Where calls cost nothing, the agent answers at once. A call without a byte for `FIRST_BYTE_TIMEOUT_S` is
   replaced at once, without a backoff: the agent may have lost what was asked while discovery was down, and
   what it gets on its return binds at once.
6. A response that has begun there, without a complete line, may stall for `FIRST_BYTE_TIMEOUT_S`; each
   further one for twice as long, up to `WATCH_TIMEOUT_S`, so that a slow agent is received in the end.
   Whoever has a list to start with waits no longer than `FIRST_BYTE_TIMEOUT_S` in any case.
7. Where calls cost, a call may wait in the service's queue: it has `WATCH_TIMEOUT_S` from its start.
8. Any line, even an empty one, is a response: the next failure counts as the first.
9. A change binds 6 s after discovery has it and could be reached. So no backoff is longer than
   `MAX_SPREAD_S`, nor the span of a fleet, however large: that leaves a call the time that it may wait.
   After a timeout, which has taken most of those 6 s, the backoff starts anew.
"""

from __future__ import annotations

import random
from typing import NamedTuple

FIRST_BACKOFF_S = 0.1  # where calls cost nothing
MAX_BACKOFF_S = 0.2  # there; a drain's grace may be as short as a quarter of a second
FIRST_BYTE_TIMEOUT_S = 0.2  # of a call that costs nothing
WATCH_TIMEOUT_S = 4.5  # without a line, empty or not
SPREAD_PER_PROXY_S = 0.1  # of a fleet's calls, where one service answers them all
MAX_SPREAD_S = 3.0  # of a fleet's calls, and between two calls, there
MIN_JITTER = 0.5  # of a backoff


class WatchProgress(NamedTuple):
    """What was received on one watch, as times on the loop's clock in seconds; None: nothing yet."""

    started_at: float  # the call started
    requested_at: float | None  # it was connected, and the request was sent
    last_byte_at: float | None  # the last byte was received
    last_line_at: float | None  # the last complete line was received

    def sent_at(self) -> float:
        """When the call was sent, as far as is known."""
        return self.started_at if self.requested_at is None else self.requested_at


class DiscoveryBackoff:
    """How long to wait before each call, and for its response."""

    def __init__(self, fleet: int, rng: random.Random) -> None:
        """`fleet` proxies call one service, or 0 where calls cost nothing; `rng` draws the jitter."""
        self.span, self.rng = min(SPREAD_PER_PROXY_S * fleet, MAX_SPREAD_S), rng
        self.reset()

    def reset(self) -> None:
        """A call was answered: the next failure counts as the first."""
        self.backoff_s = self.span or FIRST_BACKOFF_S
        self.stall_timeout_s = FIRST_BYTE_TIMEOUT_S  # s for which a response may stall before its first line

    def first_delay(self, known: bool) -> float:
        """Seconds before the first call; `known` where some list is known already."""
        return self.rng.uniform(0.0, self.span) if known else 0.0

    def next_delay(self, timed_out: bool = False) -> float:
        """Seconds after a failed call or a broken watch; `timed_out`: it was given up for its timeout."""
        if timed_out and not self.span:
            return 0.0
        if timed_out:
            self.backoff_s = self.span
        backoff_s, most = self.backoff_s, MAX_SPREAD_S if self.span else MAX_BACKOFF_S
        self.backoff_s = min(most, 2.0 * backoff_s)
        return backoff_s * self.rng.uniform(MIN_JITTER, 1.0) if self.span else backoff_s

    def times_out_at(self, progress: WatchProgress) -> float:
        """When a watch on which no more than this was received times out."""
        if progress.last_line_at is not None:
            return progress.last_line_at + WATCH_TIMEOUT_S
        if self.span:
            return progress.started_at + WATCH_TIMEOUT_S
        sent_at = progress.sent_at()
        if progress.last_byte_at is not None:
            return min(progress.last_byte_at + self.stall_timeout_s, sent_at + WATCH_TIMEOUT_S)
        return sent_at + FIRST_BYTE_TIMEOUT_S

    def answer_deadline(self, progress: WatchProgress | None) -> float:
        """Until when the start waits for the first line of a call that costs nothing; 0 for others."""
        return 0.0 if progress is None or self.span else progress.sent_at() + FIRST_BYTE_TIMEOUT_S

    def on_timeout(self, progress: WatchProgress) -> None:
        """A watch timed out on which no more than this was received."""
        if progress.last_line_at is None and progress.last_byte_at is not None:
            self.stall_timeout_s = min(WATCH_TIMEOUT_S, 2.0 * self.stall_timeout_s)
