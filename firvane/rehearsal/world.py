"""A scenario on a loop: boxes with discovery and the peers' relay, the members, and the proxies' lives.

Each of the three sees to its own steps of the timeline, so that each can be in a process of its own. All of
them draw from the same scenario and seed.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Any, Protocol

from firvane.fleet.box import Box
from firvane.fleet.chance import named
from firvane.fleet.crowd import Crowd
from firvane.fleet.network import Links, Seat, seats
from firvane.fleet.records import Proposed, ProxyState
from firvane.fleet.registry import Registry
from firvane.fleet.scenario import Kind, Scenario
from firvane.fleet.timeline import TOLD, Action, Step, Timeline
from firvane.rehearsal import asker, policies
from firvane.rehearsal.boxes import Host, Sink
from firvane.rehearsal.clients import Clients
from firvane.rehearsal.clock import Clock
from firvane.rehearsal.discovery import Agent
from firvane.rehearsal.doors import Address, Doors
from firvane.rehearsal.plan import Plan, configuration
from firvane.rehearsal.policies import Operator, Script
from firvane.rehearsal.relay import Relay
from firvane.rehearsal.wire import Jobs, Seals

LAME_S, COUNTED_S = (
    0.7,
    3.0,
)  # s after an order to end, and the longest that a deadline counts, till it is killed

Act = Callable[[float, Step], None]


def play(clock: Clock, steps: Sequence[Step], acts: dict[Action, Act]) -> None:
    """Carry out at their times those of the steps that there is an act for."""
    for step in steps:
        if act := acts.get(step.action):
            clock.call_at(step.at, act, step)


def seals(scenario: Scenario, seed: int) -> Seals:
    return Seals(seed, scenario.load.request_class, scenario.load.body_bytes)


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
        box = Box(name, kind, self.scenario.boxes, zone, named(self.seed, name), now, warm)
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
        self.registry.change(now, step.box, TOLD[step.action], box.zone, box.kind.name, box.start, since)
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
        self.crowd = Crowd(scenario.load, scenario.network, scenario.proxies, seed)
        places = {
            seat.name: (seat.zone, plan.listen(number))
            for number, seat in enumerate(seats(scenario.network, scenario.proxies))
        }
        self.clients = Clients(
            clock, self.crowd, places, seals(scenario, seed), seed, sink, on_ready, part, parts, resets_tell,
            told_epochs=bool(scenario.proxies.voters) or scenario.proxies.change_by == "files",
        )  # fmt: skip

    def begin(self) -> None:
        """Ask from 0 s on, to the end of the scenario."""
        acts: dict[Action, Act] = {Action.BURST: self._burst, Action.LOCKSTEP: self._lockstep}
        play(self.clock, Timeline(self.scenario, self.seed).steps(), acts)
        self.clients.begin(self.scenario.seconds)

    def _burst(self, now: float, step: Step) -> None:
        self.crowd.burst(now, step.community, step.value, step.until)

    def _lockstep(self, now: float, step: Step) -> None:
        self.crowd.lockstep(now, step.until)


class Proxies(Protocol):
    """Whoever has the proxies' processes. It tells `Tier.ended` of each end, once."""

    folder: Path  # their disk

    def launch(self, number: int, told: dict[str, Any]) -> None:
        """Start one, with the platform's configuration."""

    def kill(self, number: int) -> None: ...

    def end(self, number: int) -> None:
        """Tell one to end in order."""

    def reload(self, number: int, told: dict[str, Any]) -> None:
        """Write a running one's configuration anew and tell it to read that."""

    def spoil(self, number: int, memory: str) -> None:
        """What becomes of the disk of one that has lost its power: "kept", "lost", "old" or "torn"."""

    def stall(self, number: int) -> None:
        """Let one stand still."""

    def go_on(self, number: int) -> None:
        """Let one that stands still go on where it was."""

    def step_clock(self, number: int, seconds: float) -> None:
        """Its wall clock steps."""


class FrontSide(Protocol):
    """What the front is told of the proxies' processes."""

    def started(self, proxy: str) -> None: ...

    def ending(self, proxy: str) -> None: ...

    def dead(self, proxy: str) -> None: ...


class Tier:
    """The lives of the proxies: started, killed, told to end, and started again."""

    def __init__(
        self,
        clock: Clock,
        plan: Plan,
        scenario: Scenario,
        seed: int,
        proxies: Proxies,
        front: FrontSide,
        ask_known: Callable[[str, Callable[[dict[str, Any]], None]], None],
        sink: Sink,
    ) -> None:
        """`ask_known` asks for the list that a proxy had when it last lived; its callback is the answer."""
        self.clock, self.plan, self.scenario, self.seed = clock, plan, scenario, seed
        self.proxies, self.front, self.ask_known, self.sink = proxies, front, ask_known, sink
        self.seats: tuple[Seat, ...] = seats(scenario.network, scenario.proxies)
        self.numbers = {seat.name: number for number, seat in enumerate(self.seats)}
        self.lives = [0] * len(self.seats)
        self.running: set[int] = set()
        self.ending: set[int] = set()
        self.ready: set[str] = set()  # that have been ready once
        self.is_over = False
        doors = [(seat.name, plan.ops(number)) for number, seat in enumerate(self.seats)]
        asked = [asker.recovery] if scenario.proxies.recovery else []
        asked += [asker.policy] if scenario.proxies.voters else []
        self.askers = [ask(clock, name, door, sink) for ask in asked for name, door in doors]
        self.doors, self.operators = doors, list[Operator]()
        self.script = Script(clock, len(self.seats), self._reload)
        self.files = [-1] * len(self.seats)  # the number of the change that a proxy's file holds
        self.epochs = {-1: 1}  # of the changes by files, in their order
        self.cuts = dict.fromkeys(scenario.network.zones, 0)

    def open(self) -> None:
        """Start all of them, and let the timeline see to the rest."""
        if self.scenario.proxies.voters:
            policies.found(self.proxies.folder, self.scenario, [seat.name for seat in self.seats])
        for asks in self.askers:
            asks.begin()
        for seat in self.seats:
            self._launch(seat)
        self.acts: dict[Action, Act] = {
            Action.KILL: self._kill, Action.LAUNCH: self._launch_again, Action.END: self._end,
            Action.STALL: self._stall, Action.CLOCK: self._step_clock, Action.CHANGE: self._change,
            Action.CUT: self._cut, Action.HEAL: self._cut,
        }  # fmt: skip
        play(self.clock, Timeline(self.scenario, self.seed).steps(), self.acts)

    def strike(self, step: Step) -> None:
        """Carry out a step now that no trouble of the scenario has planned; it must be open."""
        self.acts[step.action](self.clock.now(), step)

    def is_ready(self, proxy: str) -> None:
        """The front has found it ready."""
        self.ready.add(proxy)
        self._put(proxy, "ready")

    def ended(self, number: int, code: int) -> None:
        """Its process has come to its end, which nobody brought about by a kill."""
        if number not in self.running:
            return
        seat = self.seats[number]
        self._down(number, seat, "ended", code)
        if not self.is_over:
            again = self.clock.now() + self.scenario.proxies.back_s
            self.clock.call_at(again, lambda now: self._launch(seat))

    def _put(self, proxy: str, state: str, code: int = 0) -> None:
        self.sink(ProxyState(self.clock.now(), proxy, state, code))

    def _launch(self, seat: Seat) -> None:
        number = self.numbers[seat.name]
        if number in self.running or self.is_over:
            return
        self.running.add(number)
        self.lives[number] += 1
        life = self.lives[number]
        start = named(self.seed, f"{seat.name}/{life}")

        def known(listed: dict[str, Any]) -> None:
            # Asked of another process: meanwhile it may have been killed, or all be over.
            if self.is_over or number not in self.running or self.lives[number] != life:
                return
            told = self._configuration(number, start, listed)
            if self.scenario.proxies.voters:
                policies.keep(policies.folder(self.proxies.folder, seat.name))
            self._put(seat.name, "started")
            self.proxies.launch(number, told)
            self.front.started(seat.name)

        self.ask_known(seat.name, known)

    def _configuration(self, number: int, seed: int, listed: dict[str, Any]) -> dict[str, Any]:
        """What its file says now."""
        limits, change = self.scenario.proxies, self.files[number]
        shown = policies.changed(self.scenario, change)
        told = configuration(
            shown, self.plan, self.seats[number], number, seed, listed, str(self.proxies.folder),
            policies.attempts(self.scenario, change),
        )  # fmt: skip
        if limits.change_by == "files":
            told["policy_epoch"] = self.epochs[change]  # a mark for the rehearsal, which no proxy reads
        return told

    def _change(self, now: float, step: Step) -> None:
        number, first = int(step.value), self.numbers[step.proxy]
        if self.scenario.proxies.change_by == "files":
            self.epochs[number] = len(self.epochs) + 1
            self.sink(Proposed(now, "", f"file {number}"))
            self.script.begin(now, number)
            return
        wanted = policies.text(self.scenario, number)
        operator = Operator(self.clock, self.doors, wanted, first, self.sink)
        self.operators.append(operator)
        operator.begin(now)

    def _reload(self, number: int, change: int) -> bool:
        """The script's try at one proxy; a later change's file is left alone."""
        if number not in self.running or self.cuts[self.seats[number].zone]:
            return False
        if self.epochs[change] > self.epochs[self.files[number]]:
            self.files[number] = change
            start = named(self.seed, f"{self.seats[number].name}/{self.lives[number]}")
            self.proxies.reload(number, self._configuration(number, start, {}))
        return True

    def _cut(self, now: float, step: Step) -> None:
        self.cuts[step.zone] += 1 if step.action is Action.CUT else -1

    def _launch_again(self, now: float, step: Step) -> None:
        self._launch(self.seats[self.numbers[step.proxy]])

    def _kill(self, now: float, step: Step) -> None:
        number = self.numbers[step.proxy]
        if number in self.running:
            self._down(number, self.seats[number], "killed", -9)
            self.proxies.kill(number)
            self.proxies.spoil(number, step.memory)
            if self.scenario.proxies.voters:
                policies.spoil(policies.folder(self.proxies.folder, step.proxy), step.memory)

    def _stall(self, now: float, step: Step) -> None:
        number = self.numbers[step.proxy]
        if number in self.running:
            self.proxies.stall(number)
            self._put(step.proxy, "stalled")
            life = self.lives[number]
            self.clock.call_at(step.until, self._go_on, number, life)

    def _go_on(self, now: float, number: int, life: int) -> None:
        if number in self.running and self.lives[number] == life:
            self.proxies.go_on(number)
            self._put(self.seats[number].name, "on")

    def _step_clock(self, now: float, step: Step) -> None:
        self.proxies.step_clock(self.numbers[step.proxy], step.value)

    def _end(self, now: float, step: Step) -> None:
        number = self.numbers[step.proxy]
        if number not in self.running or number in self.ending:
            return
        self.ending.add(number)
        self._put(step.proxy, "ending")
        self.front.ending(step.proxy)
        self.proxies.end(number)
        life = self.lives[number]
        latest = now + LAME_S + min(COUNTED_S, self.scenario.load.deadline_s) + 0.1

        def overdue(now: float) -> None:
            if number in self.ending and self.lives[number] == life:
                seat = self.seats[number]
                self._down(number, seat, "killed", -9)
                self.proxies.kill(number)
                self.clock.call_at(now + self.scenario.proxies.back_s, lambda now: self._launch(seat))

        self.clock.call_at(latest, overdue)

    def _down(self, number: int, seat: Seat, state: str, code: int) -> None:
        self.running.discard(number)
        self.ending.discard(number)
        self._put(seat.name, state, code)
        self.front.dead(seat.name)

    def close(self) -> None:
        """The end of the rehearsal: kill what runs."""
        self.is_over = True
        for asks in self.askers:
            asks.close()
        for operator in self.operators:
            operator.close()
        for number in sorted(self.running):
            self.proxies.kill(number)
