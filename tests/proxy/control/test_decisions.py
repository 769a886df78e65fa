"""What is decided without a socket: who gets how much, who is believed, when it is told."""

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
    divide,
    fill,
    is_significant_change,
)
from tests.helpers import changes, full_list, server, started
from tests.helpers import settings as made_settings
from tests.proxy.control.helpers import box


@composite
def fleets(draw: Any) -> tuple[list[BackendEstimate], dict[int, float]]:
    """Boxes of which some are budgeted or doubted, and what receivers in three zones and in none send."""
    dice = Random(draw(strategies.integers(0, 1 << 32)))
    boxes = [
        box(
            n,
            zone=dice.randrange(3),
            power=dice.uniform(0.5, 8.0),
            budget_rps=dice.choice((None, None, 0.0, dice.uniform(0.0, 30.0))),
            ejected=dice.random() < 0.2,
        )
        for n in range(draw(strategies.integers(1, 24)))
    ]
    return boxes, {zone: dice.choice((0.0, dice.uniform(0.0, 200.0))) for zone in (UNKNOWN_ZONE, 0, 1, 2)}


def sent(
    boxes: list[BackendEstimate], demand: dict[int, float], told: dict[int, Assignment]
) -> dict[str, float]:
    """Requests a second at each box, if receivers do as they are told."""
    found = dict.fromkeys((one.name for one in boxes), 0.0)
    for zone, rate in demand.items():
        assignment = told.get(zone) or told[UNKNOWN_ZONE]
        kept = rate * (1.0 - assignment.dropped / DROP_DENOMINATOR)
        ways = [one for one in assignment.localities if one.weight]
        whole = sum(one.weight for one in ways) or 1
        for locality in ways:
            well = [place for place in locality.endpoints if place.health is Health.HEALTHY]
            sum_of = sum(place.weight for place in well) or 1
            for place in well:
                found[place.backend] += kept * locality.weight / whole * place.weight / sum_of
    return found


@given(fleets())
@settings(max_examples=300, derandomize=True, deadline=None)
def test_budgets_hold_over_all_receivers_and_nothing_gets_lost(
    drawn: tuple[list[BackendEstimate], dict[int, float]],
) -> None:
    boxes, demand = drawn
    told = divide(boxes, demand)
    total = sum(demand.values())
    got = sent(boxes, demand, told)
    able = [one for one in boxes if not one.ejected] or boxes
    slack = 0.02 * total + 0.1  # weights are whole numbers
    for one in boxes:
        if one.budget_rps is not None and total:
            assert got[one.name] <= one.budget_rps + slack
        if one not in able:
            assert got[one.name] == 0.0
    if total and any(one.budget_rps is None for one in able):
        assert sum(got.values()) >= total - slack  # a box without a budget takes what is left
    for assignment in told.values():
        for locality in assignment.localities:
            assert (
                sum(p.weight for p in locality.endpoints if p.health is Health.HEALTHY)
                <= ENDPOINT_WEIGHT_SUM * 1.01 + 30
            )


@pytest.mark.parametrize(
    ("demand", "powers", "budgets", "wanted"),
    [
        (10.0, [1.0, 1.0], [None, None], [5.0, 5.0]),
        (10.0, [1.0, 4.0], [None, None], [2.0, 8.0]),
        (10.0, [1.0, 1.0], [2.0, None], [2.0, 8.0]),
        (10.0, [1.0, 1.0], [2.0, 3.0], [2.0, 3.0]),  # the rest has no place
        (10.0, [1.0, 1.0], [20.0, None], [5.0, 5.0]),
        (10.0, [1.0], [0.0], [0.0]),
    ],
)
def test_demand_goes_by_power_within_budgets(
    demand: float, powers: list[float], budgets: list[float | None], wanted: list[float]
) -> None:
    assert fill(demand, powers, budgets) == pytest.approx(wanted)


def test_zones_keep_their_own_until_they_are_short() -> None:
    boxes = [box(n, zone=n % 2) for n in range(8)]
    even = divide(boxes, {0: 50.0, 1: 50.0})
    assert [one.weight for one in even[0].localities] == [1000, 0]
    uneven = divide(boxes, {0: 90.0, 1: 10.0})
    assert [one.weight for one in uneven[0].localities] == [556, 444]
    assert [one.weight for one in uneven[1].localities] == [0, 1000]
    assert not is_significant_change(even[0], divide(boxes, {0: 51.0, 1: 50.0})[0])
    assert is_significant_change(even[0], uneven[0]) and is_significant_change(None, even[0])


def test_what_no_box_may_take_is_dropped_by_the_receiver() -> None:
    told = divide([box(n, budget_rps=5.0) for n in range(4)], {0: 40.0})
    assert told[0].dropped == pytest.approx(DROP_DENOMINATOR / 2, rel=0.02)


def test_the_module_s_beliefs_are_read_and_its_drains_and_doubts_kept() -> None:
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
    assert not estimates.read(balancer, {}, {}, 101.0)  # without an address nobody can be sent there


def test_reports_count_in_the_module_as_its_own_forwards_do() -> None:
    balancer = started("abc")
    feedback = LoadFeedback(balancer)
    usual = {"served": 20, "issued": 20, "pending": 2.0, "rate": 40.0}
    for n in range(40):
        now = 100.0 + n / 4
        told = {
            "a": LoadSummary(**usual),
            "b": LoadSummary(
                **{**usual, "served": 2, "failed": 18, "failure_ratio": 0.9, "excess_failure_ratio": 0.9}
            ),
        }
        balancer.handle(LoadReported({**told, "c": LoadSummary(**{**usual, "pending": 30.0})}), now)  # type: ignore[arg-type]
        balancer.handle(api.TimerFired(0), now)
    a, b, c = (balancer.servers[name] for name in "abc")
    assert a.in_flight == 2 and b.error_rate > 0.5 and b.retry_at > now and a.retry_at <= now
    assert balancer.estimates.effective_weight(c, now) < 0.7 * balancer.estimates.effective_weight(
        a, now
    )  # it takes far longer
    row = balancer.rows[0]
    assert row.arrivals >= 20 and dict(row.in_flight)[a.id_hash & 0xFFFF] == 2  # peers read it as any proxy's
    balancer.handle(LoadReported({"a": LoadSummary(issued=5, pending=5.0, silent=True)}), now)  # type: ignore[arg-type]
    assert a.retry_at > now and feedback.balancer is balancer
    b.retry_at = 0.0
    balancer.handle(LoadReported({"b": LoadSummary(**usual)}), now + 9)  # type: ignore[arg-type]
    for n in range(4):
        balancer.handle(LoadReported({"b": LoadSummary(**usual)}), now + 9 + n)  # type: ignore[arg-type]
    assert b.error_rate < 0.5 and b.failures == 0


@given(strategies.integers(1, 7), strategies.lists(strategies.integers(0, 50), min_size=1, max_size=9))
@settings(derandomize=True, deadline=None)
def test_several_places_get_even_parts_that_add_up(places: int, counts: list[int]) -> None:
    got = [0] * places
    for turn, count in enumerate(counts):
        parts = split({"a": LoadSummary(served=count, issued=count, pending=1.0, rate=5.0)}, places, turn)
        assert sum(part.backends["a"].served for part in parts) == count
        assert sum(part.backends["a"].rate for part in parts) == pytest.approx(5.0)
        got = [sum_ + part.backends["a"].served for sum_, part in zip(got, parts, strict=True)]
    assert max(got) - min(got) <= len(counts)


def test_what_several_places_believe_adds_up() -> None:
    one = [box(1, budget_rps=2.0, warming_up=True), box(2), box(3, budget_rps=4.0, ejected=True)]
    other = [box(1, budget_rps=0.0, warming_up=True), box(2, budget_rps=9.0), box(3, budget_rps=1.0)]
    found = {one.name: one for one in estimates.combine_places([one, other])}
    assert (found["b1"].budget_rps, found["b1"].power, found["b1"].capacity) == (2.0, 8.0, 8.0)
    assert found["b2"].budget_rps is None and found["b3"].ejected and not found["b1"].ejected
    assert estimates.combine_places([one]) == one


def listed(*names: str) -> dict[str, Report]:
    return {name: Report(served=10, issued=10, out=1) for name in names}


def test_the_ledger_leaves_the_silent_their_part_until_they_are_gone() -> None:
    book = ReceiverRegistry(1.0, retention_s=5.0, assumed_rps=7.0)
    assert book.connect("r1", 0, 0.0) and book.connect("r2", 1, 0.0)
    assert book.demand() == {0: 7.0, 1: 7.0}
    for second in range(1, 4):
        book.report("r1", listed("a", "b"), "ab", 1.0, float(second))
    assert book.demand()[0] == pytest.approx(20.0, rel=0.2)
    assert book.largest()[0] > book.largest()[1]
    book.disconnect("r1", 4.0)
    assert not book.sweep("ab", 8.9) and book.demand()[0] > 15.0
    assert book.sweep("ab", 9.1) == ["r1"] and set(book.demand()) == {1}


def test_counts_come_out_whole_and_none_is_lost() -> None:
    book, out = ReceiverRegistry(1.0), 0
    book.connect("r1", 0, 0.0)
    book.report("r1", {"a": Report(served=97, issued=97)}, "a", 1.0, 0.0)
    taken = [book.take(n / 4).get("a", LoadSummary()).served for n in range(40)]
    out = sum(taken)
    assert out == 97 and max(taken) < 97


@pytest.mark.parametrize("honest", [2, 3, 6])
def test_one_liar_shuts_no_box_out_and_moves_no_more_than_its_own(honest: int) -> None:
    book = ReceiverRegistry(1.0, max_rps=1000.0)
    for name in ("liar", *(f"r{n}" for n in range(honest))):
        book.connect(name, 0, 0.0)
    for second in range(1, 6):
        for n in range(honest):
            book.report(f"r{n}", listed("a"), "a", 1.0, float(second))
        lies = {"a": Report(failed=10**12, issued=10**12, out=10**12), "nowhere": Report(issued=5)}
        book.report("liar", lies, "a", 1.0, float(second))
        book.report("stranger", lies, "a", 1.0, float(second))
    found = book.take(6.0)
    assert set(found) == {"a"} and found["a"].failure_ratio < 0.5
    assert book.clipped >= 15 and book.demand()[0] <= 1000.0 + 10.0 * honest + 1


def test_a_box_that_ends_nothing_is_silent_when_most_say_so() -> None:
    book = ReceiverRegistry(1.0)
    for name in ("r1", "r2", "r3"):
        book.connect(name, 0, 0.0)
    for second in range(1, 8):
        for name in ("r1", "r2", "r3"):
            stuck = Report(issued=1, out=second) if name != "r3" else Report(served=5, issued=5, out=1)
            book.report(name, {"a": stuck, "b": Report(issued=1, out=second)}, "ab", 1.0, float(second))
    found = book.take(8.0)
    assert found["b"].silent and found["a"].silent  # two of three
    book.report("r1", listed("a"), "ab", 1.0, 8.0)
    assert not book.take(8.1)["a"].silent


def test_what_takes_away_is_told_at_once_and_the_rest_together() -> None:
    debouncer = Debouncer(0.1, 0.5)
    debouncer.on_changed(1.0)
    assert not debouncer.take(1.05) and debouncer.due == pytest.approx(1.1)
    for n in range(20):
        debouncer.on_changed(1.0 + n / 20)  # it never settles
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
    ("before", "after", "left_out", "held"),
    [
        ("abcde", "", "abcde", True),
        ("abcde", "a", "bcde", True),
        ("abcde", "ab", "cde", False),
        ("abcde", "", "", False),  # each was named as gone
        ("a", "", "a", False),
    ],
)
def test_only_a_whole_list_that_leaves_next_to_nothing_is_doubted(
    before: str, after: str, left_out: str, held: bool
) -> None:
    panic = PanicGuard(0.2, 5.0)
    assert panic.on_list(before, after, left_out, 1.0) is held
    assert panic.retained_backends(2.0) == (set(left_out) if held else set())
    if held:
        panic.on_named([left_out[0]])  # said by name: followed
        assert left_out[0] not in panic.retained_backends(3.0)
    assert panic.retained_backends(6.1) == set()


def test_a_catalog_keeps_reasons_and_tells_states_apart() -> None:
    catalog = Catalog("web", ["a", "b"], made_settings())
    boxes = [box(n) for n in range(4)]
    assert catalog.make([], {}, {}, 1, 0.0) == [] and catalog.snapshot(0) is None  # not without a box
    assert set(catalog.make(boxes, {0: 10.0}, {}, 1, 1.0)) == {UNKNOWN_ZONE, 0, 1}
    assert catalog.snapshot(0) is not None and not catalog.history.get(1)  # made when somebody asks
    assert catalog.make(boxes, {0: 10.2}, {}, 1, 2.0) == []
    later = [*boxes[1:], box(7, budget_rps=1.0, warming_up=True)]
    assert catalog.make(later, {0: 10.0}, {}, 2, 3.0) and catalog.urgent == 1
    assert catalog.snapshot(0) is not None
    first, last = catalog.entry(0, "1"), catalog.entry(0, str(catalog.serial))
    assert first and last and last.causes == ("b0 gone or draining", "b7 listed, cold")
    told = differences(first.assignment, last.assignment, catalog.zones)
    assert [line[:8] for line in told if line[:3] in ("b0:", "b7:")] == ["b0: take", "b7: adde"]
    assert catalog.entry(0, "99") is None and catalog.entry(0, first.version) == first
    catalog.apply_settings(made_settings(key_affinity=False))
    assert catalog.make(later, {0: 10.0}, {}, 2, 4.0) and catalog.urgent == 1


def test_classes_become_routes_and_room_a_bound() -> None:
    found = {route.name: route for route in route_settings.routes(made_settings())}
    assert found["read"].retry_any and found["export"].retry_any and not found["pay"].retry_any
    assert not found["index"].retry_any and found["read"].retries == 3
    assert (
        route_settings.max_open_requests([box(1, capacity=4.0)], 1.0) == 64
        and route_settings.max_open_requests([box(1, capacity=500.0)], 0.5) == 512
    )


def test_lists_come_in_any_order_of_words() -> None:
    balancer = started("ab")
    balancer.handle(full_list(server("b")), 101.0)
    assert [one.name for one in estimates.read(balancer, {"a": ("x", 1), "b": ("x", 2)}, {}, 101.0)] == ["b"]
