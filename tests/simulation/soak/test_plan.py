"""Plans: drawn alike from a seed, written and read back, shortened."""

from __future__ import annotations

import pytest

from firvane.simulation.soak.plan import SIZES, Plan, Size, Step, StepKind, draw_plan, plan_from_json
from firvane.simulation.soak.shrink import shrink


def test_a_seed_draws_one_plan_and_others_draw_others() -> None:
    plans = [draw_plan(seed, SIZES["usual"]) for seed in range(20)]
    assert plans == [draw_plan(seed, SIZES["usual"]) for seed in range(20)]
    assert len({plan.steps for plan in plans}) == 20


@pytest.mark.parametrize("size", SIZES.values(), ids=SIZES)
def test_steps_lie_within_the_run_in_order_and_name_daemons_of_the_fleet(size: Size) -> None:
    names = {f"router-{number + 1}" for number in range(size.routers)}
    names |= {f"controller-{number + 1}" for number in range(size.controllers)}
    for seed in range(60):
        steps = draw_plan(seed, size).steps
        assert [step.at for step in steps] == sorted(step.at for step in steps)
        for step in steps:
            assert 0.0 <= step.at <= size.seconds
            assert not step.target or step.target in names


def test_every_kind_of_step_comes() -> None:
    drawn = {step.kind for seed in range(60) for step in draw_plan(seed, SIZES["usual"]).steps}
    assert drawn == set(StepKind)


def test_both_families_take_turns() -> None:
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
def test_what_is_no_plan_is_told(text: str) -> None:
    with pytest.raises(ValueError):
        plan_from_json(text)


def test_an_unknown_kind_of_step_is_told() -> None:
    text = draw_plan(1, SIZES["small"]).to_json().replace('"kill"', '"strike"')
    with pytest.raises(ValueError):
        plan_from_json(text)


def numbered(count: int) -> Plan:
    steps = tuple(Step(float(number), StepKind.KILL, "router-1") for number in range(count))
    return Plan(1, SIZES["small"], steps)


def test_a_plan_is_shortened_to_the_steps_that_it_takes() -> None:
    for needed in ({3}, {0, 11}, {2, 5, 6}, set[int]()):
        moments = {float(number) for number in needed}

        def fails(plan: Plan, moments: set[float] = moments) -> bool:
            return moments <= {step.at for step in plan.steps}

        short = shrink(numbered(12), fails, 1000)
        assert {step.at for step in short.steps} == moments


def test_shortening_ends_after_so_many_plays() -> None:
    plays = list[Plan]()

    def fails(plan: Plan) -> bool:
        plays.append(plan)
        return len(plan.steps) >= 11

    shrink(numbered(12), fails, 5)
    assert len(plays) == 5
