"""What a router may use without asking, and what it asks for."""

from __future__ import annotations

from firvane.fleet.configuration.routes import Tenant
from firvane.fleet.tenancy.allowance import AHEAD_TIME, GIVEN_BACK_LASTS, Allowances, request_cost
from firvane.fleet.tenancy.quota import AHEAD_LASTS


def test_requests_or_tokens_are_counted() -> None:
    assert request_cost(Tenant("t"), 5_000) == 1
    assert request_cost(Tenant("t", counts_tokens=True, uncached_tokens=200), 5_000) == 5_000
    assert request_cost(Tenant("t", counts_tokens=True, uncached_tokens=200), None) == 200


def test_a_tenant_that_asks_seldom_gets_nothing_in_advance() -> None:
    allowances = Allowances()
    for turn in range(5):
        assert not allowances.take("t", 1_000, turn * 3.0)
        assert allowances.ahead("t", 1_000) == 0


def test_a_busy_tenant_asks_for_the_next_half_second() -> None:
    allowances = Allowances()
    for turn in range(400):
        allowances.take("t", 100, turn * 0.01)
    ahead = allowances.ahead("t", 100)
    assert 0.7 * AHEAD_TIME * 10_000 < ahead < 1.1 * AHEAD_TIME * 10_000


def test_tokens_in_advance_last_from_the_ask_on() -> None:
    allowances = Allowances()
    allowances.take("t", 10, 0.0)
    allowances.granted("t", 30, 0, 0.0)
    assert allowances.take("t", 10, AHEAD_LASTS - 0.01)
    assert not allowances.take("t", 10, AHEAD_LASTS)


def test_what_is_given_back_is_used_by_the_next_request_for_a_moment_only() -> None:
    allowances = Allowances()
    assert not allowances.take("t", 10, 0.0)
    allowances.give_back("t", 10, 0.0)
    assert allowances.take("t", 10, GIVEN_BACK_LASTS / 2)
    allowances.give_back("t", 10, 1.0)
    allowances.give_back("t", 10, 1.0 + GIVEN_BACK_LASTS / 2)  # which lengthens nothing
    assert not allowances.take("t", 10, 1.0 + GIVEN_BACK_LASTS)


def test_a_second_run_is_told_until_an_ask_was_answered() -> None:
    allowances = Allowances()
    allowances.spend("t", 70)
    assert allowances.spent("t") == 70
    allowances.spend("t", 5)
    allowances.granted("t", 0, 70, 1.0)
    assert allowances.spent("t") == 5


def test_idle_tenants_are_forgotten_but_not_what_they_owe() -> None:
    allowances = Allowances()
    allowances.take("idle", 10, 0.0)
    allowances.take("owes", 10, 0.0)
    allowances.spend("owes", 10)
    allowances.forget_idle(100.0)
    assert list(allowances._uses) == ["owes"]
