"""When a proxy requests its endpoint list, and when a request or a watch times out.

Invariants:

1. Where the list is pushed, an agent on the proxy's own machine answers: requests are free, and a failed one
   is repeated soon, since the list binds a proxy whether or not it was received.
2. Where the list is polled, one service answers the whole fleet at a limited rate; a request that waits too
   long in its queue fails, at the same cost. So the requests of a fleet that starts together are spread over
   a span that grows with the size of the fleet up to `MAX_SPREAD_S`, and each backoff is twice the last. All
   are jittered, so that proxies that failed together do not retry together.
3. A proxy that knows no list requests one at once.
4. A watch that has received a line times out `WATCH_TIMEOUT_S` after its last one. Discovery writes one every
   2 s, and a missed change binds 6 s later: at the timeout two lines are missed, and more than a second is
   left to receive the change on another watch.
5. Where requests are free, the agent answers at once. A request without a byte for `FIRST_BYTE_TIMEOUT_S` is
   replaced without a backoff: the agent may have lost it while discovery was down, and a change that it
   receives on discovery's return binds at once.
6. A response that has begun there, without a complete line, may stall for `FIRST_BYTE_TIMEOUT_S`; each
   further one for twice as long, up to `WATCH_TIMEOUT_S`, so that a slow agent's response is received in the
   end. A proxy that starts with a stored list waits no longer than `FIRST_BYTE_TIMEOUT_S` in any case.
7. Where requests are not free, one may wait in the service's queue: it has `WATCH_TIMEOUT_S` from its start.
8. Any line, even an empty one, is a response: the next failure counts as the first.
9. A change binds 6 s after discovery has it and is reachable. So neither a backoff nor the spread of a fleet
   exceeds `MAX_SPREAD_S`, however large the fleet: that leaves a request its waiting time. After a timeout,
   which has used up most of those 6 s, the backoff starts from its first value.
"""

from __future__ import annotations

import random
from typing import NamedTuple

FIRST_BACKOFF_S = 0.1  # where requests are free
MAX_BACKOFF_S = 0.2  # where requests are free; the grace time of a drain may be as short as 0.25 s
FIRST_BYTE_TIMEOUT_S = 0.2  # of a free request
WATCH_TIMEOUT_S = 4.5  # without a line, empty or not
SPREAD_PER_PROXY_S = 0.1  # of a fleet's requests, where one service answers them all
MAX_SPREAD_S = 3.0  # the same in total; also the longest backoff there
MIN_JITTER = 0.5  # least fraction of a backoff that is waited


class WatchProgress(NamedTuple):
    """The progress of one watch, as times on the loop's clock in seconds; None: not yet."""

    started_at: float  # the connection attempt started
    requested_at: float | None  # connected, and the request sent
    last_byte_at: float | None  # the last byte was received
    last_line_at: float | None  # the last complete line was received

    def sent_at(self) -> float:
        """Return when the request was sent, or else when the connection attempt started."""
        return self.started_at if self.requested_at is None else self.requested_at


class DiscoveryBackoff:
    """How long to wait before each request, and for its response."""

    def __init__(self, fleet: int, rng: random.Random) -> None:
        """`fleet` proxies poll one service, or 0 where requests are free; `rng` draws the jitter."""
        self.span, self.rng = min(SPREAD_PER_PROXY_S * fleet, MAX_SPREAD_S), rng
        self.reset()

    def reset(self) -> None:
        """Reset the backoff after an answered request: the next failure counts as the first."""
        self.backoff_s = self.span or FIRST_BACKOFF_S
        self.stall_timeout_s = FIRST_BYTE_TIMEOUT_S  # for a response before its first line

    def first_delay(self, known: bool) -> float:
        """Return the seconds before the first request; `known`: whether some list is known already."""
        return self.rng.uniform(0.0, self.span) if known else 0.0

    def next_delay(self, timed_out: bool = False) -> float:
        """Return the backoff in seconds after a failure of a request or watch; `timed_out`: it timed out."""
        if timed_out and not self.span:
            return 0.0
        if timed_out:
            self.backoff_s = self.span
        backoff_s, max_backoff_s = self.backoff_s, MAX_SPREAD_S if self.span else MAX_BACKOFF_S
        self.backoff_s = min(max_backoff_s, 2.0 * backoff_s)
        return backoff_s * self.rng.uniform(MIN_JITTER, 1.0) if self.span else backoff_s

    def times_out_at(self, progress: WatchProgress) -> float:
        """Return when a watch with this progress times out."""
        if progress.last_line_at is not None:
            return progress.last_line_at + WATCH_TIMEOUT_S
        if self.span:
            return progress.started_at + WATCH_TIMEOUT_S
        sent_at = progress.sent_at()
        if progress.last_byte_at is not None:
            return min(progress.last_byte_at + self.stall_timeout_s, sent_at + WATCH_TIMEOUT_S)
        return sent_at + FIRST_BYTE_TIMEOUT_S

    def answer_deadline(self, progress: WatchProgress | None) -> float:
        """Return until when the start waits for the first line of a free request; 0 for others."""
        return 0.0 if progress is None or self.span else progress.sent_at() + FIRST_BYTE_TIMEOUT_S

    def on_timeout(self, progress: WatchProgress) -> None:
        """Handle the timeout of a watch with this progress."""
        if progress.last_line_at is None and progress.last_byte_at is not None:
            self.stall_timeout_s = min(WATCH_TIMEOUT_S, 2.0 * self.stall_timeout_s)
