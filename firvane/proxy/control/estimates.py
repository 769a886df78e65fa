"""The decision module's estimates of the backends, in a form that can be sent to receivers.

1. Nothing is decided here: power, capacity, slow start, budgets and ejections are the module's own.
2. A backend that is draining or missing in the server list is not included.
3. The module limits concurrent attempts; receivers get the equivalent rate: the capacity divided by the
   response time of the backend.
4. The service may count as several members of the proxy tier. Each member has its own estimates from its
   share of the load reports; budgets and capacities add up.
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
    balancer: Balancer, addresses: Mapping[str, Address], response_times: Mapping[str, float], now: float
) -> tuple[BackendEstimate, ...]:
    """Return estimates of the backends that may get requests; `response_times` are in seconds by backend."""
    backends = []
    for server in balancer.up:
        name = server.entry.id
        if name not in addresses:
            continue
        budget = max(1.0, server.capacity) / response_times[name] if response_times.get(name) else None
        in_slow_start = balancer.estimates.is_in_slow_start(server, now)
        if in_slow_start:
            senders = balancer.slow_start_senders(server)
            may_send = senders > 0 and now >= balancer.peers_known_at
            allowed_rps = slow_start.rate(balancer.estimates, server, senders, now)[0] if may_send else 0.0
            budget = allowed_rps if budget is None else min(allowed_rps, budget)
        elif server.failures > 1:
            budget = TRIAL_RPS
        backends.append(
            BackendEstimate(
                name,
                addresses[name],
                server.entry.zone,
                max(MIN_POWER, balancer.estimates.effective_weight(server, now)),
                server.capacity,
                budget,
                in_slow_start,
                server.retry_at > now,
            )
        )
    return tuple(backends)


def combine_members(members: Sequence[Sequence[BackendEstimate]]) -> list[BackendEstimate]:
    """Combine the estimates of several members of one service."""
    if len(members) == 1:
        return list(members[0])
    by_name: dict[str, list[BackendEstimate]] = {}
    for backends in members:
        for backend in backends:
            by_name.setdefault(backend.name, []).append(backend)
    combined = []
    for name in sorted(by_name):
        same_backend = by_name[name]
        budgets = [backend.budget_rps for backend in same_backend]
        combined.append(
            replace(
                same_backend[0],
                power=sum(backend.power for backend in same_backend),
                capacity=sum(backend.capacity for backend in same_backend),
                # Without a limit at one member there is no limit in total.
                budget_rps=None if None in budgets else sum(budget or 0.0 for budget in budgets),
                warming_up=any(backend.warming_up for backend in same_backend),
                ejected=2 * sum(backend.ejected for backend in same_backend) >= len(same_backend),
            )
        )
    return combined
