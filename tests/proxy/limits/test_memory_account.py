"""The account and its leases: nothing is lost, nothing waits for ever; descriptors keep their floors."""

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


def test_pressure_comes_at_the_high_mark_and_goes_at_the_low_one() -> None:
    account = MemoryAccount(1000)
    seen = []
    for size in (800, 49, 1, -100, -49, -1):  # up to 850, down to 700
        account.charge(MemoryUse.FLOWS, size)
        seen.append(account.under_pressure)
    assert seen == [False, False, True, True, True, False]
    assert account.peak == 850 and account.bytes_by_use[MemoryUse.FLOWS] == account.used_bytes == 700
    with pytest.raises(ValueError, match="watermarks"):
        MemoryAccount(1000, high=0.5, low=0.6)


@seeded
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=60), st.integers(1, 4))
def test_leases_never_exceed_their_room_and_pass_on_in_order(
    steps: list[tuple[bool, int]], places: int
) -> None:
    leases, granted = BodyLeases(places * 10, 10), list[int]()
    waiting = list[int]()
    for asks, owner in steps:
        if asks and not leases.request(owner, lambda owner=owner: granted.append(owner)):
            if owner not in waiting:
                waiting.append(owner)
        elif not asks:
            before = len(granted)
            held = owner in leases.holders
            leases.release(owner)
            if owner in waiting:
                waiting.remove(owner)
            if held and waiting:  # the next in line has it now, and was told so
                assert granted[before:] == [waiting.pop(0)]
        assert len(leases.holders) + leases.free == places and list(leases.queue) == waiting
        assert not (leases.free and waiting)  # none waits beside room


@seeded
@given(
    st.integers(MIN_DESCRIPTORS, 2000),
    st.lists(st.tuples(st.sampled_from(list(Use)), st.booleans()), max_size=300),
)
def test_no_use_of_descriptors_eats_into_the_floor_of_another(
    total: int, steps: list[tuple[Use, bool]]
) -> None:
    made = Descriptors(total)
    for use, takes in steps:
        if takes:
            made.lease(use)
        elif made.open[use] > made.floor[use] // 2:
            made.release(use)
        spoken = sum(max(made.open[other], made.floor[other]) for other in Use)
        assert spoken <= total  # each can still have its floor
    for use in Use:
        while made.lease(use):
            pass
        assert made.open[use] >= made.floor[use] and not made.lease(use)
    assert sum(made.open.values()) == total


def test_what_was_never_leased_cannot_be_given_back() -> None:
    made = Descriptors(100)
    with pytest.raises(ValueError, match="never leased"):
        made.release(Use.PEERS)
    while made.free(Use.CLIENTS):
        assert made.count(Use.CLIENTS)
    assert made.usage(Use.CLIENTS) == 1.0 and not made.count(Use.CLIENTS)  # it is open all the same


@pytest.mark.parametrize(
    ("memory", "sockets", "cores", "word"),
    [(8, 1024, 1.0, "memory_mb"), (64, 63, 1.0, "sockets"), (64, 256, 0.0, "cores")],
)
def test_limits_that_hold_no_proxy_are_refused_with_the_mend(
    memory: float, sockets: int, cores: float, word: str
) -> None:
    with pytest.raises(ValueError, match=rf"{word}.*(at least|give)"):
        derive(memory, sockets, cores)


@seeded
@given(st.integers(32, 4096), st.integers(MIN_DESCRIPTORS, 20_000))
def test_what_follows_from_the_limits_fits_into_them(memory: int, sockets: int) -> None:
    bounds = derive(memory, sockets, 1.0)
    assert 0 < bounds.clients < bounds.sockets <= max(MIN_DESCRIPTORS, sockets)
    held = (
        bounds.sockets * IDLE_TARGET_BYTES
        + bounds.bodies
        + bounds.flows * FLOW_BYTES
        + bounds.backends * BACKEND_BYTES
    )
    assert held <= bounds.memory < memory * MB


def test_a_sender_beyond_its_rate_is_dropped_and_only_so_many_are_remembered() -> None:
    rates = TokenBuckets(10.0, 3.0, senders=2)
    assert [rates.allow("a", 1.0) for _ in range(4)] == [True, True, True, False]
    assert rates.allow("b", 1.0) and rates.allow("a", 1.1) and not rates.allow("a", 1.1)
    assert rates.allow("c", 1.1) and len(rates.buckets) == 2 and rates.dropped == 2
