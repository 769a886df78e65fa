"""Troubles as dated steps, every draw made ahead.

Rules that hold here and nowhere else:

1. Each trouble draws from a seed of its own: one more or less leaves the others' draws as they are, and
   changes what they strike only where a box is no longer there.
2. A trouble strikes boxes that are there: neither silent, crashed nor leaving. With one exception: a deploy
   or churn also replaces a box that fell silent or crashed, and then it does not come back.
3. Pauses and slowness come on top of one another and of a warm-up: slow parts multiply, the longer pause
   holds. A box that vanishes while it is paused is paused no more.
4. Bursts of one community add up. A zone that is cut twice is healed when both cuts are over.
5. A step whose box has fallen over, or whose proxy is down already, is no matter: whoever carries steps out
   passes over it.
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

    START = "start"  # a box that was not there starts, cold
    DRAIN = "drain"
    STOP = "stop"  # a box's process ends
    RESTART = "restart"  # a box starts again under its name, cold
    SILENCE = "silence"
    PAUSE = "pause"
    SLOW = "slow"
    RESET = "reset"  # a box's connections break
    CUT = "cut"
    HEAL = "heal"
    BURST = "burst"
    LOCKSTEP = "lockstep"
    KILL = "kill"  # a proxy's process ends at once
    LAUNCH = "launch"  # a proxy is started again
    END = "end"  # a proxy is told to end, and is started again `back_s` after it has
    STALL = "stall"  # a proxy's process stands still until then
    LINK = "link"  # datagrams from one proxy to another are lost, or late by `value` s, until then
    AWAY = "away"  # discovery says nothing until then; with a `value` it then tells an older list first
    CLOCK = "clock"  # a proxy's wall clock steps by `value` s
    CHANGE = "change"  # operators change the policy, first at that proxy; `value` is the trouble's number


# What discovery learns of a step. Of any other it learns nothing.
TOLD = {Action.START: "up", Action.RESTART: "up", Action.DRAIN: "draining", Action.STOP: "removed"}


class Place(NamedTuple):
    """A box as the fleet has it."""

    name: str
    kind: Kind
    zone: str


class Step(NamedTuple):
    """Something that happens at a time. What the action does not speak of is empty."""

    at: float
    action: Action
    box: str = ""
    zone: str = ""
    kind: str = ""  # of a box that starts
    proxy: str = ""
    community: str = ""
    until: float = 0.0
    value: float = 0.0  # of a burst its times, of slowness the part that is left
    other: str = ""  # the proxy at the far end of a link
    memory: str = "kept"  # what becomes of the disk of a proxy that is killed


class Spot:
    """A box in the plan, as it stands at the time that the plan has come to."""

    __slots__ = ("away", "leaving", "place", "slow")

    def __init__(self, place: Place) -> None:
        self.place = place
        self.away: Action | None = None  # SILENCE or STOP, till it is back
        self.leaving = False  # draining or gone for good
        self.slow: list[float] = []


def first_fleet(scenario: Scenario, seed: int) -> tuple[Place, ...]:
    """The boxes at the beginning: kinds by their shares as near as can be, dealt to the zones in turn."""
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
    return tuple(Place(f"box-{n + 1}", kind, zones[n % len(zones)]) for n, kind in enumerate(kinds))


def some(draw: Random, spots: list[Spot], share: float) -> list[Spot]:
    """This share of them, one at least if there is any."""
    return draw.sample(spots, min(len(spots), max(1, round(share * len(spots)))))


class Timeline:
    """All that will befall fleet, network, members and proxies."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.fleet = first_fleet(scenario, seed)
        self._scenario = scenario
        self._spots = {place.name: Spot(place) for place in self.fleet}
        self._made = len(self.fleet)
        self._steps: list[Step] = []
        self._shaded: list[Shaded] = []
        self._plans: list[tuple[float, bool, int, Callable[[float], None]]] = []
        self._planned = 0
        opening = {
            "silent": self._silent, "crash": self._crash, "pause": self._pause, "slow": self._slow,
            "reset": self._reset, "drain": self._drain, "deploy": self._deploy, "churn": self._churn,
            "burst": self._burst, "cut": self._cut, "lockstep": self._lockstep,
            "kill": self._kill, "herd": self._herd, "restart": self._end, "power": self._power,
            "stall": self._stall, "link": self._link, "away": self._away, "clock": self._clock,
        }  # fmt: skip
        for number, trouble in enumerate(scenario.troubles):
            draw = Random(f"trouble/{seed}/{number}")
            if trouble.kind == "change":
                self._plan(trouble.at_s, partial(self._change, number, trouble, draw))
            else:
                self._plan(trouble.at_s, partial(opening[trouble.kind], trouble, draw))
        while self._plans:
            at, _, _, act = heappop(self._plans)
            if at <= scenario.seconds:
                act(at)

    def steps(self) -> list[Step]:
        """Every step up to the end of the scenario, in order of time."""
        return list(self._steps)

    def shaded(self) -> list[Shaded]:
        """When each trouble begins and ends, as the records say it."""
        return sorted(self._shaded)

    def _plan(self, at: float, act: Callable[[float], None], ends: bool = False) -> None:
        """What ends something comes before what begins at the same time, or batches would overlap."""
        self._planned += 1
        heappush(self._plans, (at, not ends, self._planned, act))

    def _shade(self, at: float, until: float, name: str, where: str) -> None:
        end = min(until, self._scenario.seconds)
        self._shaded.append(Shaded(at, end, f"{name} {where}".rstrip()))

    def _there(self, zone: str, also_away: bool = False) -> list[Spot]:
        here = [spot for spot in self._spots.values() if not spot.leaving and (also_away or not spot.away)]
        return [spot for spot in here if zone in ("", spot.place.zone)]

    # Boxes that go and come back.

    def _silent(self, trouble: Trouble, draw: Random, at: float) -> None:
        zone = trouble.zone or draw.choice(self._scenario.network.zones)
        self._shade(at, at + trouble.for_s, "silent", zone)
        for spot in some(draw, self._there(zone), trouble.part):
            self._take_away(spot, Action.SILENCE, at, at + trouble.for_s)

    def _crash(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._shade(at, at + trouble.for_s, "crash", trouble.zone)
        for spot in some(draw, self._there(trouble.zone), trouble.part):
            self._take_away(spot, Action.STOP, at, at + trouble.for_s)

    def _take_away(self, spot: Spot, action: Action, at: float, until: float) -> None:
        spot.away = action
        self._steps.append(Step(at, action, spot.place.name))
        self._plan(until, partial(self._bring_back, spot), ends=True)

    def _bring_back(self, spot: Spot, at: float) -> None:
        if not spot.leaving:
            spot.away = None
            self._steps.append(Step(at, Action.RESTART, spot.place.name))

    # Boxes that stay.

    def _pause(self, trouble: Trouble, draw: Random, at: float) -> None:
        until = at + trouble.for_s
        self._shade(at, until, "pause", trouble.zone)
        for spot in some(draw, self._there(trouble.zone), trouble.part):
            self._steps.append(Step(at, Action.PAUSE, spot.place.name, until=until))

    def _reset(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._shade(at, at, "reset", trouble.zone)
        for spot in some(draw, self._there(trouble.zone), trouble.part):
            self._steps.append(Step(at, Action.RESET, spot.place.name))

    def _slow(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._shade(at, at + trouble.for_s, "slow", trouble.zone)
        for spot in some(draw, self._there(trouble.zone), trouble.part):
            spot.slow.append(trouble.part_speed)
            self._tell_speed(spot, at)
            self._plan(at + trouble.for_s, partial(self._end_slow, spot, trouble.part_speed), True)

    def _end_slow(self, spot: Spot, part: float, at: float) -> None:
        spot.slow.remove(part)
        self._tell_speed(spot, at)

    def _tell_speed(self, spot: Spot, at: float) -> None:
        if spot.place.name in self._spots:
            self._steps.append(Step(at, Action.SLOW, spot.place.name, value=prod(spot.slow, start=1.0)))

    # Boxes that go for good.

    def _drain(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._shade(at, at + trouble.drain_s, "drain", trouble.zone)
        for spot in some(draw, self._there(trouble.zone), trouble.part):
            self._leave(spot, trouble.drain_s, False, at)

    def _deploy(self, trouble: Trouble, draw: Random, at: float) -> None:
        spots = self._there(trouble.zone, also_away=True)
        struck = some(draw, spots, trouble.part)
        size = max(1, int(trouble.batch * len(spots) + 1e-9))
        batches = ceil(len(struck) / size)
        # No batch before the one ahead of it is replaced, or more than `batch` would be out at once.
        gap = max(trouble.drain_s, (trouble.for_s - trouble.drain_s) / max(1, batches - 1))
        self._shade(at, at + gap * (batches - 1) + trouble.drain_s, "deploy", trouble.zone)
        for number in range(batches):
            batch = struck[number * size : (number + 1) * size]
            self._plan(at + number * gap, partial(self._replace, batch, trouble.drain_s))

    def _replace(self, batch: list[Spot], drain_s: float, at: float) -> None:
        for spot in batch:
            if not spot.leaving:
                self._leave(spot, drain_s, True, at)

    def _churn(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._shade(at, at + trouble.for_s, "churn", trouble.zone)
        for number in range(ceil(trouble.for_s / trouble.every_s)):
            self._plan(at + number * trouble.every_s, partial(self._turn_over, trouble, draw))

    def _turn_over(self, trouble: Trouble, draw: Random, at: float) -> None:
        if spots := self._there(trouble.zone, also_away=True):
            self._leave(draw.choice(spots), trouble.drain_s, True, at)

    def _leave(self, spot: Spot, drain_s: float, succeeded: bool, at: float) -> None:
        """A box drains and stops, and where it is succeeded a cold one of its kind starts in its place."""
        spot.leaving = True
        if spot.away is not Action.STOP:
            self._steps.append(Step(at, Action.DRAIN, spot.place.name))
        self._plan(at + drain_s, partial(self._gone, spot, succeeded), ends=True)

    def _gone(self, spot: Spot, succeeded: bool, at: float) -> None:
        if spot.away is not Action.STOP:
            self._steps.append(Step(at, Action.STOP, spot.place.name))
        del self._spots[spot.place.name]
        if succeeded:
            self._made += 1
            new = spot.place._replace(name=f"box-{self._made}")
            self._spots[new.name] = Spot(new)
            self._steps.append(Step(at, Action.START, new.name, zone=new.zone, kind=new.kind.name))

    # Network, members and proxies.

    def _cut(self, trouble: Trouble, draw: Random, at: float) -> None:
        zone, until = trouble.zone or draw.choice(self._scenario.network.zones), at + trouble.for_s
        self._shade(at, until, "cut", zone)
        self._steps.append(Step(at, Action.CUT, zone=zone, until=until))
        self._plan(until, lambda then: self._steps.append(Step(then, Action.HEAL, zone=zone)), ends=True)

    def _burst(self, trouble: Trouble, draw: Random, at: float) -> None:
        names = [community.name for community in self._scenario.load.communities]
        name, until = trouble.community or draw.choice(names), at + trouble.for_s
        self._shade(at, until, "burst", name)
        self._steps.append(Step(at, Action.BURST, community=name, until=until, value=trouble.times))

    def _lockstep(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._shade(at, at + trouble.for_s, "lockstep", "")
        self._steps.append(Step(at, Action.LOCKSTEP, until=at + trouble.for_s))

    def _kill(self, trouble: Trouble, draw: Random, at: float) -> None:
        self._kill_one(self._proxy(trouble, draw, at), at, memory=trouble.memory)

    def _herd(self, trouble: Trouble, draw: Random, at: float) -> None:
        names = [seat.name for seat in seats(self._scenario.network, self._scenario.proxies)]
        until = at + self._scenario.proxies.back_s
        self._shade(at, until, trouble.kind, f"{trouble.part:.0%} of the proxies")
        for name in draw.sample(names, max(1, round(trouble.part * len(names)))):
            self._kill_one(name, at)

    def _power(self, trouble: Trouble, draw: Random, at: float) -> None:
        """All at once, and back each in its time. What lost its power forgets all but what its disk keeps."""
        where = " ".join(filter(None, (trouble.zone, "" if trouble.strikes == "both" else trouble.strikes)))
        self._shade(at, at + trouble.for_s, "power", where)
        if trouble.strikes != "proxies":
            for spot in some(draw, self._there(trouble.zone), trouble.part):
                self._take_away(spot, Action.STOP, at, at + trouble.for_s)
        if trouble.strikes == "boxes":
            return
        bank = seats(self._scenario.network, self._scenario.proxies)
        names = [seat.name for seat in bank if trouble.zone in ("", seat.zone)]
        struck = draw.sample(names, max(1, round(trouble.part * len(names)))) if names else []
        never, late = round(trouble.never * len(struck)), round(trouble.late * len(struck))
        for number, name in enumerate(struck):
            wait = trouble.late_s if number < never + late else 0.0
            self._kill_one(name, at, wait, number >= never, trouble.memory)

    def _stall(self, trouble: Trouble, draw: Random, at: float) -> None:
        name, until = self._proxy(trouble, draw, at, trouble.for_s), at + trouble.for_s
        self._steps.append(Step(at, Action.STALL, proxy=name, until=until))

    def _link(self, trouble: Trouble, draw: Random, at: float) -> None:
        name, until = self._proxy(trouble, draw, at, trouble.for_s), at + trouble.for_s
        bank = seats(self._scenario.network, self._scenario.proxies)
        others = [bank[trouble.other].name] if trouble.other >= 0 else [seat.name for seat in bank]
        for other in others:
            ways = {"out": [(name, other)], "in": [(other, name)]}
            for a, b in ways.get(trouble.way, [(name, other), (other, name)]):
                if a != b:
                    step = Step(at, Action.LINK, proxy=a, other=b, until=until, value=trouble.late_s)
                    self._steps.append(step)

    def _away(self, trouble: Trouble, draw: Random, at: float) -> None:
        until = at + trouble.for_s
        self._shade(at, until, "away", trouble.zone)
        self._steps.append(Step(at, Action.AWAY, zone=trouble.zone, until=until, value=float(trouble.older)))

    def _clock(self, trouble: Trouble, draw: Random, at: float) -> None:
        name = self._proxy(trouble, draw, at, 0.0)
        self._steps.append(Step(at, Action.CLOCK, proxy=name, value=trouble.step_s))

    def _change(self, number: int, trouble: Trouble, draw: Random, at: float) -> None:
        name = self._proxy(trouble, draw, at, 0.0)
        self._steps.append(Step(at, Action.CHANGE, proxy=name, value=float(number)))

    def _kill_one(
        self, name: str, at: float, wait: float = 0.0, returns: bool = True, memory: str = "kept"
    ) -> None:
        self._steps.append(Step(at, Action.KILL, proxy=name, memory=memory))
        if not returns:
            return
        back = at + self._scenario.proxies.back_s + wait
        self._plan(back, lambda then: self._steps.append(Step(then, Action.LAUNCH, proxy=name)))

    def _end(self, trouble: Trouble, draw: Random, at: float) -> None:
        # When its process is over after that only the run can tell, so there is no step for its return.
        self._steps.append(Step(at, Action.END, proxy=self._proxy(trouble, draw, at)))

    def _proxy(self, trouble: Trouble, draw: Random, at: float, lasts: float | None = None) -> str:
        bank = seats(self._scenario.network, self._scenario.proxies)
        which = trouble.proxy if trouble.proxy >= 0 else draw.randrange(len(bank))
        until = at + (self._scenario.proxies.back_s if lasts is None else lasts)
        self._shade(at, until, trouble.kind, bank[which].name)
        return bank[which].name
