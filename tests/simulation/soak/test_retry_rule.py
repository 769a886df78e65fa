"""`RetryRule` against a direct count of every window that starts at a retry."""

from __future__ import annotations

import random

from firvane.simulation.soak.retry_rule import RetryRule


def count(times: list[float], start: float, span: float) -> int:
    return sum(start <= each < start + span for each in times)


def test_the_excess_equals_a_direct_count() -> None:
    rule = RetryRule(0.2, 3.0, 10.0)
    for seed in range(40):
        rng = random.Random(seed)
        requests = sorted(rng.uniform(0, 50) for _ in range(rng.randint(0, 80)))
        retries = sorted(rng.uniform(0, 50) for _ in range(rng.randint(0, 60)))
        worst = -rule.slack
        for start in retries:
            max_requests = max(count(requests, start - offset, 10.0) for offset in (0.0, 5.0, 10.0))
            worst = max(worst, count(retries, start, 10.0) - 0.2 * max_requests - 3.0)
        assert abs(rule.worst_excess(requests, retries) - worst) < 1e-9


def test_the_limit_is_allowed_and_one_more_retry_exceeds_it() -> None:
    rule = RetryRule(0.2, 3.0, 10.0)
    requests = [float(each) for each in range(10)]
    assert rule.worst_excess(requests, [10.0] * 5) == 0.0
    assert rule.worst_excess(requests, [10.0] * 6) == 1.0
    assert (
        rule.worst_excess([], [1.0, 2.0, 2.5, 11.5]) == 0.0
    )  # the last retry shares no window with the first


def test_no_retries_are_within_the_limit() -> None:
    assert RetryRule(0.2, 0.0, 10.0).worst_excess([1.0], []) <= 0.0
