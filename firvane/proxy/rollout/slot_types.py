"""The types of one proxy's slot: states and transitions, processes, the stored state, and actions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple


class SlotState(Enum):
    """Which processes the slot has, besides terminating ones."""

    EMPTY = "empty"  # no process: the next one starts after a backoff
    STARTING = "starting"  # a candidate that is not proven yet, and no serving process
    SERVING = "serving"
    TRYING = "trying"  # a serving process, and a candidate that is not ready yet
    PROVING = "proving"  # a serving process, and a candidate that reported ready: both accept clients
    CLOSED = "closed"  # the slot is closed: all processes are terminating


class SlotEvent(Enum):
    """The events that change a slot's state."""

    REPLACE = "replace"  # a replacement is started, possibly of the same version
    ABANDON = "abandon"  # the candidate is dropped
    READY = "ready"  # the candidate reported ready
    PROVEN = "proven"
    FAILED = "failed"  # the candidate exited, could not be started, timed out, or left requests unanswered
    DIED = "died"  # the serving process exited
    DUE = "due"  # the backoff is over
    CLOSE = "close"


TRANSITIONS: dict[SlotState, dict[SlotEvent, SlotState]] = {
    SlotState.EMPTY: {SlotEvent.REPLACE: SlotState.STARTING, SlotEvent.DUE: SlotState.STARTING},
    SlotState.STARTING: {
        SlotEvent.REPLACE: SlotState.STARTING,  # replaces the candidate: no process serves
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

    ready_s: float = 30.0  # for a new process to become ready, and again to answer its first requests
    proving_s: float = 2.0  # in which it serves beside the previous process
    termination_s: float = 5.0  # from SIGTERM to SIGKILL


class ProcessTag(NamedTuple):
    """The identity of a process of a slot, by which a later supervisor can adopt it."""

    number: int
    version: str
    ops_index: int  # index of its ops address in the configuration


@dataclass(frozen=True)
class StoredSlot:
    """The durable state of a slot; the field names are the file format."""

    version: str  # the version to serve
    before: str = ""  # the previous version, to which `revert` returns
    roll: int = 0  # the highest fencing token that a controller has sent
    name: str = ""  # the name of that controller
    failed: str = ""  # "VERSION TOKEN REASON" of the last replacement if it failed, else ""
    spurned: str = ""  # "VERSION TOKEN" of a version that crashed too often while it served


class StartProcess(NamedTuple):
    """Start a process."""

    tag: ProcessTag


class TerminateProcess(NamedTuple):
    """Terminate a process with SIGTERM."""

    number: int


class KillProcess(NamedTuple):
    """Kill a process with SIGKILL."""

    number: int


class PersistSlot(NamedTuple):
    """Write the state to disk before the actions that follow."""

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
        """The number that identifies the process in its slot."""
        return self.tag.number
