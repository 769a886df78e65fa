"""Tests of the walk of a key over its slice."""

from __future__ import annotations

from collections import Counter
from itertools import islice

from firvane.core.balancing.records import Backend, mix
from firvane.proxy.routing.bounded_load import MAX_SORTED_SERVERS, MEAN_WALK_LENGTH, walk
from firvane.proxy.routing.hash_ring import Ring
from tests.proxy.routing.samples import KEYS, count_operations, fleet, make_server


def ring_of(servers: list[Backend]) -> Ring:
    ring = Ring()
    for backend in servers:
        ring.put(backend, 1.0)
    return ring


def test_a_small_slice_is_walked_completely_in_rendezvous_order() -> None:
    ring, members = ring_of(servers := fleet(40)), dict.fromkeys(servers[:MAX_SORTED_SERVERS])
    for key in KEYS[:200]:
        first = ring.owner(key)
        expected = sorted(members, key=lambda s: (s is not first, mix(s.id_hash, key)))
        found = list(walk(ring, members, key, first if first in members else None))
        assert found == expected


def test_a_large_slice_is_walked_from_the_given_server_over_members_each_once() -> None:
    ring, members = ring_of(servers := fleet(200)), dict.fromkeys(servers[::4])
    for key in KEYS[:200]:
        first = servers[4 * (key % 50)]
        found = list(walk(ring, members, key, first))
        assert found[0] is first and len(set(found)) == len(found) and members.keys() >= set(found)
        assert len(found) > MEAN_WALK_LENGTH // 5


def test_the_keys_of_a_full_server_spread_over_all_others() -> None:
    ring, members = ring_of(servers := fleet(100)), dict.fromkeys(servers)
    full = servers[3]
    seconds = Counter(next(islice(walk(ring, members, key, full), 1, None)) for key in KEYS)
    assert len(seconds) == 99 and max(seconds.values()) < 2 * len(KEYS) / 99
    walks = [list(islice(walk(ring, members, key), 3)) for key in KEYS[:2000]]
    ring.drop(full)  # only the walks over this server change
    del members[full]
    assert all(list(islice(walk(ring, members, k), 3)) == w for k, w in zip(KEYS, walks) if full not in w)  # noqa: B905


def test_the_cost_of_a_walk_does_not_grow_with_the_slice_and_its_first_step_is_cheap() -> None:
    costs = []
    for count in (100, 1000, 10_000):
        ring, members = ring_of(servers := [make_server(n) for n in range(count)]), dict.fromkeys(servers)
        ring.settle()
        assert count_operations(lambda: next(walk(ring, members, 5, servers[0]))) < 40  # noqa: B023
        costs.append(max(count_operations(lambda: list(walk(ring, members, key))) for key in KEYS[:20]))  # noqa: B023
    assert max(costs) < 1.25 * costs[0]
