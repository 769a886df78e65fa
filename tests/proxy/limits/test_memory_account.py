"""Tests of the memory account, body leases, the descriptor budget, derived bounds and token buckets."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core.body_leases import BodyLeases
from firvane.proxy.limits.descriptors import MIN_DESCRIPTORS, Descriptors, Use
from firvane.proxy.limits.memory_account import MemoryAccount, MemoryUse
from firvane.proxy.limits.memory_costs import BACKEND_BYTES, FLOW_BYTES, IDLE_TARGET_BYTES, MB, derive
from firvane.proxy.limits.token_buckets import TokenBuckets
from tests.proxy.net.helpers import seeded


def test_pressure_is_set_at_the_high_watermark_and_cleared_at_the_low_one() -> None:
    account = MemoryAccount(1000)
    pressures = []
    for size in (800, 49, 1, -100, -49, -1):  # up to 850, down to 700
        account.charge(MemoryUse.FLOWS, size)
        pressures.append(account.under_pressure)
    assert pressures == [False, False, True, True, True, False]
    assert account.peak == 850 and account.bytes_by_use[MemoryUse.FLOWS] == account.used_bytes == 700
    with pytest.raises(ValueError, match="watermarks"):
        MemoryAccount(1000, high=0.5, low=0.6)


@seeded
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=60), st.integers(1, 4))
def test_leases_never_exceed_their_budget_and_are_granted_in_order(
    steps: list[tuple[bool, int]], places: int
) -> None:
    leases, granted = BodyLeases(places * 10, 10), list[int]()
    waiting = list[int]()
    for acquires, owner in steps:
        if acquires and not leases.request(owner, lambda owner=owner: granted.append(owner)):
            if owner not in waiting:
                waiting.append(owner)
        elif not acquires:
            before = len(granted)
            holds_lease = owner in leases.holders
            leases.release(owner)
            if owner in waiting:
                waiting.remove(owner)
            if holds_lease and waiting:  # the next in the queue has been granted it
                assert granted[before:] == [waiting.pop(0)]
        assert len(leases.holders) + leases.free == places and list(leases.queue) == waiting
        assert not (leases.free and waiting)  # none waits while a lease is free


@seeded
@given(
    st.integers(MIN_DESCRIPTORS, 2000),
    st.lists(st.tuples(st.sampled_from(list(Use)), st.booleans()), max_size=300),
)
def test_no_use_of_descriptors_takes_from_the_floor_of_another(
    total: int, steps: list[tuple[Use, bool]]
) -> None:
    descriptors = Descriptors(total)
    for use, acquires in steps:
        if acquires:
            descriptors.lease(use)
        elif descriptors.open[use] > descriptors.floor[use] // 2:
            descriptors.release(use)
        reserved = sum(max(descriptors.open[other], descriptors.floor[other]) for other in Use)
        assert reserved <= total  # each use can still reach its floor
    for use in Use:
        while descriptors.lease(use):
            pass
        assert descriptors.open[use] >= descriptors.floor[use] and not descriptors.lease(use)
    assert sum(descriptors.open.values()) == total


def test_a_descriptor_that_was_never_leased_cannot_be_released() -> None:
    descriptors = Descriptors(100)
    with pytest.raises(ValueError, match="never leased"):
        descriptors.release(Use.PEERS)
    while descriptors.free(Use.CLIENTS):
        assert descriptors.count(Use.CLIENTS)
    # An accepted connection beyond the limit is open nevertheless.
    assert descriptors.usage(Use.CLIENTS) == 1.0 and not descriptors.count(Use.CLIENTS)


@pytest.mark.parametrize(
    ("memory", "sockets", "cores", "setting"),
    [(8, 1024, 1.0, "memory_mb"), (64, 63, 1.0, "sockets"), (64, 256, 0.0, "cores")],
)
def test_limits_too_small_for_a_proxy_are_rejected_with_the_needed_value(
    memory: float, sockets: int, cores: float, setting: str
) -> None:
    with pytest.raises(ValueError, match=rf"{setting}.*(at least|give)"):
        derive(memory, sockets, cores)


@seeded
@given(st.integers(32, 4096), st.integers(MIN_DESCRIPTORS, 20_000))
def test_the_derived_bounds_fit_into_the_limits(memory: int, sockets: int) -> None:
    bounds = derive(memory, sockets, 1.0)
    assert 0 < bounds.clients < bounds.sockets <= max(MIN_DESCRIPTORS, sockets)
    used = (
        bounds.sockets * IDLE_TARGET_BYTES
        + bounds.bodies
        + bounds.flows * FLOW_BYTES
        + bounds.backends * BACKEND_BYTES
    )
    assert used <= bounds.memory < memory * MB


def test_messages_beyond_the_rate_are_dropped_and_the_number_of_senders_is_bounded() -> None:
    rates = TokenBuckets(10.0, 3.0, senders=2)
    assert [rates.allow("a", 1.0) for _ in range(4)] == [True, True, True, False]
    assert rates.allow("b", 1.0) and rates.allow("a", 1.1) and not rates.allow("a", 1.1)
    assert rates.allow("c", 1.1) and len(rates.buckets) == 2 and rates.dropped == 2
