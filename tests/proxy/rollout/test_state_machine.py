"""The state machine of a roll: its table, and whatever dies when."""

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
from tests.proxy.rollout.helpers import NEW, OLD, World, a_plan

NAMES = st.integers(0, 5).map("p{}".format)


def test_every_state_is_reached_and_left_and_every_cause_is_used() -> None:
    assert set(TRANSITIONS) == set(RolloutState)
    assert {state for state in RolloutState if not TRANSITIONS[state]} == FINAL_STATES
    assert {to for _, _, to in transitions()} == set(RolloutState)
    assert {cause for _, cause, _ in transitions()} == set(TransitionCause)
    assert all(any(cause in causes for causes in TRANSITIONS.values()) for cause in TRANSITIONS_IF_STAYING)


class AnyRoll(RuleBasedStateMachine):
    """Keepers, programs and the controller die at any time; answers are lost; operators call."""

    make: type[RolloutStateMachine] = RolloutStateMachine

    @initialize(
        on_worse=st.sampled_from(("back", "stay")),
        at_once=st.integers(1, 3),
        part=st.sampled_from((0.2, 0.5, 1.0)),
        at_stage=st.integers(0, 2),
    )
    def begin(self, on_worse: str, at_once: int, part: float, at_stage: int) -> None:
        plan = a_plan(6, 2, on_worse=on_worse, at_once=at_once, most_of_zone=part)
        self.world = World(plan, self.make)
        while self.world.machine.stage < at_stage and not self.world.machine.ended:
            self.tried("", 0.97)
            self.world.calm_step(Verdict.FINE)

    @rule(wrong=st.sampled_from(("", "", "", "no such file")), share=st.sampled_from((None, 0.2, 0.97)))
    def tried(self, wrong: str, share: float | None) -> None:
        self.world.hear(BaselineMeasured(share))
        self.world.hear(TrialEnded(wrong))

    @rule()
    def all_answer(self) -> None:
        for supervisor in self.world.supervisors.values():
            self.world.ask(supervisor)

    @rule(name=NAMES, well=st.booleans(), heard=st.booleans())
    def order_ends(self, name: str, well: bool, heard: bool) -> None:
        self.world.end(self.world.supervisors[name], well, heard)

    @rule(name=NAMES)
    def place_is_cut_off_or_back(self, name: str) -> None:
        supervisor = self.world.supervisors[name]
        supervisor.reached = not supervisor.reached
        self.world.ask(supervisor)

    @rule(name=NAMES, version=st.sampled_from((OLD, NEW)))
    def program_dies_or_starts(self, name: str, version: str) -> None:
        supervisor = self.world.supervisors[name]
        supervisor.serves = not supervisor.serves
        self.world.ask(supervisor)

    @rule(verdict=st.sampled_from(tuple(Verdict)))
    def judge(self, verdict: Verdict) -> None:
        self.world.judge(verdict)

    @rule(call=st.sampled_from(tuple(OperatorCommand)))
    def operator(self, call: OperatorCommand) -> None:
        self.world.hear(CommandReceived(call))

    @rule(span=st.sampled_from((1.0, 31.0, 31.0, 40.0, 450.0)))
    def wait(self, span: float) -> None:
        self.world.wait(span)

    @rule(after=st.integers(0, 3), span=st.sampled_from((0.0, 50.0)))
    def controller_is_killed(self, after: int, span: float) -> None:
        self.world.hear(Tick(), dies_after=after)
        self.world.wait(span)

    @invariant()
    def promises(self) -> None:
        if not hasattr(self, "world"):
            return
        world, machine = self.world, self.world.machine
        assert not world.broken, world.broken
        assert world.spent <= world.plan.compare.alpha
        if machine.state in FORWARD_STATES:
            assert world.new <= world.plan.target_count(machine.stage), "more new places than the stage says"
        if machine.state is RolloutState.BACK:
            assert not world.new, "it says that it went back, and a place has the new version"

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.calm(Verdict.CANNOT_TELL)
            self.promises()


RUNS: Any = settings(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)


def test_whatever_dies_when_the_promises_hold_and_there_is_an_end() -> None:
    run_state_machine_as_test(AnyRoll, settings=RUNS)


def begun(plan: Any, make: type[RolloutStateMachine] = RolloutStateMachine) -> World:
    world = World(plan, make)
    world.hear(TrialEnded())
    world.hear(BaselineMeasured(0.97))
    return world


@pytest.mark.parametrize("places,zones", [(2, 1), (6, 3), (12, 3), (40, 3)])
@pytest.mark.parametrize(
    "verdict,end", [(Verdict.FINE, RolloutState.DONE), (Verdict.WORSE, RolloutState.BACK)]
)
def test_a_fine_version_reaches_all_and_a_worse_one_none(
    places: int, zones: int, verdict: Verdict, end: RolloutState
) -> None:
    world = begun(a_plan(places, zones, at_once=2))
    world.calm(verdict)
    assert (world.machine.state, world.new) == (end, places if end is RolloutState.DONE else 0)


@pytest.mark.parametrize(
    "on_worse,cause,verdict,end",
    [
        ("back", TransitionCause.TOO_LONG, Verdict.CANNOT_TELL, RolloutState.BACK),
        ("stay", TransitionCause.TOO_LONG, Verdict.CANNOT_TELL, RolloutState.GIVEN_UP),
        ("stay", TransitionCause.WORSE, Verdict.WORSE, RolloutState.GIVEN_UP),
    ],
)
def test_a_pause_that_nobody_answers_ends_by_the_plan(
    on_worse: str, cause: TransitionCause, verdict: Verdict, end: RolloutState
) -> None:
    world = begun(a_plan(on_worse=on_worse))
    while world.machine.state is not RolloutState.PAUSED:
        world.calm_step(verdict)
    assert world.machine.cause is cause and world.new == 1
    world.calm(verdict)
    assert world.machine.state is end


def test_a_place_that_is_down_at_its_turn_is_passed_over_and_changed_when_it_is_back() -> None:
    world = begun(a_plan(9, 3))
    first = world.supervisors[world.plan.replacement_order()[0]]
    first.reached = False
    while world.machine.stage == 0:
        world.calm_step(Verdict.FINE, heal=False)
    assert world.new == 1 and first.version == OLD
    world.calm(Verdict.FINE)
    assert world.machine.state is RolloutState.DONE and first.version == NEW


def test_two_starts_that_fail_stop_the_roll_and_an_old_version_that_is_gone_gives_up() -> None:
    world = begun(a_plan())
    while not world.machine.ended:
        world.calm_step(Verdict.FINE, well=False)
    assert (world.machine.state, world.new) == (RolloutState.BACK, 0)
    world = begun(a_plan())
    while world.machine.stage == 0:
        world.calm_step(Verdict.FINE)
    world.hear(CommandReceived(OperatorCommand.BACK))
    while not world.machine.ended:
        world.calm_step(Verdict.FINE, well=False)
    assert world.machine.state is RolloutState.GIVEN_UP and "it died" in world.machine.reason


def test_a_fleet_that_is_unwell_and_a_trial_that_fails_begin_nothing() -> None:
    world = World(a_plan())
    world.hear(BaselineMeasured(0.2))
    world.hear(TrialEnded())
    assert (world.machine.state, world.machine.cause) == (RolloutState.PAUSED, TransitionCause.UNWELL)
    world = World(a_plan())
    world.hear(TrialEnded("it cannot hear the old one"))
    assert world.machine.state is RolloutState.GIVEN_UP and "cannot hear" in world.machine.reason


def killed_while_its_canary_is_cut_off(make: type[RolloutStateMachine]) -> int:
    """How many places have the new version after that, of the one that the stage may have."""
    world = begun(a_plan(), make)
    while not world.new:
        world.calm_step(Verdict.CANNOT_TELL, well=True)
    for supervisor in world.supervisors.values():
        world.end(supervisor, True)
        supervisor.reached = supervisor.version == OLD
    world.start()
    for _ in range(4):
        world.calm_step(Verdict.CANNOT_TELL, heal=False)
    return world.new


def test_a_take_over_knows_of_new_places_that_say_nothing() -> None:
    assert killed_while_its_canary_is_cut_off(RolloutStateMachine) == 1
    assert killed_while_its_canary_is_cut_off(ForgetsNew) > 1


class OrdersAtOnce(RolloutStateMachine):
    def _may_order(self, place: Any) -> bool:
        return True


class ForgetsOrders(RolloutStateMachine):
    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.ordered.clear()


class KeepsLate(RolloutStateMachine):
    def _take_actions(self, now: float) -> Any:
        out = super()._take_actions(now)
        return out[1:] + out[:1]


class ForgetsNew(RolloutStateMachine):
    def new_slots(self) -> list[str]:
        return []


class StaysOnTheRoll(RolloutStateMachine):
    def begin(self, now: float) -> Any:
        self.token -= 1
        return super().begin(now)


class WaitsForever(RolloutStateMachine):
    def _step_back(self, now: float) -> None:
        self.state_began_at = now
        super()._step_back(now)


class AlphaEachTime(RolloutStateMachine):
    def _start_comparison(self) -> None:
        super()._start_comparison()
        self._actions[-1] = StartComparison(self.comparisons, 0.05, 30.0, None, False)


class TrustsStale(RolloutStateMachine):
    def _on_slot_reported(self, place: Any, version: str, busy: bool) -> None:
        self._end_order(place.name)
        self._update_slot(place, version)


MUTANTS = [
    OrdersAtOnce, ForgetsOrders, KeepsLate, StaysOnTheRoll, WaitsForever, AlphaEachTime, TrustsStale,
]  # fmt: skip


@pytest.mark.parametrize("mutant", MUTANTS)
def test_a_state_machine_that_breaks_a_promise_is_caught(mutant: type[RolloutStateMachine]) -> None:
    machine = type("Mutant", (AnyRoll,), {"make": mutant})
    fast = settings(RUNS, max_examples=400, phases=[Phase.generate], report_multiple_bugs=False)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=fast)
