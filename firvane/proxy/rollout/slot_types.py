"""The types of one proxy's slot: states and transitions, processes, the stored state, and actions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple


class SlotState(Enum):
    """Which processes there are; terminating ones may be there in each state."""

    EMPTY = "empty"  # none: the next starts after a backoff
    STARTING = "starting"  # one, not proven yet
    SERVING = "serving"
    TRYING = "trying"  # one that serves, and a candidate that is not ready yet
    PROVING = "proving"  # the candidate reports to be ready: both accept clients
    CLOSED = "closed"  # the slot is given up: all are terminating


class SlotEvent(Enum):
    """What leads from one state to the next."""

    REPLACE = "replace"  # by a version, its own again included
    ABANDON = "abandon"  # the candidate
    READY = "ready"  # reported by the candidate
    PROVEN = "proven"
    FAILED = "failed"  # the candidate died, could not be started, was too late, or left requests unanswered
    DIED = "died"  # the serving process
    DUE = "due"  # the backoff is over
    CLOSE = "close"


TRANSITIONS: dict[SlotState, dict[SlotEvent, SlotState]] = {
    SlotState.EMPTY: {SlotEvent.REPLACE: SlotState.STARTING, SlotEvent.DUE: SlotState.STARTING},
    SlotState.STARTING: {
        SlotEvent.REPLACE: SlotState.STARTING,  # no process serves that would be lost by it
        SlotEvent.READY: SlotState.STARTING,
        SlotEvent.PROVEN: SlotState.SERVING,
        SlotEvent.FAILED: SlotState.EMPTY,
    },
    SlotState.SERVING: {
        SlotEvent.REPLACE: SlotState.TRYING,
        SlotEvent.ABANDON: SlotState.SERVING,
        SlotEvent.DIED: SlotState.EMPTY,
    },
    SlotState.TRYING: {
        SlotEvent.ABANDON: SlotState.SERVING,
        SlotEvent.READY: SlotState.PROVING,
        SlotEvent.FAILED: SlotState.SERVING,
        SlotEvent.DIED: SlotState.STARTING,
    },
    SlotState.PROVING: {
        SlotEvent.ABANDON: SlotState.SERVING,
        SlotEvent.PROVEN: SlotState.SERVING,
        SlotEvent.FAILED: SlotState.SERVING,
        SlotEvent.DIED: SlotState.STARTING,
    },
    SlotState.CLOSED: {},
}
for _transitions in TRANSITIONS.values():
    _transitions[SlotEvent.CLOSE] = SlotState.CLOSED


@dataclass(frozen=True)
class ProcessTimeouts:
    """Time-outs of a process, in seconds, all above 0."""

    ready_s: float = 30.0  # for a new process to be ready, and again to have answered
    proving_s: float = 2.0  # in which it serves beside the one before
    termination_s: float = 5.0  # from SIGTERM to SIGKILL


class ProcessTag(NamedTuple):
    """What identifies a process of a slot, also to a supervisor that adopts it."""

    number: int
    version: str
    ops_index: int  # of its ops address


@dataclass(frozen=True)
class StoredSlot:
    """The durable state of a slot; stored by the names of the fields, which are the file's format."""

    version: str  # that is to serve here
    before: str = ""  # the previous version, which `revert` goes back to
    roll: int = 0  # the highest fencing token that a controller has sent
    name: str = ""  # of that controller
    failed: str = ""  # "VERSION TOKEN REASON" of the last attempt, where that failed
    spurned: str = ""  # "VERSION TOKEN" of a version that served here and crashed too often


class StartProcess(NamedTuple):
    """Start a process."""

    tag: ProcessTag


class TerminateProcess(NamedTuple):
    """Tell a process to end."""

    number: int


class KillProcess(NamedTuple):
    """Kill a process."""

    number: int


class PersistSlot(NamedTuple):
    """Write the state to disk before what follows is done."""

    stored: StoredSlot


class LogEvent(NamedTuple):
    """Write a line to the log."""

    event: str
    fields: dict[str, str | int]


SlotAction = StartProcess | TerminateProcess | KillProcess | PersistSlot | LogEvent


@dataclass
class SlotProcess:
    """A process that has been started or adopted. Times are seconds on the supervisor's clock."""

    tag: ProcessTag
    started_at: float
    pid: int = 0
    ready_at: float = inf
    proven_at: float = inf
    answered_probes: int = 0
    failed_probes: int = 0
    kill_at: float = inf

    @property
    def number(self) -> int:
        """The number that identifies it in its slot."""
        return self.tag.number
