"""The side of a rehearsal that proxies send to: boxes, discovery's agents, and the relay between proxies."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from firvane.simulation.emulation.backend import EmulatedBackend
from firvane.simulation.emulation.network import Links, seats
from firvane.simulation.emulation.registry import Registry
from firvane.simulation.emulation.scenario import Kind, Scenario
from firvane.simulation.emulation.seeded_random import named
from firvane.simulation.emulation.timeline import DISCOVERY_STATE, Action, Step, Timeline
from firvane.simulation.runner.backends import Host, Sink
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.discovery import Agent
from firvane.simulation.runner.listeners import Address, Doors
from firvane.simulation.runner.plan import Plan
from firvane.simulation.runner.relay import Relay
from firvane.simulation.runner.steps import Act, play, seals
from firvane.simulation.runner.wire import Jobs


class Fleet:
    """Boxes, discovery's agents and the relay.

    `has_lag` lets answers come as late as the way there and back takes, for loops whose links take no time.
    `on_box` is told of each box's addresses and its zone before it is up. `jobs` are the sealed ones unless
    boxes are to serve others.
    """

    def __init__(
        self,
        clock: Clock,
        doors: Doors,
        plan: Plan,
        scenario: Scenario,
        seed: int,
        sink: Sink,
        has_lag: bool = False,
        on_box: Callable[[list[Address], str], None] = lambda addresses, zone: None,
        jobs: Jobs | None = None,
    ) -> None:
        self.clock, self.doors, self.plan, self.scenario = clock, doors, plan, scenario
        self.seed, self.sink, self.on_box = seed, sink, on_box
        self.seats = seats(scenario.network, scenario.proxies)
        self.jobs = jobs or seals(scenario, seed)
        self.links = Links(scenario.network, seed)
        self.calm = Links(scenario.network, seed) if has_lag else None  # the delays, whatever is cut
        self.registry = Registry(seed, scenario.network)
        self.timeline = Timeline(scenario, seed)
        self.kinds = {kind.name: kind for kind in scenario.boxes.kinds}
        self.hosts: dict[str, Host] = {}
        self.numbers: dict[str, int] = {}
        for place in self.timeline.fleet:
            self._stand_up(place.name, place.kind, place.zone, True)
            self.registry.change(0.0, place.name, "up", place.zone, place.kind.name)
        self.registry.begin()
        self.agents = {
            seat.name: Agent(
                clock, doors, plan.agent(number), seat.name, self.registry, partial(self._where, number), sink
            )
            for number, seat in enumerate(self.seats)
        }
        zones = tuple(seat.zone for seat in self.seats)
        names = tuple(seat.name for seat in self.seats)
        agrees = scenario.proxies.voters > 0
        self.relay = Relay(clock, plan, names, zones, self.links, sink, early=agrees)

    async def open(self) -> None:
        """Be there for the proxies; `OSError` where an address cannot be had."""
        for host in self.hosts.values():
            host.open()
        for agent in self.agents.values():
            agent.open()
        if self.scenario.network.peers:
            await self.relay.open()
        self.acts: dict[Action, Act] = {
            Action.START: self._start, Action.DRAIN: self._drain, Action.STOP: self._stop,
            Action.RESTART: self._restart, Action.SILENCE: self._silence, Action.PAUSE: self._pause,
            Action.SLOW: self._slow, Action.RESET: self._reset,
            Action.CUT: self._cut, Action.HEAL: self._heal, Action.LINK: self._link, Action.AWAY: self._away,
        }  # fmt: skip
        play(self.clock, self.timeline.steps(), self.acts)
        for shaded in self.timeline.shaded():
            self.clock.call_at(shaded.at, lambda now, shaded=shaded: self.sink(shaded))

    def strike(self, step: Step) -> None:
        """Carry out a step now that no trouble of the scenario has planned; it must be open."""
        self.acts[step.action](self.clock.now(), step)

    def known(self, proxy: str) -> dict[str, Any]:
        """A proxy starts anew: the list that it had."""
        return self.agents[proxy].restarted()

    def close(self) -> None:
        for host in self.hosts.values():
            host.close()
        for agent in self.agents.values():
            agent.close()
        self.relay.close()

    # Boxes

    def _where(self, proxy: int, box: str) -> Address:
        return self.plan.box(proxy, self.numbers[box])

    def _stand_up(self, name: str, kind: Kind, zone: str, warm: bool) -> Host:
        number = self.numbers[name] = len(self.numbers)
        now = self.clock.now()
        box = EmulatedBackend(name, kind, self.scenario.boxes, zone, named(self.seed, name), now, warm)
        ways = {seat.name: self.plan.box(proxy, number) for proxy, seat in enumerate(self.seats)}
        self.on_box(list(ways.values()), zone)
        host = Host(self.clock, self.doors, box, ways, self.jobs, self.sink)
        host.on_fall = partial(self._fell, name)
        if self.calm:
            for seat in self.seats:
                host.ways[seat.name].delay = 2 * (self.calm.delay(now, zone, seat.zone) or 0.0)
        self.hosts[name] = host
        return host

    def _list(self, now: float, step: Step) -> None:
        host = self.hosts[step.box]
        box, since = host.box, now
        self.registry.change(
            now, step.box, DISCOVERY_STATE[step.action], box.zone, box.kind.name, box.start, since
        )
        self._tell()

    def _tell(self) -> None:
        for agent in self.agents.values():
            agent.changed()

    def _fell(self, name: str) -> None:
        """Its process is no more, which is what discovery goes by."""
        self.registry.change(self.clock.now(), name, "removed")
        self._tell()

    def _start(self, now: float, step: Step) -> None:
        host = self._stand_up(step.box, self.kinds[step.kind], step.zone, False)
        for seat in self.seats:
            if self.links.delay(now, step.zone, seat.zone) is None:
                host.cut(seat.name)
        host.open()
        self._list(now, step)

    def _drain(self, now: float, step: Step) -> None:
        host = self.hosts[step.box]
        host.box.drain(now)
        if host.box.state != "fell":
            self._list(now, step)

    def _stop(self, now: float, step: Step) -> None:
        host = self.hosts[step.box]
        if host.box.state != "fell":
            host.box.stop(now)
            host.settle(now)
            self._list(now, step)

    def _restart(self, now: float, step: Step) -> None:
        host = self.hosts[step.box]
        if host.box.state != "fell":
            host.restart(now)
            self._list(now, step)

    def _silence(self, now: float, step: Step) -> None:
        host = self.hosts[step.box]
        host.box.silence(now)
        host.settle(now)

    def _pause(self, now: float, step: Step) -> None:
        host = self.hosts[step.box]
        host.box.pause(now, step.until)
        host.settle(now)

    def _slow(self, now: float, step: Step) -> None:
        self.hosts[step.box].slow(now, step.value)

    def _reset(self, now: float, step: Step) -> None:
        self.hosts[step.box].break_connections()

    # The network

    def _cut(self, now: float, step: Step) -> None:
        self.links.cut(now, step.zone)
        self._set_ways(now)

    def _heal(self, now: float, step: Step) -> None:
        self.links.heal(now, step.zone)
        self._set_ways(now)

    def _link(self, now: float, step: Step) -> None:
        self.relay.strike(step.proxy, step.other, step.until, step.value)

    def _away(self, now: float, step: Step) -> None:
        """Discovery's agents of a zone, or all, say nothing for a while."""
        for seat in self.seats:
            if step.zone in ("", seat.zone):
                agent = self.agents[seat.name]
                agent.silence()
                self.clock.call_at(step.until, self._heard_again, agent, bool(step.value))

    def _heard_again(self, now: float, agent: Agent, older: bool) -> None:
        agent.speak(older)

    def _set_ways(self, now: float) -> None:
        """Let every way be as the links are."""
        for seat in self.seats:
            for host in self.hosts.values():
                is_cut = self.links.delay(now, host.box.zone, seat.zone) is None
                if is_cut != host.ways[seat.name].is_cut:
                    (host.cut if is_cut else host.heal)(seat.name)
            agent = self.agents[seat.name]
            # Discovery reaches an agent by the same ways as any other zone does.
            others = [zone for zone in self.scenario.network.zones if zone != seat.zone]
            is_alone = bool(others) and all(self.links.delay(now, zone, seat.zone) is None for zone in others)
            if is_alone != agent.is_silent:
                (agent.silence if is_alone else agent.speak)()
