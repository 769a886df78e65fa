"""What the sides of a rehearsal share: steps of the timeline carried out at their times, and sealed jobs.

Boxes with discovery, the members, and the proxies' lives each see to their own steps, so that each can be in
a process of its own. All of them draw from the same scenario and seed.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.timeline import Action, Step
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.wire import Seals

Act = Callable[[float, Step], None]


def play(clock: Clock, steps: Sequence[Step], acts: dict[Action, Act]) -> None:
    """Carry out at their times those of the steps that there is an act for."""
    for step in steps:
        if act := acts.get(step.action):
            clock.call_at(step.at, act, step)


def seals(scenario: Scenario, seed: int) -> Seals:
    """What a scenario's requests and answers are sealed with."""
    return Seals(seed, scenario.load.request_class, scenario.load.body_bytes)
