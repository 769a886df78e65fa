"""The lives of a rehearsal's proxies: started, killed, told to end, changed, and started again."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from firvane.simulation.emulation.network import Seat, seats
from firvane.simulation.emulation.records import Proposed, ProxyState
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.seeded_random import named
from firvane.simulation.emulation.timeline import Action, Step, Timeline
from firvane.simulation.runner import policies, state_poller
from firvane.simulation.runner.backends import Sink
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.plan import Plan, configuration
from firvane.simulation.runner.policies import Operator, Script
from firvane.simulation.runner.steps import Act, play

LAME_S = 0.7  # s after an order to end
COUNTED_S = 3.0  # s, the longest that a deadline counts till it is killed


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
        asked = [state_poller.recovery] if scenario.proxies.recovery else []
        asked += [state_poller.policy] if scenario.proxies.voters else []
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
