"""The key ring: which server a key belongs to, at a cost that hardly grows with their number.

Rules that hold here and nowhere else:

1. A server has its `mix(salt, i)` for i = 1, 2, ... as points: as many as its weight beside the mean weight
   gives it of `POINTS`, times the size of its kind, rounded; times the part of it that counts here. A key
   belongs to the next point at or after its hash. Of two servers on one point the lower salt goes first, of
   two with one salt the lower id. So proxies with the same servers agree, whatever came before.
2. By weight and by part, what is left of a point is rounded up for as many servers as that says, by hash, and
   not for all of a weight at once. When the mean moves, as it does by one part in n where a server leaves, a
   few servers gain or lose a point, where plain rounding now and then gave or took one from all of a kind.
   Where all weights are alike nothing is left, and each has what it always had.
3. Weights are counted as whole numbers of `UNIT`, so that their sum does not depend on the order.
4. Points lie in buckets by their first bits, 16 to 32 to a bucket on average: to ask costs a look into one,
   to add a server a look for each of its points, the doubling of the buckets spread over all that came.
5. A server that leaves is only forgotten. Its points go when a question meets them, and a few buckets are
   looked through at each change, so that they are gone after about as many changes as there are buckets.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, insort
from heapq import heappop, heappush

from firvane.core.balancing.records import Backend, mix

POINTS = 64  # points of a server of mean size
UNIT = 1 << 20  # parts of a weight of 1
LARGEST = 1 << 60  # of a weight, in units; what is beyond counts as this
FEW, MANY = 8, 32  # points to a bucket below which buckets are joined, above which they are parted
BULK = 64  # servers that come at once from which on buckets are sorted when all points are in
SWEPT = 32  # buckets looked through at one change, at the most
SALT = (1 << 32) - 1
SLACK = 1e-9  # thresholds are floats: what is this near is reckoned exactly
SPREAD = 0x5EED  # tells the hash that rounds from the points


class Ring:
    """Servers by key. The first question after changes settles them, or `settle` at a better time."""

    def __init__(self, points: int = POINTS) -> None:
        self.points_each = points
        self.owners: dict[int, Backend] = {}  # by salt
        self.twins: dict[int, list[Backend]] = {}  # further servers with the salt of one, all of them
        self.weights: dict[int, int] = {}  # by salt, in units
        self.shapes: dict[int, tuple[float, float]] = {}  # by salt: size and part, where these are not 1
        self.counts: dict[int, int] = {}  # by salt: points on the ring
        # The same of servers that left, whose points may still be there: in this round of looking, before it.
        self.left: dict[int, int] = {}
        self.left_before: dict[int, int] = {}
        self.hand = 0  # the bucket to be looked through next
        self.owed = 0  # buckets to be looked through
        self.total = 0  # of all weights
        self.live = 0  # points of servers that are here
        self.shift = 32  # bits of a point within its bucket
        self.buckets: list[array[int]] = [array("Q")]  # point << 32 | salt
        # By salt: where counts change, as servers to a unit of total weight; the marks tell which hold.
        self.rises: list[tuple[float, int, int]] = []
        self.falls: list[tuple[float, int, int]] = []
        self.marks: dict[int, int] = {}
        self.mark = 0
        self.fresh: list[int] = []  # salts whose count is to be found
        self.changed = False
        self.bulk = False  # buckets are not in order

    def __len__(self) -> int:
        return len(self.owners)

    def owner(self, place: int) -> Backend | None:
        """The server that a hash of 32 bits belongs to; None where there is none."""
        owners = self.owners
        if not owners:
            return None
        if self.changed:
            self.settle()
        number = place >> self.shift
        bucket = self.buckets[number]
        i = bisect_left(bucket, place << 32)
        while True:
            if i < len(bucket):
                found = owners.get(bucket[i] & SALT)
                if found is not None:
                    return found
                self.clean(number)
                bucket = self.buckets[number]
                i = bisect_left(bucket, place << 32)
            else:
                number = number + 1 if number + 1 < len(self.buckets) else 0
                bucket, place, i = self.buckets[number], 0, 0

    def put(self, server: Backend, weight: float, size: float = 1.0, part: float = 1.0) -> None:
        """Add a server, or change what it counts for; at most one of a salt and an id."""
        salt = server.id_hash
        units = min(LARGEST, max(1, round(min(weight, 1e18) * UNIT)))
        if salt not in self.owners:
            self.owners[salt] = server
        elif self.owners[salt] is not server:
            self.pair(salt, server)
            return
        self.total += units - self.weights.get(salt, 0)
        self.weights[salt] = units
        if size != 1.0 or part != 1.0:
            self.shapes[salt] = size, part
        else:
            self.shapes.pop(salt, None)
        self.fresh.append(salt)
        self.changed = True

    def drop(self, server: Backend) -> None:
        """Remove a server; harmless where it is not here."""
        salt = server.id_hash
        if salt in self.twins:
            self.unpair(salt, server)
        elif self.owners.get(salt) is server:
            del self.owners[salt]
            self.total -= self.weights.pop(salt)
            self.shapes.pop(salt, None)
            self.marks.pop(salt, None)
            count = self.counts.pop(salt, 0)
            self.live -= count
            self.left[salt] = max(count, self.left.get(salt, 0))
            self.owed += 1 + self.points_each // MANY
            self.changed = True

    def settle(self) -> None:
        """Bring the points into line with what they count for, after any number of changes."""
        self.changed = False
        if not self.owners:
            self.buckets, self.shift, self.hand, self.owed = [array("Q")], 32, 0, 0
            self.left, self.left_before, self.rises, self.falls, self.fresh = {}, {}, [], [], []
            return
        while len(self.owners) * self.points_each > MANY * len(self.buckets):
            self.part()
        self.bulk = len(self.fresh) > max(BULK, len(self.buckets) // 4)
        for salt in self.fresh:
            if salt in self.owners:
                self.recount(salt)
        if self.bulk:
            self.buckets = [array("Q", sorted(set(bucket))) for bucket in self.buckets]
        self.fresh, self.bulk = [], False
        level = len(self.weights) / self.total
        reached = crossed(self.rises, level * (1.0 + SLACK)) + crossed(self.falls, -level * (1.0 - SLACK))
        for salt, mark in reached:
            if self.marks.get(salt) == mark:
                self.recount(salt)
        if len(self.rises) + len(self.falls) > 8 * len(self.owners) + 64:
            self.rises, self.falls = self.holding(self.rises), self.holding(self.falls)
        while self.live > MANY * len(self.buckets):
            self.part()
        while self.live < FEW * len(self.buckets) and len(self.buckets) > 1:
            self.join()
        self.sweep()

    def sweep(self) -> None:
        """Look through a bucket for each server that left, not too many at a time."""
        for _ in range(min(self.owed, SWEPT, len(self.buckets))):
            self.owed -= 1
            self.clean(self.hand)
            self.hand += 1
            if self.hand == len(self.buckets):  # a round: what left before it has no points any more
                self.hand, self.left_before, self.left = 0, self.left, {}

    def holding(self, heap: list[tuple[float, int, int]]) -> list[tuple[float, int, int]]:
        """What holds of a heap; any sorted list is one."""
        return sorted(entry for entry in heap if self.marks.get(entry[1]) == entry[2])

    def pair(self, salt: int, server: Backend) -> None:
        """Another server has this salt: the lower id has the keys, the other waits."""
        twins = self.twins.setdefault(salt, [self.owners[salt]])
        if server not in twins:
            twins.append(server)
            self.owners[salt] = min(twins, key=id_of)

    def unpair(self, salt: int, server: Backend) -> None:
        twins = [twin for twin in self.twins[salt] if twin is not server]
        self.owners[salt] = min(twins, key=id_of)
        if len(twins) > 1:
            self.twins[salt] = twins
        else:
            del self.twins[salt]

    def recount(self, salt: int) -> None:
        """Find how many points a server has, and note when that changes."""
        weight, servers = self.weights[salt], len(self.weights)
        # floor(points * weight / mean + rounding), exact: the rounding is an odd number of 2**-33.
        rounding = 2 * mix(salt, SPREAD) + 1
        whole = ((self.points_each * weight * servers << 33) + rounding * self.total) // (self.total << 33)
        left, count = rounding / 2.0**33, whole
        if salt in self.shapes:
            size, part = self.shapes[salt]
            count = int(round(whole * size) * part + left)
        count = max(1, count)
        if count != self.counts.get(salt, 0):
            self.change(salt, count)
        self.mark += 1
        self.marks[salt] = self.mark
        each = float(self.points_each * weight)
        heappush(self.rises, ((whole + 1 - left) / each, salt, self.mark))
        if whole > 0:
            heappush(self.falls, (-(whole - left) / each, salt, self.mark))

    def change(self, salt: int, count: int) -> None:
        """Have just this many points of a server on the ring."""
        had = self.counts.get(salt, 0)
        there = 0 if had else max(self.left.pop(salt, 0), self.left_before.pop(salt, 0))
        shift = self.shift
        for i in range(had + 1, count + 1):
            place = mix(salt, i)
            bucket, point = self.buckets[place >> shift], place << 32 | salt
            if self.bulk:
                bucket.append(point)
            elif i > there or point not in bucket:
                insort(bucket, point)
        for i in range(count + 1, max(had, there) + 1):
            place = mix(salt, i)
            bucket, point = self.buckets[place >> shift], place << 32 | salt
            if point in bucket:
                bucket.remove(point)
        self.counts[salt] = count
        self.live += count - had

    def clean(self, number: int) -> None:
        """Rid a bucket of the points of servers that left."""
        owners = self.owners
        self.buckets[number] = array("Q", [point for point in self.buckets[number] if point & SALT in owners])

    def part(self) -> None:
        """Part each bucket into two."""
        self.shift -= 1
        parted: list[array[int]] = []
        for number, bucket in enumerate(self.buckets):
            middle = bisect_left(bucket, (2 * number + 1) << 32 + self.shift)
            parted += (bucket[:middle], bucket[middle:])
        self.buckets, self.hand = parted, 2 * self.hand

    def join(self) -> None:
        """Join the buckets by twos."""
        self.shift += 1
        self.hand //= 2
        buckets = self.buckets
        self.buckets = [buckets[i] + buckets[i + 1] for i in range(0, len(buckets), 2)]


def crossed(heap: list[tuple[float, int, int]], level: float) -> list[tuple[int, int]]:
    """Take off what has been reached."""
    found: list[tuple[int, int]] = []
    while heap and heap[0][0] <= level:
        _, salt, mark = heappop(heap)
        found.append((salt, mark))
    return found


def id_of(server: Backend) -> str:
    return server.entry.id
