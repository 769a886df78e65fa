"""The input events of a rollout's state machine, and the actions that it returns.

A `PersistRollout` precedes the other actions of its step; the state is on disk before they are executed.
"""

from __future__ import annotations

from dataclasses import dataclass

from firvane.proxy.rollout.comparison_types import Finding
from firvane.proxy.rollout.rollout_state import OperatorCommand, StoredRollout

# Events


@dataclass(frozen=True)
class TrialEnded:
    """The trial start of the new version beside the fleet has ended; `error` is "" if it succeeded."""

    error: str = ""


@dataclass(frozen=True)
class BaselineMeasured:
    """The share of requests answered in time before the rollout; None if there were too few requests."""

    in_time_share: float | None


@dataclass(frozen=True)
class SlotReported:
    """The status of a slot: the version that serves ("" if none does), and whether a replacement is running.

    A report of a slot that is not replacing can end a pending order.
    """

    slot: str
    version: str
    is_replacing: bool = False


@dataclass(frozen=True)
class SlotReplaced:
    """An order was carried out: `version` serves in the slot now."""

    slot: str
    version: str


@dataclass(frozen=True)
class ReplacementFailed:
    """An order has failed; the slot still has its previous version."""

    slot: str
    reason: str


@dataclass(frozen=True)
class SlotUnreachable:
    """The slot's supervisor does not respond."""

    slot: str


@dataclass(frozen=True)
class ComparisonUpdated:
    """The current finding of the comparison that `StartComparison` began under this number."""

    finding: Finding
    number: int


@dataclass(frozen=True)
class Tick:
    """Time has passed; sent at least once per second."""


@dataclass(frozen=True)
class CommandReceived:
    """A command of an operator."""

    command: OperatorCommand


SlotEvent = SlotReported | SlotReplaced | ReplacementFailed | SlotUnreachable
Event = TrialEnded | BaselineMeasured | SlotEvent | ComparisonUpdated | Tick | CommandReceived


# Actions


@dataclass(frozen=True)
class PersistRollout:
    """Write the state to disk before the following actions."""

    stored: StoredRollout


@dataclass(frozen=True)
class StartTrial:
    """Start the new version beside the fleet and report `TrialEnded`."""

    version: str


@dataclass(frozen=True)
class MeasureBaseline:
    """Measure the fleet for `duration_s` and report `BaselineMeasured`."""

    duration_s: float


@dataclass(frozen=True)
class QuerySlots:
    """Query these slots every few seconds, and report `SlotReported` or `SlotUnreachable` for each."""

    slots: tuple[str, ...]


@dataclass(frozen=True)
class ReplaceSlot:
    """Change a slot to the new version."""

    slot: str
    version: str
    token: int


@dataclass(frozen=True)
class RevertSlot:
    """Change a slot back to the old version."""

    slot: str
    version: str
    token: int


@dataclass(frozen=True)
class StartComparison:
    """Begin a new comparison with this part of alpha; an earlier comparison ends."""

    number: int
    alpha: float
    soak_s: float
    baseline: float | None  # the in-time share before the rollout
    covers_all: bool  # the stage replaces all slots: in the end there is no old side


@dataclass(frozen=True)
class StopComparison:
    """End the current comparison."""


@dataclass(frozen=True)
class LogNote:
    """A message for the event log and the report."""

    text: str


Action = (
    PersistRollout
    | StartTrial
    | MeasureBaseline
    | QuerySlots
    | ReplaceSlot
    | RevertSlot
    | StartComparison
    | StopComparison
    | LogNote
)
