"""Worth asked for and worth earned: in all, by second, by community, by data centre.

Rules that hold here and nowhere else:

1. What was meant to be sent in the warm-up is shown over time and counts for nothing else.
2. The worst 10 s are any ten seconds in a row after the warm-up, which are counted from its end; a last one
   that is not whole is left out. A run that has fewer has one worst stretch, all of it.
3. A community's service is that of what it asked within its share.
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
    """Worth asked for and earned, by second."""

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
        """Of all of it; 1 where nothing was asked for."""
        asked = sum(self.asked)
        return sum(self.earned) / asked if asked else 1.0

    def series(self, per: int) -> Series:
        asked, earned = merged(self.asked, per), merged(self.earned, per)
        return [got / wanted if wanted else None for wanted, got in zip(asked, earned, strict=True)]


class Worth:
    """All of a run's."""

    def __init__(self, scenario: Scenario) -> None:
        self.warm_up, self.seconds = scenario.warm_up_s, scenario.seconds
        self.counted = Pair()  # by second since the warm-up
        self.within: dict[str, Pair] = {}  # by community: what counts, within its share
        self.all = Pair()  # by second since the start, as are the others
        self.communities: dict[str, Pair] = {}
        self.zones: dict[str, Pair] = {}

    def counts(self, first: Asked) -> bool:
        return first.meant >= self.warm_up

    def add(self, first: Asked, earned: bool) -> None:
        """A first try was asked, or one was earned."""
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
        """Service in the worst 10 s, and when these began."""
        asked, earned = self.counted.asked, self.counted.earned
        whole = floor(self.seconds - self.warm_up)
        worst, at = self.counted.service(), self.warm_up
        for begin in range(whole - WINDOW + 1):
            wanted = sum(asked[begin : begin + WINDOW])
            if wanted and (got := sum(earned[begin : begin + WINDOW])) / wanted < worst:
                worst, at = got / wanted, begin + self.warm_up
        return worst, at

    def by_community(self) -> dict[str, float]:
        """Service of each within its share, by name."""
        return {name: pair.service() for name, pair in sorted(self.within.items())}


def merged(values: Iterable[float], per: int) -> list[float]:
    """Sums of so many neighbours each."""
    listed = list(values)
    if per == 1:
        return listed
    return [sum(listed[i : i + per]) for i in range(0, len(listed), per)]


def _pair(pairs: dict[str, Pair], name: str) -> Pair:
    if name not in pairs:
        pairs[name] = Pair()
    return pairs[name]
