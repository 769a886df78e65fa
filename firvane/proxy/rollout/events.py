"""Inputs of a rollout's state machine, and the actions that follow from them.

A `PersistRollout` comes before the other actions of its step, and is on disk before any of them is done.
"""

from __future__ import annotations

from dataclasses import dataclass

from firvane.proxy.rollout.comparison_types import Finding
from firvane.proxy.rollout.rollout_state import OperatorCommand, StoredRollout

# Events


@dataclass(frozen=True)
class TrialEnded:
    """The trial start of the new version beside the fleet has ended; `error` is "" where it succeeded."""

    error: str = ""


@dataclass(frozen=True)
class BaselineMeasured:
    """The share of requests answered in time before the rollout; None: too few to say."""

    in_time_share: float | None


@dataclass(frozen=True)
class SlotReported:
    """The status of a slot: the version that serves there ("" where none does).

    It ends an order as well: `is_replacing` tells that the slot is still replacing.
    """

    slot: str
    version: str
    is_replacing: bool = False


@dataclass(frozen=True)
class SlotReplaced:
    """An order was done: that version serves in the slot now."""

    slot: str
    version: str


@dataclass(frozen=True)
class ReplacementFailed:
    """An order has failed: what served in the slot before still does."""

    slot: str
    reason: str


@dataclass(frozen=True)
class SlotUnreachable:
    """The slot's supervisor does not answer."""

    slot: str


@dataclass(frozen=True)
class ComparisonUpdated:
    """The finding by now of the comparison of that number, which `StartComparison` began."""

    finding: Finding
    number: int


@dataclass(frozen=True)
class Tick:
    """Time has passed. Due at least once a second."""


@dataclass(frozen=True)
class CommandReceived:
    """A command of an operator."""

    command: OperatorCommand


SlotEvent = SlotReported | SlotReplaced | ReplacementFailed | SlotUnreachable
Event = TrialEnded | BaselineMeasured | SlotEvent | ComparisonUpdated | Tick | CommandReceived


# Actions


@dataclass(frozen=True)
class PersistRollout:
    """Write the state to disk before going on."""

    stored: StoredRollout


@dataclass(frozen=True)
class StartTrial:
    """Start the new version beside the fleet and report `TrialEnded`."""

    version: str


@dataclass(frozen=True)
class MeasureBaseline:
    """Measure the fleet for that long and report `BaselineMeasured`."""

    duration_s: float


@dataclass(frozen=True)
class QuerySlots:
    """Query these slots and report `SlotReported` or `SlotUnreachable` of each; again every few seconds."""

    slots: tuple[str, ...]


@dataclass(frozen=True)
class ReplaceSlot:
    """Give a slot the new version."""

    slot: str
    version: str
    token: int


@dataclass(frozen=True)
class RevertSlot:
    """Give a slot the old version again."""

    slot: str
    version: str
    token: int


@dataclass(frozen=True)
class StartComparison:
    """Begin a new comparison, with this part of alpha; an earlier one is over."""

    number: int
    alpha: float
    soak_s: float
    baseline: float | None  # the in-time share before the rollout
    covers_all: bool  # the stage is all slots: in the end there is no old side


@dataclass(frozen=True)
class StopComparison:
    """The comparison is over."""


@dataclass(frozen=True)
class LogNote:
    """A sentence for the log and the report."""

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
