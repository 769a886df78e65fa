"""The slow start of a backend of unknown capacity: capacity grows in steps while responses are quick.

Invariants:

1. During its slow start only the owner of a backend sends to it. So the owner knows all attempts in flight,
   and adds no estimates of peers.
2. The capacity begins at one attempt in flight. While it is used, each quick response raises it by one, which
   doubles it with each round trip; after the first response that is not quick it grows additively.
3. A response that takes most of the latency target cuts the capacity, at most once per response time; a
   rejection or a failure cuts it more. The capacity never falls below one.
4. Only responses raise the capacity: within any period a backend receives no more attempts than its responses
   in that period, plus its capacity, plus the attempts that clients gave up, each of which cuts the capacity.
   That prevents overload, whatever the backend's size and the restored capacity.
5. The work pace of a backend is the time per unit of work of its last responses. A request that would exceed
   its latency target there is not sent: its response would be useless, and would slow all others. The pace
   decays while no responses arrive: a backend that receives no requests could never show that it is warm.
"""

from __future__ import annotations

from firvane.core import interface as api
from firvane.core.balancing.records import Backend

QUICK_SHARE = 0.55  # of the latency target: faster responses raise the capacity
LATE_SHARE = 0.8  # of the latency target: slower responses cut the capacity
LATE_FACTOR = 0.85  # by which a late response multiplies the capacity
FAILURE_FACTOR = 0.6  # by which a failure or a rejection multiplies it
PACE_DECAY = 0.84  # of the work pace, per window without attempts: halves it in a second
MIN_CUT_INTERVAL_S = 0.1
MIN_USED_SHARE = 0.7  # of the capacity in flight, below which a response does not raise the capacity
PACE_WEIGHT = 0.25  # of one response in the moving average of the work pace
MAX_FIRST_CAPACITY = 8.0  # attempts: bound on a restored capacity at the start
MAX_LATENCY_SHARE = 1.0  # of the latency target: bound on the expected time of a request


def begin(server: Backend, capacity: float = 1.0) -> None:
    """Begin the slow start of a backend with a capacity in attempts, at least 1."""
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
        server: The backend; its `in_flight` no longer counts the attempt.
        request: The request, if it is known.
        latency_target: The latency target of its class, in seconds.
        outcome: How the attempt ended.
        lent: Attempts that peers may have in flight at the backend.
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
        begin(server)  # the process has probably ended: the next response will come from a new one


def _cut(server: Backend, factor: float, duration_s: float, now: float) -> None:
    """Cut the capacity, once for all attempts that were in flight together: their delays have one cause."""
    server.is_stepping = False
    if now >= server.stepped_at + max(
        duration_s, MIN_CUT_INTERVAL_S
    ):  # rejections and resets are instantaneous
        server.stepped_capacity, server.stepped_at = max(1.0, factor * server.stepped_capacity), now


def decay_pace(server: Backend) -> None:
    """Decay the work pace if nothing is in flight; called once per window."""
    if not server.in_flight:
        server.work_pace *= PACE_DECAY


def fits_target(server: Backend, work: float | None, left: float) -> bool:
    """Return whether a request with this amount of work is expected to take at most `left` seconds."""
    return not work or server.work_pace * work <= MAX_LATENCY_SHARE * left
