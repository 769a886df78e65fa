"""All services of a router by name, and the weighted random choice among the services of a request."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from msgspec import Struct

from firvane.fleet.placement.retry_budget import RetryBudget, RouterCount
from firvane.fleet.placement.service import Service


class RetryLimits(Struct, frozen=True):
    """The limits of a service's retries over all routers: `ratio` per request plus `slack` in any window."""

    ratio: float
    slack: float


class Services(dict[str, Service]):
    """Services by name; the lookup of an unknown name adds a service."""

    def __init__(self, own_number: int, limits: RetryLimits, zone: str, random: Random) -> None:
        super().__init__()
        self.own_number, self.limits, self.zone, self.random = own_number, limits, zone, random
        self.routers: Sequence[int] = (own_number,)
        self.router_count = RouterCount()  # divides the slack of all retry budgets

    def __missing__(self, name: str) -> Service:
        retry_budget = RetryBudget(self.limits.ratio, self.limits.slack, self.router_count)
        service = self[name] = Service(name, self.own_number, retry_budget, self.zone)
        service.assign(self.routers)
        return service

    def assign(self, routers: Sequence[int]) -> None:
        """Replace the set of live routers."""
        self.routers = routers
        for service in self.values():
            service.assign(routers)

    def draw(self, weights: Sequence[tuple[str, float]]) -> Service:
        """Draw a service by weight, preferably among those that have a ready server."""
        candidates = [(name, weight) for name, weight in weights if self[name].ready] or list(weights)
        draw = self.random.random() * sum(weight for _, weight in candidates)
        for name, weight in candidates:
            draw -= weight
            if draw < 0:
                return self[name]
        return self[candidates[-1][0] if candidates else ""]
