"""The retry budget, checked against the rule in every window."""

from __future__ import annotations

import random

from firvane.fleet.placement.retry_budget import (
    CAPACITY_RATIO,
    ROUTER_COUNT_WINDOW_S,
    RetryBudget,
    RouterCount,
)
from firvane.simulation.soak.retry_rule import RetryRule

RATIO, SLACK, WINDOW = 0.2, 50.0, 10.0
RULE = RetryRule(RATIO, SLACK, WINDOW)


def router_count_of(routers: int, now: float = 0.0) -> RouterCount:
    router_count = RouterCount()
    router_count.record(routers, now)
    return router_count


def record_requests(retry_budget: RetryBudget, now: float, requests: int = 1000) -> None:
    for _ in range(requests):
        retry_budget.record_request(now)


def spend_all(retry_budget: RetryBudget, now: float) -> int:
    spent = 0
    while retry_budget.allows(now):
        retry_budget.spend()
        spent += 1
    return spent


def test_all_routers_together_stay_within_the_rule() -> None:
    for seed in range(6):
        rng = random.Random(seed)
        routers = [RetryBudget(RATIO, SLACK, router_count_of(4)) for _ in range(4)]
        now, requests, retries = 1000.0, list[float](), list[float]()
        while now < 1040.0:
            now += rng.expovariate(30.0 if now < 1015 or now > 1025 else 4.0)
            index = rng.choices(range(4), (5, 3, 2, 1))[0]
            if rng.random() < 0.02:
                routers[index] = RetryBudget(RATIO, SLACK, router_count_of(4))  # it was killed
            retry_budget = routers[index]
            retry_budget.record_request(now)
            requests.append(now)
            for _ in range(3):
                if retry_budget.allows(now):
                    retry_budget.spend()
                    retries.append(now)
        assert len(retries) > 100
        assert RULE.worst_excess(requests, retries) <= 0.0


def test_killing_all_routers_at_any_moment_allows_no_more_retries() -> None:
    """All buckets are repeatedly filled, emptied at the same moment and replaced by new ones."""
    requests, retries = list[float](), list[float]()
    for step in range(400):
        now = 100.0 + 0.1 * step
        if step % 23 == 0:
            routers = [RetryBudget(RATIO, SLACK, router_count_of(5)) for _ in range(5)]
        for retry_budget in routers:
            retry_budget.record_request(now)
            requests.append(now)
        if step % 23 in (5, 22):
            retries += [now] * sum(spend_all(retry_budget, now) for retry_budget in routers)
    assert len(retries) > 200
    assert RULE.worst_excess(requests, retries) <= 0.0


def test_a_new_process_starts_with_an_empty_bucket() -> None:
    retry_budget = RetryBudget(RATIO, SLACK, router_count_of(1))
    assert not retry_budget.allows(5.0)
    record_requests(retry_budget, 5.0, requests=10)
    assert spend_all(retry_budget, 5.0) == 2


def test_the_capacity_of_the_bucket_is_the_router_s_quota_of_the_slack() -> None:
    retry_budget = RetryBudget(RATIO, SLACK, router_count_of(10))
    record_requests(retry_budget, 5.0)
    assert spend_all(retry_budget, 500.0) == 4


def test_a_small_quota_of_the_slack_still_allows_retries() -> None:
    retry_budget = RetryBudget(RATIO, SLACK, router_count_of(400))
    record_requests(retry_budget, 5.0, requests=5)
    assert spend_all(retry_budget, 5.0) == 1


def test_a_retry_that_reached_no_backend_is_refunded() -> None:
    retry_budget = RetryBudget(RATIO, 2.5, router_count_of(1))
    record_requests(retry_budget, 100.0)
    assert spend_all(retry_budget, 100.0) == 2
    assert not retry_budget.allows(100.0)
    retry_budget.refund(100.1)
    assert retry_budget.allows(100.1)
    retry_budget.spend()
    assert not retry_budget.allows(109.9)
    assert not retry_budget.allows(111.0)  # tokens are not added over time
    record_requests(retry_budget, 111.0, requests=5)
    assert retry_budget.allows(111.0)


def test_the_bucket_shrinks_at_once_when_more_routers_are_known() -> None:
    router_count = router_count_of(1)
    retry_budget = RetryBudget(RATIO, SLACK, router_count)
    record_requests(retry_budget, 5.0)
    router_count.record(8, 5.0)
    assert spend_all(retry_budget, 5.0) == CAPACITY_RATIO * SLACK / 8


def test_routers_that_are_no_longer_known_count_for_as_long_as_a_partition_may_last() -> None:
    router_count = router_count_of(6, 100.0)
    router_count.record(1, 110.0)
    assert router_count.count(110.0 + ROUTER_COUNT_WINDOW_S) == 6
    router_count.record(4, 120.0)
    router_count.record(2, 130.0)
    assert router_count.count(110.0 + ROUTER_COUNT_WINDOW_S) == 6
    assert router_count.count(111.0 + ROUTER_COUNT_WINDOW_S) == 4
    assert router_count.count(131.0 + ROUTER_COUNT_WINDOW_S) == 2
    router_count.record(0, 140.0)
    assert router_count.count(141.0 + ROUTER_COUNT_WINDOW_S) == 1


def test_the_router_count_against_an_oracle() -> None:
    for seed in range(30):
        rng = random.Random(seed)
        router_count, now = RouterCount(), 0.0
        counts = [(1, 0.0)]  # (count, time of its start)
        for _ in range(60):
            now += rng.expovariate(1 / 40.0)
            router_count.record(count := rng.randint(1, 9), now)
            counts.append((count, now))
            at = now + rng.random()
            ends = [since for _, since in counts[1:]] + [at]
            recent = [
                each for (each, _), end in zip(counts, ends, strict=True) if end >= at - ROUTER_COUNT_WINDOW_S
            ]
            assert router_count.count(at) == max(recent)
            now = at


def test_retries_are_allowed_if_the_clock_stops_or_jumps() -> None:
    retry_budget = RetryBudget(RATIO, SLACK, router_count_of(1))
    for now in (1e6, 1e6, 1e6 + 1e5, 1e6):
        record_requests(retry_budget, now, requests=5)
        assert retry_budget.allows(now)


def test_metrics_count_requests_retries_and_denials() -> None:
    retry_budget = RetryBudget(RATIO, 5.0, router_count_of(1))
    record_requests(retry_budget, 100.0, requests=12)
    assert spend_all(retry_budget, 100.0) == 2
    metrics = retry_budget.take_metrics(100.0)
    assert (metrics.requests, metrics.retries, metrics.denied) == (12, 2, 1)
    assert metrics.capacity == 4.0 and abs(metrics.tokens - 0.4) < 1e-9
    again = retry_budget.take_metrics(100.0)
    assert (again.requests, again.retries, again.denied) == (0, 0, 0)
