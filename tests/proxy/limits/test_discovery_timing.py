"""Calls for the list: free ones soon again, a fleet's calls to one service spread and backed off."""

from __future__ import annotations

import heapq
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.proxy.limits.discovery_timing import (
    FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_SPREAD_S,
    WATCH_TIMEOUT_S,
    DiscoveryBackoff,
    WatchProgress,
)
from firvane.proxy.net.target_group import SETTLE_DELAY_S

RATE, WAIT = 8.0, 2.0  # calls a second that one service answers; s after which one that waits there fails


def answered(fleet: list[DiscoveryBackoff], known: bool, until: float) -> list[float]:
    """When each proxy that was answered was: one service, one queue; who gave up is served all the same."""
    calls = [(backoff.first_delay(known), i) for i, backoff in enumerate(fleet)]
    heapq.heapify(calls)
    free, ends = 0.0, list[float]()
    while calls and calls[0][0] < until:
        at, i = heapq.heappop(calls)
        free = max(free, at) + 1.0 / RATE
        if free <= at + WAIT:
            ends.append(free)
        else:
            heapq.heappush(calls, (at + WAIT + fleet[i].next_delay(), i))
    return ends


@pytest.mark.parametrize("seed", range(5))
def test_a_fleet_that_starts_together_is_answered_whole(seed: int) -> None:
    # Forty proxies that called as one, and again after 0.1 to 1 s, kept one service busy with calls that had
    # failed by the time they were answered: none of those restarted had the new list within 12 s.
    spread = answered([DiscoveryBackoff(40, random.Random(100 * seed + i)) for i in range(40)], True, 25.0)
    assert len(spread) == 40 and max(spread) < 10.0
    at_once = answered([DiscoveryBackoff(0, random.Random(i)) for i in range(40)], True, 25.0)
    assert len(at_once) < 25


@settings(derandomize=True, max_examples=50)
@given(st.integers(2, 2000), st.integers(0, 2**32), st.integers(1, 12))
def test_pauses_grow_to_a_bound_and_are_drawn(fleet: int, seed: int, failures: int) -> None:
    one, other = (
        DiscoveryBackoff(fleet, random.Random(seed)),
        DiscoveryBackoff(fleet, random.Random(seed + 1)),
    )
    mine, theirs = ([p.next_delay() for _ in range(failures)] for p in (one, other))
    assert all(x <= max(MAX_SPREAD_S, one.span) for x in mine) and mine != theirs
    one.reset()
    assert one.next_delay() <= one.span


def test_a_free_call_is_made_at_once_and_soon_again() -> None:
    free = DiscoveryBackoff(0, random.Random(1))
    assert free.first_delay(True) == free.first_delay(False) == 0.0
    # What the agent has binds whether a watch is open or not: no pause may outlast the shortest of graces.
    assert (
        [free.next_delay() for _ in range(4)]
        == [FIRST_BACKOFF_S, MAX_BACKOFF_S, MAX_BACKOFF_S, MAX_BACKOFF_S]
        == [0.1, *3 * [0.2]]
    )
    free.reset()
    assert free.next_delay() == FIRST_BACKOFF_S


def test_after_a_silence_a_free_call_is_made_at_once_and_a_costly_one_is_not() -> None:
    free, costly = DiscoveryBackoff(0, random.Random(1)), DiscoveryBackoff(40, random.Random(1))
    assert [free.next_delay(timed_out=True) for _ in range(3)] == [0.0] * 3
    assert min(costly.next_delay(timed_out=True) for _ in range(3)) >= costly.span / 2 == MAX_SPREAD_S / 2


FELL, BINDS = 2.0, 6.0  # s from one line to the next; until what a silent watch misses binds


def test_what_a_silent_watch_misses_is_heard_before_it_binds_though_more_fall_silent_after_it() -> None:
    # The worst: silent right after a line; then calls that bring a head and nothing more, or not even that.
    for begun in (False, True):
        free, now = DiscoveryBackoff(0, random.Random(1)), 0.0
        now = free.times_out_at(WatchProgress(0.0, 0.0, 0.0, now)) + SETTLE_DELAY_S
        calls = 0
        while now < BINDS:
            calls += 1
            heard = WatchProgress(now, now, now if begun else None, None)
            now = free.times_out_at(heard) + SETTLE_DELAY_S
            free.on_timeout(heard)
            now += free.next_delay(timed_out=True)
        assert calls >= (3 if begun else 6)


def test_an_answer_that_began_is_given_twice_the_time_after_each_that_stopped() -> None:
    free, given = DiscoveryBackoff(0, random.Random(1)), []
    for _ in range(7):
        heard = WatchProgress(10.0, 10.5, 11.0, None)
        given.append(round(free.times_out_at(heard) - 11.0, 6))
        free.on_timeout(heard)
    assert given == [0.2, 0.4, 0.8, 1.6, 3.2, 4.0, 4.0]  # 4.5 s after it was asked, whatever trickles in
    free.on_timeout(WatchProgress(10.0, 10.5, None, None))
    free.reset()
    assert free.times_out_at(WatchProgress(10.0, 10.5, 11.0, None)) == 11.2


@pytest.mark.parametrize(("asked", "byte"), [(None, None), (12.0, None), (12.0, 13.0)])
def test_a_costly_call_may_wait_in_the_queue_as_long_as_ever(asked: float | None, byte: float | None) -> None:
    costly = DiscoveryBackoff(40, random.Random(1))
    assert costly.times_out_at(WatchProgress(10.0, asked, byte, None)) == 10.0 + WATCH_TIMEOUT_S


def test_silence_is_told_by_one_clock_however_the_list_comes() -> None:
    for fleet in (0, 40):
        assert (
            DiscoveryBackoff(fleet, random.Random(1)).times_out_at(WatchProgress(0.0, 0.1, 9.0, 7.0))
            == 7.0 + WATCH_TIMEOUT_S
        )
    assert 2 * FELL < WATCH_TIMEOUT_S < BINDS - 1.0


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
    backoff, now, n = DiscoveryBackoff(fleet, random.Random(seed)), 0.0, 0
    assert backoff.first_delay(known=True) <= BINDS / 2
    ways = [way for way in ways if way != "silent" or fleet <= 10] or ["queued"]
    while now <= back:
        way, n = ways[n % len(ways)], n + 1
        heard = WatchProgress(now, now, None, None)
        now = {"refused": now, "queued": now + WAIT, "silent": backoff.times_out_at(heard) + SETTLE_DELAY_S}[
            way
        ]
        now += backoff.next_delay(timed_out=way == "silent")
    assert now < back + BINDS, n


def test_who_knows_no_list_calls_at_once() -> None:
    assert DiscoveryBackoff(40, random.Random(1)).first_delay(False) == 0.0
