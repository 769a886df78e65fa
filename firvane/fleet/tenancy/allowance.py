"""One router's use of its tenants' quotas: tokens granted in advance, and tokens used without a grant.

For a tenant with few requests at this router, each request needs a quota request to the controller. For a
tenant with many, the tokens for the next `PREFETCH_TIME_S` are requested in advance (prefetched).
"""

from __future__ import annotations

from msgspec import Struct

from firvane.fleet.configuration.routes import Tenant
from firvane.fleet.tenancy.quota import PREFETCH_LIFETIME_S

PREFETCH_TIME_S = 0.5  # the expected use of this time is requested in advance
MIN_PREFETCH_REQUESTS = 2.0  # nothing is prefetched for fewer expected requests of the current cost
REFUND_LIFETIME_S = 0.25  # short, so that many rejections carry little use into the next window
DEMAND_WINDOW_S = 2.0  # time over which the demand is averaged


def request_cost(tenant: Tenant, tokens: int | None) -> int:
    """Return the cost of a request; `tokens` is its declared number of tokens in and out, or None."""
    if not tenant.counts_tokens:
        return 1
    return tenant.uncached_tokens if tokens is None else tokens


class _TenantUse(Struct):
    """The use of one tenant's quota at this router.

    Attributes:
        tokens: Tokens granted in advance and not used yet.
        expires: When these tokens expire.
        spent: Tokens used without a grant and not reported yet.
        demand: Average demand in tokens per second.
        updated_at: When `demand` was last updated.
    """

    tokens: float = 0.0
    expires: float = 0.0
    spent: float = 0.0
    demand: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the demand by the time since its last update."""
        elapsed = max(0.0, now - self.updated_at)
        self.demand *= max(0.0, 1.0 - elapsed / DEMAND_WINDOW_S)
        self.updated_at = now


class Allowances:
    """The quota use of the tenants with requests at one router, by name. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._uses: dict[str, _TenantUse] = {}

    def take(self, name: str, cost: int, now: float) -> bool:
        """Pay `cost` from tokens granted in advance; return whether there were enough."""
        use = self._uses.get(name)
        if use is None:
            use = self._uses[name] = _TenantUse(updated_at=now)
        use.decay(now)
        use.demand += cost / DEMAND_WINDOW_S
        if now >= use.expires:
            use.tokens = 0.0
        if use.tokens < cost:
            return False
        use.tokens -= cost
        return True

    def prefetch(self, name: str, cost: int) -> int:
        """Return how many tokens to request in advance in addition to a request's cost."""
        expected = PREFETCH_TIME_S * self._uses[name].demand
        return int(expected) if expected >= MIN_PREFETCH_REQUESTS * max(1, cost) else 0

    def spent(self, name: str) -> int:
        """Return how many tokens were used without a grant, which the next quota request reports."""
        return int(self._uses[name].spent)

    def record_grant(self, name: str, prefetched: int, reported: int, requested_at: float) -> None:
        """Record the answer to a quota request.

        Args:
            name: Name of the tenant.
            prefetched: Tokens granted in advance.
            reported: Tokens that the quota request reported as spent.
            requested_at: When the quota request was sent.
        """
        use = self._uses.setdefault(name, _TenantUse(updated_at=requested_at))
        use.spent = max(0.0, use.spent - reported)
        if prefetched > 0:
            use.tokens += prefetched
            use.expires = requested_at + PREFETCH_LIFETIME_S

    def charge(self, name: str, cost: int) -> None:
        """Charge a further run of a request, for which no grant is requested."""
        self._uses.setdefault(name, _TenantUse()).spent += cost

    def refund(self, name: str, cost: int, now: float) -> None:
        """Refund the tokens of a request that did not run; they expire after `REFUND_LIFETIME_S`."""
        use = self._uses.setdefault(name, _TenantUse(updated_at=now))
        if now >= use.expires:
            use.tokens, use.expires = 0.0, now + REFUND_LIFETIME_S
        use.tokens += cost

    def forget_idle(self, now: float) -> None:
        """Remove tenants that have no recent requests, no valid tokens and no use to report."""
        for name in [
            name
            for name, use in self._uses.items()
            if now > use.updated_at + DEMAND_WINDOW_S and now >= use.expires and not use.spent
        ]:
            del self._uses[name]
