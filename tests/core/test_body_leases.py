"""Body leases: no unit is lost, the most urgent owner is first, and none waits if its units are free."""

from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from firvane.core.body_leases import BodyLeases

TOTAL = 20
CALLS = st.tuples(st.integers(0, 9), st.integers(1, TOTAL), st.integers(0, 2), st.booleans())


@given(st.lists(CALLS, max_size=80))
def test_units_are_neither_lost_nor_leased_twice(calls: list[tuple[int, int, int, bool]]) -> None:
    leases, granted = BodyLeases(TOTAL), list[int]()
    for owner, units, priority, is_request in calls:
        if is_request:
            leases.request(owner, partial(granted.append, owner), units, priority)
        else:
            leases.release(owner)
        assert leases.free + sum(leases.holders.values()) == TOTAL and leases.free >= 0
        assert not leases.holders.keys() & leases.queue.keys()
        if leases.queue:
            first = min(leases.queue.values(), key=lambda waiting: waiting.priority)
            assert first.units > leases.free  # the next owner waits only if its units are not free
    for owner in range(10):
        leases.release(owner)
    assert leases.free == TOTAL and not leases.queue


def test_a_waiting_owner_is_not_overtaken_by_a_smaller_request() -> None:
    # Guards against starvation of a large body by smaller ones of the same priority.
    leases, granted = BodyLeases(10), list[str]()
    assert leases.request("first", lambda: None, 8)
    assert not leases.request("long", lambda: granted.append("long"), 10)
    assert not leases.request("short", lambda: granted.append("short"), 1)
    leases.release("first")
    assert granted == ["long"]
    leases.release("long")
    assert granted == ["long", "short"]
