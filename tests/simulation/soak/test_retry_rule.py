"""The oracle of repeats against a count by hand of every window that begins with a repeat."""

from __future__ import annotations

import random

from firvane.simulation.soak.retry_rule import RetryRule


def count(times: list[float], start: float, span: float) -> int:
    return sum(start <= each < start + span for each in times)


def test_against_a_count_by_hand() -> None:
    rule = RetryRule(0.2, 3.0, 10.0)
    for seed in range(40):
        dice = random.Random(seed)
        requests = sorted(dice.uniform(0, 50) for _ in range(dice.randint(0, 80)))
        repeats = sorted(dice.uniform(0, 50) for _ in range(dice.randint(0, 60)))
        worst = -rule.slack
        for start in repeats:
            most = max(count(requests, start - back, 10.0) for back in (0.0, 5.0, 10.0))
            worst = max(worst, count(repeats, start, 10.0) - 0.2 * most - 3.0)
        assert abs(rule.worst_excess(requests, repeats) - worst) < 1e-9


def test_the_slack_is_just_enough_and_one_more_is_too_much() -> None:
    rule = RetryRule(0.2, 3.0, 10.0)
    requests = [float(each) for each in range(10)]
    assert rule.worst_excess(requests, [10.0] * 5) == 0.0
    assert rule.worst_excess(requests, [10.0] * 6) == 1.0
    assert (
        rule.worst_excess([], [1.0, 2.0, 2.5, 11.5]) == 0.0
    )  # the last one lies in no window with the first


def test_no_repeat_is_within_the_rule() -> None:
    assert RetryRule(0.2, 0.0, 10.0).worst_excess([1.0], []) <= 0.0
