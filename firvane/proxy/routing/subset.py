"""Which servers a proxy is at home with, and which others it reaches.

Rules that hold here and nowhere else:

1. The proxies of a zone form teams by their numbers alone, of `TEAM` to twice as many. The servers of a zone
   are dealt to its teams, as many to each as it has live proxies, and those of a team to its live proxies. A
   zone without live proxies is dealt to the teams of all others. All that counts is who is there, not who
   came when, so that proxies with the same view deal alike.
2. Of each kind all get their even part or one more. Among teams who gets the odd ones goes by hash, so that
   one server less changes little; within a team they go to those that have least by then. Where a team's
   proxies outnumber its servers each has one, and a server has as many as its weight gives it.
3. Who gets which: in the order of their hashes the many try the few at places that depend on themselves
   alone, and take the first that has room. One that leaves frees a place for one that tried it in vain, and
   so on: a few servers change hands, where dealing by rank changed half.
4. A proxy reaches its team's servers: `TEAM` to twice as many connections to each server, however many
   proxies there are. In a fleet of up to `limit` it reaches all others as well, in one of up to twice as many
   in part: the part, falling evenly, says how much of their weight counts for keys.
5. Where a move leads to a slice that is not reached, a few of its servers are reached as well (`some`).
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from heapq import heapify, heapreplace

from firvane.core.balancing.records import Backend, mix

TEAM = 8  # proxies
LEAST = 8  # servers of a team, or there are fewer teams
POINTS = 8  # of each of the few on the ring that the many try
TRIES = 64  # for each of the few
ORDER, TEAMS, TRIED, PLACED, ODD, SOME = 101, 102, 103, 104, 105, 106  # tell the hashes apart
Seats = Callable[
    [list[int], list[int]], list[int]
]  # for each of the many one of the few, with room for so many


@dataclass(slots=True, frozen=True)
class Deal:
    """Who is at home where, by the proxies' numbers."""

    slices: dict[int, list[Backend]]
    teams: dict[int, list[int]]  # the proxies of each one's team, itself among them


class Dealer:
    """Deals anew after each change, and remembers of the last deal what need not be worked out again.

    A server keeps its kind.
    """

    def __init__(self, proxies: int, regions: int, weighted: bool = True) -> None:
        """`proxies` and `regions` are what is configured; weights count unless they are not `weighted`."""
        self.proxies, self.regions, self.weighted = proxies, max(1, regions), weighted
        # By zone: the servers, their weights, the teams, and the share of each.
        self.zones: dict[int, tuple[list[Backend], list[float], list[list[int]], list[list[Backend]]]] = {}
        # By zone and place of the team among those dealt to: its share, weights, proxies, and their slices.
        self.slices: dict[
            tuple[int, int], tuple[list[Backend], list[float], list[int], list[list[Backend]]]
        ] = {}

    def deal(self, servers: Iterable[Backend], zones: Mapping[int, int]) -> Deal:
        """Deal to the live proxies; `zones` tells where each of them is."""
        by_zone: dict[int, list[Backend]] = {}
        for server in servers:
            by_zone.setdefault(server.entry.zone, []).append(server)
        made: dict[int, list[list[int]]] = {}  # the teams of each zone
        for zone in sorted(set(zones.values())):
            made[zone] = teams(zones, zone, len(by_zone.get(zone, ())), self.proxies, self.regions)
        slices: dict[int, list[Backend]] = {proxy: [] for proxy in sorted(zones)}
        for zone in sorted(by_zone):
            among = made.get(zone) or [team for others in made.values() for team in others]
            for i, share in enumerate(self.shares(zone, by_zone[zone], among)):
                for proxy, dealt in zip(among[i], self.within(zone, i, share, among[i]), strict=True):
                    slices[proxy] += dealt
        return Deal(slices, {proxy: team for others in made.values() for team in others for proxy in team})

    def shares(self, zone: int, servers: list[Backend], among: list[list[int]]) -> list[list[Backend]]:
        """What each of some teams gets of a zone, as last time if nothing changed for it."""
        known, weights = self.zones.get(zone), [server.weight for server in servers]
        if known is not None and known[:3] == (servers, weights, among):
            return known[3]
        shares = dole(
            sorted(servers, key=by_hash), [len(team) for team in among], try_all, self.weighted, True
        )
        self.zones[zone] = servers, weights, among, shares
        return shares

    def within(self, zone: int, number: int, share: list[Backend], team: list[int]) -> list[list[Backend]]:
        """The slices of a team's proxies, as last time if nothing changed for it."""
        known, weights = self.slices.get((zone, number)), [server.weight for server in share]
        if known is not None and known[:3] == (share, weights, team):
            return known[3]
        slices = deal_team(share, team, self.weighted)
        self.slices[zone, number] = share, weights, team, slices
        return slices


def teams(zones: Mapping[int, int], zone: int, servers: int, proxies: int, regions: int) -> list[list[int]]:
    """The live proxies of each of a zone's teams; a team may have none."""
    count = max(1, proxies // (TEAM * regions))
    while count > 1 and servers < LEAST * count:
        count //= 2
    made: list[list[int]] = [[] for _ in range(count)]
    for proxy in sorted(zones):
        if zones[proxy] == zone:
            made[proxy // regions % count].append(proxy)
    return made


def deal_team(servers: list[Backend], team: list[int], weighted: bool) -> list[list[Backend]]:
    """The slices of a team's proxies."""
    if len(team) <= len(servers):
        places = Places([mix(proxy, PLACED) for proxy in team])
        return dole(servers, [1] * len(team), places.seat, weighted, False)
    if not servers:
        return [[] for _ in team]
    rooms = [1] * len(servers)
    weights = [server.weight if weighted else 1.0 for server in servers]
    heap = [(-weight / 1.5, i) for i, weight in enumerate(weights)]  # the nearest to what the weights say
    heapify(heap)
    for _ in range(len(team) - len(servers)):
        i = heap[0][1]
        rooms[i] += 1
        heapreplace(heap, (-weights[i] / (rooms[i] + 0.5), i))
    order = sorted(range(len(team)), key=lambda i: mix(team[i], ORDER))
    places = Places([mix(server.id_hash, PLACED) for server in servers])
    slices: list[list[Backend]] = [[] for _ in team]
    for i, seat in zip(order, places.seat([team[i] for i in order], rooms), strict=True):
        slices[i] = [servers[seat]]
    return slices


def dole(
    servers: list[Backend], sizes: list[int], seats: Seats, weighted: bool, teams: bool
) -> list[list[Backend]]:
    """Part servers by the sizes of those who get them, each kind evenly."""
    parts: list[list[Backend]] = [[] for _ in sizes]
    held, takers = [0.0] * len(sizes), 0  # weight that each has so far
    for size in sizes:
        takers += size
    if not takers:
        return parts
    by_kind: dict[int, list[Backend]] = {}
    for server in servers:
        by_kind.setdefault(server.entry.kind, []).append(server)
    for kind in sorted(by_kind):
        members, weight = by_kind[kind], 0.0
        for server in members:
            weight += server.weight if weighted else 1.0
        weight /= len(members)
        rooms = [len(members) * size // takers for size in sizes]
        odd = len(members)
        for i, room in enumerate(rooms):
            held[i] += weight * room
            odd -= room
        turns = [(0.0 if teams else held[i], mix(i, ODD + kind), i) for i, size in enumerate(sizes) if size]
        for _, _, i in sorted(turns)[:odd]:
            rooms[i] += 1
            held[i] += weight
        for server, i in zip(members, seats([s.id_hash for s in members], rooms), strict=True):
            parts[i].append(server)
    return parts


def try_all(many: list[int], rooms: list[int]) -> list[int]:
    """For each of the many, in their order, the first of the few that it tries and that has room.

    Which it tries depends on the number of the few: that of teams rests on the configuration.
    """
    free, count, seats = list(rooms), len(rooms), list[int]()
    for number in many:
        x, tries = mix(number, TEAMS), 0
        at = x * count >> 32
        while free[at] <= 0:
            tries += 1
            x = x * 0x9E3779B1 + 0x7F4A7C15 & 0xFFFFFFFF
            x ^= x >> 15
            at = x * count >> 32 if tries < TRIES * count else (at + 1) % count
        free[at] -= 1
        seats.append(at)
    return seats


class Places:
    """The few on a ring that the many try: one of the few less changes only the tries that met it."""

    def __init__(self, few: list[int]) -> None:
        self.few = len(few)
        points = sorted([(mix(number, i), at) for at, number in enumerate(few) for i in range(POINTS)])
        self.points, self.holders = [point for point, _ in points], [at for _, at in points]

    def seat(self, many: list[int], rooms: list[int]) -> list[int]:
        """For each of the many, in their order, the first of the few that it tries and that has room."""
        if self.few == 1:
            return [0] * len(many)
        points, holders, free, seats = self.points, self.holders, list(rooms), list[int]()
        for number in many:
            x, tries = mix(number, TRIED), 0
            at = holders[bisect_left(points, x) % len(points)]
            while free[at] <= 0:
                tries += 1
                x = x * 0x9E3779B1 + 0x7F4A7C15 & 0xFFFFFFFF
                x ^= x >> 15
                if tries < TRIES * self.few:
                    at = holders[bisect_left(points, x) % len(points)]
                else:  # what is left is as good as never met
                    at = (at + 1) % self.few
            free[at] -= 1
            seats.append(at)
        return seats


def reach(me: int, dealt: Deal, limit: int) -> dict[Backend, float]:
    """The servers that a proxy sends to, and the part of the weight of each that counts for its keys."""
    parts = {server: 1.0 for proxy in dealt.teams[me] for server in dealt.slices[proxy]}
    others = {server: 0.0 for slice_ in dealt.slices.values() for server in slice_ if server not in parts}
    part = min(1.0, 2.0 - (len(parts) + len(others)) / limit)
    if part > 0.0:
        for server in others:
            parts[server] = part
    return parts


def some(servers: list[Backend], me: int, count: int) -> list[Backend]:
    """A few of a slice's servers, others for other proxies; one more or less changes at most one of them."""
    ranked = sorted([(mix(server.id_hash, mix(me, SOME)), i) for i, server in enumerate(servers)])
    return [servers[i] for _, i in ranked[:count]]


def by_hash(server: Backend) -> tuple[int, str]:
    return mix(server.id_hash, ORDER), server.entry.id
