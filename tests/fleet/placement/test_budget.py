"""The retry budget against an oracle that counts every window of the rule."""

from __future__ import annotations

import random

from firvane.fleet.placement.budget import RESERVE, SHARER_MEMORY, RetryBudget, Sharers
from firvane.simulation.soak.retry_rule import RetryRule

RATIO, SLACK, WINDOW = 0.2, 50.0, 10.0
RULE = RetryRule(RATIO, SLACK, WINDOW)


def shared_by(routers: int, now: float = 0.0) -> Sharers:
    sharers = Sharers()
    sharers.note(routers, now)
    return sharers


def earn(budget: RetryBudget, now: float, requests: int = 1000) -> None:
    for _ in range(requests):
        budget.note_request(now)


def spend_all(budget: RetryBudget, now: float) -> int:
    spent = 0
    while budget.allows(now):
        budget.spend(now)
        spent += 1
    return spent


def test_all_routers_together_stay_within_the_rule() -> None:
    for seed in range(6):
        dice = random.Random(seed)
        routers = [RetryBudget(RATIO, SLACK, shared_by(4)) for _ in range(4)]
        now, requests, repeats = 1000.0, list[float](), list[float]()
        while now < 1040.0:
            now += dice.expovariate(30.0 if now < 1015 or now > 1025 else 4.0)
            place = dice.choices(range(4), (5, 3, 2, 1))[0]
            if dice.random() < 0.02:
                routers[place] = RetryBudget(RATIO, SLACK, shared_by(4))  # it was killed
            budget = routers[place]
            budget.note_request(now)
            requests.append(now)
            for _ in range(3):
                if budget.allows(now):
                    budget.spend(now)
                    repeats.append(now)
        assert len(repeats) > 100
        assert RULE.worst_excess(requests, repeats) <= 0.0


def test_no_moment_at_which_all_are_killed_lets_more_through() -> None:
    """Buckets are filled, emptied at once and begin anew, all of them, again and again."""
    requests, repeats = list[float](), list[float]()
    for step in range(400):
        now = 100.0 + 0.1 * step
        if step % 23 == 0:
            routers = [RetryBudget(RATIO, SLACK, shared_by(5)) for _ in range(5)]
        for budget in routers:
            budget.note_request(now)
            requests.append(now)
        if step % 23 in (5, 22):
            repeats += [now] * sum(spend_all(budget, now) for budget in routers)
    assert len(repeats) > 200
    assert RULE.worst_excess(requests, repeats) <= 0.0


def test_a_new_process_begins_with_nothing_and_a_request_pays_for_its_part() -> None:
    budget = RetryBudget(RATIO, SLACK, shared_by(1))
    assert not budget.allows(5.0)
    earn(budget, 5.0, requests=10)
    assert spend_all(budget, 5.0) == 2


def test_a_router_that_has_had_requests_keeps_its_part_of_the_slack_and_no_more() -> None:
    budget = RetryBudget(RATIO, SLACK, shared_by(10))
    earn(budget, 5.0)
    assert spend_all(budget, 500.0) == 4


def test_a_small_part_of_the_slack_still_allows_repeats() -> None:
    budget = RetryBudget(RATIO, SLACK, shared_by(400))
    earn(budget, 5.0, requests=5)
    assert spend_all(budget, 5.0) == 1


def test_a_repeat_that_reached_no_backend_is_given_back() -> None:
    budget = RetryBudget(RATIO, 2.5, shared_by(1))
    earn(budget, 100.0)
    assert spend_all(budget, 100.0) == 2
    assert not budget.allows(100.0)
    budget.refund(100.1)
    assert budget.allows(100.1)
    budget.spend(100.1)
    assert not budget.allows(109.9)
    assert not budget.allows(111.0)  # time alone gives nothing back
    earn(budget, 111.0, requests=5)
    assert budget.allows(111.0)


def test_what_is_kept_shrinks_at_once_when_more_routers_are_known() -> None:
    sharers = shared_by(1)
    budget = RetryBudget(RATIO, SLACK, sharers)
    earn(budget, 5.0)
    sharers.note(8, 5.0)
    assert spend_all(budget, 5.0) == RESERVE * SLACK / 8


def test_routers_that_are_no_longer_known_count_for_as_long_as_a_partition_may_last() -> None:
    sharers = shared_by(6, 100.0)
    sharers.note(1, 110.0)
    assert sharers.count(110.0 + SHARER_MEMORY) == 6
    sharers.note(4, 120.0)
    sharers.note(2, 130.0)
    assert sharers.count(110.0 + SHARER_MEMORY) == 6
    assert sharers.count(111.0 + SHARER_MEMORY) == 4
    assert sharers.count(131.0 + SHARER_MEMORY) == 2
    sharers.note(0, 140.0)
    assert sharers.count(141.0 + SHARER_MEMORY) == 1


def test_sharers_against_an_oracle() -> None:
    for seed in range(30):
        dice = random.Random(seed)
        sharers, now = Sharers(), 0.0
        held = [(1, 0.0)]  # counts, and since when
        for _ in range(60):
            now += dice.expovariate(1 / 40.0)
            sharers.note(count := dice.randint(1, 9), now)
            held.append((count, now))
            at = now + dice.random()
            ends = [since for _, since in held[1:]] + [at]
            lately = [each for (each, _), end in zip(held, ends, strict=True) if end >= at - SHARER_MEMORY]
            assert sharers.count(at) == max(lately)
            now = at


def test_clocks_that_stand_still_or_jump_do_no_harm() -> None:
    budget = RetryBudget(RATIO, SLACK, shared_by(1))
    for now in (1e6, 1e6, 1e6 + 1e5, 1e6):
        earn(budget, now, requests=5)
        assert budget.allows(now)


def test_figures_tell_what_was_spent_kept_and_denied() -> None:
    budget = RetryBudget(RATIO, 5.0, shared_by(1))
    earn(budget, 100.0, requests=12)
    assert spend_all(budget, 100.0) == 2
    figures = budget.take_figures(100.0)
    assert (figures.requests, figures.repeats, figures.denied) == (12, 2, 1)
    assert figures.capacity == 4.0 and abs(figures.tokens - 0.4) < 1e-9
    again = budget.take_figures(100.0)
    assert (again.requests, again.repeats, again.denied) == (0, 0, 0)
