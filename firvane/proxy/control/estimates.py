"""The decision module's estimates of the backends, in a form that can be sent to receivers.

1. Nothing is decided here: power, capacity, slow start, budgets and ejections are the module's own.
2. A backend that the server list names as draining, or does not name, is not included.
3. The module limits concurrent attempts; receivers get the equivalent rate: the capacity divided by the
   response time of the backend.
4. The receivers stand for as many proxies of the tier as the service has places in it. Each place has its own
   estimates from its share of the reports; budgets and capacities add up.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace

from firvane.core.address import Address
from firvane.proxy.balancer import Balancer
from firvane.proxy.capacity import slow_start
from firvane.proxy.control.types import BackendEstimate

MIN_POWER = 1e-3
TRIAL_RPS = 2.0  # to a backend after its ejection


def read(
    balancer: Balancer, addresses: Mapping[str, Address], took: Mapping[str, float], now: float
) -> tuple[BackendEstimate, ...]:
    """Read the backends that may get requests; `took` is the response time in seconds by backend."""
    found = []
    for server in balancer.up:
        name = server.entry.id
        if name not in addresses:
            continue
        budget = max(1.0, server.capacity) / took[name] if took.get(name) else None
        is_cold = balancer.estimates.is_in_slow_start(server, now)
        if is_cold:
            senders = balancer.slow_start_senders(server)
            allowed = senders > 0 and now >= balancer.peers_known_at
            part = slow_start.rate(balancer.estimates, server, senders, now)[0] if allowed else 0.0
            budget = part if budget is None else min(part, budget)
        elif server.failures > 1:
            budget = TRIAL_RPS
        found.append(
            BackendEstimate(
                name,
                addresses[name],
                server.entry.zone,
                max(MIN_POWER, balancer.estimates.effective_weight(server, now)),
                server.capacity,
                budget,
                is_cold,
                server.retry_at > now,
            )
        )
    return tuple(found)


def combine_places(places: Sequence[Sequence[BackendEstimate]]) -> list[BackendEstimate]:
    """Combine the estimates of several places of one service."""
    if len(places) == 1:
        return list(places[0])
    by_name: dict[str, list[BackendEstimate]] = {}
    for backends in places:
        for backend in backends:
            by_name.setdefault(backend.name, []).append(backend)
    found = []
    for name in sorted(by_name):
        some = by_name[name]
        budgets = [backend.budget_rps for backend in some]
        found.append(
            replace(
                some[0],
                power=sum(backend.power for backend in some),
                capacity=sum(backend.capacity for backend in some),
                # Without a limit at one place there is none in total.
                budget_rps=None if None in budgets else sum(budget or 0.0 for budget in budgets),
                warming_up=any(backend.warming_up for backend in some),
                ejected=2 * sum(backend.ejected for backend in some) >= len(some),
            )
        )
    return found
