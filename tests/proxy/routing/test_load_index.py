"""The index against one that works everything out anew at each question."""

from __future__ import annotations

from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core.balancing.records import Backend
from firvane.proxy.routing.load_index import UNIT, Index
from tests.proxy.net.helpers import seeded
from tests.proxy.routing.samples import KEYS, box, operations

spans = st.sampled_from([0.0, 0.0, 0.0, 0.05, 0.4, inf])
notes = st.tuples(
    st.integers(0, 11), st.integers(0, 9), st.floats(0.2, 9.0), st.floats(0.0, 1.0), spans, spans
)
steps = st.lists(st.tuples(notes, st.sampled_from(["note", "note", "note", "forget", "pass"])), max_size=80)


@seeded
@given(steps, st.sampled_from([None, {0}, {1, 2}]), st.floats(0.0, 1.1))
def test_after_any_history_the_index_is_what_one_built_anew_would_be(
    steps: list[tuple[tuple[int, int, float, float, float, float], str]], kinds: set[int] | None, limit: float
) -> None:
    index, now, boxes = Index(), 100.0, [box(n, kind=n % 3) for n in range(12)]
    noted: dict[Backend, tuple[int, int, float, float, float]] = {}  # load, power, fill, ready, check

    def mean(among: list[Backend]) -> float:
        return sum(noted[s][0] for s in among) * UNIT / (sum(noted[s][1] for s in among) or 1)

    def ratio(server: Backend) -> float:
        return (noted[server][0] + 1) / noted[server][1]

    for (number, load, power, fill, ready, check), what in steps:
        server = boxes[number]
        if what == "note":
            noted[server] = load, int(power * UNIT), fill, now + ready, now + check if check else inf
            index.note(server, now, load, power, fill, *noted[server][3:])
        elif what == "forget":
            noted.pop(server, None)
            index.forget(server)
        else:
            now += 0.1
        due = index.advance(now)
        assert set(due) == {s for s, (*_, check_at) in noted.items() if check_at <= now}
        noted |= {other: (*noted[other][:4], inf) for other in due}
        usable = [s for s, (_, _, _, ready_at, _) in noted.items() if ready_at <= now]
        assert {s for s in boxes if index.usable(s)} == set(index.each()) == set(usable)
        among = [s for s in usable if kinds is None or s.entry.kind in kinds]
        assert index.count(kinds) == len(among) and index.mean(kinds) == mean(among)
        assert index.mean(kinds, boxes[:2]) == mean([s for s in among if s not in boxes[:2]])
        fitting = [s for s in among if (noted[s][2] < limit or not noted[s][2]) and s not in boxes[:3]]
        found = index.least(limit, lambda s: s not in boxes[:3], kinds)
        assert found in fitting if found else not fitting
        assert not found or ratio(found) == min(map(ratio, fitting))
        found = index.emptiest(limit, lambda s: s not in boxes[:3], kinds)
        assert noted[found][2] == min(noted[s][2] for s in fitting) if found else not fitting


def test_where_all_are_full_but_one_it_is_found_whatever_its_load() -> None:
    index, boxes = Index(), [box(n) for n in range(500)]
    for n, server in enumerate(boxes):
        index.note(server, 0.0, 3 if n != 77 else 90, 4.0, 0.9 if n != 77 else 0.1)
    assert index.least(0.5, lambda s: True) is boxes[77]
    assert index.least(1.0, lambda s: True) is boxes[0]  # of equals the one that was noted longest ago
    assert index.least(1.0, lambda s: False) is None
    assert operations(lambda: index.least(0.05, lambda s: True)) < 150


def test_what_is_only_looked_at_keeps_its_place_among_equals() -> None:
    # Guards against a cold box, which is looked at four times a second, that is always the last of them.
    index, boxes = Index(), [box(n) for n in range(3)]

    def next_one() -> int:
        found = index.least(1.0, lambda s: True)
        assert found
        return boxes.index(found)

    for server in boxes:
        index.note(server, 0.0, 0, 4.0, 0.0)
    index.note(boxes[0], 0.1, 0, 4.0, 0.0, 0.0, 0.35, looked=True)
    assert index.advance(0.2) == [] and next_one() == 0
    assert index.advance(0.4) == [boxes[0]] and next_one() == 0
    index.note(boxes[0], 0.4, 0, 4.0, 0.0)  # it has had one, and answered
    assert next_one() == 1
    index.note(boxes[1], 0.5, 0, 3.9, 0.0, looked=True)  # slower than it was
    assert next_one() == 2
    index.note(boxes[2], 0.6, 0, 4.0, 0.0, 0.8, looked=True)  # not to be sent to for a while
    assert next_one() == 0 and index.advance(0.9) == []
    assert next_one() == 0 and index.usable(boxes[2])


@pytest.mark.parametrize("count", [10, 1000, 10_000])
def test_a_request_costs_the_same_in_any_slice(count: int) -> None:
    """A send or an answer, each with the mean, the least loaded and an expired time."""
    index, boxes, now, total = Index(), [box(n) for n in range(count)], 0.01 * count, 0
    for n, server in enumerate(boxes):
        index.note(server, 0.0, n % 5, 4.0, 0.1 * (n % 5), check_at=0.01 * n)
    index.least(1.0, lambda s: True)
    index.advance(now)
    for key in KEYS[:2000]:
        now += 0.001

        def request(now: float = now, key: int = key) -> None:
            index.advance(now)
            index.note(boxes[key % count], now, key % 7, 4.0, 0.1, 0.0, now + 0.1)
            index.mean()
            index.least(1.0, lambda s: True)

        cost = operations(request)
        total += cost
        assert cost < 4000 + 60 * count  # an order built anew, once in as many changes
    assert total / 2000 < 900
    for kind in index.kinds.values():
        assert len(kind.by_load) + len(kind.by_fill) < 6 * count + 200
