"""The state machine of a rollout: its transition table, and its invariants under any faults."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from firvane.proxy.rollout.comparison_types import Verdict
from firvane.proxy.rollout.events import BaselineMeasured, CommandReceived, StartComparison, Tick, TrialEnded
from firvane.proxy.rollout.rollout_state import FINAL_STATES, OperatorCommand, RolloutState, TransitionCause
from firvane.proxy.rollout.state_machine import RolloutStateMachine
from firvane.proxy.rollout.transitions import FORWARD_STATES, TRANSITIONS, TRANSITIONS_IF_STAYING, transitions
from tests.proxy.rollout.helpers import NEW, OLD, World, make_plan

NAMES = st.integers(0, 5).map("p{}".format)


def test_every_state_is_reachable_and_every_cause_is_used() -> None:
    assert set(TRANSITIONS) == set(RolloutState)
    assert {state for state in RolloutState if not TRANSITIONS[state]} == FINAL_STATES
    assert {next_state for _, _, next_state in transitions()} == set(RolloutState)
    assert {cause for _, cause, _ in transitions()} == set(TransitionCause)
    assert all(any(cause in causes for causes in TRANSITIONS.values()) for cause in TRANSITIONS_IF_STAYING)


class RolloutWithFaults(RuleBasedStateMachine):
    """Any process crashes at any time, reports are lost, and operators send commands."""

    machine_type: type[RolloutStateMachine] = RolloutStateMachine

    @initialize(
        on_worse=st.sampled_from(("back", "stay")),
        at_once=st.integers(1, 3),
        part=st.sampled_from((0.2, 0.5, 1.0)),
        at_stage=st.integers(0, 2),
    )
    def begin(self, on_worse: str, at_once: int, part: float, at_stage: int) -> None:
        plan = make_plan(6, 2, on_worse=on_worse, at_once=at_once, most_of_zone=part)
        self.world = World(plan, self.machine_type)
        while self.world.machine.stage < at_stage and not self.world.machine.ended:
            self.end_preparation("", 0.97)
            self.world.run_healthy_step(Verdict.FINE)

    @rule(trial_error=st.sampled_from(("", "", "", "no such file")), share=st.sampled_from((None, 0.2, 0.97)))
    def end_preparation(self, trial_error: str, share: float | None) -> None:
        self.world.handle_event(BaselineMeasured(share))
        self.world.handle_event(TrialEnded(trial_error))

    @rule()
    def all_slots_report(self) -> None:
        for supervisor in self.world.supervisors.values():
            self.world.poll(supervisor)

    @rule(name=NAMES, succeeds=st.booleans(), is_reported=st.booleans())
    def order_ends(self, name: str, succeeds: bool, is_reported: bool) -> None:
        self.world.end_order(self.world.supervisors[name], succeeds, is_reported)

    @rule(name=NAMES)
    def slot_is_disconnected_or_reconnected(self, name: str) -> None:
        supervisor = self.world.supervisors[name]
        supervisor.is_reachable = not supervisor.is_reachable
        self.world.poll(supervisor)

    @rule(name=NAMES, version=st.sampled_from((OLD, NEW)))
    def process_exits_or_starts(self, name: str, version: str) -> None:
        supervisor = self.world.supervisors[name]
        supervisor.is_serving = not supervisor.is_serving
        self.world.poll(supervisor)

    @rule(verdict=st.sampled_from(tuple(Verdict)))
    def report_verdict(self, verdict: Verdict) -> None:
        self.world.report_verdict(verdict)

    @rule(command=st.sampled_from(tuple(OperatorCommand)))
    def operator_command(self, command: OperatorCommand) -> None:
        self.world.handle_event(CommandReceived(command))

    @rule(duration_s=st.sampled_from((1.0, 31.0, 31.0, 40.0, 450.0)))
    def time_passes(self, duration_s: float) -> None:
        self.world.advance(duration_s)

    @rule(crash_after=st.integers(0, 3), duration_s=st.sampled_from((0.0, 50.0)))
    def controller_is_killed(self, crash_after: int, duration_s: float) -> None:
        self.world.handle_event(Tick(), crash_after=crash_after)
        self.world.advance(duration_s)

    @invariant()
    def invariants_hold(self) -> None:
        if not hasattr(self, "world"):
            return
        world, machine = self.world, self.world.machine
        assert not world.violations, world.violations
        assert world.spent_alpha <= world.plan.compare.alpha
        if machine.state in FORWARD_STATES:
            assert world.new_count <= world.plan.target_count(machine.stage), (
                "more slots with the new version than the stage allows"
            )
        if machine.state is RolloutState.BACK:
            assert not world.new_count, "the rollout is reverted, but a slot has the new version"

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.run_to_end(Verdict.CANNOT_TELL)
            self.invariants_hold()


SETTINGS: Any = settings(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)


def test_invariants_hold_under_any_faults_and_the_rollout_ends() -> None:
    run_state_machine_as_test(RolloutWithFaults, settings=SETTINGS)


def begin_rollout(plan: Any, machine_type: type[RolloutStateMachine] = RolloutStateMachine) -> World:
    world = World(plan, machine_type)
    world.handle_event(TrialEnded())
    world.handle_event(BaselineMeasured(0.97))
    return world


@pytest.mark.parametrize("slots,zones", [(2, 1), (6, 3), (12, 3), (40, 3)])
@pytest.mark.parametrize(
    "verdict,end", [(Verdict.FINE, RolloutState.DONE), (Verdict.WORSE, RolloutState.BACK)]
)
def test_a_fine_version_reaches_all_slots_and_a_worse_version_none(
    slots: int, zones: int, verdict: Verdict, end: RolloutState
) -> None:
    world = begin_rollout(make_plan(slots, zones, at_once=2))
    world.run_to_end(verdict)
    assert (world.machine.state, world.new_count) == (end, slots if end is RolloutState.DONE else 0)


@pytest.mark.parametrize(
    "on_worse,cause,verdict,end",
    [
        ("back", TransitionCause.TOO_LONG, Verdict.CANNOT_TELL, RolloutState.BACK),
        ("stay", TransitionCause.TOO_LONG, Verdict.CANNOT_TELL, RolloutState.GIVEN_UP),
        ("stay", TransitionCause.WORSE, Verdict.WORSE, RolloutState.GIVEN_UP),
    ],
)
def test_an_unanswered_pause_ends_as_the_plan_sets(
    on_worse: str, cause: TransitionCause, verdict: Verdict, end: RolloutState
) -> None:
    world = begin_rollout(make_plan(on_worse=on_worse))
    while world.machine.state is not RolloutState.PAUSED:
        world.run_healthy_step(verdict)
    assert world.machine.cause is cause and world.new_count == 1
    world.run_to_end(verdict)
    assert world.machine.state is end


def test_an_unreachable_slot_is_skipped_and_replaced_once_it_is_reachable() -> None:
    world = begin_rollout(make_plan(9, 3))
    first = world.supervisors[world.plan.replacement_order()[0]]
    first.is_reachable = False
    while world.machine.stage == 0:
        world.run_healthy_step(Verdict.FINE, reconnects=False)
    assert world.new_count == 1 and first.version == OLD
    world.run_to_end(Verdict.FINE)
    assert world.machine.state is RolloutState.DONE and first.version == NEW


def test_failed_replacements_revert_the_rollout_and_failed_reverts_give_it_up() -> None:
    world = begin_rollout(make_plan())
    while not world.machine.ended:
        world.run_healthy_step(Verdict.FINE, succeeds=False)
    assert (world.machine.state, world.new_count) == (RolloutState.BACK, 0)
    world = begin_rollout(make_plan())
    while world.machine.stage == 0:
        world.run_healthy_step(Verdict.FINE)
    world.handle_event(CommandReceived(OperatorCommand.BACK))
    while not world.machine.ended:
        world.run_healthy_step(Verdict.FINE, succeeds=False)
    assert world.machine.state is RolloutState.GIVEN_UP and "it died" in world.machine.reason


def test_a_low_baseline_pauses_the_rollout_and_a_failed_trial_gives_it_up() -> None:
    world = World(make_plan())
    world.handle_event(BaselineMeasured(0.2))
    world.handle_event(TrialEnded())
    assert (world.machine.state, world.machine.cause) == (RolloutState.PAUSED, TransitionCause.UNWELL)
    world = World(make_plan())
    world.handle_event(TrialEnded("it cannot bind its port"))
    assert world.machine.state is RolloutState.GIVEN_UP and "cannot bind" in world.machine.reason


def count_new_after_take_over_with_unreachable_canary(machine_type: type[RolloutStateMachine]) -> int:
    """Return how many slots get the new version if the controller restarts while the canary is unreachable.

    The stage allows one.
    """
    world = begin_rollout(make_plan(), machine_type)
    while not world.new_count:
        world.run_healthy_step(Verdict.CANNOT_TELL, succeeds=True)
    for supervisor in world.supervisors.values():
        world.end_order(supervisor, True)
        supervisor.is_reachable = supervisor.version == OLD
    world.start()
    for _ in range(4):
        world.run_healthy_step(Verdict.CANNOT_TELL, reconnects=False)
    return world.new_count


def test_a_take_over_counts_unreachable_slots_with_the_new_version() -> None:
    assert count_new_after_take_over_with_unreachable_canary(RolloutStateMachine) == 1
    assert count_new_after_take_over_with_unreachable_canary(ForgetsNewSlots) > 1


class IgnoresLimits(RolloutStateMachine):
    def _may_order(self, slot: Any) -> bool:
        return True


class ForgetsOrders(RolloutStateMachine):
    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.ordered.clear()


class PersistsLast(RolloutStateMachine):
    def _take_actions(self, now: float) -> Any:
        actions = super()._take_actions(now)
        return actions[1:] + actions[:1]


class ForgetsNewSlots(RolloutStateMachine):
    def new_slots(self) -> list[str]:
        return []


class ReusesToken(RolloutStateMachine):
    def begin(self, now: float) -> Any:
        self.token -= 1
        return super().begin(now)


class RevertsForever(RolloutStateMachine):
    def _step_back(self, now: float) -> None:
        self.state_began_at = now
        super()._step_back(now)


class UsesFullAlpha(RolloutStateMachine):
    def _start_comparison(self) -> None:
        super()._start_comparison()
        self._actions[-1] = StartComparison(self.comparisons, 0.05, 30.0, None, False)


class EndsOrdersAtAnyReport(RolloutStateMachine):
    def _on_slot_reported(self, slot: Any, version: str, is_replacing: bool) -> None:
        self._end_order(slot.name)
        self._update_slot(slot, version)


MUTANTS = [
    IgnoresLimits, ForgetsOrders, PersistsLast, ReusesToken, RevertsForever, UsesFullAlpha,
    EndsOrdersAtAnyReport,
]  # fmt: skip


@pytest.mark.parametrize("mutant", MUTANTS)
def test_a_state_machine_that_violates_an_invariant_is_detected(mutant: type[RolloutStateMachine]) -> None:
    machine = type("Mutant", (RolloutWithFaults,), {"machine_type": mutant})
    mutant_settings = settings(
        SETTINGS, max_examples=400, phases=[Phase.generate], report_multiple_bugs=False
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=mutant_settings)
