"""The side of a rehearsal that asks: the members' clients, and what the timeline makes of their habits."""

from __future__ import annotations

from collections.abc import Callable

from firvane.simulation.emulation.clients import ClientPopulation
from firvane.simulation.emulation.network import seats
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.timeline import Action, Step, Timeline
from firvane.simulation.runner.backends import Sink
from firvane.simulation.runner.clients import Clients
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.plan import Plan
from firvane.simulation.runner.steps import Act, play, seals


class Members:
    """The clients of this process, and what becomes of their habits."""

    def __init__(
        self,
        clock: Clock,
        plan: Plan,
        scenario: Scenario,
        seed: int,
        sink: Sink,
        on_ready: Callable[[str], None],
        part: int = 0,
        parts: int = 1,
        resets_tell: bool = False,
    ) -> None:
        self.scenario, self.seed = scenario, seed
        self.clock = clock
        self.population = ClientPopulation(scenario.load, scenario.network, scenario.proxies, seed)
        places = {
            seat.name: (seat.zone, plan.listen(number))
            for number, seat in enumerate(seats(scenario.network, scenario.proxies))
        }
        self.clients = Clients(
            clock, self.population, places, seals(scenario, seed), seed, sink, on_ready, part, parts,
            resets_tell, told_epochs=bool(scenario.proxies.voters) or scenario.proxies.change_by == "files",
        )  # fmt: skip

    def begin(self) -> None:
        """Ask from 0 s on, to the end of the scenario."""
        acts: dict[Action, Act] = {Action.BURST: self._burst, Action.LOCKSTEP: self._lockstep}
        play(self.clock, Timeline(self.scenario, self.seed).steps(), acts)
        self.clients.begin(self.scenario.seconds)

    def _burst(self, now: float, step: Step) -> None:
        self.population.burst(now, step.community, step.value, step.until)

    def _lockstep(self, now: float, step: Step) -> None:
        self.population.lockstep(now, step.until)
