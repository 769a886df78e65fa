"""The quotas of tenants: token buckets at the controller that owns the tenant's partition.

A tenant's bucket fills at the tenant's rate up to its regular size: the tenant's burst plus part of the
allowance, which is the use that the deployment allows beyond the limit. These rules keep the sum over all
routers within the limit even if messages are lost or the network is partitioned:

1. The owner of a partition has a lease, so that two owners never grant at the same time. A new owner starts
   each bucket at its floor (`floors`), and fills it from then on.
2. Tokens are taken from the bucket before the grant is sent. If the grant is lost, so are its tokens.
3. A request is granted once half of its cost is in the bucket, which may leave a debt. If the full cost were
   required, small requests would get nearly all tokens of a tenant that requests more than its limit; if
   none of it were required, large requests would (docs/decision-quality.md).
4. A bucket may exceed its regular size, for bursts of a tenant with little use. It then fills more slowly:
   the excess of its highest level within the last window is deducted over a window. So in no window does the
   use exceed rate x window + the regular size.
5. The tokens granted in advance that may still be used are limited. Tokens that routers used without a grant
   are deducted afterwards.

The ratios below are parts of the allowance, which is granted beyond rate x window + burst; the rest of the
allowance is for requests in flight and for retries.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping

from msgspec import Struct, field

from firvane.fleet.configuration.routes import Tenant
from firvane.fleet.partitions import partition_of
from firvane.fleet.tenancy.floors import REMOVED, Floors, FloorsRecord
from firvane.fleet.tenancy.messages import GrantStatus, QuotaGrant, QuotaRequest, tenant_id

REGULAR_SIZE_RATIO = 0.5  # part of the allowance that a bucket's regular size includes besides the burst
MAX_DEBT_RATIO = 0.25  # part of the allowance that a bucket may be below zero after one request
MIN_COVERED_RATIO = 0.5  # part of a request's cost that must be in the bucket
PREFETCH_RATIO = 0.1  # part of the allowance that may be granted in advance and not used yet
PREFETCH_LIFETIME_S = 1.0  # time in which tokens granted in advance may be used
PREFETCH_FILL_RATIO = 0.5  # tokens are granted in advance only above this part of a bucket's capacity
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
EXTRA_BURST_RATIO = 0.2  # part of rate x window by which a bucket may exceed its regular size
PEAK_SLOTS_PER_WINDOW = 4  # slots of a window for each of which the highest level is stored
FLOOR_MARGIN_S = 0.75  # a floor is below its bucket's level by the tenant's rate x this time
IDLE_TIME_S = 30.0  # time after which a full, unused bucket is removed


class QuotaRules(Struct, frozen=True):
    """The use that the deployment allows in any window beyond rate x window + burst.

    Attributes:
        window: Length of the window in seconds.
        overage: Allowed excess as a ratio of rate x window + burst.
        slack: Allowed excess in addition to that, in tokens or requests.
    """

    window: float = 8.0
    overage: float = 0.0
    slack: float = 0.0

    def allowance(self, tenant: Tenant) -> float:
        """Return by how much a tenant's use may exceed its limit in any window."""
        return self.overage * (tenant.rate * self.window + tenant.burst) + self.slack


class _Bounds:
    """Bounds derived from a tenant's limit and the rules, in tokens or requests; `window` in seconds."""

    __slots__ = ("capacity", "debt", "margin", "prefetch", "rate", "regular_size", "window")

    def __init__(self, tenant: Tenant, rules: QuotaRules) -> None:
        allowance = rules.allowance(tenant)
        self.rate, self.window = tenant.rate, rules.window
        self.regular_size = tenant.burst + REGULAR_SIZE_RATIO * allowance
        self.capacity = self.regular_size + EXTRA_BURST_RATIO * tenant.rate * rules.window
        self.debt = MAX_DEBT_RATIO * allowance
        self.prefetch = PREFETCH_RATIO * allowance
        self.margin = FLOOR_MARGIN_S * tenant.rate


class _Bucket(Struct):
    """The token bucket of one tenant.

    Attributes:
        tokens: The level; a negative level is a debt.
        filled_at: Time up to which the bucket has been filled.
        used_at: When tokens were last requested.
        prefetched: Tokens granted in advance, as (time of the grant, tokens).
        peaks: The highest level in each slot of the last window, and in the current slot.
        slot_ends: When the current slot ends.
    """

    tokens: float
    filled_at: float
    used_at: float
    prefetched: deque[tuple[float, float]] = field(default_factory=deque)
    peaks: deque[float] = field(default_factory=deque)
    slot_ends: float = 0.0

    def fill(self, bounds: _Bounds, now: float) -> None:
        """Add the tokens gained up to now, slot by slot."""
        slot = bounds.window / PEAK_SLOTS_PER_WINDOW
        if now - self.filled_at > 2 * bounds.window + bounds.capacity / (
            bounds.rate * (1 - EXTRA_BURST_RATIO)
        ):
            self.tokens, self.filled_at = bounds.capacity, now  # full for longer than a window
        self.tokens = min(self.tokens, bounds.capacity)
        if not self.peaks:  # new at this owner: it may have been full at the previous one
            self.peaks.extend([bounds.capacity] * (PEAK_SLOTS_PER_WINDOW + 1))
            self.slot_ends = self.filled_at + slot
        while self.filled_at < now:
            until = min(now, self.slot_ends)
            gained = self.fill_rate(bounds) * (until - self.filled_at)
            self.tokens = min(bounds.capacity, self.tokens + gained)
            self.filled_at = until
            self.peaks[-1] = max(self.peaks[-1], self.tokens)
            if until >= self.slot_ends:
                self.peaks.append(self.tokens)
                self.peaks.popleft()
                self.slot_ends = until + slot

    def fill_rate(self, bounds: _Bounds) -> float:
        """Return the tokens that the bucket gains per second at present."""
        excess = min(max(self.peaks), bounds.capacity) - bounds.regular_size
        return bounds.rate - max(0.0, excess) / bounds.window

    def unused_prefetch(self, now: float) -> float:
        """Return the tokens granted in advance that may still be used."""
        while self.prefetched and self.prefetched[0][0] < now - PREFETCH_LIFETIME_S:
            self.prefetched.popleft()
        return sum(amount for _, amount in self.prefetched)


class _OwnedPartition:
    """The buckets of one partition, its committed floors, and the floors proposed but not committed."""

    def __init__(self, floors: Floors, now: float) -> None:
        self.floors, self.acquired_at = floors, now
        self.buckets: dict[bytes, _Bucket] = {}
        self.proposed: list[FloorsRecord] = []

    def bucket(self, tenant: bytes, bounds: _Bounds, now: float) -> _Bucket:
        """Return the bucket of a tenant; a new bucket starts at its floor, or full if it has none."""
        existing = self.buckets.get(tenant)
        if existing is None:
            floor = self.floors.get(tenant)
            start = bounds.capacity if floor is None else floor
            existing = self.buckets[tenant] = _Bucket(start, self.acquired_at, now)
        return existing

    def floor(self, tenant: bytes) -> float:
        """Return the level below which a bucket must not fall now; infinite if none is committed."""
        min_level: float = self.floors.get(tenant, float("inf"))
        for record in self.proposed:
            proposed = record.floors.get(tenant)
            if proposed is not None:
                min_level = float("inf") if proposed == REMOVED else max(min_level, proposed)
        return min_level


class QuotaTable:
    """The buckets of all tenants whose partitions this controller owns. Times are monotonic seconds."""

    def __init__(self, rules: QuotaRules) -> None:
        self._rules = rules
        self._tenants: dict[bytes, Tenant] = {}
        self._partition_of: dict[bytes, int] = {}
        self._bounds: dict[bytes, _Bounds] = {}
        self._partitions: dict[int, _OwnedPartition] = {}

    def configure(self, tenants: Iterable[Tenant]) -> None:
        """Apply the tenants and limits of a configuration."""
        self._tenants = {tenant_id(tenant.name): tenant for tenant in tenants}
        self._partition_of = {name: partition_of(tenant.name) for name, tenant in self._tenants.items()}
        self._bounds.clear()

    def acquire(self, partition: int, floors: Floors, now: float) -> None:
        """Start as the owner of a partition; `floors` are its committed floors."""
        self._partitions[partition] = _OwnedPartition(floors, now)

    def release(self, partition: int) -> None:
        """Stop as the owner of a partition."""
        self._partitions.pop(partition, None)

    def grant(self, request: QuotaRequest, now: float) -> QuotaGrant | None:
        """Return the response to a quota request, or None if a lower floor must be committed first.

        The caller has checked that this controller owns the partition now.
        """
        owned, tenant = self._partitions.get(request.partition), self._tenants.get(request.tenant)
        if owned is None or tenant is None or self._partition_of[request.tenant] != request.partition:
            # the tenant is not known here yet, or does not belong to the partition
            return QuotaGrant(request.nonce, GrantStatus.NOT_OWNER, 0, 0.0, None)
        if tenant.rate <= 0:
            return QuotaGrant(request.nonce, GrantStatus.UNLIMITED, 0, 0.0, None)
        bounds = self._bounds_of(request.tenant, tenant)
        bucket = owned.bucket(request.tenant, bounds, now)
        bucket.fill(bounds, now)
        bucket.used_at = now
        required = max(MIN_COVERED_RATIO * request.cost, request.cost - bounds.debt)
        missing = required - bucket.tokens
        if missing > 0:
            wait = min(missing, bounds.capacity) / bucket.fill_rate(bounds)
            self._deduct_spent(bucket, request, bounds)
            retry_after = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
            return QuotaGrant(request.nonce, GrantStatus.DENIED, 0, retry_after, None)
        if bucket.tokens - request.cost < owned.floor(request.tenant):
            return None
        bucket.tokens -= request.cost
        self._deduct_spent(bucket, request, bounds)
        prefetched = self._take_prefetch(bucket, request, bounds, owned.floor(request.tenant), now)
        return QuotaGrant(request.nonce, GrantStatus.GRANTED, request.cost + prefetched, 0.0, None)

    def _bounds_of(self, name: bytes, tenant: Tenant) -> _Bounds:
        bounds = self._bounds.get(name)
        if bounds is None:
            bounds = self._bounds[name] = _Bounds(tenant, self._rules)
        return bounds

    @staticmethod
    def _deduct_spent(bucket: _Bucket, request: QuotaRequest, bounds: _Bounds) -> None:
        bucket.tokens = max(-bounds.capacity, bucket.tokens - request.spent)

    @staticmethod
    def _take_prefetch(
        bucket: _Bucket, request: QuotaRequest, bounds: _Bounds, floor: float, now: float
    ) -> int:
        """Take and return the tokens granted in advance, within the bounds; none if the bucket is low."""
        available = bucket.tokens - max(floor, PREFETCH_FILL_RATIO * bounds.capacity)
        amount = int(min(request.prefetch, bounds.prefetch - bucket.unused_prefetch(now), available))
        if amount <= 0:
            return 0
        bucket.tokens -= amount
        bucket.prefetched.append((now, amount))
        return amount

    # Floors

    def due_floors(self, partition: int, now: float) -> Mapping[bytes, int]:
        """Return the new floors to propose for a partition now, by tenant id."""
        owned = self._partitions.get(partition)
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
        owned: _OwnedPartition, name: bytes, bucket: _Bucket, bounds: _Bounds, now: float
    ) -> int | None:
        """Return the new floor of a bucket or None if it needs none; drop an idle bucket without a floor."""
        new_floor = math.floor(max(-bounds.debt, bucket.tokens - bounds.margin))
        floor = owned.floor(name)
        if bucket.tokens >= bounds.capacity and now - bucket.used_at > IDLE_TIME_S:
            if name in owned.floors:
                return REMOVED
            del owned.buckets[name]
            return None
        if bucket.tokens - floor < bounds.margin / 2 and floor > new_floor:
            return new_floor
        return new_floor if bucket.tokens - floor > 2 * bounds.margin else None

    def on_proposed(self, partition: int, record: FloorsRecord) -> None:
        """Store proposed floors: those that are higher than the committed ones apply from now on."""
        if partition in self._partitions:
            self._partitions[partition].proposed.append(record)

    def on_committed(self, partition: int, record: FloorsRecord) -> None:
        """Remove the proposals up to a committed record, since each is applied by now or never will be."""
        owned = self._partitions.get(partition)
        if owned is None:
            return
        numbers = [each.number for each in owned.proposed]
        if record.number in numbers:
            del owned.proposed[: numbers.index(record.number) + 1]
        for name, floor in record.floors.items():
            if floor == REMOVED:
                owned.buckets.pop(name, None)
