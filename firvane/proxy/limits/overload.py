"""The overload manager: the pressure on each resource, and the actions that it triggers.

Rules that hold here and nowhere else:

1. A resource has one level, set by its use (0 to 1) and the thresholds in `RAISE_AT` and `LOWER_FACTOR`.
2. A level is entered with the first sample that shows it, and left one at a time, after `CALM_PERIOD_S`
   without it, so that an action does not start and stop with every sample.
3. The actions of a level are listed in `ACTIONS` and nowhere else. Levels of different resources add up.
4. Each change of a level is reported once, with its cause and the resource's use.

Which requests are rejected is not decided here: the balancer gets the pressure and decides.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple


class Resource(Enum):
    """What can run short."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    LAG = "lag"  # lateness of the loop, as a part of what a request may lose by it
    CPU = "cpu"  # time used, as a part of what the platform allows


class Level(IntEnum):
    """How short a resource runs."""

    CALM = 0
    BUSY = 1
    HEAVY = 2
    CRITICAL = 3


class OverloadAction(Enum):
    """What is done under pressure, the cheapest for ordinary clients first."""

    SHORTEN_IDLE_TIMEOUT = "shorten_idle_timeout"
    DISABLE_HEDGING = "disable_hedging"
    SHED_LOAD = "shed_load"
    CLOSE_IDLE_CONNECTIONS = "close_idle_connections"
    REJECT_CONNECTIONS = "reject_connections"
    EVICT_CONNECTIONS = "evict_connections"


# The thresholds of BUSY, HEAVY and CRITICAL; a level is left below `LOWER_FACTOR` times its threshold.
RAISE_AT: dict[Resource, tuple[float, float, float]] = {
    Resource.MEMORY: (0.6, 0.75, 0.9),
    Resource.DESCRIPTORS: (0.5, 0.9, 1.0),
    Resource.LAG: (0.2, 0.4, 0.8),
    Resource.CPU: (0.8, 0.95, 1.2),
}
LOWER_FACTOR = 0.85
CALM_PERIOD_S = 1.0

ACTIONS: dict[tuple[Resource, Level], frozenset[OverloadAction]] = {
    (Resource.MEMORY, Level.BUSY): frozenset((OverloadAction.SHORTEN_IDLE_TIMEOUT,)),
    (Resource.MEMORY, Level.HEAVY): frozenset(
        (
            OverloadAction.SHORTEN_IDLE_TIMEOUT,
            OverloadAction.DISABLE_HEDGING,
            OverloadAction.CLOSE_IDLE_CONNECTIONS,
        )
    ),
    (Resource.MEMORY, Level.CRITICAL): frozenset(
        (
            OverloadAction.SHORTEN_IDLE_TIMEOUT,
            OverloadAction.DISABLE_HEDGING,
            OverloadAction.CLOSE_IDLE_CONNECTIONS,
            OverloadAction.SHED_LOAD,
            OverloadAction.REJECT_CONNECTIONS,
        )
    ),
    (Resource.DESCRIPTORS, Level.BUSY): frozenset((OverloadAction.SHORTEN_IDLE_TIMEOUT,)),
    (Resource.DESCRIPTORS, Level.HEAVY): frozenset(
        (OverloadAction.SHORTEN_IDLE_TIMEOUT, OverloadAction.CLOSE_IDLE_CONNECTIONS)
    ),
    (Resource.DESCRIPTORS, Level.CRITICAL): frozenset(
        (
            OverloadAction.SHORTEN_IDLE_TIMEOUT,
            OverloadAction.CLOSE_IDLE_CONNECTIONS,
            OverloadAction.EVICT_CONNECTIONS,
        )
    ),
    (Resource.LAG, Level.BUSY): frozenset((OverloadAction.DISABLE_HEDGING,)),
    (Resource.LAG, Level.HEAVY): frozenset((OverloadAction.DISABLE_HEDGING, OverloadAction.SHED_LOAD)),
    (Resource.LAG, Level.CRITICAL): frozenset((OverloadAction.DISABLE_HEDGING, OverloadAction.SHED_LOAD)),
    (Resource.CPU, Level.BUSY): frozenset(),
    (Resource.CPU, Level.HEAVY): frozenset((OverloadAction.DISABLE_HEDGING, OverloadAction.SHED_LOAD)),
    (Resource.CPU, Level.CRITICAL): frozenset((OverloadAction.DISABLE_HEDGING, OverloadAction.SHED_LOAD)),
}


class LevelChange(NamedTuple):
    """A resource has changed its level."""

    resource: Resource
    before: Level
    after: Level
    usage: float


class Overload:
    """The levels of all resources, and the actions in force."""

    def __init__(self) -> None:
        self.levels = dict.fromkeys(Resource, Level.CALM)
        self._above = dict.fromkeys(Resource, 0.0)  # when the level was last seen to be needed
        self.active_actions: frozenset[OverloadAction] = frozenset()

    def update(self, resource: Resource, usage: float, now: float) -> LevelChange | None:
        """Take the use of a resource at `now` (s); return the change of its level, if there is one."""
        before, after = self.levels[resource], Level.CALM
        for level, threshold in zip(
            (Level.BUSY, Level.HEAVY, Level.CRITICAL), RAISE_AT[resource], strict=True
        ):
            if usage >= threshold * (LOWER_FACTOR if level <= before else 1.0):
                after = level
        if after >= before:
            self._above[resource] = now
        elif now < self._above[resource] + CALM_PERIOD_S:
            after = before
        else:
            after, self._above[resource] = Level(before - 1), now
        if after is before:
            return None
        self.levels[resource] = after
        self.active_actions = frozenset().union(
            *(ACTIONS[key] for key in self.levels.items() if key[1] is not Level.CALM)
        )
        return LevelChange(resource, before, after, usage)

    def is_active(self, action: OverloadAction) -> bool:
        """Whether an action is in force."""
        return action in self.active_actions

    def worst(self) -> Level:
        """The highest level of all resources."""
        return max(self.levels.values())
