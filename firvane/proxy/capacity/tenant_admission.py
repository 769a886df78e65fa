"""Which part of each tenant's requests to turn away: what exceeds a share first, then everyone's alike."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from firvane.core import interface as api
from firvane.core.balancing.records import total
from firvane.core.balancing.rows import Row


def part(settings: api.Settings, rows: Mapping[int, Row], here: float) -> float:
    """The part of all proxies' requests that comes to this one, by the `rows` of those that are heard.

    `here` are the tenants' requests a second that came here. Where proxies tell each other nothing a tenant
    exceeds its share only if it takes more of an even part, and of what is asked here: else each proxy would
    grant all of the share, or one that is asked more than others would find everyone over theirs.
    """
    even = 1.0 / settings.proxies
    if not settings.limits.peers:
        return max(even, here / (total(tenant.quota_rps for tenant in settings.tenants) or math.inf))
    every = total(row.arrivals for row in rows.values())  # 0 at the start
    return rows[settings.me].arrivals / every if every else even


def parts(asked: Sequence[float], quotas: Sequence[float], part: float, over_share: bool) -> list[float]:
    """By tenant; `asked` and `quotas` (0: any) are requests. `part` of all goes, or what is over a share."""
    over = [max(0.0, n - (quota or n)) for n, quota in zip(asked, quotas, strict=True)]
    within = total(asked) - total(over)
    wanted = max(part * total(asked), total(over) if over_share else 0.0)
    first = min(1.0, wanted / (total(over) or 1.0))  # of what exceeds a share
    rest = max(0.0, wanted - total(over)) / (within or 1.0)  # and then of the others
    return [(x * first + (n - x) * rest) / (n or 1.0) for x, n in zip(over, asked, strict=True)]


def turn_away(
    settings: api.Settings, asked: Sequence[float], span: float, pressure: api.OverloadSignal, pause: float
) -> api.ShedLoad:
    """Whom to turn away unseen: `asked` requests by tenant within `span` s of their quotas' worth; who is
    sent away stays away for `pause` of the aim at least."""
    allowed = [tenant.quota_rps * span for tenant in settings.tenants]
    each = parts(asked, allowed, pressure.excess_fraction, pressure.shed_over_quota)
    # While that lasts whoever returns soon is turned away again, at a cost to those who could be served.
    most = settings.limits.max_retry_after
    aim = max(cls.latency_target for cls in settings.classes)
    pause = min(most, pause * aim + 2.0 * pressure.excess_fraction * most)
    return api.ShedLoad(tuple(each) or (pressure.excess_fraction,), pause, include_retries=pause > aim)
