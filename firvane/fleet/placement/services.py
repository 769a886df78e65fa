"""All services of a router by name, and the weighted draw among those that a request names."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from msgspec import Struct

from firvane.fleet.placement.retry_budget import RetryBudget, RouterCount
from firvane.fleet.placement.service import Service


class RetryLimits(Struct, frozen=True):
    """The retry budget of each service over all routers: retries per request, and retries beyond that."""

    ratio: float
    slack: float


class Services(dict[str, Service]):
    """Services by name; a lookup of an unknown name adds the service."""

    def __init__(self, own_number: int, limits: RetryLimits, zone: str, random: Random) -> None:
        super().__init__()
        self.own_number, self.limits, self.zone, self.random = own_number, limits, zone, random
        self.routers: Sequence[int] = (own_number,)
        self.router_count = RouterCount()  # divides the slack of all retry budgets

    def __missing__(self, name: str) -> Service:
        retry_budget = RetryBudget(self.limits.ratio, self.limits.slack, self.router_count)
        found = self[name] = Service(name, self.own_number, retry_budget, self.zone)
        found.assign(self.routers)
        return found

    def assign(self, routers: Sequence[int]) -> None:
        """Replace the set of live routers."""
        self.routers = routers
        for service in self.values():
            service.assign(routers)

    def draw(self, weights: Sequence[tuple[str, float]]) -> Service:
        """Draw a service by weight, among those with a ready server where there is one."""
        able = [(name, weight) for name, weight in weights if self[name].ready] or list(weights)
        draw = self.random.random() * sum(weight for _, weight in able)
        for name, weight in able:
            draw -= weight
            if draw < 0:
                return self[name]
        return self[able[-1][0] if able else ""]
