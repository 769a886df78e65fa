"""Tests of the load index against a model that recomputes everything at each query."""

from __future__ import annotations

from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core.balancing.records import Backend
from firvane.proxy.routing.load_index import WEIGHT_UNIT, LoadIndex
from tests.proxy.net.helpers import seeded
from tests.proxy.routing.samples import KEYS, count_operations, make_server

delays = st.sampled_from([0.0, 0.0, 0.0, 0.05, 0.4, inf])
updates = st.tuples(
    st.integers(0, 11), st.integers(0, 9), st.floats(0.2, 9.0), st.floats(0.0, 1.0), delays, delays
)
steps = st.lists(st.tuples(updates, st.sampled_from(["note", "note", "note", "forget", "pass"])), max_size=80)


@seeded
@given(steps, st.sampled_from([None, {0}, {1, 2}]), st.floats(0.0, 1.1))
def test_after_any_history_the_index_equals_a_recomputed_one(
    steps: list[tuple[tuple[int, int, float, float, float, float], str]], kinds: set[int] | None, limit: float
) -> None:
    index, now, servers = LoadIndex(), 100.0, [make_server(n, kind=n % 3) for n in range(12)]
    # By server: load, weight, utilization, ready_at, check_at.
    expected: dict[Backend, tuple[int, int, float, float, float]] = {}

    def mean(candidates: list[Backend]) -> float:
        return (
            sum(expected[s][0] for s in candidates)
            * WEIGHT_UNIT
            / (sum(expected[s][1] for s in candidates) or 1)
        )

    def ratio(server: Backend) -> float:
        return (expected[server][0] + 1) / expected[server][1]

    for (number, load, weight, utilization, ready, check), step in steps:
        server = servers[number]
        if step == "note":
            expected[server] = (
                load,
                int(weight * WEIGHT_UNIT),
                utilization,
                now + ready,
                now + check if check else inf,
            )
            index.update(server, now, load, weight, utilization, *expected[server][3:])
        elif step == "forget":
            expected.pop(server, None)
            index.remove(server)
        else:
            now += 0.1
        due = index.advance(now)
        assert set(due) == {s for s, (*_, check_at) in expected.items() if check_at <= now}
        expected |= {other: (*expected[other][:4], inf) for other in due}
        usable = [s for s, (_, _, _, ready_at, _) in expected.items() if ready_at <= now]
        assert {s for s in servers if index.is_usable(s)} == set(index.usable_servers()) == set(usable)
        candidates = [s for s in usable if kinds is None or s.entry.kind in kinds]
        assert index.count(kinds) == len(candidates) and index.mean(kinds) == mean(candidates)
        assert index.mean(kinds, servers[:2]) == mean([s for s in candidates if s not in servers[:2]])
        fitting = [
            s for s in candidates if (expected[s][2] < limit or not expected[s][2]) and s not in servers[:3]
        ]
        found = index.least_loaded(limit, lambda s: s not in servers[:3], kinds)
        assert found in fitting if found else not fitting
        assert not found or ratio(found) == min(map(ratio, fitting))
        found = index.least_utilized(limit, lambda s: s not in servers[:3], kinds)
        assert expected[found][2] == min(expected[s][2] for s in fitting) if found else not fitting


def test_the_only_server_with_capacity_is_found_whatever_its_load() -> None:
    index, servers = LoadIndex(), [make_server(n) for n in range(500)]
    for n, server in enumerate(servers):
        index.update(server, 0.0, 3 if n != 77 else 90, 4.0, 0.9 if n != 77 else 0.1)
    assert index.least_loaded(0.5, lambda s: True) is servers[77]
    assert index.least_loaded(1.0, lambda s: True) is servers[0]  # of equals the one updated longest ago
    assert index.least_loaded(1.0, lambda s: False) is None
    assert count_operations(lambda: index.least_loaded(0.05, lambda s: True)) < 150


def test_a_recheck_without_a_change_keeps_the_place_among_equals() -> None:
    # Guards against a cold server that, rechecked four times a second, is always the last of its equals.
    index, servers = LoadIndex(), [make_server(n) for n in range(3)]

    def next_index() -> int:
        found = index.least_loaded(1.0, lambda s: True)
        assert found
        return servers.index(found)

    for server in servers:
        index.update(server, 0.0, 0, 4.0, 0.0)
    index.update(servers[0], 0.1, 0, 4.0, 0.0, 0.0, 0.35, is_recheck=True)
    assert index.advance(0.2) == [] and next_index() == 0
    assert index.advance(0.4) == [servers[0]] and next_index() == 0
    index.update(servers[0], 0.4, 0, 4.0, 0.0)  # it got a request and responded
    assert next_index() == 1
    index.update(servers[1], 0.5, 0, 3.9, 0.0, is_recheck=True)  # its weight has changed
    assert next_index() == 2
    index.update(servers[2], 0.6, 0, 4.0, 0.0, 0.8, is_recheck=True)  # backed off for a while
    assert next_index() == 0 and index.advance(0.9) == []
    assert next_index() == 0 and index.is_usable(servers[2])


@pytest.mark.parametrize("count", [10, 1000, 10_000])
def test_the_cost_of_a_request_does_not_grow_with_the_slice(count: int) -> None:
    """A send or a response, each with the mean, the least loaded server and an expired time."""
    index, servers, now, total = LoadIndex(), [make_server(n) for n in range(count)], 0.01 * count, 0
    for n, server in enumerate(servers):
        index.update(server, 0.0, n % 5, 4.0, 0.1 * (n % 5), check_at=0.01 * n)
    index.least_loaded(1.0, lambda s: True)
    index.advance(now)
    for key in KEYS[:2000]:
        now += 0.001

        def request(now: float = now, key: int = key) -> None:
            index.advance(now)
            index.update(servers[key % count], now, key % 7, 4.0, 0.1, 0.0, now + 0.1)
            index.mean()
            index.least_loaded(1.0, lambda s: True)

        cost = count_operations(request)
        total += cost
        assert cost < 4000 + 60 * count  # an order is rebuilt once in as many changes
    assert total / 2000 < 900
    for kind in index.kinds.values():
        assert len(kind.by_load) + len(kind.by_utilization) < 6 * count + 200
