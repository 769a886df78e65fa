"""The records of a rehearsal: events observed outside the proxies, by the emulated clients and backends only.

Invariants of this module:

1. Records are observations: they contain nothing from a proxy except what it sent over the network.
2. Times are seconds since the rehearsal began, on one clock; records are ordered by time.
3. A request's tries share `first`, the call id of the first try; every try has a `call` of its own.

The judges (`judge.py`), the service figures (`service.py`) and the reports read only records, so that virtual
and live runs are judged by the same code.
"""

from __future__ import annotations

from typing import NamedTuple


class Asked(NamedTuple):
    """A client has written the last byte of a try.

    Recorded again if the connection closed while the request was sent and the client resent it on another.
    If no connection was established (`taken` False), the time is that at which the client knew.
    """

    at: float
    call: str
    first: str  # the call id of the request's first try
    meant: float  # planned send time; the client's own delay is `at - meant`
    proxy: str
    zone: str
    community: str
    key: str
    work: float  # s of a standard core, if its key is not cached
    worth: float  # per s of work: 1 within the community's share, less beyond
    aim: float  # s from `meant` of the first try; a later answer is worth nothing
    deadline: float  # when the client abandons this try
    is_retry: bool
    taken: bool = True  # False: no connection, so no proxy received it and no other record follows


class Answered(NamedTuple):
    """A client has read the complete final answer of a try, or its connection ended (`status` 0)."""

    at: float
    call: str
    proxy: str
    status: int
    retry_after: float  # s, 0 if not given
    body_of: str  # the call id that the body was made for; "" if no backend made it


class Decided(NamedTuple):
    """A final answer's headers named the policy epoch that decided its request; `Answered` follows."""

    at: float
    call: str
    proxy: str
    epoch: int


class Abandoned(NamedTuple):
    """A client abandoned an unanswered try; at a deadline it first waits for the rules' slack."""

    at: float
    call: str
    proxy: str


class Arrived(NamedTuple):
    """An attempt's last byte has reached a backend, or was sent to one that is unreachable ("unheard").

    An attempt sent to a stalled or cut-off backend that reads it later began when it was sent.
    """

    at: float
    call: str
    proxy: str
    box: str
    start: int  # number of the backend's start, from 0
    began: float  # when the attempt's first byte arrived; drains are judged by it
    work: float  # its cost there in s of a standard core; lower if its key is cached
    verdict: str  # "taken", "turned away", "unknown call" (no client sent it) or "unheard"


class Finished(NamedTuple):
    """A backend has ended its work on an attempt."""

    at: float
    call: str
    box: str
    start: int
    work: float  # s of a standard core spent on it
    wanted: bool  # whether the attempt was not cancelled


class Dropped(NamedTuple):
    """A proxy closed an attempt's connection before its answer, which ends the attempt."""

    at: float
    call: str
    box: str


class Probed(NamedTuple):
    """A health probe has reached a backend."""

    at: float
    proxy: str
    box: str


class BoxState(NamedTuple):
    """A backend's state: "warm" or "cold" (running), "silent", "down", "paused", "back" or "fell".

    Recorded again with the same state if only the capacity has changed.
    """

    at: float
    box: str
    start: int
    state: str
    kind: str
    zone: str
    capacity: float  # usable standard cores at that time


class Told(NamedTuple):
    """Discovery sent a change to a proxy, or it counts as sent: "up", "draining" or "removed"."""

    at: float
    proxy: str
    box: str
    start: int
    state: str


class ProxyState(NamedTuple):
    """A proxy's state: "started", "ready", "ending" (ordered to), "killed" or "ended" (with exit `code`).

    "stalled" and "on": its process is suspended, and resumes."""

    at: float
    proxy: str
    state: str
    code: int = 0


class Used(NamedTuple):
    """A sample of a proxy's resource use. In virtual time only fields that need no process are set."""

    at: float
    proxy: str
    cpu: float  # s since its start
    memory: int  # bytes resident
    sockets: int
    flows: int = -1  # in its engine; known in virtual time only, else -1


class Sent(NamedTuple):
    """A proxy sent a datagram to a peer."""

    at: float
    proxy: str
    size: int
    arrived: bool


class Stated(NamedTuple):
    """A proxy's control endpoint reports a changed recovery state; "" if it does not respond."""

    at: float
    proxy: str
    state: str


class Proposed(NamedTuple):
    """An operator's call proposing a policy was sent to a proxy's control endpoint."""

    at: float
    proxy: str
    digest: str  # of the policy's text, in hexadecimal


class Said(NamedTuple):
    """A proxy's control endpoint reports a changed outcome of a proposal made there."""

    at: float  # when it was read
    proxy: str
    digest: str
    outcome: str  # "in force", "open", "failed" or "unknown"
    epoch: int = 0  # if it is in force


class InUse(NamedTuple):
    """A proxy's control endpoint reports a changed epoch and policy in use."""

    at: float
    proxy: str
    epoch: int
    digest: str


class Shaded(NamedTuple):
    """The time span of a trouble of the scenario, for the plots."""

    at: float
    until: float
    name: str


class Rolled(NamedTuple):
    """A rollout has changed its state or reports on it."""

    at: float
    state: str
    stage: int
    why: str
    new: int  # requests accepted by proxies of the new version since the rollout began
    all: int  # requests accepted by all proxies since then


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
