"""An index of the servers of a slice by load and weight, updated incrementally.

Invariants:

1. The index holds the values of a server as of its last `update`: load (attempts in flight there, of all
   proxies), effective weight, utilization (own attempts in flight by capacity, 0 without any), and the time
   from which on it may be sent to. Nothing is read from the server again.
2. A server is usable from that time on. Mean load and the two orders cover usable servers; `advance` enables
   those whose time has come, and returns those whose values must be updated because they change with time
   alone (a relative latency that decays, a budget that grows).
3. The mean is load by weight: sums of integers, so that no rounding error accumulates.
4. `least_loaded` returns the smallest (load + 1) / weight of the servers that fit and have capacity:
   utilization below a limit, or 0. Of equals it is the one updated longest ago. If none of the first
   `MAX_CANDIDATES` in that order qualifies, it is the one with the least utilization. So it fails only if no
   server qualifies, as long as fewer than `MAX_CANDIDATES` do not fit; a single look shows that none has
   capacity.
5. An update is appended to a list. The orders apply the list at the next query, and a heap with more than
   half of its entries invalid is rebuilt: amortised O(log n) per update, whoever queries.
6. A recheck that `advance` asked for does not count as an update if no value has changed: the server keeps
   its place among equals. Rechecked four times a second, cold servers would otherwise always come last.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from math import inf

from firvane.core.balancing.records import Backend

WEIGHT_UNIT = 1 << 20  # units in a weight of 1
MAX_CANDIDATES = 16  # servers of an order that are tried


@dataclass(slots=True, eq=False)
class KindIndex:
    """The usable servers of one kind."""

    number: int
    members: int = 0  # usable or not
    count: int = 0
    load: int = 0
    weight: int = 0  # in units
    by_load: list[tuple[float, int, IndexRecord]] = field(default_factory=list)
    by_utilization: list[tuple[float, int, IndexRecord]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class IndexRecord:
    """The values that the index holds of a server."""

    server: Backend
    kind: KindIndex
    load: int = 0
    weight: int = 1
    utilization: float = 0.0
    ready_at: float = inf  # from when on it is usable
    check_at: float = inf  # when it must be rechecked
    wake_at: float = inf  # when `advance` next visits it
    usable: bool = False
    is_pending: bool = False  # updated since the last query of the orders
    version: int = 0  # of its valid entries in the orders; 0 if there are none


class LoadIndex:
    """The servers of a slice, or of all that a proxy reaches. Times are seconds on the caller's clock."""

    def __init__(self) -> None:
        self.records: dict[Backend, IndexRecord] = {}
        self.kinds: dict[int, KindIndex] = {}
        self.pending: list[IndexRecord] = []
        self.wake_heap: list[tuple[float, int, IndexRecord]] = []
        self.version = 0

    def update(
        self, server: Backend, now: float, load: int, weight: float, utilization: float,
        ready_at: float = 0.0, check_at: float = inf, is_recheck: bool = False,
    ) -> None:  # fmt: skip
        """Add a server or update its values: usable from `ready_at`, to be rechecked at `check_at`.

        `is_recheck`: only time has passed since the last update (rule 6).
        """
        record = self.records.get(server)
        if record is None or record.kind.number != server.entry.kind:
            if record is not None:
                self.remove(server)
            number = server.entry.kind
            if number not in self.kinds:
                self.kinds[number] = KindIndex(number)
            record = self.records[server] = IndexRecord(server, self.kinds[number])
            record.kind.members += 1
        kind, units = record.kind, max(1, int(weight * WEIGHT_UNIT))
        same = is_recheck and record.usable and ready_at <= now  # rule 6
        same = same and (record.load, record.weight, record.utilization) == (
            load,
            units,
            utilization,
        )
        record.ready_at, record.check_at = ready_at, check_at
        if not same:
            if record.usable:
                kind.load -= record.load
                kind.weight -= record.weight
                kind.count -= 1
            record.load, record.weight, record.utilization = load, units, utilization
            if ready_at <= now:
                self.enable(record)
            else:
                record.usable, record.version = False, 0
        wake_at = check_at if ready_at <= now or check_at < ready_at else ready_at
        if wake_at < record.wake_at:
            record.wake_at = wake_at
            self.version += 1
            heappush(self.wake_heap, (wake_at, self.version, record))

    def remove(self, server: Backend) -> None:
        """Remove a server; no effect if it is absent."""
        record = self.records.pop(server, None)
        if record is None:
            return
        if record.usable:
            record.kind.load -= record.load
            record.kind.weight -= record.weight
            record.kind.count -= 1
        record.usable, record.version, record.wake_at = False, 0, -inf  # its heap entries become invalid
        record.kind.members -= 1
        if not record.kind.members:
            del self.kinds[record.kind.number]

    def enable(self, record: IndexRecord) -> None:
        kind = record.kind
        kind.load += record.load
        kind.weight += record.weight
        kind.count += 1
        record.usable = True
        if not record.is_pending:
            record.is_pending = True
            self.pending.append(record)

    def advance(self, now: float) -> list[Backend]:
        """Enable servers whose time has come; return those to be rechecked. Must precede queries."""
        due: list[Backend] = []
        while self.wake_heap and self.wake_heap[0][0] <= now:
            wake_at, _, record = heappop(self.wake_heap)
            if record.wake_at != wake_at:
                continue
            record.wake_at = inf
            if not record.usable and record.ready_at <= now:
                self.enable(record)
            if record.check_at <= now:
                record.check_at = inf
                due.append(record.server)
            wake_at = (
                record.check_at if record.usable or record.check_at < record.ready_at else record.ready_at
            )
            if wake_at < inf:
                record.wake_at = wake_at
                self.version += 1
                heappush(self.wake_heap, (wake_at, self.version, record))
        return due

    def next_at(self) -> float:
        """Return the earliest time at which `advance` has something to do; inf for never."""
        return self.wake_heap[0][0] if self.wake_heap else inf

    def is_usable(self, server: Backend) -> bool:
        record = self.records.get(server)
        return record is not None and record.usable

    def count(self, kinds: Collection[int] | None = None) -> int:
        """Return the number of usable servers, of some kinds or of all."""
        found = 0
        for kind in self.kinds.values():
            if kinds is None or kind.number in kinds:
                found += kind.count
        return found

    def mean(self, kinds: Collection[int] | None = None, excluded: Collection[Backend] = ()) -> float:
        """Return load by weight over the usable servers of some kinds or of all, 0 if there are none."""
        load, weight = 0, 0
        for kind in self.kinds.values():
            if kinds is None or kind.number in kinds:
                load += kind.load
                weight += kind.weight
        for server in excluded:
            record = self.records.get(server)
            if record is not None and record.usable and (kinds is None or record.kind.number in kinds):
                load -= record.load
                weight -= record.weight
        return load * WEIGHT_UNIT / weight if weight > 0 else 0.0

    def usable_kinds(self, kinds: Collection[int] | None) -> list[KindIndex]:
        """Return those of some kinds, or of all, that have a usable server."""
        return [k for k in self.kinds.values() if k.count and (kinds is None or k.number in kinds)]

    def fastest_kinds(
        self, pace: dict[int, float], max_factor: float, excluded: Collection[Backend]
    ) -> list[int]:
        """Return the kinds within `max_factor` of the least pace, among those with a usable server left."""
        found: list[tuple[float, int]] = []
        for kind in self.usable_kinds(None):
            if kind.count > len([s for s in excluded if s.entry.kind == kind.number]):
                found.append((pace.get(kind.number, 1.0), kind.number))
        return [number for kind_pace, number in found if kind_pace <= max_factor * min(found)[0]]

    def usable_servers(self) -> Iterator[Backend]:
        """Yield all usable servers, in no order."""
        return (record.server for record in self.records.values() if record.usable)

    def least_loaded(
        self, limit: float, fits: Callable[[Backend], bool], kinds: Collection[int] | None = None
    ) -> Backend | None:
        """Return the least loaded usable server of some kinds, or of all (rule 4)."""
        least_utilized = self.least_utilized(limit, fits, kinds)
        if least_utilized is None:
            return None
        return (
            first_qualifying([kind.by_load for kind in self.usable_kinds(kinds)], limit, fits)
            or least_utilized
        )

    def least_utilized(
        self, limit: float, fits: Callable[[Backend], bool], kinds: Collection[int] | None = None
    ) -> Backend | None:
        """Return the usable server with the least utilization of some kinds, or of all."""
        self.apply_updates()
        among = self.usable_kinds(kinds)
        for kind in among:
            pop_invalid(kind.by_utilization)
        if not any([kind.by_utilization[0][0] < limit or kind.by_utilization[0][0] <= 0.0 for kind in among]):
            return None
        return first_qualifying([kind.by_utilization for kind in among], limit, fits)

    def apply_updates(self) -> None:
        """Apply the pending updates to the orders."""
        for record in self.pending:
            record.is_pending = False
            if record.usable:
                self.version += 1
                record.version = self.version
                kind = record.kind
                heappush(kind.by_load, ((record.load + 1) / record.weight, self.version, record))
                heappush(kind.by_utilization, (record.utilization, self.version, record))
                if len(kind.by_load) > 2 * kind.count + 64:
                    kind.by_load = valid_heap(kind.by_load)
                if len(kind.by_utilization) > 2 * kind.count + 64:
                    kind.by_utilization = valid_heap(kind.by_utilization)
        self.pending = []


def valid_heap(heap: list[tuple[float, int, IndexRecord]]) -> list[tuple[float, int, IndexRecord]]:
    """Return the valid entries as a heap."""
    valid = [entry for entry in heap if entry[2].version == entry[1]]
    heapify(valid)
    return valid


def pop_invalid(heap: list[tuple[float, int, IndexRecord]]) -> None:
    """Pop invalid entries until the first one is valid."""
    while heap and heap[0][2].version != heap[0][1]:
        heappop(heap)


def first_qualifying(
    heaps: list[list[tuple[float, int, IndexRecord]]], limit: float, fits: Callable[[Backend], bool]
) -> Backend | None:
    """Return the first qualifying server in the merged order of some heaps, of the first `MAX_CANDIDATES`."""
    found: Backend | None = None
    skipped: list[tuple[list[tuple[float, int, IndexRecord]], tuple[float, int, IndexRecord]]] = []
    while found is None and len(skipped) < MAX_CANDIDATES:
        best: list[tuple[float, int, IndexRecord]] = []
        for heap in heaps:
            pop_invalid(heap)
            if heap and (not best or heap[0] < best[0]):
                best = heap
        if not best:
            break
        record = best[0][2]
        if (record.utilization < limit or record.utilization <= 0.0) and fits(record.server):
            found = record.server
        else:
            skipped.append((best, heappop(best)))
    for heap, entry in skipped:
        heappush(heap, entry)
    return found
