"""Tests of overload levels, admission control, the loop budget and the admission gate."""

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


def test_each_level_change_is_returned_once_and_levels_fall_one_by_one() -> None:
    overload, steps = Overload(), []
    for n, usage in enumerate([0.1, 0.95, 0.95, 0.95] + [0.0] * 30):
        if step := overload.update(Resource.MEMORY, usage, now=0.25 * n):
            steps.append((step.before, step.after, 0.25 * n))
    calm, busy, heavy, critical = Level
    assert steps == [(calm, critical, 0.25), (critical, heavy, 1.75), (heavy, busy, 2.75), (busy, calm, 3.75)]
    assert not overload.active_actions and overload.worst() is calm


@seeded
@given(st.sampled_from(list(Resource)), st.lists(st.floats(0.0, 2.0), min_size=1, max_size=80))
def test_levels_do_not_flap_and_their_actions_are_those_of_the_table(
    resource: Resource, usages: list[float]
) -> None:
    overload, lowered_at = Overload(), list[float]()
    for n, usage in enumerate(usages):
        before = overload.levels[resource]
        step = overload.update(resource, usage, now=0.25 * n)
        after = overload.levels[resource]
        assert (step is None) == (before is after)
        # Never lower than the thresholds require.
        assert after >= sum(usage >= threshold for threshold in RAISE_AT[resource])
        assert overload.active_actions == ACTIONS.get((resource, after), frozenset())
        if after < before:
            assert after == before - 1 and all(
                0.25 * n - earlier >= CALM_PERIOD_S for earlier in lowered_at[-1:]
            )
            lowered_at.append(0.25 * n)


def test_a_higher_level_has_all_actions_of_the_lower_ones() -> None:
    for resource in Resource:
        active_actions = [ACTIONS[resource, level] for level in Level if level]
        assert active_actions[0] <= active_actions[1] <= active_actions[2]
    assert OverloadAction.EVICT_CONNECTIONS in ACTIONS[Resource.DESCRIPTORS, Level.CRITICAL]


def test_the_capacity_is_measured_only_during_a_backlog() -> None:
    admission = AdmissionController()
    assert admission.update(1.0, 500, 0, 0, waited=False) == 0.0  # all requests were served
    assert admission.update(1.0, 1000, 0, 3000, waited=True) == pytest.approx(1 - 1.05 * 1000 / 4000, abs=0.1)
    fractions = [admission.update(1.0, 1000, 3000, 0, waited=True) for _ in range(8)]
    assert fractions[-1] == pytest.approx(1 - 1.05 * 1000 / 4000, abs=0.01)
    released = [admission.update(1.0, 900, 0, 0, waited=False) for _ in range(8)]
    assert released == sorted(released, reverse=True) and released[-1] == 0.0


class QueuedWorker:
    """A worker with so many requests, each read and then decided."""

    def __init__(self, loop_budget: LoopBudget, requests: int) -> None:
        self.loop_budget, self.left, self.queued = loop_budget, requests, False
        self.done = self.rejections = 0

    def process_input(self, has_turn: bool = False) -> None:
        self.loop_budget.begin()
        while self.left:
            if not self.loop_budget.spend(READ_UNITS + DECISION_UNITS):
                self.loop_budget.wait(self)
                return
            self.left -= 1
            self.done += 1

    def reject_unparsed(self) -> None:
        self.rejections += 1


def test_an_iteration_is_shared_and_rejections_cost_only_their_own_budget() -> None:
    due = []
    loop_budget = LoopBudget(due.append, max_wait_s=0.02)
    greedy, others = QueuedWorker(loop_budget, 10_000), [QueuedWorker(loop_budget, 1) for _ in range(20)]
    for worker in (greedy, *others):
        worker.process_input()
    assert (
        greedy.done == CONNECTION_UNITS // (READ_UNITS + DECISION_UNITS)
        and loop_budget.spent <= ITERATION_UNITS
    )
    rejected = [QueuedWorker(loop_budget, 0) for _ in range(3 * REJECTIONS_PER_ITERATION)]
    for worker in rejected:
        loop_budget.queue_rejection(worker)
        loop_budget.queue_rejection(worker)  # a worker is queued only once
    assert not any(worker.rejections for worker in rejected)
    for n in range(1, 5):
        assert len(due) == 1  # one callback for the next iteration, however many wait
        due.pop()()
        assert REJECTIONS_PER_ITERATION * min(n, 3) <= sum(worker.rejections for worker in rejected)
        assert loop_budget.spent <= ITERATION_UNITS
    for _ in range(8):
        due.pop()()
    assert all(worker.done == 1 for worker in others) and greedy.left


def test_the_queue_is_as_long_as_its_maximum_wait_allows() -> None:
    loop_budget = LoopBudget(lambda call: None, max_wait_s=0.02)
    for _ in range(MIN_QUEUE_LENGTH):
        assert not loop_budget.full()
        loop_budget.wait(QueuedWorker(loop_budget, 1))
    assert loop_budget.full()
    loop_budget.rate = 50.0 * (MIN_QUEUE_LENGTH + 1)  # a second; a fiftieth of that may wait
    assert not loop_budget.full()


def test_fractions_are_applied_exactly_and_a_full_queue_rejects_the_rest() -> None:
    is_full = False
    gate = AdmissionGate((b"lagos", b"kano"), lambda greedy: is_full)
    gate.set_fractions((0.25, 1.0))
    assert [gate.rejects(b"lagos") for _ in range(8)] == [False, False, False, True] * 2
    assert gate.is_shedding and gate.rejects(b"kano")
    assert gate.take_rejections() == (2, 1) and gate.take_rejections() == (0, 0)
    gate.set_fractions((0.0, 0.0))
    assert not gate.is_shedding and not gate.rejects(b"kano")
    is_full = True
    assert gate.rejects(b"nobody") and (gate.shed, gate.overflowed) == (3, 1)


def test_the_balancer_sheds_first_what_exceeds_a_quota() -> None:
    tenants = (api.Tenant("lagos", 0.5, 10.0), api.Tenant("kano", 0.5, 10.0))
    balancer = started(tenants=tenants, over_quota_value=0.1)

    def fractions(excess_fraction: float, over_share: bool = False) -> tuple[float, ...]:
        # In 5 s: three times the quota of lagos, exactly the quota of kano.
        balancer.tenant_requests = {0: 150.0, 1: 50.0}
        balancer.rows[0] = balancer.rows[0]._replace(arrivals=1.0)
        (action,) = balancer.handle(
            api.OverloadSignal(excess_fraction, over_share, hedging_allowed=True), 100.5
        )
        assert isinstance(action, api.ShedLoad)
        return action.fractions

    assert fractions(0.25) == pytest.approx((50 / 150, 0.0))
    assert fractions(0.0, over_share=True) == pytest.approx((100 / 150, 0.0))
    assert fractions(0.75) == pytest.approx((125 / 150, 0.5))  # and half of the requests within quota
    assert fractions(0.0) == (0.0, 0.0)


def test_no_attempt_is_hedged_while_hedging_is_not_allowed() -> None:
    balancer = started("ab")
    balancer.handle(api.OverloadSignal(0.0, False, hedging_allowed=False), 100.5)
    balancer.handle(api.Request(1, 0, 2.0, key="k"), 101.0)
    balancer.servers["a"].last_response_at = balancer.servers["b"].last_response_at = 0.0
    assert not [a for a in balancer.handle(api.TimerFired(2), 101.5) if isinstance(a, api.Send)]
    balancer.handle(api.OverloadSignal(0.0, False, hedging_allowed=True), 101.6)
    assert [a for a in balancer.handle(api.TimerFired(2), 101.7) if isinstance(a, api.Send)]
