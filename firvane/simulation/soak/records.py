"""What clients, stand-ins and the player of a plan write down. All times are of one monotonic clock, in s."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

UNKNOWN = float("inf")


class AttemptEnd(enum.Enum):
    """How a request has ended for its client."""

    WHOLE = "a whole answer"
    WRONG = "a wrong answer"
    BROKEN = "the connection ended without a whole answer"
    LEFT = "the client left"  # by its own choice, or since its time was over
    NOT_CONNECTED = "no connection"


@dataclass(slots=True)
class AttemptRecord:
    """One request with an id of its own, as its client saw it."""

    id: str
    kind: str
    repeatable: bool
    max_attempts: int
    router: str = ""
    connected: float = UNKNOWN
    number: int = 0  # of the request on its connection, from 1
    sent: float = UNKNOWN  # its first byte
    sent_completely: float = UNKNOWN  # its last byte
    turn: float = UNKNOWN  # when the answer before it on the connection was complete, if there is one
    head_before: float = UNKNOWN  # when the head of that answer came, if it came after this was begun
    blind_until: float = 0.0  # the client read nothing until then, and did not see the connection's end
    deadline: float = UNKNOWN
    status: int = 0
    ended: float = UNKNOWN
    end: AttemptEnd | None = None
    detail: str = ""


class RunEnd(enum.Enum):
    """How a backend's work on a request has ended."""

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
    """What was done to a process."""

    STARTED = "started"
    TERM = "SIGTERM"
    HUP = "SIGHUP"
    KILLED = "SIGKILL"
    STOPPED = "SIGSTOP"
    CONTINUED = "SIGCONT"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ProcessEvent:
    """Something that happened to a daemon's process; `code` where it has ended.

    `listens` is false for a signal that came before the process had blocked or handled it.
    """

    at: float
    daemon: str
    kind: SignalKind
    code: int = 0
    listens: bool = True


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process held shortly before the end of the run."""

    daemon: str
    memory_mb: float
    descriptors: int
    threads: int = 1


@dataclass(slots=True)
class Record:
    """Everything that the judge is given."""

    attempts: dict[str, AttemptRecord] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    processes: list[ProcessEvent] = field(default_factory=list)
    usage: list[Usage] = field(default_factory=list)
    log_problems: dict[str, list[str]] = field(default_factory=dict)  # lines that are errors or no log lines
    orders_refused: list[int] = field(default_factory=list)  # statuses
    orders_acknowledged: int = 0
    rivals: int = 0  # pairs of different orders under one number, sent at once
    rivals_both_taken: int = 0  # of these, pairs of which both were acknowledged
    rivals_both_refused: int = 0  # and of which none was
    open_at_end: dict[str, int] = field(default_factory=dict)  # requests that a router still held at its end
    read_back: bool = False
    doubled: list[str] = field(default_factory=list)  # ids that ran more than once and may not
    ran_after_refusal: list[str] = field(default_factory=list)
    unasked: list[str] = field(default_factory=list)
    altered: list[str] = field(default_factory=list)
    unasked_bytes: int = 0  # that came to clients without a request
    clock_delay: float = 0.0  # s by which the times of the stand-ins may be late
