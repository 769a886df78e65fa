"""Plans are drawn deterministically from a seed, written and read back, and shortened."""

from __future__ import annotations

import pytest

from firvane.simulation.soak.plan import SIZES, Plan, Size, Step, StepKind, draw_plan, plan_from_json
from firvane.simulation.soak.shrink import shrink


def test_plans_are_deterministic_and_differ_between_seeds() -> None:
    plans = [draw_plan(seed, SIZES["usual"]) for seed in range(20)]
    assert plans == [draw_plan(seed, SIZES["usual"]) for seed in range(20)]
    assert len({plan.steps for plan in plans}) == 20


@pytest.mark.parametrize("size", SIZES.values(), ids=SIZES)
def test_steps_are_sorted_within_the_run_and_target_daemons_of_the_fleet(size: Size) -> None:
    names = {f"router-{number + 1}" for number in range(size.routers)}
    names |= {f"controller-{number + 1}" for number in range(size.controllers)}
    for seed in range(60):
        steps = draw_plan(seed, size).steps
        assert [step.at for step in steps] == sorted(step.at for step in steps)
        for step in steps:
            assert 0.0 <= step.at <= size.seconds
            assert not step.target or step.target in names


def test_every_kind_of_step_is_drawn() -> None:
    drawn = {step.kind for seed in range(60) for step in draw_plan(seed, SIZES["usual"]).steps}
    assert drawn == set(StepKind)


def test_main_series_alternate_with_the_seed() -> None:
    for seed in range(40):
        kinds = {step.kind for step in draw_plan(seed, SIZES["small"]).steps}
        if seed % 2:
            assert {StepKind.BACKEND_FAULT, StepKind.KILL} <= kinds
        else:
            assert kinds & {StepKind.TERM, StepKind.TERM_TWICE}


def test_a_plan_is_written_and_read_back() -> None:
    for seed in range(20):
        plan = draw_plan(seed, SIZES["usual"])
        assert plan_from_json(plan.to_json()) == plan


@pytest.mark.parametrize(
    "text", ("", "[]", "{}", '{"seed": 1, "size": {}, "steps": []}', '{"seed": 1, "size": 3, "steps": [{}]}')
)
def test_an_invalid_plan_is_rejected(text: str) -> None:
    with pytest.raises(ValueError):
        plan_from_json(text)


def test_an_unknown_kind_of_step_is_rejected() -> None:
    text = draw_plan(1, SIZES["small"]).to_json().replace('"kill"', '"strike"')
    with pytest.raises(ValueError):
        plan_from_json(text)


def numbered_plan(count: int) -> Plan:
    steps = tuple(Step(float(number), StepKind.KILL, "router-1") for number in range(count))
    return Plan(1, SIZES["small"], steps)


def test_a_plan_is_shortened_to_the_steps_needed_to_fail() -> None:
    for needed in ({3}, {0, 11}, {2, 5, 6}, set[int]()):
        needed_times = {float(number) for number in needed}

        def fails(plan: Plan, needed_times: set[float] = needed_times) -> bool:
            return needed_times <= {step.at for step in plan.steps}

        shortened = shrink(numbered_plan(12), fails, 1000)
        assert {step.at for step in shortened.steps} == needed_times


def test_shortening_stops_at_the_maximum_number_of_plays() -> None:
    plays = list[Plan]()

    def fails(plan: Plan) -> bool:
        plays.append(plan)
        return len(plan.steps) >= 11

    shrink(numbered_plan(12), fails, 5)
    assert len(plays) == 5
