"""What each tenant may still use, kept by the controller that owns the tenant's part.

A bucket for each tenant fills at the tenant's rate, up to its burst and a part of what the deployment allows
beyond. Rules that keep the sum over all routers within the limit, whatever is lost or cut off:

1. A bucket begins empty with each new ownership, and fills from that moment on: what the owner before has
   granted is not known here. Ownership is under a lease, so that two owners never grant at the same time.
2. Tokens are taken from the bucket before the grant is sent. A grant that is lost is lost.
3. What is granted in advance and may not be used yet is bounded; what routers used without a grant is taken
   off afterwards, below nothing if need be.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from firvane.configuration.routes import Tenant
from firvane.tenancy.messages import Ask, Grant, Status, tenant_id

SPARE_PART = 0.5  # of what may be used beyond the limit, for the bucket's size
AHEAD_PART = 0.25  # of the same, for what is granted in advance; the rest is for what is in flight
AHEAD_LASTS = 1.0  # s that tokens granted in advance may be used
FULL_ENOUGH = 0.5  # of a bucket, above which tokens are granted in advance
LEAST_PAUSE, LONGEST_PAUSE = 0.05, 5.0  # s after which a denied request may come again


@dataclass(frozen=True, slots=True)
class QuotaRules:
    """What the deployment allows in any window, beyond rate x window + burst."""

    window: float = 8.0  # s
    overage: float = 0.0  # share
    slack: float = 0.0  # tokens or requests

    def beyond(self, tenant: Tenant) -> float:
        """How far a tenant's use may lie above its limit."""
        return self.overage * (tenant.rate * self.window + tenant.burst) + self.slack


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float
    ahead: deque[tuple[float, float]] = field(default_factory=deque)  # granted in advance: when, how much

    def fill(self, rate: float, capacity: float, now: float) -> None:
        elapsed = max(0.0, now - self.filled_at)
        self.tokens = min(capacity, self.tokens + rate * elapsed)
        self.filled_at = max(self.filled_at, now)

    def unused_ahead(self, now: float) -> float:
        while self.ahead and self.ahead[0][0] < now - AHEAD_LASTS:
            self.ahead.popleft()
        return sum(amount for _, amount in self.ahead)


class QuotaLedger:
    """The buckets of all tenants whose parts this controller owns."""

    def __init__(self, rules: QuotaRules) -> None:
        self._rules = rules
        self._tenants: dict[bytes, Tenant] = {}
        self._known_at: dict[bytes, float] = {}  # when a tenant was first told of, in the present life
        self._owned_at: dict[int, float] = {}
        self._buckets: dict[tuple[int, bytes], _Bucket] = {}

    def configure(self, tenants: Iterable[Tenant], now: float) -> None:
        """These tenants and limits are in force."""
        self._tenants = {tenant_id(tenant.name): tenant for tenant in tenants}
        self._known_at = {key: self._known_at.get(key, now) for key in self._tenants}

    def own(self, part: int, now: float) -> None:
        """This controller has become the owner of a part."""
        self.disown(part)
        self._owned_at[part] = now

    def disown(self, part: int) -> None:
        """It is the owner no more."""
        self._owned_at.pop(part, None)
        for key in [each for each in self._buckets if each[0] == part]:
            del self._buckets[key]

    def grant(self, ask: Ask, now: float) -> Grant:
        """Answer a router's ask; the caller is the owner of the part at this moment."""
        owned_at = self._owned_at.get(ask.part)
        if owned_at is None:
            return Grant(ask.nonce, Status.ELSEWHERE, 0, 0.0, None)
        tenant = self._tenants.get(ask.tenant)
        if tenant is None:  # the configuration that names it has not come here yet
            return Grant(ask.nonce, Status.ELSEWHERE, 0, 0.0, None)
        if tenant.rate <= 0:
            return Grant(ask.nonce, Status.UNLIMITED, 0, 0.0, None)
        capacity = tenant.burst + SPARE_PART * self._rules.beyond(tenant)
        bucket = self._bucket(ask, owned_at)
        bucket.fill(tenant.rate, capacity, now)
        bucket.tokens = max(-capacity, bucket.tokens - ask.spent)
        if bucket.tokens < ask.cost:
            pause = (min(ask.cost, capacity) - bucket.tokens) / tenant.rate
            pause = min(LONGEST_PAUSE, max(LEAST_PAUSE, pause))
            return Grant(ask.nonce, Status.DENIED, 0, pause, None)
        bucket.tokens -= ask.cost
        ahead = self._ahead(bucket, ask, tenant, capacity, now)
        return Grant(ask.nonce, Status.GRANTED, ask.cost + ahead, 0.0, None)

    def _bucket(self, ask: Ask, owned_at: float) -> _Bucket:
        found = self._buckets.get((ask.part, ask.tenant))
        if found is None:
            since = max(owned_at, self._known_at[ask.tenant])
            found = self._buckets[ask.part, ask.tenant] = _Bucket(0.0, since)
        return found

    def _ahead(self, bucket: _Bucket, ask: Ask, tenant: Tenant, capacity: float, now: float) -> int:
        """What is granted beyond the cost: only while the bucket is well filled, and within the bound."""
        bound = AHEAD_PART * self._rules.beyond(tenant) - bucket.unused_ahead(now)
        amount = int(min(ask.ahead, bound, bucket.tokens - FULL_ENOUGH * capacity))
        if amount <= 0:
            return 0
        bucket.tokens -= amount
        bucket.ahead.append((now, amount))
        return amount
