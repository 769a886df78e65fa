"""Which fraction of each tenant's requests to shed: what exceeds a quota share first, then all alike."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from firvane.core import interface as api
from firvane.core.balancing.records import total
from firvane.core.balancing.rows import Row


def part(settings: api.Settings, rows: Mapping[int, Row], here: float) -> float:
    """The part of all proxies' requests that arrives here.

    Where proxies exchange no rows, a tenant exceeds its quota share only by more than an even part of it and
    than the part that arrives here: else each proxy would grant the whole share, or one that is sent more
    than the others would find all tenants over theirs.

    Args:
        settings: of the proxy.
        rows: of all live proxies.
        here: the tenants' requests a second that arrive here.
    """
    even = 1.0 / settings.proxies
    if not settings.limits.peers:
        return max(even, here / (total(tenant.quota_rps for tenant in settings.tenants) or math.inf))
    every = total(row.arrivals for row in rows.values())  # 0 at the start
    return rows[settings.me].arrivals / every if every else even


def parts(asked: Sequence[float], quotas: Sequence[float], part: float, over_share: bool) -> list[float]:
    """The fractions to shed by tenant; `asked` and `quotas` (0: any) are requests, `part` is of all."""
    over = [max(0.0, n - (quota or n)) for n, quota in zip(asked, quotas, strict=True)]
    within = total(asked) - total(over)
    wanted = max(part * total(asked), total(over) if over_share else 0.0)
    first = min(1.0, wanted / (total(over) or 1.0))  # of what exceeds a share
    rest = max(0.0, wanted - total(over)) / (within or 1.0)  # and then of the others
    return [(x * first + (n - x) * rest) / (n or 1.0) for x, n in zip(over, asked, strict=True)]


def turn_away(
    settings: api.Settings, asked: Sequence[float], span: float, pressure: api.OverloadSignal, pause: float
) -> api.ShedLoad:
    """The action that sheds load.

    Args:
        settings: of the proxy.
        asked: recent requests by tenant.
        span: seconds of a tenant's quota that these are compared with.
        pressure: what the proxy cannot carry.
        pause: part of the latency target in which the rejected clients are asked to stay away, at least.
    """
    allowed = [tenant.quota_rps * span for tenant in settings.tenants]
    each = parts(asked, allowed, pressure.excess_fraction, pressure.shed_over_quota)
    # While that lasts whoever returns soon is turned away again, at a cost to those who could be served.
    most = settings.limits.max_retry_after
    aim = max(cls.latency_target for cls in settings.classes)
    pause = min(most, pause * aim + 2.0 * pressure.excess_fraction * most)
    return api.ShedLoad(tuple(each) or (pressure.excess_fraction,), pause, include_retries=pause > aim)
