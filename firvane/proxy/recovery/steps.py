"""The slow start of a backend of unknown capacity: capacity grows in steps while responses are quick.

Invariants:

1. A backend has one sender while its capacity is found, its owner. So what is in flight there is known here,
   and no estimate of a peer is added to it.
2. It begins with one attempt in flight. Each quick response while its capacity is used allows one more, which
   doubles the capacity with each round trip; after the first response that is not quick it grows additively.
3. A response that takes most of the latency target cuts the capacity, once in the time that a response takes;
   a rejection and a failure cut it deeper. It never falls below one.
4. Only responses count: within any time a backend is sent no more than it has answered in it, its capacity,
   and what clients gave up, each of which cuts the capacity. That keeps it from being overloaded, whatever
   its size, and whatever was restored of it.
5. The work pace of a backend is what its last responses took for their work. A request that would exceed its
   latency target there is not sent: its response is worth nothing, and would slow all others. That holds for
   as long as responses come: a backend that nothing is sent to would never show that it has warmed up.
"""

from __future__ import annotations

from firvane.core import interface as api
from firvane.core.balancing.records import Backend

QUICK_SHARE = 0.55  # of the latency target: a response up to it allows more
LATE_SHARE = 0.8  # of the latency target: a response above it cuts the capacity
LATE_FACTOR = 0.85  # what a late response leaves of the capacity
FAILURE_FACTOR = 0.6  # what a failure or a rejection leaves of it
PACE_DECAY = 0.84  # of the work pace, in a window without attempts: half of it after a second
MIN_CUT_INTERVAL_S = 0.1
MIN_USED_SHARE = 0.7  # of the capacity in flight, for a response to say anything of it
PACE_WEIGHT = 0.25  # of one response in the work pace
MAX_FIRST_CAPACITY = 8.0  # attempts that a backend may begin with, whatever was restored
MAX_LATENCY_SHARE = 1.0  # of the latency target that a request may be expected to take


def begin(server: Backend, capacity: float = 1.0) -> None:
    """Begin the slow start of a backend, with a capacity of so many attempts."""
    server.stepped_capacity, server.is_stepping, server.stepped_at, server.work_pace = (
        max(1.0, capacity),
        True,
        0.0,
        0.0,
    )
    server.capacity = server.stepped_capacity


def on_attempt_ended(
    server: Backend,
    request: api.Request | None,
    latency_target: float,
    outcome: api.Outcome,
    lent: int,
    now: float,
) -> None:
    """Adapt the capacity to the end of an attempt.

    Args:
        server: The backend, whose `in_flight` does not count the attempt any more.
        request: The request, where it is known.
        latency_target: The latency target of its class, in seconds.
        outcome: How the attempt ended.
        lent: How many attempts peers may have in flight there.
        now: The current time, in seconds.
    """
    if outcome.result is api.Result.OK:
        if request and request.work:
            ratio = outcome.duration / request.work
            server.work_pace += (PACE_WEIGHT if server.work_pace else 1.0) * (ratio - server.work_pace)
        if outcome.duration <= QUICK_SHARE * latency_target:
            if server.in_flight + lent + 1 >= MIN_USED_SHARE * server.stepped_capacity:
                server.stepped_capacity += 1.0 if server.is_stepping else 1.0 / server.stepped_capacity
        elif outcome.duration > LATE_SHARE * latency_target:
            _cut(server, LATE_FACTOR, outcome.duration, now)
        else:
            server.is_stepping = False
    elif outcome.result in (api.Result.OVERLOADED, api.Result.TIMEOUT, api.Result.CONNECTIONS_FULL):
        _cut(server, FAILURE_FACTOR, outcome.duration, now)
    elif outcome.result in (api.Result.CONNECT_FAILED, api.Result.RESET):
        begin(server)  # whatever it was, another process answers next


def _cut(server: Backend, factor: float, duration_s: float, now: float) -> None:
    """Cut the capacity, once for all that was in flight together: they were late together."""
    server.is_stepping = False
    if now >= server.stepped_at + max(duration_s, MIN_CUT_INTERVAL_S):  # rejections and resets take no time
        server.stepped_capacity, server.stepped_at = max(1.0, factor * server.stepped_capacity), now


def decay_pace(server: Backend) -> None:
    """Once a window: decay the work pace where nothing is in flight."""
    if not server.in_flight:
        server.work_pace *= PACE_DECAY


def fits_target(server: Backend, work: float | None, left: float) -> bool:
    """Whether a request of so much work is expected to take no more than `left` seconds."""
    return not work or server.work_pace * work <= MAX_LATENCY_SHARE * left
