"""All services of a router by name, and the draw among those that a request names."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from msgspec import Struct

from firvane.fleet.placement.budget import RetryBudget, Sharers
from firvane.fleet.placement.service import Service


class RetryLimits(Struct, frozen=True):
    """The retry budget of each service over all routers, for any window of the rule."""

    ratio: float
    slack: float


class Services(dict[str, Service]):
    """Services by name; one that is asked for is known from then on."""

    def __init__(self, me: int, limits: RetryLimits, zone: str, random: Random) -> None:
        super().__init__()
        self.me, self.limits, self.zone, self.random = me, limits, zone, random
        self.routers: Sequence[int] = (me,)
        self.sharers = Sharers()  # of the retry budgets

    def __missing__(self, name: str) -> Service:
        budget = RetryBudget(self.limits.ratio, self.limits.slack, self.sharers)
        found = self[name] = Service(name, self.me, budget, self.zone)
        found.assign(self.routers)
        return found

    def assign(self, routers: Sequence[int]) -> None:
        """The live routers are these now."""
        self.routers = routers
        for service in self.values():
            service.assign(routers)

    def draw(self, weights: Sequence[tuple[str, float]]) -> Service:
        """A service by weight, among those with a ready backend where there is one."""
        able = [(name, weight) for name, weight in weights if self[name].ready] or list(weights)
        draw = self.random.random() * sum(weight for _, weight in able)
        for name, weight in able:
            draw -= weight
            if draw < 0:
                return self[name]
        return self[able[-1][0] if able else ""]
