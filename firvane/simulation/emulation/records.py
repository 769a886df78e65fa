"""What a rehearsal writes down: things seen from outside of the proxies, at stand-ins only.

Rules that hold here and nowhere else:

1. A record is seen, never told: nothing in one comes out of a proxy but what it put on a wire.
2. Times are seconds since the rehearsal began, on one clock, and records come in the order of their times.
3. A request's tries share `first`, the call id of the first of them; every try has a `call` of its own.

The judges (`judge.py`), the figures (`service.py`) and the reports read records and nothing else, so that a
virtual and a live run are judged by the same code.
"""

from __future__ import annotations

from typing import NamedTuple


class Asked(NamedTuple):
    """A try's last byte was written by its client.

    Written once more where the request crossed the end of its connection and was sent again on another. Where
    no connection came up (`taken` False), the moment at which the client knew.
    """

    at: float
    call: str
    first: str  # the call id of the first try, its own where it is that
    meant: float  # when it was to be sent; the client's own lateness is `at - meant`
    proxy: str
    zone: str
    community: str
    key: str
    work: float  # s of a standard core, without what a box remembers
    worth: float  # per s of work: 1 within the community's share, less beyond
    aim: float  # s from `meant` of the first try: an answer later than that is worth nothing
    deadline: float  # when the client abandons this try
    is_retry: bool
    taken: bool = True  # False: no connection came up, so no proxy ever had it, and nothing else follows


class Answered(NamedTuple):
    """A try's final answer was read whole by its client, or its connection ended (`status` 0)."""

    at: float
    call: str
    proxy: str
    status: int
    retry_after: float  # s, 0 where none was given
    body_of: str  # the call id that the body was made for; "" where no box made it


class Decided(NamedTuple):
    """A final answer's head told which epoch of the policy decided its request; `Answered` follows."""

    at: float
    call: str
    proxy: str
    epoch: int


class Abandoned(NamedTuple):
    """The client gave a try up, unanswered; at a deadline it waits for the rules' slack first."""

    at: float
    call: str
    proxy: str


class Arrived(NamedTuple):
    """An attempt's last byte has reached a box; or has gone to one that does not hear it ("unheard").

    What was sent to a box that stood still or was cut off, and is read later, began when it was sent.
    """

    at: float
    call: str
    proxy: str
    box: str
    start: int  # which start of the box, from 0
    began: float  # when the attempt's first byte came: drains are judged by it
    work: float  # s of a standard core that it costs there, by what the box remembers
    verdict: str  # "taken", "turned away", "unknown call" (no client sent it) or "unheard"


class Finished(NamedTuple):
    """A box has ended its work on an attempt."""

    at: float
    call: str
    box: str
    start: int
    work: float  # s of a standard core spent on it
    wanted: bool  # whether anybody still waited for it


class Dropped(NamedTuple):
    """A proxy closed the connection of an attempt before its answer: it is out no longer."""

    at: float
    call: str
    box: str


class Probed(NamedTuple):
    """A probe has reached a box."""

    at: float
    proxy: str
    box: str


class BoxState(NamedTuple):
    """A box changed: "warm" or "cold" (it runs, since when), "silent", "down", "paused", "back", "fell".

    Written again with the state that it is in where only what it can do has changed.
    """

    at: float
    box: str
    start: int
    state: str
    kind: str
    zone: str
    capacity: float  # standard cores that it can use at that moment


class Told(NamedTuple):
    """Discovery wrote a change to a proxy, or it counts as told: "up", "draining" or "removed"."""

    at: float
    proxy: str
    box: str
    start: int
    state: str


class ProxyState(NamedTuple):
    """A proxy changed: "started", "ready", "ending" (told to), "killed" or "ended" (`code` tells how).

    "stalled" and "on": it stands still, and goes on where it was."""

    at: float
    proxy: str
    state: str
    code: int = 0


class Used(NamedTuple):
    """What a proxy used, sampled. In virtual time only what needs no process is filled in."""

    at: float
    proxy: str
    cpu: float  # s since its start
    memory: int  # bytes resident
    sockets: int
    flows: int = -1  # that its engine holds, where the rehearsal can look into it: in virtual time; else -1


class Sent(NamedTuple):
    """A datagram left a proxy for its peers."""

    at: float
    proxy: str
    size: int
    arrived: bool


class Stated(NamedTuple):
    """A proxy's door says another state of its recovery than when last asked; "" where it is silent."""

    at: float
    proxy: str
    state: str


class Proposed(NamedTuple):
    """An operator's call that proposes a policy was written to a proxy's door."""

    at: float
    proxy: str
    digest: str  # of the policy's text, in hexadecimal


class Said(NamedTuple):
    """A proxy's door has said what became of a proposal made there: a change of what it said before."""

    at: float  # when it was read
    proxy: str
    digest: str
    outcome: str  # "in force", "open", "failed" or "unknown"
    epoch: int = 0  # where it is in force


class InUse(NamedTuple):
    """A proxy's door says another epoch and policy in use there than when last asked."""

    at: float
    proxy: str
    epoch: int
    digest: str


class Shaded(NamedTuple):
    """A trouble of the scenario begins or ends, for the plots."""

    at: float
    until: float
    name: str


class Rolled(NamedTuple):
    """A roll has come to another state, or says something of it."""

    at: float
    state: str
    stage: int
    why: str
    new: int  # requests that proxies of the new version have taken since the roll began
    all: int  # and all proxies


Record = (
    Asked
    | Answered
    | Decided
    | Abandoned
    | Arrived
    | Finished
    | Dropped
    | Probed
    | BoxState
    | Told
    | ProxyState
    | Used
    | Sent
    | Stated
    | Proposed
    | Said
    | InUse
    | Shaded
    | Rolled
)
