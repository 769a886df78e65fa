"""The overload manager: how pressed each resource is, and what is given up for it.

Rules that hold here and nowhere else:

1. A resource has one level, moved by one figure between 0 and 1 (its use) and the thresholds in `UP` and
   `DOWN`.
2. A level is entered with the first look that shows it, and left one at a time, after `CALM_FOR` seconds
   without it: what was given up does not come back and go again with every breath.
3. What a level gives up stands in `GIVES_UP` and nowhere else. Levels of different resources add up.
4. Each step is told once, with its cause and figure; nothing else is.

What concerns requests is not decided here: the decision module is told the pressure and says whom to turn
away.
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
    """How short it runs."""

    CALM = 0
    BUSY = 1
    HEAVY = 2
    CRITICAL = 3


class Measure(Enum):
    """What may be given up, the cheapest for the usual clients first."""

    SHORT_IDLE = "idle connections are kept for less"
    NO_COPIES = "no second copies"
    TURN_AWAY = "what exceeds a share, then a part of the rest, is turned away"
    CLOSE_SILENT = "connections that only stand there are closed"
    REFUSE_NEW = "new connections are answered and closed"
    SHED = "connections are closed in order of least claim"


# The thresholds of BUSY, HEAVY and CRITICAL; a level is left below DOWN times its threshold.
UP: dict[Resource, tuple[float, float, float]] = {
    Resource.MEMORY: (0.6, 0.75, 0.9),
    Resource.DESCRIPTORS: (0.5, 0.9, 1.0),
    Resource.LAG: (0.2, 0.4, 0.8),
    Resource.CPU: (0.8, 0.95, 1.2),
}
DOWN = 0.85
CALM_FOR = 1.0  # s

_M, _D, _L, _C = Resource.MEMORY, Resource.DESCRIPTORS, Resource.LAG, Resource.CPU
GIVES_UP: dict[tuple[Resource, Level], frozenset[Measure]] = {
    (_M, Level.BUSY): frozenset((Measure.SHORT_IDLE,)),
    (_M, Level.HEAVY): frozenset((Measure.SHORT_IDLE, Measure.NO_COPIES, Measure.CLOSE_SILENT)),
    (_M, Level.CRITICAL): frozenset(
        (Measure.SHORT_IDLE, Measure.NO_COPIES, Measure.CLOSE_SILENT, Measure.TURN_AWAY, Measure.REFUSE_NEW)
    ),
    (_D, Level.BUSY): frozenset((Measure.SHORT_IDLE,)),
    (_D, Level.HEAVY): frozenset((Measure.SHORT_IDLE, Measure.CLOSE_SILENT)),
    (_D, Level.CRITICAL): frozenset((Measure.SHORT_IDLE, Measure.CLOSE_SILENT, Measure.SHED)),
    (_L, Level.BUSY): frozenset((Measure.NO_COPIES,)),
    (_L, Level.HEAVY): frozenset((Measure.NO_COPIES, Measure.TURN_AWAY)),
    (_L, Level.CRITICAL): frozenset((Measure.NO_COPIES, Measure.TURN_AWAY)),
    (_C, Level.BUSY): frozenset(),
    (_C, Level.HEAVY): frozenset((Measure.NO_COPIES, Measure.TURN_AWAY)),
    (_C, Level.CRITICAL): frozenset((Measure.NO_COPIES, Measure.TURN_AWAY)),
}


class Step(NamedTuple):
    """A resource has changed its level."""

    resource: Resource
    before: Level
    after: Level
    figure: float


class Overload:
    """The levels of all resources, and what is given up now."""

    def __init__(self) -> None:
        self.levels = dict.fromkeys(Resource, Level.CALM)
        self._above = dict.fromkeys(Resource, 0.0)  # when the level was last seen to be needed
        self.given_up: frozenset[Measure] = frozenset()

    def see(self, resource: Resource, figure: float, now: float) -> Step | None:
        """A new figure of a resource; the step that it takes, if it takes one."""
        before, after = self.levels[resource], Level.CALM
        for level, threshold in zip((Level.BUSY, Level.HEAVY, Level.CRITICAL), UP[resource], strict=True):
            if figure >= threshold * (DOWN if level <= before else 1.0):
                after = level
        if after >= before:
            self._above[resource] = now
        elif now < self._above[resource] + CALM_FOR:
            after = before
        else:
            after, self._above[resource] = Level(before - 1), now
        if after is before:
            return None
        self.levels[resource] = after
        self.given_up = frozenset().union(
            *(GIVES_UP[key] for key in self.levels.items() if key[1] is not Level.CALM)
        )
        return Step(resource, before, after, figure)

    def gives_up(self, measure: Measure) -> bool:
        return measure in self.given_up

    def worst(self) -> Level:
        return max(self.levels.values())
