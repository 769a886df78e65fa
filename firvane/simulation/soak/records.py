"""Records made by clients, backend stand-ins and the plan player. All times: one monotonic clock, in s."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

UNKNOWN = float("inf")


class AttemptEnd(enum.Enum):
    """The outcome of a request for its client."""

    WHOLE = "a whole answer"
    WRONG = "a wrong answer"
    BROKEN = "the connection ended without a whole answer"
    LEFT = "the client left"  # on purpose, or because its deadline had passed
    NOT_CONNECTED = "no connection"


@dataclass(slots=True)
class AttemptRecord:
    """One request, as its client observed it; each has a unique id."""

    id: str
    kind: str
    repeatable: bool
    max_attempts: int
    router: str = ""
    connected: float = UNKNOWN
    number: int = 0  # position of the request on its connection, from 1
    sent: float = UNKNOWN  # the first byte
    sent_completely: float = UNKNOWN  # the last byte
    previous_response_at: float = (
        UNKNOWN  # when the previous response on the connection was complete; when queued if none
    )
    previous_head_at: float = UNKNOWN  # when the head of that response came, if after this request was queued
    reading_paused_until: float = (
        0.0  # until then the client did not read and could not see the connection close
    )
    deadline: float = UNKNOWN
    status: int = 0
    ended: float = UNKNOWN
    end: AttemptEnd | None = None
    detail: str = ""


class RunEnd(enum.Enum):
    """The outcome of a request at a backend."""

    ANSWERED = "answered"
    TURNED_AWAY = "turned away"
    BROKE_OFF = "broken off by the backend"
    CANCELLED = "the connection was closed by the caller"
    UNDER_WAY = "under way"


@dataclass(slots=True)
class Arrival:
    """A request at a backend."""

    id: str
    backend: str
    at: float
    ended: float = UNKNOWN
    end: RunEnd = RunEnd.UNDER_WAY


class SignalKind(enum.Enum):
    """A signal sent to a process, or its start or exit."""

    STARTED = "started"
    TERM = "SIGTERM"
    HUP = "SIGHUP"
    KILLED = "SIGKILL"
    STOPPED = "SIGSTOP"
    CONTINUED = "SIGCONT"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ProcessEvent:
    """An event of a daemon's process; `code` is its exit status for `ENDED`.

    `handles_signal` is false for a signal sent before the process had blocked it or installed a handler.
    """

    at: float
    daemon: str
    kind: SignalKind
    code: int = 0
    handles_signal: bool = True


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process shortly before the end of the run."""

    daemon: str
    memory_mb: float
    descriptors: int
    threads: int = 1


@dataclass(slots=True)
class Record:
    """Everything that the judge evaluates."""

    attempts: dict[str, AttemptRecord] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    processes: list[ProcessEvent] = field(default_factory=list)
    usage: list[Usage] = field(default_factory=list)
    log_problems: dict[str, list[str]] = field(default_factory=dict)  # error lines and invalid log lines
    orders_rejected: list[int] = field(default_factory=list)  # HTTP statuses of rejected orders
    orders_acknowledged: int = 0
    rivals: int = 0  # pairs of different orders with the same number, sent concurrently
    rivals_both_accepted: int = 0  # of these, pairs of which both were acknowledged
    rivals_both_rejected: int = 0  # of these, pairs of which none was acknowledged
    open_at_end: dict[str, int] = field(default_factory=dict)  # open requests of a router at its exit
    read_back: bool = False
    doubled: list[str] = field(default_factory=list)  # ids of non-repeatable requests that ran more than once
    ran_after_refusal: list[str] = field(default_factory=list)
    unasked: list[str] = field(default_factory=list)
    altered: list[str] = field(default_factory=list)
    unsolicited_messages: int = 0  # responses or invalid data received by clients with no request pending
    clock_delay: float = 0.0  # s by which times recorded by the stand-ins may be late
