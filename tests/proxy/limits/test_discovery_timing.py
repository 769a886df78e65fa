"""Tests of when a proxy requests its list: free requests repeat soon, polls of a fleet are spread."""

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

RATE, WAIT = 8.0, 2.0  # requests a second that one service answers; s until a queued request fails


def answer_times(fleet: list[DiscoveryBackoff], known: bool, until: float) -> list[float]:
    """Return when each proxy was answered: one service, one queue, in which failed requests stay."""
    calls = [(backoff.first_delay(known), i) for i, backoff in enumerate(fleet)]
    heapq.heapify(calls)
    service_free_at, answered_at = 0.0, list[float]()
    while calls and calls[0][0] < until:
        at, i = heapq.heappop(calls)
        service_free_at = max(service_free_at, at) + 1.0 / RATE
        if service_free_at <= at + WAIT:
            answered_at.append(service_free_at)
        else:
            heapq.heappush(calls, (at + WAIT + fleet[i].next_delay(), i))
    return answered_at


@pytest.mark.parametrize("seed", range(5))
def test_all_proxies_of_a_fleet_that_starts_together_are_answered(seed: int) -> None:
    # Forty proxies that called together, and again after 0.1 to 1 s, kept one service busy with requests that
    # had failed by the time they were answered: no restarted proxy had the new list within 12 s.
    spread = answer_times(
        [DiscoveryBackoff(40, random.Random(100 * seed + i)) for i in range(40)], True, 25.0
    )
    assert len(spread) == 40 and max(spread) < 10.0
    at_once = answer_times([DiscoveryBackoff(0, random.Random(i)) for i in range(40)], True, 25.0)
    assert len(at_once) < 25


@settings(derandomize=True, max_examples=50)
@given(st.integers(2, 2000), st.integers(0, 2**32), st.integers(1, 12))
def test_backoffs_grow_to_a_bound_and_are_jittered(fleet: int, seed: int, failures: int) -> None:
    one, other = (
        DiscoveryBackoff(fleet, random.Random(seed)),
        DiscoveryBackoff(fleet, random.Random(seed + 1)),
    )
    delays, other_delays = ([p.next_delay() for _ in range(failures)] for p in (one, other))
    assert all(x <= max(MAX_SPREAD_S, one.span) for x in delays) and delays != other_delays
    one.reset()
    assert one.next_delay() <= one.span


def test_a_free_request_is_made_at_once_and_repeated_soon() -> None:
    free = DiscoveryBackoff(0, random.Random(1))
    assert free.first_delay(True) == free.first_delay(False) == 0.0
    # What the agent has binds whether a watch is open or not: no backoff may exceed the shortest grace time.
    assert (
        [free.next_delay() for _ in range(4)]
        == [FIRST_BACKOFF_S, MAX_BACKOFF_S, MAX_BACKOFF_S, MAX_BACKOFF_S]
        == [0.1, *3 * [0.2]]
    )
    free.reset()
    assert free.next_delay() == FIRST_BACKOFF_S


def test_after_a_timeout_a_free_request_is_repeated_at_once_and_a_polled_one_is_not() -> None:
    free, polled = DiscoveryBackoff(0, random.Random(1)), DiscoveryBackoff(40, random.Random(1))
    assert [free.next_delay(timed_out=True) for _ in range(3)] == [0.0] * 3
    assert min(polled.next_delay(timed_out=True) for _ in range(3)) >= polled.span / 2 == MAX_SPREAD_S / 2


LINE_INTERVAL_S, BINDING_DELAY_S = 2.0, 6.0  # from one line to the next; until a missed change binds


def test_a_change_missed_by_silent_watches_is_received_before_it_binds() -> None:
    # The worst case: silent right after a line; then requests that get a response head at the most.
    for has_begun in (False, True):
        free, now = DiscoveryBackoff(0, random.Random(1)), 0.0
        now = free.times_out_at(WatchProgress(0.0, 0.0, 0.0, now)) + SETTLE_DELAY_S
        calls = 0
        while now < BINDING_DELAY_S:
            calls += 1
            progress = WatchProgress(now, now, now if has_begun else None, None)
            now = free.times_out_at(progress) + SETTLE_DELAY_S
            free.on_timeout(progress)
            now += free.next_delay(timed_out=True)
        assert calls >= (3 if has_begun else 6)


def test_the_stall_timeout_doubles_after_each_response_that_stalls() -> None:
    free, timeouts = DiscoveryBackoff(0, random.Random(1)), []
    for _ in range(7):
        progress = WatchProgress(10.0, 10.5, 11.0, None)
        timeouts.append(round(free.times_out_at(progress) - 11.0, 6))
        free.on_timeout(progress)
    # At most 4.5 s after the request, whatever trickles in.
    assert timeouts == [0.2, 0.4, 0.8, 1.6, 3.2, 4.0, 4.0]
    free.on_timeout(WatchProgress(10.0, 10.5, None, None))
    free.reset()
    assert free.times_out_at(WatchProgress(10.0, 10.5, 11.0, None)) == 11.2


@pytest.mark.parametrize(("requested_at", "last_byte_at"), [(None, None), (12.0, None), (12.0, 13.0)])
def test_a_polled_request_may_wait_in_the_queue_for_the_watch_timeout(
    requested_at: float | None, last_byte_at: float | None
) -> None:
    polled = DiscoveryBackoff(40, random.Random(1))
    assert (
        polled.times_out_at(WatchProgress(10.0, requested_at, last_byte_at, None)) == 10.0 + WATCH_TIMEOUT_S
    )


def test_the_watch_timeout_is_the_same_for_pushed_and_polled_lists() -> None:
    for fleet in (0, 40):
        assert (
            DiscoveryBackoff(fleet, random.Random(1)).times_out_at(WatchProgress(0.0, 0.1, 9.0, 7.0))
            == 7.0 + WATCH_TIMEOUT_S
        )
    assert 2 * LINE_INTERVAL_S < WATCH_TIMEOUT_S < BINDING_DELAY_S - 1.0


@settings(derandomize=True, max_examples=300)
@given(
    st.integers(2, 300),
    st.integers(0, 2**32),
    st.floats(0.0, 60.0),
    st.lists(st.sampled_from(["refused", "queued", "silent"]), min_size=1, max_size=4),
)
def test_a_change_is_received_before_it_binds_however_long_discovery_was_down(
    fleet: int, seed: int, returns_at: float, modes: list[str]
) -> None:
    """Each request until discovery's return fails in one of these ways, also one pending then; the first one
    after it is answered. A silence leaves no time for the requests of more than ten proxies."""
    backoff, now, n = DiscoveryBackoff(fleet, random.Random(seed)), 0.0, 0
    assert backoff.first_delay(known=True) <= BINDING_DELAY_S / 2
    modes = [mode for mode in modes if mode != "silent" or fleet <= 10] or ["queued"]
    while now <= returns_at:
        mode, n = modes[n % len(modes)], n + 1
        progress = WatchProgress(now, now, None, None)
        now = {
            "refused": now,
            "queued": now + WAIT,
            "silent": backoff.times_out_at(progress) + SETTLE_DELAY_S,
        }[mode]
        now += backoff.next_delay(timed_out=mode == "silent")
    assert now < returns_at + BINDING_DELAY_S, n


def test_a_proxy_without_a_list_requests_one_at_once() -> None:
    assert DiscoveryBackoff(40, random.Random(1)).first_delay(False) == 0.0
