"""Tests of the home slices of the proxies, and of the servers that a proxy reaches beyond its own."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core.balancing.records import Backend
from firvane.proxy.routing.hash_ring import Ring
from firvane.proxy.routing.subset import (
    GROUP_SIZE,
    Assignment,
    SliceAssigner,
    reachable_fractions,
    sample_servers,
)
from tests.proxy.net.helpers import seeded
from tests.proxy.routing.samples import KEYS, count_operations, fleet, make_server

LIMIT = 128


def live(proxies: int) -> dict[int, int]:
    return {number: number % 3 for number in range(proxies)}


def homes(assignment: Assignment) -> dict[Backend, int]:
    return {server: proxy for proxy, slice_ in assignment.slices.items() for server in slice_}


@seeded
@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2)), max_size=60),
    st.sets(st.integers(0, 59), min_size=1, max_size=25),
    st.integers(0, 99),
)
def test_every_server_has_a_live_home_in_its_zone_and_all_proxies_assign_alike(
    kinds: list[tuple[int, int]], alive: set[int], seed: int
) -> None:
    servers = [
        make_server(n, weight=1.0 + kind, kind=kind, zone=zone) for n, (zone, kind) in enumerate(kinds)
    ]
    zones, assigner = {number: number % 3 for number in alive}, SliceAssigner(60, 3)
    assignment = SliceAssigner(60, 3).assign(servers, zones)
    for number in range(2):  # whatever was assigned before, in whatever order
        assigner.assign(servers[number:], {n: n % 3 for n in range(0, 60, number + 1)})
    assert (
        assigner.assign(Random(seed).sample(servers, len(servers)), dict(reversed(zones.items())))
        == assignment
    )
    assert set(assignment.slices) == alive and set(homes(assignment)) == set(servers)
    for zone in range(3):
        owners = [n for n in alive if zones[n] == zone]
        there = [s for s in servers if s.entry.zone == zone]
        holders = Counter(n for n in alive for s in assignment.slices[n] if s.entry.zone == zone)
        if len(there) >= len(owners) > 0:
            assert sum(holders.values()) == len(there) and set(holders) == set(owners)
            assert max(holders.values()) - min(holders.values()) <= len({s.entry.kind for s in there})
        elif there and owners:
            assert set(holders.values()) == {1} and set(holders) == set(owners)  # one each, some shared


def test_heavier_servers_have_more_proxies_where_proxies_outnumber_servers() -> None:
    servers = [make_server(n, weight=4.0 if n < 2 else 2.0, zone=0) for n in range(4)]
    assignment = SliceAssigner(12, 1).assign(servers, dict.fromkeys(range(12), 0))
    assert Counter(s.weight for slice_ in assignment.slices.values() for s in slice_) == {4.0: 8, 2.0: 4}


@pytest.mark.parametrize(
    ("count", "proxies"), [(14, 3), (150, 9), (300, 30), (600, 30), (2000, 50), (2000, 200), (2000, 3)]
)
def test_coverage_is_proportional_to_weight_and_connections_are_bounded(count: int, proxies: int) -> None:
    servers, zones = fleet(count, 3), live(proxies)
    assignment, load, connections = (
        SliceAssigner(proxies, 3).assign(servers, zones),
        dict.fromkeys(servers, 0.0),
        0,
    )
    for proxy in zones:
        parts = reachable_fractions(proxy, assignment, LIMIT)
        assert set(assignment.slices[proxy]) <= set(parts)
        connections += len(parts)
        weight = sum(server.weight * part for server, part in parts.items())
        for server, part in parts.items():
            load[server] += part / weight / proxies
    total = sum(server.weight for server in servers)
    assert all(0.95 < part * total < 1.05 for part in load.values())
    assert connections <= 2 * GROUP_SIZE * count + 2 * LIMIT * proxies
    assert count <= 2 * LIMIT or connections <= 2 * GROUP_SIZE * count
    assert count > LIMIT or connections == count * proxies


@pytest.mark.parametrize(("count", "proxies", "keys"), [(600, 30, KEYS[:300]), (2000, 200, KEYS[:200])])
def test_few_keys_and_homes_move_when_a_server_or_a_proxy_leaves(
    count: int, proxies: int, keys: list[int]
) -> None:
    servers, zones = fleet(count, 3), live(proxies)

    def view(servers: list[Backend], zones: dict[int, int]) -> tuple[dict[Backend, int], list[object]]:
        assignment, owners, teams = (
            SliceAssigner(proxies, 3).assign(servers, zones),
            list[object](),
            dict[int, list[object]](),
        )
        for proxy in (proxy for proxy in range(proxies) if proxy != 4):
            first = assignment.groups[proxy][0]  # a group reaches the same servers
            if first not in teams:
                ring = Ring()
                for server, part in reachable_fractions(proxy, assignment, LIMIT).items():
                    ring.put(server, server.weight, fraction=part)
                teams[first] = [ring.owner(key) for key in keys]
            owners += teams[first]
        return homes(assignment), owners

    def change(servers: list[Backend], zones: dict[int, int]) -> tuple[int, float]:
        home, owners = view(servers, zones)
        moved = sum(a is not b for a, b in zip(before[1], owners, strict=True))
        return sum(before[0][server] != proxy for server, proxy in home.items()), moved / len(owners)

    before = view(servers, zones)
    leavers = [change(servers[:n] + servers[n + 1 :], zones) for n in range(0, 40, 4)]
    assert sum(moved for moved, _ in leavers) / 10 <= 10
    assert sum(keys for _, keys in leavers) / 10 <= 7.0 / count
    moved, gone = change(servers, {n: zone for n, zone in zones.items() if n != 4})
    assert moved <= 8 * count / proxies and gone <= 0.05


def test_sampled_servers_of_a_slice_differ_by_proxy_and_are_stable() -> None:
    samples = {me: sample_servers(slice_ := fleet(40), me, 4) for me in range(100)}
    used = Counter(server.entry.id for servers in samples.values() for server in servers)
    assert len(used) == 40 and max(used.values()) < 30
    for me, servers in samples.items():
        left = {server.entry.id for server in sample_servers(slice_[1:], me, 4)}
        assert sum(s.entry.id not in left for s in servers) == (
            slice_[0].entry.id in {s.entry.id for s in servers}
        )


def test_an_assignment_after_one_change_costs_less_than_the_first() -> None:
    servers, zones, assigner = fleet(2000, 3), live(200), SliceAssigner(200, 3)
    first = count_operations(lambda: assigner.assign(servers, zones))
    again = count_operations(lambda: assigner.assign(servers[1:], zones))
    assert first < 950_000 and again < 350_000  # some 15 ns each
