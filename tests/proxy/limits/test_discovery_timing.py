"""Calls for the list: free ones soon again, a fleet's calls to one service spread and backed off."""

from __future__ import annotations

import heapq
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.proxy.limits.discovery_timing import FIRST, LONGEST, MOST, SILENCE, Heard, Pauses
from firvane.proxy.net.target_group import SETTLE_DELAY_S

RATE, WAIT = 8.0, 2.0  # calls a second that one service answers; s after which one that waits there fails


def answered(fleet: list[Pauses], known: bool, until: float) -> list[float]:
    """When each proxy that was answered was: one service, one queue; who gave up is served all the same."""
    calls = [(pauses.before_first(known), i) for i, pauses in enumerate(fleet)]
    heapq.heapify(calls)
    free, ends = 0.0, list[float]()
    while calls and calls[0][0] < until:
        at, i = heapq.heappop(calls)
        free = max(free, at) + 1.0 / RATE
        if free <= at + WAIT:
            ends.append(free)
        else:
            heapq.heappush(calls, (at + WAIT + fleet[i].before_next(), i))
    return ends


@pytest.mark.parametrize("seed", range(5))
def test_a_fleet_that_starts_together_is_answered_whole(seed: int) -> None:
    # Forty proxies that called as one, and again after 0.1 to 1 s, kept one service busy with calls that had
    # failed by the time they were answered: none of those restarted had the new list within 12 s.
    spread = answered([Pauses(40, random.Random(100 * seed + i)) for i in range(40)], True, 25.0)
    assert len(spread) == 40 and max(spread) < 10.0
    at_once = answered([Pauses(0, random.Random(i)) for i in range(40)], True, 25.0)
    assert len(at_once) < 25


@settings(derandomize=True, max_examples=50)
@given(st.integers(2, 2000), st.integers(0, 2**32), st.integers(1, 12))
def test_pauses_grow_to_a_bound_and_are_drawn(fleet: int, seed: int, failures: int) -> None:
    one, other = Pauses(fleet, random.Random(seed)), Pauses(fleet, random.Random(seed + 1))
    mine, theirs = ([p.before_next() for _ in range(failures)] for p in (one, other))
    assert all(x <= max(MOST, one.span) for x in mine) and mine != theirs
    one.told()
    assert one.before_next() <= one.span


def test_a_free_call_is_made_at_once_and_soon_again() -> None:
    free = Pauses(0, random.Random(1))
    assert free.before_first(True) == free.before_first(False) == 0.0
    # What the agent has binds whether a watch is open or not: no pause may outlast the shortest of graces.
    assert [free.before_next() for _ in range(4)] == [FIRST, LONGEST, LONGEST, LONGEST] == [0.1, *3 * [0.2]]
    free.told()
    assert free.before_next() == FIRST


def test_after_a_silence_a_free_call_is_made_at_once_and_a_costly_one_is_not() -> None:
    free, costly = Pauses(0, random.Random(1)), Pauses(40, random.Random(1))
    assert [free.before_next(silent=True) for _ in range(3)] == [0.0] * 3
    assert min(costly.before_next(silent=True) for _ in range(3)) >= costly.span / 2 == MOST / 2


FELL, BINDS = 2.0, 6.0  # s from one line to the next; until what a silent watch misses binds


def test_what_a_silent_watch_misses_is_heard_before_it_binds_though_more_fall_silent_after_it() -> None:
    # The worst: silent right after a line; then calls that bring a head and nothing more, or not even that.
    for begun in (False, True):
        free, now = Pauses(0, random.Random(1)), 0.0
        now = free.silent_at(Heard(0.0, 0.0, 0.0, now)) + SETTLE_DELAY_S
        calls = 0
        while now < BINDS:
            calls += 1
            heard = Heard(now, now, now if begun else None, None)
            now = free.silent_at(heard) + SETTLE_DELAY_S
            free.gave_up(heard)
            now += free.before_next(silent=True)
        assert calls >= (3 if begun else 6)


def test_an_answer_that_began_is_given_twice_the_time_after_each_that_stopped() -> None:
    free, given = Pauses(0, random.Random(1)), []
    for _ in range(7):
        heard = Heard(10.0, 10.5, 11.0, None)
        given.append(round(free.silent_at(heard) - 11.0, 6))
        free.gave_up(heard)
    assert given == [0.2, 0.4, 0.8, 1.6, 3.2, 4.0, 4.0]  # 4.5 s after it was asked, whatever trickles in
    free.gave_up(Heard(10.0, 10.5, None, None))
    free.told()
    assert free.silent_at(Heard(10.0, 10.5, 11.0, None)) == 11.2


@pytest.mark.parametrize(("asked", "byte"), [(None, None), (12.0, None), (12.0, 13.0)])
def test_a_costly_call_may_wait_in_the_queue_as_long_as_ever(asked: float | None, byte: float | None) -> None:
    costly = Pauses(40, random.Random(1))
    assert costly.silent_at(Heard(10.0, asked, byte, None)) == 10.0 + SILENCE


def test_silence_is_told_by_one_clock_however_the_list_comes() -> None:
    for fleet in (0, 40):
        assert Pauses(fleet, random.Random(1)).silent_at(Heard(0.0, 0.1, 9.0, 7.0)) == 7.0 + SILENCE
    assert 2 * FELL < SILENCE < BINDS - 1.0


@settings(derandomize=True, max_examples=300)
@given(
    st.integers(2, 300),
    st.integers(0, 2**32),
    st.floats(0.0, 60.0),
    st.lists(st.sampled_from(["refused", "queued", "silent"]), min_size=1, max_size=4),
)
def test_what_discovery_has_is_heard_before_it_binds_however_long_it_was_away(
    fleet: int, seed: int, back: float, ways: list[str]
) -> None:
    """Each call until discovery's return fails in one of these ways, also one that is out then; the first
    after it is answered. A silence leaves no time for the calls of more than ten proxies."""
    pauses, now, n = Pauses(fleet, random.Random(seed)), 0.0, 0
    assert pauses.before_first(known=True) <= BINDS / 2
    ways = [way for way in ways if way != "silent" or fleet <= 10] or ["queued"]
    while now <= back:
        way, n = ways[n % len(ways)], n + 1
        heard = Heard(now, now, None, None)
        now = {"refused": now, "queued": now + WAIT, "silent": pauses.silent_at(heard) + SETTLE_DELAY_S}[way]
        now += pauses.before_next(silent=way == "silent")
    assert now < back + BINDS, n


def test_who_knows_no_list_calls_at_once() -> None:
    assert Pauses(40, random.Random(1)).before_first(False) == 0.0
