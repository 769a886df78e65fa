"""Expands a scenario's troubles (faults and load changes) into timed steps; all random draws are made ahead.

Invariants of this module:

1. Each trouble draws from a seed of its own: adding or removing one leaves the others' draws unchanged,
   and changes their targets only if a backend is no longer available.
2. A trouble affects available backends only: neither silent, crashed nor leaving. Exception: a deploy or
   churn also replaces a silent or crashed backend, which then does not recover.
3. Pauses and slowdowns combine with one another and with a warm-up: slow factors multiply, the longer pause
   applies. A backend that fails while paused is no longer paused.
4. Bursts of one community add up. A zone that is cut off twice is healed when both cuts are over.
5. Whoever executes the steps skips those whose backend has fallen or whose proxy is already down.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from functools import partial
from heapq import heappop, heappush
from math import ceil, prod
from random import Random
from typing import NamedTuple

from firvane.simulation.emulation.network import seats
from firvane.simulation.emulation.records import Shaded
from firvane.simulation.emulation.scenario import Kind, Scenario, Trouble


class Action(Enum):
    """What a step does."""

    START = "start"  # a new backend starts, cold
    DRAIN = "drain"
    STOP = "stop"  # a backend's process ends
    RESTART = "restart"  # a backend starts again under the same name, cold
    SILENCE = "silence"
    PAUSE = "pause"
    SLOW = "slow"
    RESET = "reset"  # a backend's connections are reset
    CUT = "cut"
    HEAL = "heal"
    BURST = "burst"
    LOCKSTEP = "lockstep"
    KILL = "kill"  # a proxy's process ends at once
    LAUNCH = "launch"  # a proxy is started again
    END = "end"  # a proxy is ordered to end, and is started again `back_s` after it has ended
    STALL = "stall"  # a proxy's process is suspended until `until`
    LINK = "link"  # datagrams from one proxy to another are lost, or late by `value` s, until `until`
    AWAY = "away"  # discovery sends nothing until `until`; with a `value` it then sends an older list first
    CLOCK = "clock"  # a proxy's wall clock steps by `value` s
    CHANGE = "change"  # operators change the policy, first at that proxy; `value` is the trouble's number


# The state that discovery reports after a step. It doesn't notice other steps.
DISCOVERY_STATE = {
    Action.START: "up",
    Action.RESTART: "up",
    Action.DRAIN: "draining",
    Action.STOP: "removed",
}


class Placement(NamedTuple):
    """A backend's name, kind and zone."""

    name: str
    kind: Kind
    zone: str


class Step(NamedTuple):
    """An action at a time. Fields that the action doesn't use are empty."""

    at: float
    action: Action
    box: str = ""
    zone: str = ""
    kind: str = ""  # of a new backend
    proxy: str = ""
    community: str = ""
    until: float = 0.0
    value: float = 0.0  # factor of a burst, or remaining part of the speed
    other: str = ""  # the proxy at the far end of a link
    memory: str = "kept"  # what happens to the disk of a killed proxy


class PlannedBackend:
    """The planned state of a backend at the current time of the plan."""

    __slots__ = ("failed_by", "leaving", "place", "slow")

    def __init__(self, place: Placement) -> None:
        self.place = place
        self.failed_by: Action | None = None  # SILENCE or STOP until it recovers
        self.leaving = False  # draining or removed
        self.slow: list[float] = []


def initial_fleet(scenario: Scenario, seed: int) -> tuple[Placement, ...]:
    """Return the initial backends: kinds in proportion to their shares, zones assigned in turn."""
    boxes = scenario.boxes
    total = sum(kind.share for kind in boxes.kinds)
    exact = [kind.share / total * boxes.count for kind in boxes.kinds]
    counts = [int(number) for number in exact]
    by_rest = sorted(range(len(exact)), key=lambda n: counts[n] - exact[n])
    for n in by_rest[: boxes.count - sum(counts)]:
        counts[n] += 1
    kinds = [kind for kind, count in zip(boxes.kinds, counts, strict=True) for _ in range(count)]
    Random(f"fleet/{seed}").shuffle(kinds)
    zones = scenario.network.zones
    return tuple(Placement(f"box-{n + 1}", kind, zones[n % len(zones)]) for n, kind in enumerate(kinds))


def sample_share(draw: Random, available: list[PlannedBackend], share: float) -> list[PlannedBackend]:
    """Draw this share of the backends, at least one if there are any."""
    return draw.sample(available, min(len(available), max(1, round(share * len(available)))))


class Timeline:
    """All planned steps for backends, network, clients and proxies."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.fleet = initial_fleet(scenario, seed)
        self._scenario = scenario
        self._backends = {place.name: PlannedBackend(place) for place in self.fleet}
        self._name_count = len(self.fleet)
        self._steps: list[Step] = []
        self._shaded: list[Shaded] = []
        self._scheduled: list[tuple[float, bool, int, Callable[[float], None]]] = []
        self._schedule_count = 0
        handlers = {
            "silent": self._silent, "crash": self._crash, "pause": self._pause, "slow": self._slow,
            "reset": self._reset, "drain": self._drain, "deploy": self._deploy, "churn": self._churn,
            "burst": self._burst, "cut": self._cut, "lockstep": self._lockstep,
            "kill": self._kill, "herd": self._kill_many, "restart": self._end, "power": self._power,
            "stall": self._stall, "link": self._link, "away": self._away, "clock": self._clock,
        }  # fmt: skip
        for number, trouble in enumerate(scenario.troubles):
            draw = Random(f"trouble/{seed}/{number}")
            if trouble.kind == "change":
                self._schedule(trouble.at_s, partial(self._change, number, trouble, draw))
            else:
                self._schedule(trouble.at_s, partial(handlers[trouble.kind], trouble, draw))
        while self._scheduled:
            at, _, _, act = heappop(self._scheduled)
            if at <= scenario.seconds:
                act(at)

    def steps(self) -> list[Step]:
        """Return every step up to the end of the scenario, in order of time."""
        return list(self._steps)

    def shaded(self) -> list[Shaded]:
        """Return a record of each trouble's begin and end, sorted."""
        return sorted(self._shaded)

    def _schedule(self, at: float, act: Callable[[float], None], ends: bool = False) -> None:
        """Schedule `act`. At equal times ends come before begins; otherwise batches would overlap."""
        self._schedule_count += 1
        heappush(self._scheduled, (at, not ends, self._schedule_count, act))

    def _record_trouble(self, at: float, until: float, name: str, where: str) -> None:
        end = min(until, self._scenario.seconds)
        self._shaded.append(Shaded(at, end, f"{name} {where}".rstrip()))

    def _available(self, zone: str, include_failed: bool = False) -> list[PlannedBackend]:
        present = [
            backend
            for backend in self._backends.values()
            if not backend.leaving and (include_failed or not backend.failed_by)
        ]
        return [backend for backend in present if zone in ("", backend.place.zone)]

    # Backends that fail and recover.

    def _silent(self, trouble: Trouble, draw: Random, at: float) -> None:
        zone = trouble.zone or draw.choice(self._scenario.network.zones)
        self._record_trouble(at, at + trouble.for_s, "silent", zone)
        for backend in sample_share(draw, self._available(zone), trouble.part):
            self._fail(backend, Action.SILENCE, at, at + trouble.for_s)

    def _crash(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._record_trouble(at, at + trouble.for_s, "crash", trouble.zone)
        for backend in sample_share(draw, self._available(trouble.zone), trouble.part):
            self._fail(backend, Action.STOP, at, at + trouble.for_s)

    def _fail(self, backend: PlannedBackend, action: Action, at: float, until: float) -> None:
        backend.failed_by = action
        self._steps.append(Step(at, action, backend.place.name))
        self._schedule(until, partial(self._recover, backend), ends=True)

    def _recover(self, backend: PlannedBackend, at: float) -> None:
        if not backend.leaving:
            backend.failed_by = None
            self._steps.append(Step(at, Action.RESTART, backend.place.name))

    # Backends that stay up.

    def _pause(self, trouble: Trouble, draw: Random, at: float) -> None:
        until = at + trouble.for_s
        self._record_trouble(at, until, "pause", trouble.zone)
        for backend in sample_share(draw, self._available(trouble.zone), trouble.part):
            self._steps.append(Step(at, Action.PAUSE, backend.place.name, until=until))

    def _reset(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._record_trouble(at, at, "reset", trouble.zone)
        for backend in sample_share(draw, self._available(trouble.zone), trouble.part):
            self._steps.append(Step(at, Action.RESET, backend.place.name))

    def _slow(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._record_trouble(at, at + trouble.for_s, "slow", trouble.zone)
        for backend in sample_share(draw, self._available(trouble.zone), trouble.part):
            backend.slow.append(trouble.part_speed)
            self._set_speed(backend, at)
            self._schedule(at + trouble.for_s, partial(self._end_slow, backend, trouble.part_speed), True)

    def _end_slow(self, backend: PlannedBackend, part: float, at: float) -> None:
        backend.slow.remove(part)
        self._set_speed(backend, at)

    def _set_speed(self, backend: PlannedBackend, at: float) -> None:
        if backend.place.name in self._backends:
            self._steps.append(Step(at, Action.SLOW, backend.place.name, value=prod(backend.slow, start=1.0)))

    # Backends that are removed.

    def _drain(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._record_trouble(at, at + trouble.drain_s, "drain", trouble.zone)
        for backend in sample_share(draw, self._available(trouble.zone), trouble.part):
            self._remove(backend, trouble.drain_s, False, at)

    def _deploy(self, trouble: Trouble, draw: Random, at: float) -> None:
        available = self._available(trouble.zone, include_failed=True)
        affected = sample_share(draw, available, trouble.part)
        size = max(1, int(trouble.batch * len(available) + 1e-9))
        batches = ceil(len(affected) / size)
        # A batch starts after the one before is replaced; otherwise more than `batch` would be out at once.
        gap = max(trouble.drain_s, (trouble.for_s - trouble.drain_s) / max(1, batches - 1))
        self._record_trouble(at, at + gap * (batches - 1) + trouble.drain_s, "deploy", trouble.zone)
        for number in range(batches):
            batch = affected[number * size : (number + 1) * size]
            self._schedule(at + number * gap, partial(self._replace, batch, trouble.drain_s))

    def _replace(self, batch: list[PlannedBackend], drain_s: float, at: float) -> None:
        for backend in batch:
            if not backend.leaving:
                self._remove(backend, drain_s, True, at)

    def _churn(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._record_trouble(at, at + trouble.for_s, "churn", trouble.zone)
        for number in range(ceil(trouble.for_s / trouble.every_s)):
            self._schedule(at + number * trouble.every_s, partial(self._replace_one, trouble, draw))

    def _replace_one(self, trouble: Trouble, draw: Random, at: float) -> None:
        if available := self._available(trouble.zone, include_failed=True):
            self._remove(draw.choice(available), trouble.drain_s, True, at)

    def _remove(self, backend: PlannedBackend, drain_s: float, succeeded: bool, at: float) -> None:
        """Drain and stop a backend; if `succeeded`, a cold one of its kind replaces it."""
        backend.leaving = True
        if backend.failed_by is not Action.STOP:
            self._steps.append(Step(at, Action.DRAIN, backend.place.name))
        self._schedule(at + drain_s, partial(self._finish_removal, backend, succeeded), ends=True)

    def _finish_removal(self, backend: PlannedBackend, succeeded: bool, at: float) -> None:
        if backend.failed_by is not Action.STOP:
            self._steps.append(Step(at, Action.STOP, backend.place.name))
        del self._backends[backend.place.name]
        if succeeded:
            self._name_count += 1
            new = backend.place._replace(name=f"box-{self._name_count}")
            self._backends[new.name] = PlannedBackend(new)
            self._steps.append(Step(at, Action.START, new.name, zone=new.zone, kind=new.kind.name))

    # Network, clients and proxies.

    def _cut(self, trouble: Trouble, draw: Random, at: float) -> None:
        zone, until = trouble.zone or draw.choice(self._scenario.network.zones), at + trouble.for_s
        self._record_trouble(at, until, "cut", zone)
        self._steps.append(Step(at, Action.CUT, zone=zone, until=until))
        self._schedule(until, lambda then: self._steps.append(Step(then, Action.HEAL, zone=zone)), ends=True)

    def _burst(self, trouble: Trouble, draw: Random, at: float) -> None:
        names = [community.name for community in self._scenario.load.communities]
        name, until = trouble.community or draw.choice(names), at + trouble.for_s
        self._record_trouble(at, until, "burst", name)
        self._steps.append(Step(at, Action.BURST, community=name, until=until, value=trouble.times))

    def _lockstep(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._record_trouble(at, at + trouble.for_s, "lockstep", "")
        self._steps.append(Step(at, Action.LOCKSTEP, until=at + trouble.for_s))

    def _kill(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._kill_one(self._choose_proxy(trouble, draw, at), at, memory=trouble.memory)

    def _kill_many(self, trouble: Trouble, draw: Random, at: float) -> None:
        names = [seat.name for seat in seats(self._scenario.network, self._scenario.proxies)]
        until = at + self._scenario.proxies.back_s
        self._record_trouble(at, until, trouble.kind, f"{trouble.part:.0%} of the proxies")
        for name in draw.sample(names, max(1, round(trouble.part * len(names)))):
            self._kill_one(name, at)

    def _power(self, trouble: Trouble, draw: Random, at: float) -> None:
        """Power off all targets at once; each returns at its own time, with only what its disk has kept."""
        where = " ".join(filter(None, (trouble.zone, "" if trouble.strikes == "both" else trouble.strikes)))
        self._record_trouble(at, at + trouble.for_s, "power", where)
        if trouble.strikes != "proxies":
            for backend in sample_share(draw, self._available(trouble.zone), trouble.part):
                self._fail(backend, Action.STOP, at, at + trouble.for_s)
        if trouble.strikes == "boxes":
            return
        sites = seats(self._scenario.network, self._scenario.proxies)
        names = [seat.name for seat in sites if trouble.zone in ("", seat.zone)]
        affected = draw.sample(names, max(1, round(trouble.part * len(names)))) if names else []
        never, late = round(trouble.never * len(affected)), round(trouble.late * len(affected))
        for number, name in enumerate(affected):
            wait = trouble.late_s if number < never + late else 0.0
            self._kill_one(name, at, wait, number >= never, trouble.memory)

    def _stall(self, trouble: Trouble, draw: Random, at: float) -> None:
        name, until = self._choose_proxy(trouble, draw, at, trouble.for_s), at + trouble.for_s
        self._steps.append(Step(at, Action.STALL, proxy=name, until=until))

    def _link(self, trouble: Trouble, draw: Random, at: float) -> None:
        name, until = self._choose_proxy(trouble, draw, at, trouble.for_s), at + trouble.for_s
        sites = seats(self._scenario.network, self._scenario.proxies)
        others = [sites[trouble.other].name] if trouble.other >= 0 else [seat.name for seat in sites]
        for other in others:
            ways = {"out": [(name, other)], "in": [(other, name)]}
            for a, b in ways.get(trouble.way, [(name, other), (other, name)]):
                if a != b:
                    step = Step(at, Action.LINK, proxy=a, other=b, until=until, value=trouble.late_s)
                    self._steps.append(step)

    def _away(self, trouble: Trouble, draw: Random, at: float) -> None:
        until = at + trouble.for_s
        self._record_trouble(at, until, "away", trouble.zone)
        self._steps.append(Step(at, Action.AWAY, zone=trouble.zone, until=until, value=float(trouble.older)))

    def _clock(self, trouble: Trouble, draw: Random, at: float) -> None:
        name = self._choose_proxy(trouble, draw, at, 0.0)
        self._steps.append(Step(at, Action.CLOCK, proxy=name, value=trouble.step_s))

    def _change(self, number: int, trouble: Trouble, draw: Random, at: float) -> None:
        name = self._choose_proxy(trouble, draw, at, 0.0)
        self._steps.append(Step(at, Action.CHANGE, proxy=name, value=float(number)))

    def _kill_one(
        self, name: str, at: float, wait: float = 0.0, returns: bool = True, memory: str = "kept"
    ) -> None:
        self._steps.append(Step(at, Action.KILL, proxy=name, memory=memory))
        if not returns:
            return
        back = at + self._scenario.proxies.back_s + wait
        self._schedule(back, lambda then: self._steps.append(Step(then, Action.LAUNCH, proxy=name)))

    def _end(self, trouble: Trouble, draw: Random, at: float) -> None:
        # Only the run knows when the process has ended, so there is no step for its restart.
        self._steps.append(Step(at, Action.END, proxy=self._choose_proxy(trouble, draw, at)))

    def _choose_proxy(self, trouble: Trouble, draw: Random, at: float, lasts: float | None = None) -> str:
        sites = seats(self._scenario.network, self._scenario.proxies)
        which = trouble.proxy if trouble.proxy >= 0 else draw.randrange(len(sites))
        until = at + (self._scenario.proxies.back_s if lasts is None else lasts)
        self._record_trouble(at, until, trouble.kind, sites[which].name)
        return sites[which].name
