"""Levels, measures, turns and the gate: what is given up, for how long, and at whose cost."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core import interface as api
from firvane.proxy.limits.admission import AdmissionController
from firvane.proxy.limits.admission_gate import AdmissionGate
from firvane.proxy.limits.loop_budget import (
    CONNECTION_UNITS,
    DECISION_UNITS,
    ITERATION_UNITS,
    MIN_QUEUE_LENGTH,
    READ_UNITS,
    REJECTIONS_PER_ITERATION,
    LoopBudget,
)
from firvane.proxy.limits.overload import (
    ACTIONS,
    CALM_PERIOD_S,
    RAISE_AT,
    Level,
    Overload,
    OverloadAction,
    Resource,
)
from tests.helpers import started
from tests.proxy.net.helpers import seeded


def test_each_step_is_told_once_and_levels_come_back_one_by_one() -> None:
    overload, steps = Overload(), []
    for n, figure in enumerate([0.1, 0.95, 0.95, 0.95] + [0.0] * 30):
        if step := overload.update(Resource.MEMORY, figure, now=0.25 * n):
            steps.append((step.before, step.after, 0.25 * n))
    calm, busy, heavy, critical = Level
    assert steps == [(calm, critical, 0.25), (critical, heavy, 1.75), (heavy, busy, 2.75), (busy, calm, 3.75)]
    assert not overload.active_actions and overload.worst() is calm


@seeded
@given(st.sampled_from(list(Resource)), st.lists(st.floats(0.0, 2.0), min_size=1, max_size=80))
def test_nothing_flaps_and_what_is_given_up_is_the_tables(resource: Resource, figures: list[float]) -> None:
    overload, falls = Overload(), list[float]()
    for n, figure in enumerate(figures):
        before = overload.levels[resource]
        step = overload.update(resource, figure, now=0.25 * n)
        after = overload.levels[resource]
        assert (step is None) == (before is after)
        assert after >= sum(
            figure >= threshold for threshold in RAISE_AT[resource]
        )  # never less than is needed
        assert overload.active_actions == ACTIONS.get((resource, after), frozenset())
        if after < before:
            assert after == before - 1 and all(0.25 * n - fall >= CALM_PERIOD_S for fall in falls[-1:])
            falls.append(0.25 * n)


def test_a_graver_level_gives_up_no_less() -> None:
    for resource in Resource:
        active_actions = [ACTIONS[resource, level] for level in Level if level]
        assert active_actions[0] <= active_actions[1] <= active_actions[2]
    assert OverloadAction.EVICT_CONNECTIONS in ACTIONS[Resource.DESCRIPTORS, Level.CRITICAL]


def test_what_can_be_carried_is_learnt_only_at_the_limit() -> None:
    admission = AdmissionController()
    assert admission.update(1.0, 500, 0, 0, waited=False) == 0.0  # all of it was carried
    assert admission.update(1.0, 1000, 0, 3000, waited=True) == pytest.approx(1 - 1.05 * 1000 / 4000, abs=0.1)
    parts = [admission.update(1.0, 1000, 3000, 0, waited=True) for _ in range(8)]
    assert parts[-1] == pytest.approx(1 - 1.05 * 1000 / 4000, abs=0.01)
    eased = [admission.update(1.0, 900, 0, 0, waited=False) for _ in range(8)]
    assert eased == sorted(eased, reverse=True) and eased[-1] == 0.0


class Asker:
    """Somebody with so many requests, each read and then decided."""

    def __init__(self, loop_budget: LoopBudget, requests: int) -> None:
        self.loop_budget, self.left, self.queued = loop_budget, requests, False
        self.done = self.refusals = 0

    def go_on(self, given: bool = False) -> None:
        self.loop_budget.begin()
        while self.left:
            if not self.loop_budget.spend(READ_UNITS + DECISION_UNITS):
                self.loop_budget.wait(self)
                return
            self.left -= 1
            self.done += 1

    def refuse(self) -> None:
        self.refusals += 1


def test_a_turn_is_shared_and_refusals_cost_their_own_part_only() -> None:
    due = []
    loop_budget = LoopBudget(due.append, max_wait_s=0.02)
    greedy, others = Asker(loop_budget, 10_000), [Asker(loop_budget, 1) for _ in range(20)]
    for asker in (greedy, *others):
        asker.go_on()
    assert (
        greedy.done == CONNECTION_UNITS // (READ_UNITS + DECISION_UNITS)
        and loop_budget.spent <= ITERATION_UNITS
    )
    refused = [Asker(loop_budget, 0) for _ in range(3 * REJECTIONS_PER_ITERATION)]
    for asker in refused:
        loop_budget.queue_rejection(asker)
        loop_budget.queue_rejection(asker)  # it stands in line once
    assert not any(asker.refusals for asker in refused)
    for n in range(1, 5):
        assert len(due) == 1  # one call for the next turn, however many wait
        due.pop()()
        assert REJECTIONS_PER_ITERATION * min(n, 3) <= sum(asker.refusals for asker in refused)
        assert loop_budget.spent <= ITERATION_UNITS
    for _ in range(8):
        due.pop()()
    assert all(asker.done == 1 for asker in others) and greedy.left


def test_the_line_is_as_long_as_its_wait_allows() -> None:
    loop_budget = LoopBudget(lambda call: None, max_wait_s=0.02)
    for _ in range(MIN_QUEUE_LENGTH):
        assert not loop_budget.full()
        loop_budget.wait(Asker(loop_budget, 1))
    assert loop_budget.full()
    loop_budget.rate = 50.0 * (MIN_QUEUE_LENGTH + 1)  # a second; a fiftieth of that may wait
    assert not loop_budget.full()


def test_parts_are_followed_exactly_and_a_full_line_refuses_the_rest() -> None:
    crowded = False
    gate = AdmissionGate((b"lagos", b"kano"), lambda greedy: crowded)
    gate.set_fractions((0.25, 1.0))
    assert [gate.rejects(b"lagos") for _ in range(8)] == [False, False, False, True] * 2
    assert gate.is_shedding and gate.rejects(b"kano")
    assert gate.take_rejections() == (2, 1) and gate.take_rejections() == (0, 0)
    gate.set_fractions((0.0, 0.0))
    assert not gate.is_shedding and not gate.rejects(b"kano")
    crowded = True
    assert gate.rejects(b"nobody") and (gate.shed, gate.overflowed) == (3, 1)


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
