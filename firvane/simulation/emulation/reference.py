"""An ideal dispatcher that knows each backend's state exactly: an upper bound for the service of proxies.

Invariants of this module:

1. It serves the same clients with the same backends and the same troubles at the same times as a run, and is
   down where the run's proxies are. Its responses are counted in the same way.
2. It knows each backend's current capacity, work and cache at once and without error, and its messages take
   no time. No proxy can do as well; a run is rated by how close it comes.
3. A request goes to the backend that its key is hashed to if that completes it in time, else to the one that
   completes it first. A request that no backend completes in time is rejected and costs nothing.
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
from firvane.simulation.emulation.timeline import Action, Placement, Step, Timeline
from firvane.simulation.emulation.value import Worth

TIME_PART = 0.8  # part of the remaining time that a response may take: later requests slow it down
PAUSE = 0.1  # s, the Retry-After of a rejection


class Reference:
    """One run of the reference. `play` may be called once; `worth` holds the worth requested and earned."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.worth = scenario, Worth(scenario)
        self._population = ClientPopulation(scenario.load, scenario.network, scenario.proxies, seed)
        self._timeline = Timeline(scenario, seed)
        self._seed = seed
        self._boxes: dict[str, EmulatedBackend] = {}
        self._salts: dict[str, int] = {}
        self._in_progress: dict[str, tuple[Try, str]] = {}  # tries in progress and their backends
        self._unearned: dict[str, Asked] = {}  # requests not served yet, by the call id of the first try
        self._down: dict[str, int] = {}  # by proxy: 1 while it is down
        self._cut: dict[str, int] = {}
        self._zones = {seat.name: seat.zone for seat in seats(scenario.network, scenario.proxies)}
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = count().__next__
        self._next_advance: dict[str, float] = {}  # by backend: the time of its next scheduled advance

    def play(self) -> Worth:
        """Run the whole scenario; return the worth requested and earned."""
        for place in self._timeline.fleet:
            self._add_backend(place, 0.0, True)
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

    # Requests

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
        self._unearned[try_.first] = asked
        self._send(now, try_)
        self._next(now)

    def _send(self, now: float, try_: Try) -> None:
        if self._down.get(try_.proxy):
            self._retry(now, try_, 0, 0.0)
        elif box := self._choose(now, try_):
            self._in_progress[try_.call] = try_, box.name
            box.offer(now, try_.call, try_.key, try_.work)
            self._schedule_advance(box.name)
            self._at(try_.deadline, self._abandon, try_)
        else:
            self._retry(now, try_, 503, PAUSE)

    def _retry(self, now: float, try_: Try, status: int, wait: float) -> None:
        retry = self._population.retry(now, try_, status, wait)
        if retry:
            self._at(retry.at, self._send, retry)
        else:
            self._unearned.pop(try_.first, None)

    def _abandon(self, now: float, try_: Try) -> None:
        if self._in_progress.pop(try_.call, None):
            for box in self._boxes.values():
                box.cancel(now, try_.call)
            self._retry(now, try_, 0, 0.0)

    def _choose(self, now: float, try_: Try) -> EmulatedBackend | None:
        left = TIME_PART * (try_.first_at + try_.aim - now)
        zone = self._zones[try_.proxy]
        best, soonest, key = None, left, named(self._seed, try_.key)
        affine, highest = None, -inf
        for box in self._boxes.values():
            if box.draining or not box.is_up or box.state == "paused":
                continue
            if box.zone != zone and (self._cut.get(zone) or self._cut.get(box.zone)):
                continue
            took = box.would_take(now, try_.key, try_.work)
            # Weighted rendezvous hashing: the number of a backend's keys is proportional to its size.
            drawn = part(mix(self._salts[box.name] ^ key)) or 1e-12
            rank = -box.cores * box.speed / log(drawn)
            if rank > highest:
                affine, highest = (box if took <= left else None), rank
            if took < soonest:
                best, soonest = box, took
        return affine or best

    # Backends

    def _add_backend(self, place: Placement, now: float, warm: bool) -> None:
        seed = named(self._seed, place.name)
        box = EmulatedBackend(place.name, place.kind, self.scenario.boxes, place.zone, seed, now, warm)
        self._boxes[place.name] = box
        self._salts[place.name] = named(self._seed, f"salt/{place.name}")

    def _schedule_advance(self, name: str) -> None:
        at = self._boxes[name].next_at()
        if at < self._next_advance.get(name, inf):
            self._next_advance[name] = at
            self._at(at, self._advance, name)

    def _advance(self, now: float, name: str) -> None:
        if self._next_advance.get(name) == now:
            del self._next_advance[name]
        for done in self._boxes[name].advance(now):
            entry = self._in_progress.pop(done.call, None)
            if entry is None:
                continue
            if done.end is not JobEnd.COMPLETED:
                self._retry(now, entry[0], 0, 0.0)
            elif (first := self._unearned.pop(entry[0].first, None)) and done.at <= first.meant + first.aim:
                self.worth.add(first, True)
        self._schedule_advance(name)

    # Steps of the timeline

    def _step(self, now: float, step: Step) -> None:
        box = self._boxes.get(step.box)
        match step.action:
            case Action.START:
                kinds = {kind.name: kind for kind in self.scenario.boxes.kinds}
                self._add_backend(Placement(step.box, kinds[step.kind], step.zone), now, False)
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
                self._apply(now, box, step)
        if step.action is Action.END:
            back = self.scenario.proxies.back_s
            self._at(now + back, self._step, step._replace(action=Action.LAUNCH))

    def _apply(self, now: float, box: EmulatedBackend, step: Step) -> None:
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
            case Action.RESET:  # its connections are reset, which ends the tries in progress on them
                for call, (try_, name) in list(self._in_progress.items()):
                    if name == box.name:
                        del self._in_progress[call]
                        box.cancel(now, call)
                        self._retry(now, try_, 0, 0.0)
        self._advance(now, box.name)
