"""The retry budget against an oracle that counts every window of the rule."""

from __future__ import annotations

import random

from firvane.placement.budget import RetryBudget
from tests.placement.retry_rule import RetryRule

RATIO, SLACK, WINDOW = 0.2, 50.0, 10.0
RULE = RetryRule(RATIO, SLACK, WINDOW)


def test_all_routers_together_stay_within_the_rule() -> None:
    for seed in range(6):
        dice = random.Random(seed)
        routers = [RetryBudget(RATIO, SLACK, WINDOW) for _ in range(4)]
        for budget in routers:
            budget.routers = 4
        now, requests, repeats = 1000.0, list[float](), list[float]()
        while now < 1040.0:
            now += dice.expovariate(30.0 if now < 1015 or now > 1025 else 4.0)
            budget = dice.choices(routers, (5, 3, 2, 1))[0]
            budget.note_request(now)
            requests.append(now)
            for _ in range(3):
                if budget.allows(now):
                    budget.spend(now)
                    repeats.append(now)
        assert len(repeats) > 100
        assert RULE.worst_excess(requests, repeats) <= 0.0


def test_an_idle_router_has_its_part_of_the_slack() -> None:
    budget = RetryBudget(RATIO, SLACK, WINDOW)
    budget.routers = 10
    spent = 0
    while budget.allows(5.0):
        budget.spend(5.0)
        spent += 1
    assert spent == 4


def test_it_is_given_back_after_the_window_or_where_nothing_arrived() -> None:
    budget = RetryBudget(RATIO, 2.5, WINDOW)
    budget.spend(100.0)
    budget.spend(100.0)
    assert not budget.allows(100.0)
    budget.refund(100.1)
    assert budget.allows(100.1)
    budget.spend(100.1)
    assert not budget.allows(109.9)
    assert budget.allows(111.0)


def test_clocks_that_stand_still_or_jump_do_no_harm() -> None:
    budget = RetryBudget(RATIO, SLACK, WINDOW)
    for now in (1e6, 1e6, 1e6 + 1e5, 1e6):
        budget.note_request(now)
        assert budget.allows(now)


def test_figures_tell_what_was_spent_allowed_and_denied() -> None:
    budget = RetryBudget(RATIO, 2.5, WINDOW)
    for _ in range(5):
        budget.note_request(100.0)
    while budget.allows(100.0):
        budget.spend(100.0)
    figures = budget.take_figures(100.0)
    assert (figures.requests, figures.repeats, figures.routers, figures.denied) == (5, 3, 1, 1)
    assert figures.allowed == 3.0 and budget.take_figures(100.0).denied == 0
