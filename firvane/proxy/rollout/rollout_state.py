"""The states of a rollout, causes of transitions, operator commands, and the stored state."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class RolloutState(Enum):
    """The state of a rollout; the values are stored and shown to operators."""

    PLANNED = "planned"
    REPLACING = "replacing"
    COMPARING = "comparing"
    PAUSED = "paused"
    GOING_BACK = "going back"
    DONE = "done"
    BACK = "back"  # all slots have the old version again
    GIVEN_UP = "given up"  # needs an operator: `StoredRollout.why` has the reason


FINAL_STATES = frozenset((RolloutState.DONE, RolloutState.BACK, RolloutState.GIVEN_UP))


class TransitionCause(Enum):
    """The cause of a transition between states; the values are stored."""

    BEGUN = "the trial and the fleet are well"
    REFUSED = "the trial of the new version failed"
    UNWELL = "the fleet was not well before the roll"
    REPLACED = "all places of the stage that are up have the new version"
    FINE = "the stage is fine"
    LAST = "the last stage is fine"
    AT_END = "the plan asks at the end of the stage"
    WORSE = "the new version does worse"
    FAILED = "the new version could not take a place"
    TOO_LONG = "the stage took its longest time"
    PAUSE = "an operator paused it"
    GO = "an operator let it go on"
    AGAIN = "an operator let it begin"
    ACCEPTED = "an operator accepted the last stage"
    BACK = "an operator sent it back"
    UNANSWERED = "nobody answered the pause in time"
    WHOLE = "no place has the new version any more"
    LEFT = "not every place could go back"


class OperatorCommand(Enum):
    """The commands of an operator; the values are arguments of the command line."""

    GO = "go"
    PAUSE = "pause"
    BACK = "back"


@dataclass(frozen=True)
class StoredRollout:
    """The durable state of a rollout; the field names are the file format."""

    plan: str  # the digest of the plan's text; readers compare it with their plan's
    roll: int = 0  # the fencing token: incremented at each take-over; slots reject a lower token
    state: RolloutState = RolloutState.PLANNED
    stage: int = 0
    spent: float = 0.0  # seconds in this state (in the stage while replacing and comparing) at the last write
    ordered: Mapping[str, str] = field(default_factory=dict)  # by slot, the version of its pending order
    new: tuple[str, ...] = ()  # slots that have the new version, or may have it
    failures: Mapping[str, int] = field(default_factory=dict)  # failed replacements by slot
    comparisons: int = 0  # number of comparisons begun; each has its own part of alpha
    before: float | None = None  # the in-time share before the rollout
    tried: bool = False  # the trial has succeeded
    accepts: bool = False  # while paused: whether GO ends the stage
    cause: TransitionCause | None = None  # of the last transition
    why: str = ""  # the reason of the last transition, as text
