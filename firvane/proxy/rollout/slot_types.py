"""The types of one proxy's slot: states and their table, processes, what is kept of it, and its actions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple


class State(Enum):
    """Which processes there are; those told to end may be there in each."""

    EMPTY = "empty"  # none: the next starts after a pause
    STARTING = "starting"  # one, not proven yet
    SERVING = "serving"
    TRYING = "trying"  # one that serves, and a new one that is not ready yet
    PROVING = "proving"  # the new one says that it is ready: both take clients
    CLOSED = "closed"  # the slot is given up: all have been told to end


class Event(Enum):
    REPLACE = "replace"  # by a version, its own again included
    ABANDON = "abandon"  # what is to come
    READY = "ready"  # says the one that is to come
    PROVEN = "proven"
    FAILED = "failed"  # it died, could not be started, was too late, or left requests unanswered
    DIED = "died"  # the one that serves
    DUE = "due"  # the pause is over
    CLOSE = "close"


TABLE: dict[State, dict[Event, State]] = {
    State.EMPTY: {Event.REPLACE: State.STARTING, Event.DUE: State.STARTING},
    State.STARTING: {
        Event.REPLACE: State.STARTING,  # nobody serves that would lose by it
        Event.READY: State.STARTING,
        Event.PROVEN: State.SERVING,
        Event.FAILED: State.EMPTY,
    },
    State.SERVING: {Event.REPLACE: State.TRYING, Event.ABANDON: State.SERVING, Event.DIED: State.EMPTY},
    State.TRYING: {
        Event.ABANDON: State.SERVING,
        Event.READY: State.PROVING,
        Event.FAILED: State.SERVING,
        Event.DIED: State.STARTING,
    },
    State.PROVING: {
        Event.ABANDON: State.SERVING,
        Event.PROVEN: State.SERVING,
        Event.FAILED: State.SERVING,
        Event.DIED: State.STARTING,
    },
    State.CLOSED: {},
}
for _following in TABLE.values():
    _following[Event.CLOSE] = State.CLOSED


class Refused(ValueError):  # noqa: N818 - the caller's fault, and an ordinary event here
    """The call is not for now, or not for its caller; the reason is one line."""


@dataclass(frozen=True)
class Times:
    """Seconds, all above 0."""

    ready: float = 30.0  # for a new process to be ready, and again to have answered
    prove: float = 2.0  # side by side with the one before
    end: float = 5.0  # from SIGTERM to SIGKILL


class Mark(NamedTuple):
    """What tells a process of a slot from the others, also to a keeper that finds it."""

    number: int
    version: str
    door: int  # the index of its ops address


@dataclass(frozen=True)
class Kept:
    """What a slot keeps on disk."""

    version: str  # that is to serve here
    before: str = ""  # the one that did, and that `back` means
    roll: int = 0  # the highest heard
    name: str = ""  # of that roll
    failed: str = ""  # "VERSION ROLL why" of the last attempt, where that failed
    spurned: str = ""  # "VERSION ROLL" of one that took the slot and died too often


class Start(NamedTuple):
    """Start a process of a version."""

    mark: Mark


class Terminate(NamedTuple):
    number: int


class Kill(NamedTuple):
    number: int


class Keep(NamedTuple):
    """Have it on disk before what follows is done."""

    kept: Kept


class Note(NamedTuple):
    """For the log."""

    event: str
    fields: dict[str, str | int]


Action = Start | Terminate | Kill | Keep | Note


@dataclass
class Process:
    """One that has been started, or found."""

    mark: Mark
    since: float
    pid: int = 0
    ready_at: float = inf
    proven_at: float = inf
    probes: int = 0
    faults: int = 0
    kill_at: float = inf

    @property
    def number(self) -> int:
        return self.mark.number
