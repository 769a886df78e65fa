"""The servers of a slice by load and power, kept as these change.

Rules that hold here and nowhere else:

1. A server's figures are what `note` was last told: its load (attempts out there, of all proxies), its power,
   its fill (own attempts out by what may be out, 0 where none are), and from when on it may be sent to.
   Nothing is read anew.
2. It is usable from that time on. Mean load and the two orders are over usable servers; `advance` lets in
   those whose time has come, and names those whose figures are to be worked out anew because time alone has
   changed them (a slowness that fades, a budget that has grown).
3. The mean is load by power: sums of whole numbers, so that no rounding adds up however long a proxy runs.
4. `least` gives the smallest (load + 1) / power of the servers that fit and have room: fill below a limit,
   or 0. Of equals it is the one that was noted longest ago. Where none of the first `LOOKS` of that order
   will do it is the one with the least fill. So it fails only if none will do, as long as fewer than `LOOKS`
   do not fit; and where none has room one look tells that.
5. A change costs a note in a list. The orders take it in when they are next asked, and a heap half of which
   no longer holds is built anew: O(log n) for each change in the long run, whoever asks.
6. A look that `advance` asks for is no note where it finds all as it was: the server keeps its place among
   its equals. Looked at four times a second, cold servers would otherwise always be the last of them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from math import inf

from firvane.core.balancing.records import Backend

UNIT = 1 << 20  # parts of a power of 1
LOOKS = 16  # servers of an order that are offered, at the most


@dataclass(slots=True, eq=False)
class Kind:
    """The usable servers of one kind."""

    number: int
    members: int = 0  # usable or not
    count: int = 0
    load: int = 0
    power: int = 0  # in units
    by_load: list[tuple[float, int, Spot]] = field(default_factory=list)
    by_fill: list[tuple[float, int, Spot]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Spot:
    """What the index keeps of a server."""

    server: Backend
    kind: Kind
    load: int = 0
    power: int = 1
    fill: float = 0.0
    ready_at: float = inf  # usable from then on
    check_at: float = inf  # to be noted anew then
    wake: float = inf  # when it is next looked at
    usable: bool = False
    fresh: bool = False  # noted since the orders were last asked
    mark: int = 0  # of its entries in the orders that hold; 0 where none do


class Index:
    """The servers of a slice, or of all that a proxy reaches. Times are seconds on the caller's clock."""

    def __init__(self) -> None:
        self.spots: dict[Backend, Spot] = {}
        self.kinds: dict[int, Kind] = {}
        self.fresh: list[Spot] = []
        self.waiting: list[tuple[float, int, Spot]] = []
        self.mark = 0

    def note(
        self, server: Backend, now: float, load: int, power: float, fill: float,
        ready_at: float = 0.0, check_at: float = inf, looked: bool = False,
    ) -> None:  # fmt: skip
        """Take in a server or its changed figures: usable from `ready_at`, to be noted anew at `check_at`.

        `looked`: nothing but time has passed there (rule 6).
        """
        spot = self.spots.get(server)
        if spot is None or spot.kind.number != server.entry.kind:
            if spot is not None:
                self.forget(server)
            number = server.entry.kind
            if number not in self.kinds:
                self.kinds[number] = Kind(number)
            spot = self.spots[server] = Spot(server, self.kinds[number])
            spot.kind.members += 1
        kind, units = spot.kind, max(1, int(power * UNIT))
        kept = looked and spot.usable and ready_at <= now  # rule 6
        kept = kept and (spot.load, spot.power, spot.fill) == (load, units, fill)
        spot.ready_at, spot.check_at = ready_at, check_at
        if not kept:
            if spot.usable:
                kind.load -= spot.load
                kind.power -= spot.power
                kind.count -= 1
            spot.load, spot.power, spot.fill = load, units, fill
            if ready_at <= now:
                self.enter(spot)
            else:
                spot.usable, spot.mark = False, 0
        wake = check_at if ready_at <= now or check_at < ready_at else ready_at
        if wake < spot.wake:
            spot.wake = wake
            self.mark += 1
            heappush(self.waiting, (wake, self.mark, spot))

    def forget(self, server: Backend) -> None:
        """Remove a server; harmless where it is not here."""
        spot = self.spots.pop(server, None)
        if spot is None:
            return
        if spot.usable:
            spot.kind.load -= spot.load
            spot.kind.power -= spot.power
            spot.kind.count -= 1
        spot.usable, spot.mark, spot.wake = False, 0, -inf  # its entries hold no more
        spot.kind.members -= 1
        if not spot.kind.members:
            del self.kinds[spot.kind.number]

    def enter(self, spot: Spot) -> None:
        kind = spot.kind
        kind.load += spot.load
        kind.power += spot.power
        kind.count += 1
        spot.usable = True
        if not spot.fresh:
            spot.fresh = True
            self.fresh.append(spot)

    def advance(self, now: float) -> list[Backend]:
        """Let in those whose time has come; return those that are to be noted anew. To be asked first."""
        due: list[Backend] = []
        while self.waiting and self.waiting[0][0] <= now:
            wake, _, spot = heappop(self.waiting)
            if spot.wake != wake:
                continue
            spot.wake = inf
            if not spot.usable and spot.ready_at <= now:
                self.enter(spot)
            if spot.check_at <= now:
                spot.check_at = inf
                due.append(spot.server)
            wake = spot.check_at if spot.usable or spot.check_at < spot.ready_at else spot.ready_at
            if wake < inf:
                spot.wake = wake
                self.mark += 1
                heappush(self.waiting, (wake, self.mark, spot))
        return due

    def next_at(self) -> float:
        """When `advance` next has something to do, at the earliest; inf where never."""
        return self.waiting[0][0] if self.waiting else inf

    def usable(self, server: Backend) -> bool:
        spot = self.spots.get(server)
        return spot is not None and spot.usable

    def count(self, kinds: Collection[int] | None = None) -> int:
        """How many are usable, of some kinds or of all."""
        found = 0
        for kind in self.kinds.values():
            if kinds is None or kind.number in kinds:
                found += kind.count
        return found

    def mean(self, kinds: Collection[int] | None = None, without: Collection[Backend] = ()) -> float:
        """Load by power over the usable servers of some kinds or of all, but for some; 0 where none are."""
        load, power = 0, 0
        for kind in self.kinds.values():
            if kinds is None or kind.number in kinds:
                load += kind.load
                power += kind.power
        for server in without:
            spot = self.spots.get(server)
            if spot is not None and spot.usable and (kinds is None or spot.kind.number in kinds):
                load -= spot.load
                power -= spot.power
        return load * UNIT / power if power > 0 else 0.0

    def of(self, kinds: Collection[int] | None) -> list[Kind]:
        """These kinds, as far as a server of theirs is usable."""
        return [k for k in self.kinds.values() if k.count and (kinds is None or k.number in kinds)]

    def quick(self, pace: dict[int, float], within: float, without: Collection[Backend]) -> list[int]:
        """The kinds that take the least time, or up to so many times that, of those usable beside some."""
        found: list[tuple[float, int]] = []
        for kind in self.of(None):
            if kind.count > len([s for s in without if s.entry.kind == kind.number]):
                found.append((pace.get(kind.number, 1.0), kind.number))
        return [number for took, number in found if took <= within * min(found)[0]]

    def each(self) -> Iterator[Backend]:
        """All usable servers, for what no order helps with."""
        return (spot.server for spot in self.spots.values() if spot.usable)

    def least(
        self, limit: float, fits: Callable[[Backend], bool], kinds: Collection[int] | None = None
    ) -> Backend | None:
        """The least loaded usable server of some kinds, or of all, as far as rule 4 goes."""
        emptiest = self.emptiest(limit, fits, kinds)
        if emptiest is None:
            return None
        return first([kind.by_load for kind in self.of(kinds)], limit, fits) or emptiest

    def emptiest(
        self, limit: float, fits: Callable[[Backend], bool], kinds: Collection[int] | None = None
    ) -> Backend | None:
        """The one with the least fill instead."""
        self.sort()
        among = self.of(kinds)
        for kind in among:
            settle(kind.by_fill)
        if not any([kind.by_fill[0][0] < limit or kind.by_fill[0][0] <= 0.0 for kind in among]):
            return None
        return first([kind.by_fill for kind in among], limit, fits)

    def sort(self) -> None:
        """Take what was noted into the orders."""
        for spot in self.fresh:
            spot.fresh = False
            if spot.usable:
                self.mark += 1
                spot.mark = self.mark
                kind = spot.kind
                heappush(kind.by_load, ((spot.load + 1) / spot.power, self.mark, spot))
                heappush(kind.by_fill, (spot.fill, self.mark, spot))
                if len(kind.by_load) > 2 * kind.count + 64:
                    kind.by_load = holding(kind.by_load)
                if len(kind.by_fill) > 2 * kind.count + 64:
                    kind.by_fill = holding(kind.by_fill)
        self.fresh = []


def holding(heap: list[tuple[float, int, Spot]]) -> list[tuple[float, int, Spot]]:
    """The entries that hold, as a heap."""
    held = [entry for entry in heap if entry[2].mark == entry[1]]
    heapify(held)
    return held


def settle(heap: list[tuple[float, int, Spot]]) -> None:
    """Let its first entry be one that holds."""
    while heap and heap[0][2].mark != heap[0][1]:
        heappop(heap)


def first(
    heaps: list[list[tuple[float, int, Spot]]], limit: float, fits: Callable[[Backend], bool]
) -> Backend | None:
    """The first server that will do in the common order of some heaps, of the first `LOOKS`."""
    found: Backend | None = None
    aside: list[tuple[list[tuple[float, int, Spot]], tuple[float, int, Spot]]] = []
    while found is None and len(aside) < LOOKS:
        best: list[tuple[float, int, Spot]] = []
        for heap in heaps:
            settle(heap)
            if heap and (not best or heap[0] < best[0]):
                best = heap
        if not best:
            break
        spot = best[0][2]
        if (spot.fill < limit or spot.fill <= 0.0) and fits(spot.server):
            found = spot.server
        else:
            aside.append((best, heappop(best)))
    for heap, entry in aside:
        heappush(heap, entry)
    return found
