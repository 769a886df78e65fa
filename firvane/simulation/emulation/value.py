"""Sums up the worth requested and earned: in total, by second, by community and by zone.

Invariants of this module:

1. Requests planned for the warm-up appear in the series over time and count for nothing else.
2. The worst 10 s are any ten successive seconds after the warm-up, counted from its end; an incomplete last
   second is left out. In a shorter run the worst stretch is the whole run.
3. A community's service is that of its requests within its share.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from math import floor

from firvane.simulation.emulation.metrics import Series
from firvane.simulation.emulation.records import Asked
from firvane.simulation.emulation.scenario import Scenario

WITHIN = 1.0  # worth of a unit of work within a community's share
WINDOW = 10  # s


class Pair:
    """Worth requested and earned, by second."""

    __slots__ = ("asked", "earned")

    def __init__(self) -> None:
        self.asked = array("d")
        self.earned = array("d")

    def add(self, second: int, worth: float, earned: bool) -> None:
        if second >= len(self.asked):
            more = [0.0] * (second + 1 - len(self.asked))
            self.asked.extend(more)
            self.earned.extend(more)
        (self.earned if earned else self.asked)[second] += worth

    def service(self) -> float:
        """Return the earned part of the requested worth; 1 if none was requested."""
        asked = sum(self.asked)
        return sum(self.earned) / asked if asked else 1.0

    def series(self, per: int) -> Series:
        asked, earned = merged(self.asked, per), merged(self.earned, per)
        return [got / wanted if wanted else None for wanted, got in zip(asked, earned, strict=True)]


class Worth:
    """The worth of a whole run."""

    def __init__(self, scenario: Scenario) -> None:
        self.warm_up, self.seconds = scenario.warm_up_s, scenario.seconds
        self.counted = Pair()  # by second since the warm-up
        self.within: dict[str, Pair] = {}  # by community: counted worth within its share
        self.all = Pair()  # by second since the start, as are the others
        self.communities: dict[str, Pair] = {}
        self.zones: dict[str, Pair] = {}

    def counts(self, first: Asked) -> bool:
        return first.meant >= self.warm_up

    def add(self, first: Asked, earned: bool) -> None:
        """Add the worth of a first try as requested or as earned."""
        worth = first.work * first.worth
        second = max(0, floor(first.meant))
        self.all.add(second, worth, earned)
        for pairs, name in ((self.communities, first.community), (self.zones, first.zone)):
            _pair(pairs, name).add(second, worth, earned)
        if self.counts(first):
            since = floor(first.meant - self.warm_up)
            self.counted.add(since, worth, earned)
            if first.worth >= WITHIN:
                _pair(self.within, first.community).add(since, worth, earned)

    def worst(self) -> tuple[float, float]:
        """Return the service in the worst 10 s, and when they began."""
        asked, earned = self.counted.asked, self.counted.earned
        whole = floor(self.seconds - self.warm_up)
        worst, at = self.counted.service(), self.warm_up
        for begin in range(whole - WINDOW + 1):
            wanted = sum(asked[begin : begin + WINDOW])
            if wanted and (got := sum(earned[begin : begin + WINDOW])) / wanted < worst:
                worst, at = got / wanted, begin + self.warm_up
        return worst, at

    def by_community(self) -> dict[str, float]:
        """Return the service of each community within its share, by name."""
        return {name: pair.service() for name, pair in sorted(self.within.items())}


def merged(values: Iterable[float], per: int) -> list[float]:
    """Return the sums of `per` successive values each."""
    listed = list(values)
    if per == 1:
        return listed
    return [sum(listed[i : i + per]) for i in range(0, len(listed), per)]


def _pair(pairs: dict[str, Pair], name: str) -> Pair:
    if name not in pairs:
        pairs[name] = Pair()
    return pairs[name]
