"""Subsetting: the home slices of the proxies, and the other servers that each proxy reaches.

Invariants:

1. The proxies of a zone form groups of `GROUP_SIZE` to twice as many, by their numbers alone. The servers of
   a zone are divided among its groups, in proportion to their live proxies, and those of a group among its
   live proxies. A zone without live proxies is divided among the groups of all others. Only the present
   members count, and not the order in which they came, so that proxies with the same view compute the same
   assignment.
2. Of each kind all get an equal share, or one more. Among groups a hash decides who gets the remainder, so
   that one server less changes little; within a group it goes to those with the least weight so far. Where
   the proxies of a group outnumber its servers each proxy has one, and a server has proxies in proportion to
   its weight.
3. Which ones: in the order of their hashes the items (the more numerous side) probe the bins (the other side)
   in a sequence that depends on the item alone, and take the first bin with free capacity. A removed item
   frees a place for one that probed the bin in vain, and so on: a few servers move, where assignment by rank
   moved half.
4. A proxy reaches its group's servers: a server gets connections from `GROUP_SIZE` to twice as many proxies,
   whatever the size of the fleet. In a fleet of up to `limit` servers it reaches all others as well, in one
   of up to twice as many with a fraction of their weight, which falls evenly and says how much of it counts
   for keys.
5. Where offload goes to a slice that is not reached, a few of its servers are reached as well
   (`sample_servers`).
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from heapq import heapify, heapreplace

from firvane.core.balancing.records import Backend, mix

GROUP_SIZE = 8  # proxies
MIN_GROUP_SERVERS = 8  # with fewer per group there are fewer groups
POINTS_PER_BIN = 8  # on the ring that the items probe
MAX_PROBES_PER_BIN = 64
# Seeds that separate the hashes.
ORDER_SEED, GROUP_SEED, PROBE_SEED, BIN_SEED, REMAINDER_SEED, SAMPLE_SEED = 101, 102, 103, 104, 105, 106
# Returns for each item the number of its bin, given the items and the capacities of the bins.
BinAssigner = Callable[[list[int], list[int]], list[int]]


@dataclass(slots=True, frozen=True)
class Assignment:
    """The home slice and the group of each proxy, by its number."""

    slices: dict[int, list[Backend]]
    groups: dict[int, list[int]]  # the proxies of each proxy's group, itself included


class SliceAssigner:
    """Computes the assignment after each change, and caches the parts of the last one that still apply.

    Assumes that a server keeps its kind.
    """

    def __init__(self, proxies: int, regions: int, weighted: bool = True) -> None:
        """`proxies` and `regions` are the configured numbers; weights are ignored unless `weighted`."""
        self.proxies, self.regions, self.weighted = proxies, max(1, regions), weighted
        # By zone: the servers, their weights, the groups, and the share of each group.
        self.zones: dict[int, tuple[list[Backend], list[float], list[list[int]], list[list[Backend]]]] = {}
        # By zone and position of the group: its share, the weights, its proxies, and their slices.
        self.slices: dict[
            tuple[int, int], tuple[list[Backend], list[float], list[int], list[list[Backend]]]
        ] = {}

    def assign(self, servers: Iterable[Backend], zones: Mapping[int, int]) -> Assignment:
        """Assign the servers to the live proxies; `zones` are the zones of these."""
        by_zone: dict[int, list[Backend]] = {}
        for server in servers:
            by_zone.setdefault(server.entry.zone, []).append(server)
        groups_by_zone: dict[int, list[list[int]]] = {}  # the groups of each zone
        for zone in sorted(set(zones.values())):
            groups_by_zone[zone] = live_groups(
                zones, zone, len(by_zone.get(zone, ())), self.proxies, self.regions
            )
        slices: dict[int, list[Backend]] = {proxy: [] for proxy in sorted(zones)}
        for zone in sorted(by_zone):
            receiving = groups_by_zone.get(zone) or [
                group for others in groups_by_zone.values() for group in others
            ]
            for i, share in enumerate(self.shares_of_zone(zone, by_zone[zone], receiving)):
                for proxy, assigned in zip(
                    receiving[i], self.slices_of_group(zone, i, share, receiving[i]), strict=True
                ):
                    slices[proxy] += assigned
        return Assignment(
            slices,
            {proxy: group for others in groups_by_zone.values() for group in others for proxy in group},
        )

    def shares_of_zone(
        self, zone: int, servers: list[Backend], receiving: list[list[int]]
    ) -> list[list[Backend]]:
        """Return each group's share of a zone's servers, cached if nothing has changed for the zone."""
        known, weights = self.zones.get(zone), [server.weight for server in servers]
        if known is not None and known[:3] == (servers, weights, receiving):
            return known[3]
        shares = distribute(
            sorted(servers, key=order_key),
            [len(group) for group in receiving],
            assign_by_probes,
            self.weighted,
            True,
        )
        self.zones[zone] = servers, weights, receiving, shares
        return shares

    def slices_of_group(
        self, zone: int, number: int, share: list[Backend], group: list[int]
    ) -> list[list[Backend]]:
        """Return the slices of a group's proxies, cached if nothing has changed for the group."""
        known, weights = self.slices.get((zone, number)), [server.weight for server in share]
        if known is not None and known[:3] == (share, weights, group):
            return known[3]
        slices = assign_group(share, group, self.weighted)
        self.slices[zone, number] = share, weights, group, slices
        return slices


def live_groups(
    zones: Mapping[int, int], zone: int, servers: int, proxies: int, regions: int
) -> list[list[int]]:
    """Return the live proxies of each of a zone's groups; a group may have none."""
    count = max(1, proxies // (GROUP_SIZE * regions))
    while count > 1 and servers < MIN_GROUP_SERVERS * count:
        count //= 2
    members: list[list[int]] = [[] for _ in range(count)]
    for proxy in sorted(zones):
        if zones[proxy] == zone:
            members[proxy // regions % count].append(proxy)
    return members


def assign_group(servers: list[Backend], group: list[int], weighted: bool) -> list[list[Backend]]:
    """Return the slices of a group's proxies."""
    if len(group) <= len(servers):
        bin_ring = BinRing([mix(proxy, BIN_SEED) for proxy in group])
        return distribute(servers, [1] * len(group), bin_ring.assign_bins, weighted, False)
    if not servers:
        return [[] for _ in group]
    capacities = [1] * len(servers)
    weights = [server.weight if weighted else 1.0 for server in servers]
    heap = [(-weight / 1.5, i) for i, weight in enumerate(weights)]  # nearest to proportional to the weights
    heapify(heap)
    for _ in range(len(group) - len(servers)):
        i = heap[0][1]
        capacities[i] += 1
        heapreplace(heap, (-weights[i] / (capacities[i] + 0.5), i))
    order = sorted(range(len(group)), key=lambda i: mix(group[i], ORDER_SEED))
    bin_ring = BinRing([mix(server.id_hash, BIN_SEED) for server in servers])
    slices: list[list[Backend]] = [[] for _ in group]
    for i, bin_number in zip(order, bin_ring.assign_bins([group[i] for i in order], capacities), strict=True):
        slices[i] = [servers[bin_number]]
    return slices


def distribute(
    servers: list[Backend], sizes: list[int], assign_bins: BinAssigner, weighted: bool, among_groups: bool
) -> list[list[Backend]]:
    """Divide servers among takers in proportion to their sizes, each kind evenly.

    Args:
        servers: in the order in which bins are assigned.
        sizes: of the takers.
        assign_bins: finds a taker for each server of a kind.
        weighted: whether the weights of servers count.
        among_groups: whether the takers are groups, of which a hash alone decides who gets a remainder.
    """
    shares: list[list[Backend]] = [[] for _ in sizes]
    weight_so_far, total_size = [0.0] * len(sizes), 0
    for size in sizes:
        total_size += size
    if not total_size:
        return shares
    by_kind: dict[int, list[Backend]] = {}
    for server in servers:
        by_kind.setdefault(server.entry.kind, []).append(server)
    for kind in sorted(by_kind):
        members, weight = by_kind[kind], 0.0
        for server in members:
            weight += server.weight if weighted else 1.0
        weight /= len(members)
        capacities = [len(members) * size // total_size for size in sizes]
        remainder = len(members)
        for i, capacity in enumerate(capacities):
            weight_so_far[i] += weight * capacity
            remainder -= capacity
        turns = [
            (0.0 if among_groups else weight_so_far[i], mix(i, REMAINDER_SEED + kind), i)
            for i, size in enumerate(sizes)
            if size
        ]
        for _, _, i in sorted(turns)[:remainder]:
            capacities[i] += 1
            weight_so_far[i] += weight
        for server, i in zip(members, assign_bins([s.id_hash for s in members], capacities), strict=True):
            shares[i].append(server)
    return shares


def assign_by_probes(items: list[int], capacities: list[int]) -> list[int]:
    """Return for each item, in order, the first bin on its probe sequence with free capacity.

    The sequence depends on the number of bins; that of groups follows from the configuration.
    """
    free, count, bins = list(capacities), len(capacities), list[int]()
    for number in items:
        x, probes = mix(number, GROUP_SEED), 0
        at = x * count >> 32
        while free[at] <= 0:
            probes += 1
            x = x * 0x9E3779B1 + 0x7F4A7C15 & 0xFFFFFFFF
            x ^= x >> 15
            at = x * count >> 32 if probes < MAX_PROBES_PER_BIN * count else (at + 1) % count
        free[at] -= 1
        bins.append(at)
    return bins


class BinRing:
    """A ring of bins that items probe: removing a bin changes only the probes that hit it."""

    def __init__(self, keys: list[int]) -> None:
        self.count = len(keys)
        points = sorted(
            [(mix(number, i), at) for at, number in enumerate(keys) for i in range(POINTS_PER_BIN)]
        )
        self.points, self.bin_numbers = [point for point, _ in points], [at for _, at in points]

    def assign_bins(self, items: list[int], capacities: list[int]) -> list[int]:
        """Return for each item, in order, the first bin on its probe sequence with free capacity."""
        if self.count == 1:
            return [0] * len(items)
        points, bin_numbers, free, bins = self.points, self.bin_numbers, list(capacities), list[int]()
        for number in items:
            x, probes = mix(number, PROBE_SEED), 0
            at = bin_numbers[bisect_left(points, x) % len(points)]
            while free[at] <= 0:
                probes += 1
                x = x * 0x9E3779B1 + 0x7F4A7C15 & 0xFFFFFFFF
                x ^= x >> 15
                if probes < MAX_PROBES_PER_BIN * self.count:
                    at = bin_numbers[bisect_left(points, x) % len(points)]
                else:  # the remaining bins are practically never hit
                    at = (at + 1) % self.count
            free[at] -= 1
            bins.append(at)
        return bins


def reachable_fractions(me: int, assignment: Assignment, limit: int) -> dict[Backend, float]:
    """Return the servers that a proxy sends to, and the fraction of their weight that counts for keys."""
    fractions = {server: 1.0 for proxy in assignment.groups[me] for server in assignment.slices[proxy]}
    others = {
        server: 0.0 for slice_ in assignment.slices.values() for server in slice_ if server not in fractions
    }
    fraction = min(1.0, 2.0 - (len(fractions) + len(others)) / limit)
    if fraction > 0.0:
        for server in others:
            fractions[server] = fraction
    return fractions


def sample_servers(servers: list[Backend], me: int, count: int) -> list[Backend]:
    """Return a few of a slice's servers, by proxy; one server more or less changes at most one of them."""
    ranked = sorted([(mix(server.id_hash, mix(me, SAMPLE_SEED)), i) for i, server in enumerate(servers)])
    return [servers[i] for _, i in ranked[:count]]


def order_key(server: Backend) -> tuple[int, str]:
    return mix(server.id_hash, ORDER_SEED), server.entry.id
