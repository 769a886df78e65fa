"""Tests of the timer wheel against a plain list of timers."""

from __future__ import annotations

from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.proxy.routing.timer_wheel import MIN_CANCELLED, TimerWheel
from tests.proxy.net.helpers import seeded
from tests.proxy.routing.samples import count_operations

RESOLUTION = 0.005
steps = st.lists(
    st.tuples(st.sampled_from(["set", "set", "cancel", "pass"]), st.floats(-0.01, 0.2), st.integers(0, 40)),
    max_size=80,
)


@seeded
@given(steps, st.sampled_from([0.0, 1.7e9]))
def test_each_timer_expires_once_in_its_step_unless_cancelled(
    steps: list[tuple[str, float, int]], now: float
) -> None:
    wheel, pending = TimerWheel(RESOLUTION), dict[int, tuple[float, int]]()
    for step, span, number in steps:
        if step == "set":
            timer_id = wheel.set(now, now + span, number)
            assert timer_id not in pending
            pending[timer_id] = max(now, now + span), number
        elif step == "cancel":
            wheel.cancel(number)
            pending.pop(number, None)
        else:
            now += abs(span)
            due = wheel.expire(now)
            surely_expired = {
                timer_id for timer_id, (at, _) in pending.items() if at + RESOLUTION * 1.001 <= now
            }
            possibly_expired = {timer_id for timer_id, (at, _) in pending.items() if at <= now}
            remaining = {timer_id: timer for timer_id, timer in pending.items() if timer_id in wheel.tokens}
            assert sorted(due) == sorted(
                pending[timer_id][1] for timer_id in pending.keys() - remaining.keys()
            )
            assert surely_expired <= pending.keys() - remaining.keys() <= possibly_expired
            pending = remaining
        assert len(wheel) == len(pending)
        first = min((at for at, _ in pending.values()), default=inf)
        assert first <= wheel.next_at() <= first + RESOLUTION * 1.001


def test_timers_of_a_step_expire_in_the_order_in_which_they_were_set() -> None:
    wheel = TimerWheel(1.0)
    for token in (5, 3, 9):
        wheel.set(0.0, 0.9 - token / 100, token)
    wheel.set(0.0, 1.5, 1)
    assert wheel.expire(0.99) == [] and wheel.expire(2.0) == [5, 3, 9, 1]
    with pytest.raises(ValueError):
        TimerWheel(0.0)


def test_cancelled_timers_cost_little_time_and_bounded_memory() -> None:
    wheel, timer_ids, costs = TimerWheel(), list[int](), []
    for token in range(40_000):
        now = token / 4000
        timer_ids += (wheel.set(now, now + 2.5, token), wheel.set(now, now + 0.2, token))
        if token >= 200:
            wheel.cancel(timer_ids[2 * token - 400])
            wheel.cancel(timer_ids[2 * token - 399])
        wheel.expire(now)
        if token % 100 == 0:
            costs.append(
                count_operations(lambda at=now: (wheel.cancel(wheel.set(at, at + 1.0, 0)), wheel.next_at()))
            )
    assert sum(costs) / len(costs) < 2500  # with the steps of 100 requests to skip
    assert len(wheel) == 400
    assert sum(len(step_ids) for step_ids in wheel.steps.values()) <= 2 * MIN_CANCELLED + 2 * len(wheel)
