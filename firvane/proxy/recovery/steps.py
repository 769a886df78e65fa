"""The room of a box that nobody knows, found by steps while answers are quick.

Rules that hold here and nowhere else:

1. A box has one sender while its room is found, its home. So what is out there is what is known here, and no
   peer's guess comes on top.
2. It begins with one attempt out. Each quick answer while its room is used allows one more, which doubles
   the room with each round trip; after the first answer that is not quick it grows by a part of one.
3. An answer that takes most of the aim cuts the room, once in the time that an answer takes; a turn-away and
   a failure cut it deeper. It never falls under one.
4. Nothing is counted on but answers: within any time a box is sent no more than it has answered in it, its
   room, and what clients gave up, each of which cuts the room. That is what keeps it under the rule on
   falling boxes, whatever its size, and whatever was remembered of it.
5. What a box needs for a piece of work is what its last answers took for theirs. A request that would take
   more than its aim there is not sent: its answer is worth nothing, and would slow all others. That is
   believed for as long as answers come: a box that nothing is sent to would never show that it has warmed.
"""

from __future__ import annotations

from firvane.core import interface as api
from firvane.core.balancing.records import Backend

QUICK, LATE = 0.55, 0.8  # of the aim: an answer's time that allows more, and that is too much
CUT, DEEP = 0.85, 0.6  # what an answer that is late leaves of a room; what a failure or a turn-away does
FADES = 0.84  # what is left of that after a window without attempts there: half of it after a second
APART = 0.1  # s from one cut to the next at the least
USED = 0.7  # part of the room that has to be out for an answer to say anything of it
PACE = 0.25  # how far one answer moves the time that a second of work is thought to take
MOST_FIRST = 8.0  # attempts that a room may begin with, whatever was remembered
FITS = 1.0  # of the aim that a request may be expected to take


def begin(server: Backend, room: float = 1.0) -> None:
    """Its room is not known, or known as `room` from before."""
    server.stepped_capacity, server.is_stepping, server.stepped_at, server.work_pace = (
        max(1.0, room),
        True,
        0.0,
        0.0,
    )
    server.capacity = server.stepped_capacity


def ended(
    server: Backend, request: api.Request | None, aim: float, outcome: api.Outcome, lent: int, now: float
) -> None:
    """Follow the room from the end of an attempt; `own` does not count it any more, and `lent` is what
    others may have out there."""
    if outcome.result is api.Result.OK:
        if request and request.work:
            ratio = outcome.duration / request.work
            server.work_pace += (PACE if server.work_pace else 1.0) * (ratio - server.work_pace)
        if outcome.duration <= QUICK * aim:
            if server.in_flight + lent + 1 >= USED * server.stepped_capacity:
                server.stepped_capacity += 1.0 if server.is_stepping else 1.0 / server.stepped_capacity
        elif outcome.duration > LATE * aim:
            _cut(server, CUT, outcome.duration, now)
        else:
            server.is_stepping = False
    elif outcome.result in (api.Result.OVERLOADED, api.Result.TIMEOUT, api.Result.CONNECTIONS_FULL):
        _cut(server, DEEP, outcome.duration, now)
    elif outcome.result in (api.Result.CONNECT_FAILED, api.Result.RESET):
        begin(server)  # whatever it was, another process answers next


def _cut(server: Backend, part: float, took: float, now: float) -> None:
    """Once for all that was out together: they were late together."""
    server.is_stepping = False
    if now >= server.stepped_at + max(took, APART):  # turn-aways and resets take no time
        server.stepped_capacity, server.stepped_at = max(1.0, part * server.stepped_capacity), now


def rest(server: Backend) -> None:
    """Once a window: where nothing is out, what was found of its pace says less."""
    if not server.in_flight:
        server.work_pace *= FADES


def fits(server: Backend, work: float | None, left: float) -> bool:
    """Whether it is thought to answer within `left` seconds."""
    return not work or server.work_pace * work <= FITS * left
