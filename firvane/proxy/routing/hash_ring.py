"""The key ring: maps a key to its server by consistent hashing, at a cost that hardly grows with the fleet.

Invariants:

1. A server's points are `mix(salt, i)` for i = 1, 2, ... Their number is `POINTS` times its weight relative
   to the mean weight, rounded, times the size of its kind, rounded, times the fraction of it that counts for
   this proxy. A key belongs to the next point at or after its hash. Where two servers share a point the lower
   salt precedes, where two share a salt the lower id. So proxies with the same servers agree, whatever the
   history.
2. The fractional part of a number of points is rounded up for as many servers as it says, chosen by a hash,
   and not for all servers of a weight at once. When the mean changes, as it does by 1/n when a server leaves,
   a few servers gain or lose a point, where plain rounding at times changed all servers of a kind. With equal
   weights there is no fractional part.
3. Weights are integers in units of 1 / `WEIGHT_UNIT`, so that their sum does not depend on the order.
4. Points are kept in buckets by their leading bits, 16 to 32 to a bucket on average: a lookup searches one
   bucket, adding a server searches one per point, and doubling the buckets is amortised over all additions.
5. Removing a server only forgets its salt. Its points are deleted when a lookup meets them, and each change
   sweeps a few buckets, so that they are gone after about as many changes as there are buckets.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, insort
from heapq import heappop, heappush

from firvane.core.balancing.records import Backend, mix

POINTS = 64  # of a server of mean weight
WEIGHT_UNIT = 1 << 20  # units in a weight of 1
MAX_WEIGHT_UNITS = 1 << 60  # larger weights count as this
# Mean points to a bucket below which buckets are merged, and above which they are split.
MIN_BUCKET_POINTS, MAX_BUCKET_POINTS = 8, 32
MIN_BULK_SERVERS = 64  # servers added at once, above which buckets are sorted only after all additions
MAX_SWEPT_BUCKETS = 32  # at one change
SALT_MASK = (1 << 32) - 1
THRESHOLD_TOLERANCE = 1e-9  # thresholds are floats: counts this close to one are recomputed exactly
ROUNDING_SEED = 0x5EED  # separates the hash for rounding from those of the points


class Ring:
    """Servers by key. Changes are applied by the first lookup after them, or earlier by `settle`."""

    def __init__(self, points: int = POINTS) -> None:
        self.points_per_server = points
        self.owners: dict[int, Backend] = {}  # by salt
        self.shared_salts: dict[
            int, list[Backend]
        ] = {}  # by salt, where several servers share it: all of these
        self.weights: dict[int, int] = {}  # by salt, in units
        self.scales: dict[int, tuple[float, float]] = {}  # by salt: size and fraction, where these are not 1
        self.point_counts: dict[int, int] = {}  # by salt: points on the ring
        # By salt: points of removed servers that may remain; removed in this round of sweeping, before it.
        self.removed: dict[int, int] = {}
        self.removed_before: dict[int, int] = {}
        self.sweep_position = 0  # the bucket to be swept next
        self.sweeps_due = 0  # buckets still to be swept
        self.total_weight = 0  # in units
        self.live_points = 0  # points of present servers
        self.shift = 32  # bits of a point within its bucket
        self.buckets: list[array[int]] = [array("Q")]  # point << 32 | salt
        # Heaps of thresholds at which the count of a salt changes, in servers per unit of total weight. An
        # entry is valid if its version is the salt's present one.
        self.increases: list[tuple[float, int, int]] = []
        self.decreases: list[tuple[float, int, int]] = []
        self.versions: dict[int, int] = {}
        self.version = 0
        self.dirty: list[int] = []  # salts whose count is to be computed
        self.changed = False
        self.is_bulk = False  # buckets are unsorted during a bulk change

    def __len__(self) -> int:
        return len(self.owners)

    def owner(self, point: int) -> Backend | None:
        """Return the server that a hash of 32 bits belongs to; None if there are no servers."""
        owners = self.owners
        if not owners:
            return None
        if self.changed:
            self.settle()
        number = point >> self.shift
        bucket = self.buckets[number]
        i = bisect_left(bucket, point << 32)
        while True:
            if i < len(bucket):
                found = owners.get(bucket[i] & SALT_MASK)
                if found is not None:
                    return found
                self.clean_bucket(number)
                bucket = self.buckets[number]
                i = bisect_left(bucket, point << 32)
            else:
                number = number + 1 if number + 1 < len(self.buckets) else 0
                bucket, point, i = self.buckets[number], 0, 0

    def put(self, server: Backend, weight: float, size: float = 1.0, fraction: float = 1.0) -> None:
        """Add a server, or change its weight, size or fraction; ids must be unique per salt."""
        salt = server.id_hash
        units = min(MAX_WEIGHT_UNITS, max(1, round(min(weight, 1e18) * WEIGHT_UNIT)))
        if salt not in self.owners:
            self.owners[salt] = server
        elif self.owners[salt] is not server:
            self.add_shared_salt(salt, server)
            return
        self.total_weight += units - self.weights.get(salt, 0)
        self.weights[salt] = units
        if size != 1.0 or fraction != 1.0:
            self.scales[salt] = size, fraction
        else:
            self.scales.pop(salt, None)
        self.dirty.append(salt)
        self.changed = True

    def drop(self, server: Backend) -> None:
        """Remove a server; no effect if it is absent."""
        salt = server.id_hash
        if salt in self.shared_salts:
            self.remove_shared_salt(salt, server)
        elif self.owners.get(salt) is server:
            del self.owners[salt]
            self.total_weight -= self.weights.pop(salt)
            self.scales.pop(salt, None)
            self.versions.pop(salt, None)
            count = self.point_counts.pop(salt, 0)
            self.live_points -= count
            self.removed[salt] = max(count, self.removed.get(salt, 0))
            self.sweeps_due += 1 + self.points_per_server // MAX_BUCKET_POINTS
            self.changed = True

    def settle(self) -> None:
        """Apply all changes since the last call to the points."""
        self.changed = False
        if not self.owners:
            self.buckets, self.shift, self.sweep_position, self.sweeps_due = [array("Q")], 32, 0, 0
            self.removed, self.removed_before, self.increases, self.decreases, self.dirty = {}, {}, [], [], []
            return
        while len(self.owners) * self.points_per_server > MAX_BUCKET_POINTS * len(self.buckets):
            self.split_buckets()
        self.is_bulk = len(self.dirty) > max(MIN_BULK_SERVERS, len(self.buckets) // 4)
        for salt in self.dirty:
            if salt in self.owners:
                self.update_count(salt)
        if self.is_bulk:
            self.buckets = [array("Q", sorted(set(bucket))) for bucket in self.buckets]
        self.dirty, self.is_bulk = [], False
        level = len(self.weights) / self.total_weight
        thresholds = pop_reached(self.increases, level * (1.0 + THRESHOLD_TOLERANCE)) + pop_reached(
            self.decreases, -level * (1.0 - THRESHOLD_TOLERANCE)
        )
        for salt, version in thresholds:
            if self.versions.get(salt) == version:
                self.update_count(salt)
        if len(self.increases) + len(self.decreases) > 8 * len(self.owners) + 64:
            self.increases, self.decreases = (
                self.valid_entries(self.increases),
                self.valid_entries(self.decreases),
            )
        while self.live_points > MAX_BUCKET_POINTS * len(self.buckets):
            self.split_buckets()
        while self.live_points < MIN_BUCKET_POINTS * len(self.buckets) and len(self.buckets) > 1:
            self.merge_buckets()
        self.sweep()

    def sweep(self) -> None:
        """Sweep the buckets due for the removed servers, a bounded number at a time."""
        for _ in range(min(self.sweeps_due, MAX_SWEPT_BUCKETS, len(self.buckets))):
            self.sweeps_due -= 1
            self.clean_bucket(self.sweep_position)
            self.sweep_position += 1
            # A round is complete: servers removed before it have no points left.
            if self.sweep_position == len(self.buckets):
                self.sweep_position, self.removed_before, self.removed = 0, self.removed, {}

    def valid_entries(self, heap: list[tuple[float, int, int]]) -> list[tuple[float, int, int]]:
        """Return the valid entries of a heap, sorted (a sorted list is a heap)."""
        return sorted(entry for entry in heap if self.versions.get(entry[1]) == entry[2])

    def add_shared_salt(self, salt: int, server: Backend) -> None:
        """Add a server whose salt is taken: the lower id owns the keys."""
        twins = self.shared_salts.setdefault(salt, [self.owners[salt]])
        if server not in twins:
            twins.append(server)
            self.owners[salt] = min(twins, key=server_id)

    def remove_shared_salt(self, salt: int, server: Backend) -> None:
        sharing = [twin for twin in self.shared_salts[salt] if twin is not server]
        self.owners[salt] = min(sharing, key=server_id)
        if len(sharing) > 1:
            self.shared_salts[salt] = sharing
        else:
            del self.shared_salts[salt]

    def update_count(self, salt: int) -> None:
        """Compute the number of points of a server, and the thresholds at which it changes."""
        weight, servers = self.weights[salt], len(self.weights)
        # floor(points * weight / mean + rounding), exact: the rounding is an odd number of 2**-33.
        rounding = 2 * mix(salt, ROUNDING_SEED) + 1
        whole = ((self.points_per_server * weight * servers << 33) + rounding * self.total_weight) // (
            self.total_weight << 33
        )
        offset, count = rounding / 2.0**33, whole
        if salt in self.scales:
            size, fraction = self.scales[salt]
            count = int(round(whole * size) * fraction + offset)
        count = max(1, count)
        if count != self.point_counts.get(salt, 0):
            self.set_count(salt, count)
        self.version += 1
        self.versions[salt] = self.version
        scaled_weight = float(self.points_per_server * weight)
        heappush(self.increases, ((whole + 1 - offset) / scaled_weight, salt, self.version))
        if whole > 0:
            heappush(self.decreases, (-(whole - offset) / scaled_weight, salt, self.version))

    def set_count(self, salt: int, count: int) -> None:
        """Set the number of points of a server on the ring."""
        old_count = self.point_counts.get(salt, 0)
        remaining = 0 if old_count else max(self.removed.pop(salt, 0), self.removed_before.pop(salt, 0))
        shift = self.shift
        for i in range(old_count + 1, count + 1):
            place = mix(salt, i)
            bucket, point = self.buckets[place >> shift], place << 32 | salt
            if self.is_bulk:
                bucket.append(point)
            elif i > remaining or point not in bucket:
                insort(bucket, point)
        for i in range(count + 1, max(old_count, remaining) + 1):
            place = mix(salt, i)
            bucket, point = self.buckets[place >> shift], place << 32 | salt
            if point in bucket:
                bucket.remove(point)
        self.point_counts[salt] = count
        self.live_points += count - old_count

    def clean_bucket(self, number: int) -> None:
        """Delete the points of removed servers from a bucket."""
        owners = self.owners
        self.buckets[number] = array(
            "Q", [point for point in self.buckets[number] if point & SALT_MASK in owners]
        )

    def split_buckets(self) -> None:
        """Split each bucket into two."""
        self.shift -= 1
        halves: list[array[int]] = []
        for number, bucket in enumerate(self.buckets):
            middle = bisect_left(bucket, (2 * number + 1) << 32 + self.shift)
            halves += (bucket[:middle], bucket[middle:])
        self.buckets, self.sweep_position = halves, 2 * self.sweep_position

    def merge_buckets(self) -> None:
        """Merge the buckets in pairs."""
        self.shift += 1
        self.sweep_position //= 2
        buckets = self.buckets
        self.buckets = [buckets[i] + buckets[i + 1] for i in range(0, len(buckets), 2)]


def pop_reached(heap: list[tuple[float, int, int]], level: float) -> list[tuple[int, int]]:
    """Pop the thresholds up to a level; return their salts and versions."""
    found: list[tuple[int, int]] = []
    while heap and heap[0][0] <= level:
        _, salt, version = heappop(heap)
        found.append((salt, version))
    return found


def server_id(server: Backend) -> str:
    return server.entry.id
