"""Assignments, load reports and the timing of updates, without sockets."""

from __future__ import annotations

import math
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings, strategies
from hypothesis.strategies import composite

from firvane.core import interface as api
from firvane.proxy.capacity.load_reports import LoadSummary
from firvane.proxy.control import estimates, route_settings
from firvane.proxy.control.catalog import Catalog, differences
from firvane.proxy.control.debounce import Debouncer
from firvane.proxy.control.load_feedback import LoadFeedback, LoadReported, split
from firvane.proxy.control.panic_threshold import PanicGuard
from firvane.proxy.control.receivers import ReceiverRegistry
from firvane.proxy.control.types import UNKNOWN_ZONE, Assignment, BackendEstimate, Health, Report
from firvane.proxy.control.weights import (
    DROP_DENOMINATOR,
    ENDPOINT_WEIGHT_SUM,
    compute_assignments,
    distribute_within_budgets,
    is_significant_change,
)
from tests.helpers import changes, full_list, server, started
from tests.helpers import settings as made_settings
from tests.proxy.control.helpers import make_backend


@composite
def fleets(draw: Any) -> tuple[list[BackendEstimate], dict[int, float]]:
    """Backends, some with budgets or ejected, and the demand of receivers in three zones and in no zone."""
    random = Random(draw(strategies.integers(0, 1 << 32)))
    backends = [
        make_backend(
            n,
            zone=random.randrange(3),
            power=random.uniform(0.5, 8.0),
            budget_rps=random.choice((None, None, 0.0, random.uniform(0.0, 30.0))),
            ejected=random.random() < 0.2,
        )
        for n in range(draw(strategies.integers(1, 24)))
    ]
    return backends, {
        zone: random.choice((0.0, random.uniform(0.0, 200.0))) for zone in (UNKNOWN_ZONE, 0, 1, 2)
    }


def sent(
    backends: list[BackendEstimate], demand: dict[int, float], assignments: dict[int, Assignment]
) -> dict[str, float]:
    """Return requests a second at each backend, if receivers follow their assignments."""
    rates = dict.fromkeys((one.name for one in backends), 0.0)
    for zone, rate in demand.items():
        assignment = assignments.get(zone) or assignments[UNKNOWN_ZONE]
        accepted_rate = rate * (1.0 - assignment.dropped / DROP_DENOMINATOR)
        used_localities = [one for one in assignment.localities if one.weight]
        total_weight = sum(one.weight for one in used_localities) or 1
        for locality in used_localities:
            healthy = [endpoint for endpoint in locality.endpoints if endpoint.health is Health.HEALTHY]
            healthy_weight = sum(endpoint.weight for endpoint in healthy) or 1
            for endpoint in healthy:
                rates[endpoint.backend] += (
                    accepted_rate * locality.weight / total_weight * endpoint.weight / healthy_weight
                )
    return rates


@given(fleets())
@settings(max_examples=300, derandomize=True, deadline=None)
def test_all_demand_is_assigned_and_budgets_hold_over_all_receivers(
    drawn: tuple[list[BackendEstimate], dict[int, float]],
) -> None:
    backends, demand = drawn
    assignments = compute_assignments(backends, demand)
    total = sum(demand.values())
    rates = sent(backends, demand, assignments)
    eligible = [backend for backend in backends if not backend.ejected] or backends
    tolerance = 0.02 * total + 0.1  # weights are whole numbers
    for backend in backends:
        if backend.budget_rps is not None and total:
            assert rates[backend.name] <= backend.budget_rps + tolerance
        if backend not in eligible:
            assert rates[backend.name] == 0.0
    if total and any(backend.budget_rps is None for backend in eligible):
        assert sum(rates.values()) >= total - tolerance  # a backend without a budget gets the rest
    for assignment in assignments.values():
        for locality in assignment.localities:
            assert (
                sum(endpoint.weight for endpoint in locality.endpoints if endpoint.health is Health.HEALTHY)
                <= ENDPOINT_WEIGHT_SUM * 1.01 + 30
            )


@pytest.mark.parametrize(
    ("demand", "powers", "budgets", "expected"),
    [
        (10.0, [1.0, 1.0], [None, None], [5.0, 5.0]),
        (10.0, [1.0, 4.0], [None, None], [2.0, 8.0]),
        (10.0, [1.0, 1.0], [2.0, None], [2.0, 8.0]),
        (10.0, [1.0, 1.0], [2.0, 3.0], [2.0, 3.0]),  # the rest exceeds all budgets
        (10.0, [1.0, 1.0], [20.0, None], [5.0, 5.0]),
        (10.0, [1.0], [0.0], [0.0]),
    ],
)
def test_demand_is_distributed_by_power_within_budgets(
    demand: float, powers: list[float], budgets: list[float | None], expected: list[float]
) -> None:
    assert distribute_within_budgets(demand, powers, budgets) == pytest.approx(expected)


def test_demand_stays_in_its_zone_until_the_zone_lacks_capacity() -> None:
    backends = [make_backend(n, zone=n % 2) for n in range(8)]
    even = compute_assignments(backends, {0: 50.0, 1: 50.0})
    assert [one.weight for one in even[0].localities] == [1000, 0]
    uneven = compute_assignments(backends, {0: 90.0, 1: 10.0})
    assert [one.weight for one in uneven[0].localities] == [556, 444]
    assert [one.weight for one in uneven[1].localities] == [0, 1000]
    assert not is_significant_change(even[0], compute_assignments(backends, {0: 51.0, 1: 50.0})[0])
    assert is_significant_change(even[0], uneven[0]) and is_significant_change(None, even[0])


def test_receivers_drop_the_demand_beyond_all_budgets() -> None:
    assignments = compute_assignments([make_backend(n, budget_rps=5.0) for n in range(4)], {0: 40.0})
    assert assignments[0].dropped == pytest.approx(DROP_DENOMINATOR / 2, rel=0.02)


def test_estimates_leave_out_draining_backends_and_mark_ejected_ones() -> None:
    balancer = started("abc")
    addresses = {name: ("127.0.0.1", port) for port, name in enumerate("abcd")}
    assert [one.name for one in estimates.read(balancer, addresses, {}, 100.0)] == ["a", "b", "c"]
    balancer.handle(changes(server("a", state=api.ServerState.DRAINING), server("d", up_since=100.0)), 100.1)
    found = {one.name: one for one in estimates.read(balancer, addresses, {}, 101.0)}
    assert (
        set(found) == {"b", "c", "d"} and found["d"].budget_rps is not None and found["b"].budget_rps is None
    )
    balancer.servers["b"].retry_at = 200.0
    assert {one.name for one in estimates.read(balancer, addresses, {}, 101.0) if one.ejected} == {"b"}
    assert not estimates.read(balancer, {}, {}, 101.0)  # backends without an address are left out


def test_load_reports_have_the_effect_of_forwarded_requests() -> None:
    balancer = started("abc")
    feedback = LoadFeedback(balancer)
    usual = {"served": 20, "issued": 20, "pending": 2.0, "rate": 40.0}
    for n in range(40):
        now = 100.0 + n / 4
        summaries = {
            "a": LoadSummary(**usual),
            "b": LoadSummary(
                **{**usual, "served": 2, "failed": 18, "failure_ratio": 0.9, "excess_failure_ratio": 0.9}
            ),
        }
        balancer.handle(LoadReported({**summaries, "c": LoadSummary(**{**usual, "pending": 30.0})}), now)  # type: ignore[arg-type]
        balancer.handle(api.TimerFired(0), now)
    a, b, c = (balancer.servers[name] for name in "abc")
    assert a.in_flight == 2 and b.error_rate > 0.5 and b.retry_at > now and a.retry_at <= now
    assert balancer.estimates.effective_weight(c, now) < 0.7 * balancer.estimates.effective_weight(
        a, now
    )  # its response time is far longer
    row = balancer.rows[0]
    assert row.arrivals >= 20 and dict(row.in_flight)[a.id_hash & 0xFFFF] == 2  # as in the row of a proxy
    balancer.handle(LoadReported({"a": LoadSummary(issued=5, pending=5.0, silent=True)}), now)  # type: ignore[arg-type]
    assert a.retry_at > now and feedback.balancer is balancer
    b.retry_at = 0.0
    balancer.handle(LoadReported({"b": LoadSummary(**usual)}), now + 9)  # type: ignore[arg-type]
    for n in range(4):
        balancer.handle(LoadReported({"b": LoadSummary(**usual)}), now + 9 + n)  # type: ignore[arg-type]
    assert b.error_rate < 0.5 and b.failures == 0


@given(strategies.integers(1, 7), strategies.lists(strategies.integers(0, 50), min_size=1, max_size=9))
@settings(derandomize=True, deadline=None)
def test_sums_are_split_evenly_over_members_and_add_up(members: int, counts: list[int]) -> None:
    totals = [0] * members
    for rotation, count in enumerate(counts):
        parts = split(
            {"a": LoadSummary(served=count, issued=count, pending=1.0, rate=5.0)}, members, rotation
        )
        assert sum(part.backends["a"].served for part in parts) == count
        assert sum(part.backends["a"].rate for part in parts) == pytest.approx(5.0)
        totals = [total + part.backends["a"].served for total, part in zip(totals, parts, strict=True)]
    assert max(totals) - min(totals) <= len(counts)


def test_estimates_of_several_members_are_combined() -> None:
    first = [
        make_backend(1, budget_rps=2.0, warming_up=True),
        make_backend(2),
        make_backend(3, budget_rps=4.0, ejected=True),
    ]
    second = [
        make_backend(1, budget_rps=0.0, warming_up=True),
        make_backend(2, budget_rps=9.0),
        make_backend(3, budget_rps=1.0),
    ]
    combined = {backend.name: backend for backend in estimates.combine_members([first, second])}
    assert (combined["b1"].budget_rps, combined["b1"].power, combined["b1"].capacity) == (2.0, 8.0, 8.0)
    assert combined["b2"].budget_rps is None and combined["b3"].ejected and not combined["b1"].ejected
    assert estimates.combine_members([first]) == first


def successful_reports(*names: str) -> dict[str, Report]:
    return {name: Report(served=10, issued=10, in_progress=1) for name in names}


def test_demand_of_a_disconnected_receiver_is_reserved_until_it_expires() -> None:
    registry = ReceiverRegistry(1.0, retention_s=5.0, assumed_rps=7.0)
    assert registry.connect("r1", 0, 0.0) and registry.connect("r2", 1, 0.0)
    assert registry.demand() == {0: 7.0, 1: 7.0}
    for second in range(1, 4):
        registry.report("r1", successful_reports("a", "b"), "ab", 1.0, float(second))
    assert registry.demand()[0] == pytest.approx(20.0, rel=0.2)
    assert registry.largest_shares()[0] > registry.largest_shares()[1]
    registry.disconnect("r1", 4.0)
    assert not registry.sweep("ab", 8.9) and registry.demand()[0] > 15.0
    assert registry.sweep("ab", 9.1) == ["r1"] and set(registry.demand()) == {1}


def test_counts_are_released_as_integers_that_add_up() -> None:
    registry, released = ReceiverRegistry(1.0), 0
    registry.connect("r1", 0, 0.0)
    registry.report("r1", {"a": Report(served=97, issued=97)}, "a", 1.0, 0.0)
    taken = [registry.take(n / 4).get("a", LoadSummary()).served for n in range(40)]
    released = sum(taken)
    assert released == 97 and max(taken) < 97


@pytest.mark.parametrize("honest", [2, 3, 6])
def test_one_receiver_with_false_reports_has_limited_effect(honest: int) -> None:
    registry = ReceiverRegistry(1.0, max_rps=1000.0)
    for name in ("liar", *(f"r{n}" for n in range(honest))):
        registry.connect(name, 0, 0.0)
    for second in range(1, 6):
        for n in range(honest):
            registry.report(f"r{n}", successful_reports("a"), "a", 1.0, float(second))
        false_reports = {
            "a": Report(failed=10**12, issued=10**12, in_progress=10**12),
            "nowhere": Report(issued=5),
        }
        registry.report("liar", false_reports, "a", 1.0, float(second))
        registry.report("stranger", false_reports, "a", 1.0, float(second))
    found = registry.take(6.0)
    assert set(found) == {"a"} and found["a"].failure_ratio < 0.5
    assert registry.clipped >= 15 and registry.demand()[0] <= 1000.0 + 10.0 * honest + 1


def test_a_backend_is_unresponsive_if_most_receivers_report_no_completions() -> None:
    registry = ReceiverRegistry(1.0)
    for name in ("r1", "r2", "r3"):
        registry.connect(name, 0, 0.0)
    for second in range(1, 8):
        for name in ("r1", "r2", "r3"):
            report = (
                Report(issued=1, in_progress=second)
                if name != "r3"
                else Report(served=5, issued=5, in_progress=1)
            )
            registry.report(
                name, {"a": report, "b": Report(issued=1, in_progress=second)}, "ab", 1.0, float(second)
            )
    found = registry.take(8.0)
    assert found["b"].silent and found["a"].silent  # two of three
    registry.report("r1", successful_reports("a"), "ab", 1.0, 8.0)
    assert not registry.take(8.1)["a"].silent


def test_urgent_changes_are_due_at_once_and_others_are_debounced() -> None:
    debouncer = Debouncer(0.1, 0.5)
    debouncer.on_changed(1.0)
    assert not debouncer.take(1.05) and debouncer.due == pytest.approx(1.1)
    for n in range(20):
        debouncer.on_changed(1.0 + n / 20)  # the changes never pause
    assert debouncer.due <= 1.5 and debouncer.take(1.5) and debouncer.due == math.inf
    debouncer.on_changed(2.0)
    debouncer.on_changed(2.01, urgent=True)
    assert debouncer.take(2.01) and not debouncer.take(2.2)
    debouncer.min_interval_s = 1.0
    debouncer.on_changed(2.2)
    assert debouncer.due == pytest.approx(3.01)
    debouncer.on_changed(2.3, urgent=True)
    assert debouncer.take(2.3)


@pytest.mark.parametrize(
    ("before", "after", "omitted", "held_back"),
    [
        ("abcde", "", "abcde", True),
        ("abcde", "a", "bcde", True),
        ("abcde", "ab", "cde", False),
        ("abcde", "", "", False),  # each was marked as removed
        ("a", "", "a", False),
    ],
)
def test_only_a_complete_list_that_omits_most_backends_is_held_back(
    before: str, after: str, omitted: str, held_back: bool
) -> None:
    panic = PanicGuard(0.2, 5.0)
    assert panic.on_list(before, after, omitted, 1.0) is held_back
    assert panic.retained_backends(2.0) == (set(omitted) if held_back else set())
    if held_back:
        panic.on_removed_by_name([omitted[0]])  # marked as removed: no longer retained
        assert omitted[0] not in panic.retained_backends(3.0)
    assert panic.retained_backends(6.1) == set()


def test_the_catalog_records_causes_and_differences_of_assignments() -> None:
    catalog = Catalog("web", ["a", "b"], made_settings())
    backends = [make_backend(n) for n in range(4)]
    # No snapshot without a backend.
    assert catalog.recompute([], {}, {}, 1, 0.0) == [] and catalog.snapshot(0) is None
    assert set(catalog.recompute(backends, {0: 10.0}, {}, 1, 1.0)) == {UNKNOWN_ZONE, 0, 1}
    assert catalog.snapshot(0) is not None and not catalog.history.get(1)  # encoded when first requested
    assert catalog.recompute(backends, {0: 10.2}, {}, 1, 2.0) == []
    later = [*backends[1:], make_backend(7, budget_rps=1.0, warming_up=True)]
    assert catalog.recompute(later, {0: 10.0}, {}, 2, 3.0) and catalog.urgent == 1
    assert catalog.snapshot(0) is not None
    first, last = catalog.entry(0, "1"), catalog.entry(0, str(catalog.serial))
    assert first and last and last.causes == ("b0 gone or draining", "b7 listed, cold")
    lines = differences(first.assignment, last.assignment, catalog.zones)
    assert [line[:8] for line in lines if line[:3] in ("b0:", "b7:")] == ["b0: take", "b7: adde"]
    assert catalog.entry(0, "99") is None and catalog.entry(0, first.version) == first
    catalog.apply_settings(made_settings(key_affinity=False))
    assert catalog.recompute(later, {0: 10.0}, {}, 2, 4.0) and catalog.urgent == 1


def test_classes_become_routes_and_capacity_a_limit_of_open_requests() -> None:
    found = {route.name: route for route in route_settings.routes(made_settings())}
    assert found["read"].retry_any and found["export"].retry_any and not found["pay"].retry_any
    assert not found["index"].retry_any and found["read"].retries == 3
    assert (
        route_settings.max_open_requests([make_backend(1, capacity=4.0)], 1.0) == 64
        and route_settings.max_open_requests([make_backend(1, capacity=500.0)], 0.5) == 512
    )


def test_a_complete_list_replaces_the_previous_one() -> None:
    balancer = started("ab")
    balancer.handle(full_list(server("b")), 101.0)
    assert [one.name for one in estimates.read(balancer, {"a": ("x", 1), "b": ("x", 2)}, {}, 101.0)] == ["b"]
