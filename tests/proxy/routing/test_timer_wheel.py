"""Timers against a plain list of them."""

from __future__ import annotations

from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.proxy.routing.timer_wheel import FEWEST, Wheel
from tests.proxy.net.helpers import seeded
from tests.proxy.routing.samples import operations

RESOLUTION = 0.005
steps = st.lists(
    st.tuples(st.sampled_from(["set", "set", "cancel", "pass"]), st.floats(-0.01, 0.2), st.integers(0, 40)),
    max_size=80,
)


@seeded
@given(steps, st.sampled_from([0.0, 1.7e9]))
def test_each_timer_falls_due_once_in_its_step_unless_cancelled(
    steps: list[tuple[str, float, int]], now: float
) -> None:
    wheel, standing = Wheel(RESOLUTION), dict[int, tuple[float, int]]()
    for what, span, number in steps:
        if what == "set":
            name = wheel.set(now, now + span, number)
            assert name not in standing
            standing[name] = max(now, now + span), number
        elif what == "cancel":
            wheel.cancel(number)
            standing.pop(number, None)
        else:
            now += abs(span)
            due = wheel.due(now)
            must = {name for name, (at, _) in standing.items() if at + RESOLUTION * 1.001 <= now}
            may = {name for name, (at, _) in standing.items() if at <= now}
            left = {name: timer for name, timer in standing.items() if name in wheel.tokens}
            assert sorted(due) == sorted(standing[name][1] for name in standing.keys() - left.keys())
            assert must <= standing.keys() - left.keys() <= may
            standing = left
        assert len(wheel) == len(standing)
        first = min((at for at, _ in standing.values()), default=inf)
        assert first <= wheel.next_at() <= first + RESOLUTION * 1.001


def test_within_a_step_they_fall_due_as_they_were_set() -> None:
    wheel = Wheel(1.0)
    for token in (5, 3, 9):
        wheel.set(0.0, 0.9 - token / 100, token)
    wheel.set(0.0, 1.5, 1)
    assert wheel.due(0.99) == [] and wheel.due(2.0) == [5, 3, 9, 1]
    with pytest.raises(ValueError):
        Wheel(0.0)


def test_two_timers_a_request_that_never_fire_cost_little_time_and_no_growing_memory() -> None:
    wheel, names, costs = Wheel(), list[int](), []
    for number in range(40_000):
        now = number / 4000
        names += (wheel.set(now, now + 2.5, number), wheel.set(now, now + 0.2, number))
        if number >= 200:
            wheel.cancel(names[2 * number - 400])
            wheel.cancel(names[2 * number - 399])
        wheel.due(now)
        if number % 100 == 0:
            costs.append(
                operations(lambda at=now: (wheel.cancel(wheel.set(at, at + 1.0, 0)), wheel.next_at()))
            )
    assert sum(costs) / len(costs) < 2500  # with the steps of 100 requests to skip
    assert len(wheel) == 400
    assert sum(len(numbers) for numbers in wheel.steps.values()) <= 2 * FEWEST + 2 * len(wheel)
