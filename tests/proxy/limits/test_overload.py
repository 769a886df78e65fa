"""Levels, measures, turns and the gate: what is given up, for how long, and at whose cost."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core import interface as api
from firvane.proxy.limits.admission import Admission
from firvane.proxy.limits.admission_gate import Gate
from firvane.proxy.limits.loop_budget import DECIDE, LEAST_LINE, READ_ONE, REFUSALS, SHARE, TURN, Turns
from firvane.proxy.limits.overload import CALM_FOR, GIVES_UP, UP, Level, Measure, Overload, Resource
from tests.helpers import started
from tests.proxy.net.helpers import seeded


def test_each_step_is_told_once_and_levels_come_back_one_by_one() -> None:
    overload, steps = Overload(), []
    for n, figure in enumerate([0.1, 0.95, 0.95, 0.95] + [0.0] * 30):
        if step := overload.see(Resource.MEMORY, figure, now=0.25 * n):
            steps.append((step.before, step.after, 0.25 * n))
    calm, busy, heavy, critical = Level
    assert steps == [(calm, critical, 0.25), (critical, heavy, 1.75), (heavy, busy, 2.75), (busy, calm, 3.75)]
    assert not overload.given_up and overload.worst() is calm


@seeded
@given(st.sampled_from(list(Resource)), st.lists(st.floats(0.0, 2.0), min_size=1, max_size=80))
def test_nothing_flaps_and_what_is_given_up_is_the_tables(resource: Resource, figures: list[float]) -> None:
    overload, falls = Overload(), list[float]()
    for n, figure in enumerate(figures):
        before = overload.levels[resource]
        step = overload.see(resource, figure, now=0.25 * n)
        after = overload.levels[resource]
        assert (step is None) == (before is after)
        assert after >= sum(figure >= threshold for threshold in UP[resource])  # never less than is needed
        assert overload.given_up == GIVES_UP.get((resource, after), frozenset())
        if after < before:
            assert after == before - 1 and all(0.25 * n - fall >= CALM_FOR for fall in falls[-1:])
            falls.append(0.25 * n)


def test_a_graver_level_gives_up_no_less() -> None:
    for resource in Resource:
        given_up = [GIVES_UP[resource, level] for level in Level if level]
        assert given_up[0] <= given_up[1] <= given_up[2]
    assert Measure.SHED in GIVES_UP[Resource.DESCRIPTORS, Level.CRITICAL]


def test_what_can_be_carried_is_learnt_only_at_the_limit() -> None:
    admission = Admission()
    assert admission.period(1.0, 500, 0, 0, waited=False) == 0.0  # all of it was carried
    assert admission.period(1.0, 1000, 0, 3000, waited=True) == pytest.approx(1 - 1.05 * 1000 / 4000, abs=0.1)
    parts = [admission.period(1.0, 1000, 3000, 0, waited=True) for _ in range(8)]
    assert parts[-1] == pytest.approx(1 - 1.05 * 1000 / 4000, abs=0.01)
    eased = [admission.period(1.0, 900, 0, 0, waited=False) for _ in range(8)]
    assert eased == sorted(eased, reverse=True) and eased[-1] == 0.0


class Asker:
    """Somebody with so many requests, each read and then decided."""

    def __init__(self, turns: Turns, requests: int) -> None:
        self.turns, self.left, self.queued = turns, requests, False
        self.done = self.refusals = 0

    def go_on(self, given: bool = False) -> None:
        self.turns.begin()
        while self.left:
            if not self.turns.spend(READ_ONE + DECIDE):
                self.turns.wait(self)
                return
            self.left -= 1
            self.done += 1

    def refuse(self) -> None:
        self.refusals += 1


def test_a_turn_is_shared_and_refusals_cost_their_own_part_only() -> None:
    due = []
    turns = Turns(due.append, most_wait=0.02)
    greedy, others = Asker(turns, 10_000), [Asker(turns, 1) for _ in range(20)]
    for asker in (greedy, *others):
        asker.go_on()
    assert greedy.done == SHARE // (READ_ONE + DECIDE) and turns.spent <= TURN
    refused = [Asker(turns, 0) for _ in range(3 * REFUSALS)]
    for asker in refused:
        turns.refuse(asker)
        turns.refuse(asker)  # it stands in line once
    assert not any(asker.refusals for asker in refused)
    for n in range(1, 5):
        assert len(due) == 1  # one call for the next turn, however many wait
        due.pop()()
        assert REFUSALS * min(n, 3) <= sum(asker.refusals for asker in refused)
        assert turns.spent <= TURN
    for _ in range(8):
        due.pop()()
    assert all(asker.done == 1 for asker in others) and greedy.left


def test_the_line_is_as_long_as_its_wait_allows() -> None:
    turns = Turns(lambda call: None, most_wait=0.02)
    for _ in range(LEAST_LINE):
        assert not turns.full()
        turns.wait(Asker(turns, 1))
    assert turns.full()
    turns.rate = 50.0 * (LEAST_LINE + 1)  # a second; a fiftieth of that may wait
    assert not turns.full()


def test_parts_are_followed_exactly_and_a_full_line_refuses_the_rest() -> None:
    crowded = False
    gate = Gate((b"lagos", b"kano"), lambda greedy: crowded)
    gate.set((0.25, 1.0))
    assert [gate.turns_away(b"lagos") for _ in range(8)] == [False, False, False, True] * 2
    assert gate.shut and gate.turns_away(b"kano")
    assert gate.told() == (2, 1) and gate.told() == (0, 0)
    gate.set((0.0, 0.0))
    assert not gate.shut and not gate.turns_away(b"kano")
    crowded = True
    assert gate.turns_away(b"nobody") and (gate.wished, gate.overflowed) == (3, 1)


def test_the_decisions_turn_away_first_what_exceeds_a_share() -> None:
    tenants = (api.Tenant("lagos", 0.5, 10.0), api.Tenant("kano", 0.5, 10.0))
    balancer = started(tenants=tenants, over_quota_value=0.1)

    def parts(part: float, over_share: bool = False) -> tuple[float, ...]:
        balancer.tenant_requests = {0: 150.0, 1: 50.0}  # in 5 s: lagos three times its share, kano at its own
        balancer.rows[0] = balancer.rows[0]._replace(arrivals=1.0)
        (action,) = balancer.handle(api.OverloadSignal(part, over_share, hedging_allowed=True), 100.5)
        assert isinstance(action, api.ShedLoad)
        return action.fractions

    assert parts(0.25) == pytest.approx((50 / 150, 0.0))
    assert parts(0.0, over_share=True) == pytest.approx((100 / 150, 0.0))
    assert parts(0.75) == pytest.approx((125 / 150, 0.5))  # then half of the rest
    assert parts(0.0) == (0.0, 0.0)


def test_while_the_proxy_is_short_of_turns_there_are_no_second_copies() -> None:
    balancer = started("ab")
    balancer.handle(api.OverloadSignal(0.0, False, hedging_allowed=False), 100.5)
    balancer.handle(api.Request(1, 0, 2.0, key="k"), 101.0)
    balancer.servers["a"].last_response_at = balancer.servers["b"].last_response_at = 0.0
    assert not [a for a in balancer.handle(api.TimerFired(2), 101.5) if isinstance(a, api.Send)]
    balancer.handle(api.OverloadSignal(0.0, False, hedging_allowed=True), 101.6)
    assert [a for a in balancer.handle(api.TimerFired(2), 101.7) if isinstance(a, api.Send)]
