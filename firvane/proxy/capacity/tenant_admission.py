"""The fraction of each tenant's requests to shed: first what exceeds its quota, then of all tenants alike."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from firvane.core import interface as api
from firvane.core.balancing.records import total
from firvane.core.balancing.rows import Row


def arrival_fraction(settings: api.Settings, rows: Mapping[int, Row], arrival_rate: float) -> float:
    """Return the fraction of all proxies' requests that arrives at this proxy.

    Where proxies exchange no rows, it is the larger of an even fraction and the measured one. With 1 each
    proxy would grant a tenant its whole quota; with the even fraction alone, a proxy that receives more than
    the others would find all tenants over quota.

    Args:
        settings: of the proxy.
        rows: of all live proxies.
        arrival_rate: the tenants' requests a second at this proxy.
    """
    even = 1.0 / settings.proxies
    if not settings.limits.peers:
        return max(even, arrival_rate / (total(tenant.quota_rps for tenant in settings.tenants) or math.inf))
    total_arrivals = total(row.arrivals for row in rows.values())  # 0 just after the start
    return rows[settings.me].arrivals / total_arrivals if total_arrivals else even


def shed_fractions(
    requests: Sequence[float], quotas: Sequence[float], excess_fraction: float, over_share: bool
) -> list[float]:
    """Return the fraction to shed of each tenant's requests.

    Args:
        requests: recent requests by tenant.
        quotas: granted requests by tenant; 0 for any number.
        excess_fraction: of all requests, to shed.
        over_share: whether to shed all requests over quota in any case.
    """
    over_quota = [max(0.0, n - (quota or n)) for n, quota in zip(requests, quotas, strict=True)]
    within_quota = total(requests) - total(over_quota)
    to_shed = max(excess_fraction * total(requests), total(over_quota) if over_share else 0.0)
    over_fraction = min(1.0, to_shed / (total(over_quota) or 1.0))
    within_fraction = max(0.0, to_shed - total(over_quota)) / (within_quota or 1.0)
    return [
        (x * over_fraction + (n - x) * within_fraction) / (n or 1.0)
        for x, n in zip(over_quota, requests, strict=True)
    ]


def shed_action(
    settings: api.Settings,
    requests: Sequence[float],
    span: float,
    pressure: api.OverloadSignal,
    retry_after: float,
) -> api.ShedLoad:
    """Return the action that sheds load.

    Args:
        settings: of the proxy.
        requests: recent requests by tenant.
        span: seconds over which they were counted.
        pressure: the overload reported by the proxy.
        retry_after: the least `Retry-After` of a rejection, as a fraction of the latency target.
    """
    quotas = [tenant.quota_rps * span for tenant in settings.tenants]
    fractions = shed_fractions(requests, quotas, pressure.excess_fraction, pressure.shed_over_quota)
    # During overload an early retry is rejected again, at the expense of requests that could be served.
    most = settings.limits.max_retry_after
    target = max(cls.latency_target for cls in settings.classes)
    retry_after = min(most, retry_after * target + 2.0 * pressure.excess_fraction * most)
    return api.ShedLoad(
        tuple(fractions) or (pressure.excess_fraction,),
        retry_after,
        include_retries=retry_after > target,
    )
