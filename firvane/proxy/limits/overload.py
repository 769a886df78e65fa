"""The overload manager: the level of pressure on each resource, and the actions that it triggers.

Invariants:

1. A resource has one level, set by its usage and the thresholds in `RAISE_AT` and `LOWER_FACTOR`.
2. A level is raised by the first sample that requires it, and lowered one step at a time, after
   `CALM_PERIOD_S` without such a sample, so that actions do not start and stop with every sample.
3. Only `ACTIONS` lists the actions of a level. The actions of all resources apply together.
4. Each change of a level is returned once, with the resource and its usage.

Which requests are rejected is not decided here: the balancer receives the pressure and decides.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple


class Resource(Enum):
    """A limited resource."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    LAG = "lag"  # delay of the event loop, as a fraction of the acceptable delay
    CPU = "cpu"  # CPU time used, as a fraction of what the platform grants


class Level(IntEnum):
    """The level of pressure on a resource."""

    CALM = 0
    BUSY = 1
    HEAVY = 2
    CRITICAL = 3


class OverloadAction(Enum):
    """An action under pressure; the cheapest for ordinary clients first."""

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
    """A change of the level of a resource."""

    resource: Resource
    before: Level
    after: Level
    usage: float


class Overload:
    """The levels of all resources, and the actions in force."""

    def __init__(self) -> None:
        self.levels = dict.fromkeys(Resource, Level.CALM)
        self._required_at = dict.fromkeys(Resource, 0.0)  # when a sample last required the present level
        self.active_actions: frozenset[OverloadAction] = frozenset()

    def update(self, resource: Resource, usage: float, now: float) -> LevelChange | None:
        """Apply the usage of a resource at `now` (s); return the change of its level, or None."""
        before, after = self.levels[resource], Level.CALM
        for level, threshold in zip(
            (Level.BUSY, Level.HEAVY, Level.CRITICAL), RAISE_AT[resource], strict=True
        ):
            if usage >= threshold * (LOWER_FACTOR if level <= before else 1.0):
                after = level
        if after >= before:
            self._required_at[resource] = now
        elif now < self._required_at[resource] + CALM_PERIOD_S:
            after = before
        else:
            after, self._required_at[resource] = Level(before - 1), now
        if after is before:
            return None
        self.levels[resource] = after
        self.active_actions = frozenset().union(
            *(ACTIONS[key] for key in self.levels.items() if key[1] is not Level.CALM)
        )
        return LevelChange(resource, before, after, usage)

    def is_active(self, action: OverloadAction) -> bool:
        """Return whether an action is in force."""
        return action in self.active_actions

    def worst(self) -> Level:
        """Return the highest level of all resources."""
        return max(self.levels.values())
