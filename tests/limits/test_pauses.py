"""Calls for the list: free ones soon again, a fleet's calls to one service spread and backed off."""

from __future__ import annotations

import heapq
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.limits.pauses import FIRST, LONGEST, MOST, Pauses

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
    assert [free.before_next() for _ in range(6)] == [FIRST, 0.2, 0.4, 0.8, LONGEST, LONGEST]
    free.told()
    assert free.before_next() == FIRST


def test_who_knows_no_list_calls_at_once() -> None:
    assert Pauses(40, random.Random(1)).before_first(False) == 0.0
