"""The walk of a key over its slice."""

from __future__ import annotations

from collections import Counter
from itertools import islice

from firvane.core.balancing.records import Backend, mix
from firvane.proxy.routing.bounded_load import NAMED, SMALL, walk
from firvane.proxy.routing.hash_ring import Ring
from tests.proxy.routing.samples import KEYS, box, fleet, operations


def ring_of(servers: list[Backend]) -> Ring:
    ring = Ring()
    for server in servers:
        ring.put(server, 1.0)
    return ring


def test_a_small_slice_is_walked_in_rendezvous_order_and_whole() -> None:
    ring, members = ring_of(boxes := fleet(40)), dict.fromkeys(boxes[:SMALL])
    for key in KEYS[:200]:
        first = ring.owner(key)
        before = sorted(members, key=lambda s: (s is not first, mix(s.id_hash, key)))
        found = list(walk(ring, members, key, first if first in members else None))
        assert found == before


def test_a_large_slice_is_walked_by_members_each_once_the_first_first() -> None:
    ring, members = ring_of(boxes := fleet(200)), dict.fromkeys(boxes[::4])
    for key in KEYS[:200]:
        first = boxes[4 * (key % 50)]
        found = list(walk(ring, members, key, first))
        assert found[0] is first and len(set(found)) == len(found) and members.keys() >= set(found)
        assert len(found) > NAMED // 5


def test_the_keys_of_a_full_box_spread_over_all_others() -> None:
    ring, members = ring_of(boxes := fleet(100)), dict.fromkeys(boxes)
    full = boxes[3]
    seconds = Counter(next(islice(walk(ring, members, key, full), 1, None)) for key in KEYS)
    assert len(seconds) == 99 and max(seconds.values()) < 2 * len(KEYS) / 99
    walks = [list(islice(walk(ring, members, key), 3)) for key in KEYS[:2000]]
    ring.drop(full)  # only the walks that met it change
    del members[full]
    assert all(list(islice(walk(ring, members, k), 3)) == w for k, w in zip(KEYS, walks) if full not in w)  # noqa: B905


def test_a_walk_that_ends_at_the_first_costs_next_to_nothing_and_a_long_one_no_more_in_a_large_slice() -> (
    None
):
    costs = []
    for count in (100, 1000, 10_000):
        ring, members = ring_of(boxes := [box(n) for n in range(count)]), dict.fromkeys(boxes)
        ring.settle()
        assert operations(lambda: next(walk(ring, members, 5, boxes[0]))) < 40  # noqa: B023
        costs.append(max(operations(lambda: list(walk(ring, members, key))) for key in KEYS[:20]))  # noqa: B023
    assert max(costs) < 1.25 * costs[0]
