"""A reference to hold a run against: one dispatcher that sees what each box can do, and asks no more of it.

Rules that hold here and nowhere else:

1. It is asked what a run's members ask, meets the same boxes and the same troubles at the same times, and
   is down where the run's proxies are; what it answers is counted as theirs is.
2. It knows at once and without error what a box can do now, has in work, and remembers. It neither learns
   nor is told late, and what it sends takes no time on its way: no proxy can do as well, and how near one
   comes is the figure.
3. A request goes to its key's own box while that ends it in time, else to whichever box ends it first. What
   would end in time nowhere is refused, and costs no box anything.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import inf, log
from typing import Any

from firvane.simulation.emulation.backend import EmulatedBackend, JobEnd
from firvane.simulation.emulation.clients import ClientPopulation, Try
from firvane.simulation.emulation.network import seats
from firvane.simulation.emulation.records import Asked
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.seeded_random import mix, named, part
from firvane.simulation.emulation.timeline import Action, Place, Step, Timeline
from firvane.simulation.emulation.value import Worth

SURE = 0.8  # of the time left that an answer may be expected to take: those that come later slow it
PAUSE = 0.1  # s that who is refused is told to stay away


class Reference:
    """One run of it. `play` may be called once; `worth` holds what was asked and earned."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.worth = scenario, Worth(scenario)
        self._population = ClientPopulation(scenario.load, scenario.network, scenario.proxies, seed)
        self._timeline = Timeline(scenario, seed)
        self._seed = seed
        self._boxes: dict[str, EmulatedBackend] = {}
        self._salts: dict[str, int] = {}
        self._out: dict[str, tuple[Try, str]] = {}  # tries at boxes, and where
        self._firsts: dict[str, Asked] = {}  # not earned yet, by their first call
        self._down: dict[str, int] = {}  # proxies that are, and how often over
        self._cut: dict[str, int] = {}
        self._zones = {seat.name: seat.zone for seat in seats(scenario.network, scenario.proxies)}
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = count().__next__
        self._looked: dict[str, float] = {}  # when each box is looked at next

    def play(self) -> Worth:
        """All of the scenario; what was asked for, and what was earned."""
        for place in self._timeline.fleet:
            self._stand_up(place, 0.0, True)
        for step in self._timeline.steps():
            self._at(step.at, self._step, step)
        self._tries = self._population.tries()
        self._next(0.0)
        while self._due:
            at, _, act, more = heappop(self._due)
            act(at, *more)
        return self.worth

    def _at(self, when: float, act: Callable[..., None], *more: Any) -> None:
        heappush(self._due, (when, self._order(), act, more))

    # What is asked

    def _next(self, now: float) -> None:
        try_ = next(self._tries)
        if try_.at < self.scenario.seconds:
            self._at(try_.at, self._first, try_)

    def _first(self, now: float, try_: Try) -> None:
        asked = Asked(
            now, try_.call, try_.first, try_.at, try_.proxy, try_.zone, try_.community, try_.key, try_.work,
            try_.worth, try_.aim, try_.deadline, False,
        )  # fmt: skip
        self.worth.add(asked, False)
        self._firsts[try_.first] = asked
        self._ask(now, try_)
        self._next(now)

    def _ask(self, now: float, try_: Try) -> None:
        if self._down.get(try_.proxy):
            self._retry(now, try_, 0, 0.0)
        elif box := self._choose(now, try_):
            self._out[try_.call] = try_, box.name
            box.offer(now, try_.call, try_.key, try_.work)
            self._look(box.name)
            self._at(try_.deadline, self._give_up, try_)
        else:
            self._retry(now, try_, 503, PAUSE)

    def _retry(self, now: float, try_: Try, status: int, wait: float) -> None:
        retry = self._population.retry(now, try_, status, wait)
        if retry:
            self._at(retry.at, self._ask, retry)
        else:
            self._firsts.pop(try_.first, None)

    def _give_up(self, now: float, try_: Try) -> None:
        if self._out.pop(try_.call, None):
            for box in self._boxes.values():
                box.cancel(now, try_.call)
            self._retry(now, try_, 0, 0.0)

    def _choose(self, now: float, try_: Try) -> EmulatedBackend | None:
        left = SURE * (try_.first_at + try_.aim - now)
        zone = self._zones[try_.proxy]
        best, soonest, key = None, left, named(self._seed, try_.key)
        own, highest = None, -inf
        for box in self._boxes.values():
            if box.draining or not box.is_up or box.state == "paused":
                continue
            if box.zone != zone and (self._cut.get(zone) or self._cut.get(box.zone)):
                continue
            took = box.would_take(now, try_.key, try_.work)
            # Highest random weight, so that each box has the keys that its size is worth.
            drawn = part(mix(self._salts[box.name] ^ key)) or 1e-12
            rank = -box.cores * box.speed / log(drawn)
            if rank > highest:
                own, highest = (box if took <= left else None), rank
            if took < soonest:
                best, soonest = box, took
        return own or best

    # Boxes

    def _stand_up(self, place: Place, now: float, warm: bool) -> None:
        seed = named(self._seed, place.name)
        box = EmulatedBackend(place.name, place.kind, self.scenario.boxes, place.zone, seed, now, warm)
        self._boxes[place.name] = box
        self._salts[place.name] = named(self._seed, f"salt/{place.name}")

    def _look(self, name: str) -> None:
        at = self._boxes[name].next_at()
        if at < self._looked.get(name, inf):
            self._looked[name] = at
            self._at(at, self._advance, name)

    def _advance(self, now: float, name: str) -> None:
        if self._looked.get(name) == now:
            del self._looked[name]
        for done in self._boxes[name].advance(now):
            entry = self._out.pop(done.call, None)
            if entry is None:
                continue
            if done.end is not JobEnd.COMPLETED:
                self._retry(now, entry[0], 0, 0.0)
            elif (first := self._firsts.pop(entry[0].first, None)) and done.at <= first.meant + first.aim:
                self.worth.add(first, True)
        self._look(name)

    # What befalls them

    def _step(self, now: float, step: Step) -> None:
        box = self._boxes.get(step.box)
        match step.action:
            case Action.START:
                kinds = {kind.name: kind for kind in self.scenario.boxes.kinds}
                self._stand_up(Place(step.box, kinds[step.kind], step.zone), now, False)
            case Action.KILL | Action.END:
                self._down[step.proxy] = 1
            case Action.LAUNCH:
                self._down[step.proxy] = 0
            case Action.CUT:
                self._cut[step.zone] = self._cut.get(step.zone, 0) + 1
            case Action.HEAL:
                self._cut[step.zone] -= 1
            case Action.BURST:
                self._population.burst(now, step.community, step.value, step.until)
            case Action.LOCKSTEP:
                self._population.lockstep(now, step.until)
            case _ if box:
                self._strike(now, box, step)
        if step.action is Action.END:
            back = self.scenario.proxies.back_s
            self._at(now + back, self._step, step._replace(action=Action.LAUNCH))

    def _strike(self, now: float, box: EmulatedBackend, step: Step) -> None:
        match step.action:
            case Action.DRAIN:
                box.drain(now)
            case Action.STOP:
                box.stop(now)
            case Action.RESTART:
                box.restart(now)
            case Action.SILENCE:
                box.silence(now)
            case Action.PAUSE:
                box.pause(now, step.until)
            case Action.SLOW:
                box.slow(now, step.value)
            case Action.RESET:  # its connections break, and what is out on them with those
                for call, (try_, name) in list(self._out.items()):
                    if name == box.name:
                        del self._out[call]
                        box.cancel(now, call)
                        self._retry(now, try_, 0, 0.0)
        self._advance(now, box.name)
