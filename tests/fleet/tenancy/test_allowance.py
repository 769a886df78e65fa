"""Tokens that a router may use without a quota request, and tokens that it prefetches."""

from __future__ import annotations

from firvane.fleet.configuration.routes import Tenant
from firvane.fleet.tenancy.allowance import PREFETCH_TIME_S, REFUND_LIFETIME_S, Allowances, request_cost
from firvane.fleet.tenancy.quota import PREFETCH_LIFETIME_S


def test_requests_or_tokens_are_counted() -> None:
    assert request_cost(Tenant("t"), 5_000) == 1
    assert request_cost(Tenant("t", counts_tokens=True, uncached_tokens=200), 5_000) == 5_000
    assert request_cost(Tenant("t", counts_tokens=True, uncached_tokens=200), None) == 200


def test_nothing_is_prefetched_for_a_tenant_with_few_requests() -> None:
    allowances = Allowances()
    for index in range(5):
        assert not allowances.take("t", 1_000, index * 3.0)
        assert allowances.prefetch("t", 1_000) == 0


def test_the_next_half_second_is_prefetched_for_a_busy_tenant() -> None:
    allowances = Allowances()
    for index in range(400):
        allowances.take("t", 100, index * 0.01)
    prefetch = allowances.prefetch("t", 100)
    assert 0.7 * PREFETCH_TIME_S * 10_000 < prefetch < 1.1 * PREFETCH_TIME_S * 10_000


def test_the_lifetime_of_prefetched_tokens_starts_at_the_quota_request() -> None:
    allowances = Allowances()
    allowances.take("t", 10, 0.0)
    allowances.record_grant("t", 30, 0, 0.0)
    assert allowances.take("t", 10, PREFETCH_LIFETIME_S - 0.01)
    assert not allowances.take("t", 10, PREFETCH_LIFETIME_S)


def test_refunded_tokens_expire_after_a_short_time() -> None:
    allowances = Allowances()
    assert not allowances.take("t", 10, 0.0)
    allowances.refund("t", 10, 0.0)
    assert allowances.take("t", 10, REFUND_LIFETIME_S / 2)
    allowances.refund("t", 10, 1.0)
    allowances.refund("t", 10, 1.0 + REFUND_LIFETIME_S / 2)  # does not extend the lifetime
    assert not allowances.take("t", 10, 1.0 + REFUND_LIFETIME_S)


def test_the_use_of_a_retry_is_reported_until_a_quota_request_is_answered() -> None:
    allowances = Allowances()
    allowances.charge("t", 70)
    assert allowances.spent("t") == 70
    allowances.charge("t", 5)
    allowances.record_grant("t", 0, 70, 1.0)
    assert allowances.spent("t") == 5


def test_idle_tenants_are_removed_unless_they_have_unreported_use() -> None:
    allowances = Allowances()
    allowances.take("idle", 10, 0.0)
    allowances.take("owes", 10, 0.0)
    allowances.charge("owes", 10)
    allowances.forget_idle(100.0)
    assert list(allowances._uses) == ["owes"]
