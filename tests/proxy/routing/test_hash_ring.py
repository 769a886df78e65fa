"""The key ring against one that is built anew, and what it costs."""

from __future__ import annotations

from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core.balancing.records import Backend
from firvane.proxy.routing.hash_ring import POINTS, Ring
from tests.proxy.net.helpers import seeded
from tests.proxy.routing.samples import KEYS, box, fleet, operations, plain_ring


def ring_of(servers: list[Backend]) -> Ring:
    ring = Ring()
    for server in servers:
        ring.put(server, server.weight)
    return ring


steps = st.lists(
    st.tuples(st.sampled_from(["add", "drop", "ask"]), st.integers(0, 30), st.sampled_from([1, 1, 2.5, 9])),
    max_size=60,
)


@seeded
@given(steps, st.booleans())
def test_after_any_history_owners_are_those_of_a_ring_built_anew(
    steps: list[tuple[str, int, float]], alike: bool
) -> None:
    ring, here = Ring(), dict[int, Backend]()
    boxes = [box(n, salt=n * 7919 if n % 5 else 7) for n in range(31)]  # some have one salt
    for what, number, weight in steps:
        server = here.get(number, boxes[number])
        if what == "drop":
            here.pop(number, None)
            ring.drop(server)
        elif what != "ask":
            # What shares a salt shares a weight here: which of the two counts is nobody's business.
            server.weight = 1.0 if alike or number % 5 == 0 else weight
            here[number] = server
            ring.put(server, server.weight)
        if what == "ask" or number % 3 == 0:
            plain = plain_ring(list(here.values()))
            assert all(ring.owner(key) is plain(key) for key in KEYS[:100])
    plain = plain_ring(list(here.values()))
    assert all(ring.owner(key) is plain(key) for key in KEYS[:1000])


@pytest.mark.parametrize("count", [1, 14, 400])
def test_boxes_of_one_weight_own_the_keys_that_they_did_before(count: int) -> None:
    ring, before = (
        ring_of(boxes := [box(n, weight=0.3) for n in range(count)]),
        plain_ring(boxes, rounded=True),
    )
    assert all(ring.owner(key) is before(key) for key in KEYS)


@pytest.mark.parametrize(
    ("count", "alike"), [(14, True), (300, True), (14, False), (60, False), (300, False)]
)
def test_one_of_n_boxes_takes_few_keys_with_it(count: int, alike: bool) -> None:
    boxes, moved, others = [box(n) for n in range(count)] if alike else fleet(count, start=3000), 0, 0
    ring = ring_of(boxes)
    before = {key: ring.owner(key) for key in KEYS}
    for leaver in boxes[:12]:
        ring.drop(leaver)
        gone = [key for key in KEYS if ring.owner(key) is not before[key]]
        moved += len(gone)
        others += sum(before[key] is not leaver for key in gone)
        ring.put(leaver, leaver.weight)
    assert moved <= (1.2 if alike else 1.5) / count * 12 * len(KEYS)
    assert others <= (0.0 if alike else 0.5) / count * 12 * len(KEYS)
    assert all(ring.owner(key) is before[key] for key in KEYS)
    if count == 300 and not alike:  # and they go by weight
        big = sum(server.entry.kind == 0 for server in before.values() if server)
        assert big / len(KEYS) == pytest.approx(4 / 6, rel=0.05)


def test_a_question_and_a_change_cost_the_same_in_any_fleet() -> None:
    asked, changed = [], []
    for count in (30, 300, 3000):
        ring = ring_of(boxes := [box(n) for n in range(count)])
        ring.settle()
        asked.append(max(operations(partial(ring.owner, key)) for key in KEYS[:300]))
        ring.drop(boxes[7])
        changed.append(operations(ring.settle))
        ring.put(boxes[7], 1.0)
        changed.append(operations(ring.settle))
        assert max(len(bucket) for bucket in ring.buckets) < 100
    assert max(asked) < 120 and max(changed) < 5000


def test_a_data_centre_that_leaves_is_forgotten_at_once() -> None:
    ring = ring_of(boxes := [box(n) for n in range(2000)])
    ring.settle()

    def leave() -> None:
        for server in boxes[:700]:
            ring.drop(server)
        ring.settle()

    assert operations(leave) < 120_000
    assert all(ring.owner(key) is not None and ring.owner(key) not in boxes[:700] for key in KEYS[:500])


def test_what_left_does_not_stay_for_ever() -> None:
    ring, here = Ring(), [box(n) for n in range(100)]
    for server in here:
        ring.put(server, 1.0)
    for number in range(100, 3000):
        ring.drop(here.pop(0))
        here.append(box(number))
        ring.put(here[-1], 1.0)
        ring.settle()
    assert sum(len(bucket) for bucket in ring.buckets) < 3 * POINTS * 100
    assert (
        len(ring.removed) + len(ring.removed_before) < 300
        and len(ring.increases) + len(ring.decreases) < 1000
    )
