"""What each tenant may still use, kept by the controller that owns the tenant's part.

A bucket for each tenant fills at the tenant's rate, up to its burst and a part of what the deployment allows
beyond. Rules that keep the sum over all routers within the limit, whatever is lost or cut off:

1. Ownership is under a lease, so that two owners never grant at the same time. A new owner begins each bucket
   at its floor (`floors`), from which it fills from then on.
2. Tokens are taken from the bucket before the grant is sent. A grant that is lost is lost.
3. A request is granted once half of its cost is in the bucket, which may leave a debt. Were all of it asked
   for, small requests would take nearly everything where a tenant asks for more than its limit; were none,
   large ones would. Both were worth less (docs/decision-quality.md).
4. A bucket may hold more than its usual size, for bursts of a tenant that uses little. It fills the slower
   for it: by the excess of its highest level within the last window, spread over a window. So no window sees
   more than rate x window + the usual size.
5. What is granted in advance and may not be used yet is bounded; what routers used without a grant is taken
   off afterwards.

The parts below are those of what a deployment allows beyond rate x window + burst; what they leave is for
requests on their way and for those that run twice.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping

from msgspec import Struct, field

from firvane.fleet.configuration.routes import Tenant
from firvane.fleet.partitions import partition_of
from firvane.fleet.tenancy.floors import REMOVED, Floors, FloorsRecord
from firvane.fleet.tenancy.messages import Ask, Grant, Status, tenant_id

SIZE_PART = 0.5  # of a bucket, beyond the burst
DEBT_PART = 0.25  # the most that one request may leave a bucket below nothing
PRESENT_PART = 0.5  # of a request's cost, that must be in the bucket
AHEAD_PART = 0.1  # granted in advance and not used yet
AHEAD_LASTS = 1.0  # s that tokens granted in advance may be used
FULL_ENOUGH = 0.5  # of a bucket, above which tokens are granted in advance
LEAST_PAUSE, LONGEST_PAUSE = 0.05, 5.0  # s after which a denied request may come again
BURST_PART = 0.2  # of rate x window, that a bucket may hold beyond its usual size
PEAK_SLOTS = 4  # of a window, by which highest levels are kept
FLOOR_MARGIN = 0.75  # s of a tenant's rate that its floor lies below its bucket
REST_TIME = 30.0  # s after which a full bucket that nobody uses is forgotten


class QuotaRules(Struct, frozen=True):
    """What the deployment allows in any window, beyond rate x window + burst."""

    window: float = 8.0  # s
    overage: float = 0.0  # share
    slack: float = 0.0  # tokens or requests

    def beyond(self, tenant: Tenant) -> float:
        """How far a tenant's use may lie above its limit."""
        return self.overage * (tenant.rate * self.window + tenant.burst) + self.slack


class _Bounds:
    """What follows from a tenant's limit and the rules."""

    __slots__ = ("ahead", "capacity", "debt", "margin", "rate", "usual", "window")

    def __init__(self, tenant: Tenant, rules: QuotaRules) -> None:
        beyond = rules.beyond(tenant)
        self.rate, self.window = tenant.rate, rules.window
        self.usual = tenant.burst + SIZE_PART * beyond
        self.capacity = self.usual + BURST_PART * tenant.rate * rules.window
        self.debt = DEBT_PART * beyond
        self.ahead = AHEAD_PART * beyond
        self.margin = FLOOR_MARGIN * tenant.rate


class _Bucket(Struct):
    tokens: float
    filled_at: float
    used_at: float
    ahead: deque[tuple[float, float]] = field(default_factory=deque)  # granted in advance: when, how much

    peaks: deque[float] = field(default_factory=deque)  # highest levels, by slot, of a window and a slot more
    slot_ends: float = 0.0

    def fill(self, bounds: _Bounds, now: float) -> None:
        """Let it fill up to now, slot by slot."""
        slot = bounds.window / PEAK_SLOTS
        if now - self.filled_at > 2 * bounds.window + bounds.capacity / (bounds.rate * (1 - BURST_PART)):
            self.tokens, self.filled_at = bounds.capacity, now  # it is full for longer than a window
        self.tokens = min(self.tokens, bounds.capacity)
        if not self.peaks:  # whoever owned it before may have seen it full
            self.peaks.extend([bounds.capacity] * (PEAK_SLOTS + 1))
            self.slot_ends = self.filled_at + slot
        while self.filled_at < now:
            until = min(now, self.slot_ends)
            gained = self.refill(bounds) * (until - self.filled_at)
            self.tokens = min(bounds.capacity, self.tokens + gained)
            self.filled_at = until
            self.peaks[-1] = max(self.peaks[-1], self.tokens)
            if until >= self.slot_ends:
                self.peaks.append(self.tokens)
                self.peaks.popleft()
                self.slot_ends = until + slot

    def refill(self, bounds: _Bounds) -> float:
        """Tokens that it gains in a second at present."""
        excess = min(max(self.peaks), bounds.capacity) - bounds.usual
        return bounds.rate - max(0.0, excess) / bounds.window

    def unused_ahead(self, now: float) -> float:
        while self.ahead and self.ahead[0][0] < now - AHEAD_LASTS:
            self.ahead.popleft()
        return sum(amount for _, amount in self.ahead)


class _OwnedPart:
    """The buckets of one part, its committed floors, and those that were proposed since the last commit."""

    def __init__(self, floors: Floors, now: float) -> None:
        self.floors, self.began = floors, now
        self.buckets: dict[bytes, _Bucket] = {}
        self.proposed: list[FloorsRecord] = []

    def bucket(self, tenant: bytes, bounds: _Bounds, now: float) -> _Bucket:
        found = self.buckets.get(tenant)
        if found is None:
            floor = self.floors.get(tenant)
            start = bounds.capacity if floor is None else floor
            found = self.buckets[tenant] = _Bucket(start, self.began, now)
        return found

    def floor(self, tenant: bytes) -> float:
        """Below which a bucket must not fall now; infinite where none is committed."""
        committed: float = self.floors.get(tenant, float("inf"))
        for record in self.proposed:
            proposed = record.floors.get(tenant)
            if proposed is not None:
                committed = float("inf") if proposed == REMOVED else max(committed, proposed)
        return committed


class QuotaLedger:
    """The buckets of all tenants whose parts this controller owns."""

    def __init__(self, rules: QuotaRules) -> None:
        self._rules = rules
        self._tenants: dict[bytes, Tenant] = {}
        self._part_of: dict[bytes, int] = {}
        self._bounds: dict[bytes, _Bounds] = {}
        self._parts: dict[int, _OwnedPart] = {}

    def configure(self, tenants: Iterable[Tenant]) -> None:
        """These tenants and limits are in force."""
        self._tenants = {tenant_id(tenant.name): tenant for tenant in tenants}
        self._part_of = {name: partition_of(tenant.name) for name, tenant in self._tenants.items()}
        self._bounds.clear()

    def own(self, part: int, floors: Floors, now: float) -> None:
        """This controller has become the owner of a part, whose floors are committed and applied."""
        self._parts[part] = _OwnedPart(floors, now)

    def disown(self, part: int) -> None:
        """It is the owner no more."""
        self._parts.pop(part, None)

    def grant(self, ask: Ask, now: float) -> Grant | None:
        """Answer a router's ask; None while that waits for a lower floor. The caller owns the part now."""
        owned, tenant = self._parts.get(ask.part), self._tenants.get(ask.tenant)
        if owned is None or tenant is None or self._part_of[ask.tenant] != ask.part:
            # not known here yet, or asked for at a part that is not its own
            return Grant(ask.nonce, Status.ELSEWHERE, 0, 0.0, None)
        if tenant.rate <= 0:
            return Grant(ask.nonce, Status.UNLIMITED, 0, 0.0, None)
        bounds = self._bounds_of(ask.tenant, tenant)
        bucket = owned.bucket(ask.tenant, bounds, now)
        bucket.fill(bounds, now)
        bucket.used_at = now
        needed = max(PRESENT_PART * ask.cost, ask.cost - bounds.debt)
        missing = needed - bucket.tokens
        if missing > 0:
            pause = min(missing, bounds.capacity) / bucket.refill(bounds)
            self._take_spent(bucket, ask, bounds)
            return Grant(ask.nonce, Status.DENIED, 0, min(LONGEST_PAUSE, max(LEAST_PAUSE, pause)), None)
        if bucket.tokens - ask.cost < owned.floor(ask.tenant):
            return None
        bucket.tokens -= ask.cost
        self._take_spent(bucket, ask, bounds)
        ahead = self._ahead(bucket, ask, bounds, owned.floor(ask.tenant), now)
        return Grant(ask.nonce, Status.GRANTED, ask.cost + ahead, 0.0, None)

    def _bounds_of(self, name: bytes, tenant: Tenant) -> _Bounds:
        found = self._bounds.get(name)
        if found is None:
            found = self._bounds[name] = _Bounds(tenant, self._rules)
        return found

    @staticmethod
    def _take_spent(bucket: _Bucket, ask: Ask, bounds: _Bounds) -> None:
        bucket.tokens = max(-bounds.capacity, bucket.tokens - ask.spent)

    @staticmethod
    def _ahead(bucket: _Bucket, ask: Ask, bounds: _Bounds, floor: float, now: float) -> int:
        """What is granted beyond the cost: only while the bucket is well filled, and within the bounds."""
        spare = bucket.tokens - max(floor, FULL_ENOUGH * bounds.capacity)
        amount = int(min(ask.ahead, bounds.ahead - bucket.unused_ahead(now), spare))
        if amount <= 0:
            return 0
        bucket.tokens -= amount
        bucket.ahead.append((now, amount))
        return amount

    # Floors

    def due_floors(self, part: int, now: float) -> Mapping[bytes, int]:
        """New floors that are to be proposed for a part now."""
        owned = self._parts.get(part)
        due = dict[bytes, int]()
        if owned is None:
            return due
        for name, bucket in list(owned.buckets.items()):
            tenant = self._tenants.get(name)
            if tenant is None or tenant.rate <= 0:
                continue
            bounds = self._bounds_of(name, tenant)
            bucket.fill(bounds, now)
            floor = self._due_floor(owned, name, bucket, bounds, now)
            if floor is not None:
                due[name] = floor
        return due

    @staticmethod
    def _due_floor(
        owned: _OwnedPart, name: bytes, bucket: _Bucket, bounds: _Bounds, now: float
    ) -> int | None:
        wanted = math.floor(max(-bounds.debt, bucket.tokens - bounds.margin))
        floor = owned.floor(name)
        if bucket.tokens >= bounds.capacity and now - bucket.used_at > REST_TIME:
            if name in owned.floors:
                return REMOVED
            del owned.buckets[name]
            return None
        if bucket.tokens - floor < bounds.margin / 2 and floor > wanted:
            return wanted
        return wanted if bucket.tokens - floor > 2 * bounds.margin else None

    def proposed(self, part: int, record: FloorsRecord) -> None:
        """These floors are proposed: what is higher among them binds from now on."""
        if part in self._parts:
            self._parts[part].proposed.append(record)

    def committed(self, part: int, record: FloorsRecord) -> None:
        """A record of floors was applied; so is, or never will be, what was proposed before it."""
        owned = self._parts.get(part)
        if owned is None:
            return
        numbers = [each.number for each in owned.proposed]
        if record.number in numbers:
            del owned.proposed[: numbers.index(record.number) + 1]
        for name, floor in record.floors.items():
            if floor == REMOVED:
                owned.buckets.pop(name, None)
