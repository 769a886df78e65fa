"""How often lost members are probed."""

from __future__ import annotations

import itertools
import random

from firvane.fleet.membership.failed_members import LIFETIME, MAX_LOST, MAX_PAUSE, MIN_INTERVAL, LostMembers


def play(lost: LostMembers, begin: float, end: float) -> list[tuple[float, tuple[str, int]]]:
    """What is probed when, if each deadline is kept."""
    probed = []
    while (now := max(lost.deadline(), begin)) < end:
        address = lost.take(now)
        if address is not None:
            probed.append((now, address))
    return probed


def test_pauses_grow_to_a_bound_and_end() -> None:
    lost = LostMembers(random.Random(1))
    lost.add(("10.0.0.1", 1), 0.0)
    times = [when for when, _ in play(lost, 0.0, 2 * LIFETIME)]
    pauses = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert pauses[0] < 2 and max(pauses) <= MAX_PAUSE * 1.25
    assert LIFETIME - 10 < times[-1] < LIFETIME + 10
    assert lost.deadline() == float("inf")


def test_many_lost_members_are_probed_at_a_bounded_rate_and_all() -> None:
    lost = LostMembers(random.Random(1))
    for number in range(100):
        lost.add((f"10.0.0.{number}", 1), 0.0)
    probed = play(lost, 0.0, 30.0)
    assert len(probed) <= 30.0 / MIN_INTERVAL + 1
    assert len({address for _, address in probed}) == 100


def test_a_member_that_is_back_is_not_probed() -> None:
    lost = LostMembers(random.Random(1))
    lost.add(("10.0.0.1", 1), 0.0)
    lost.discard(("10.0.0.1", 1))
    assert lost.deadline() == float("inf")
    assert lost.take(100.0) is None


def test_the_number_of_addresses_is_bounded() -> None:
    lost = LostMembers(random.Random(1))
    for number in range(MAX_LOST + 5):
        lost.add((f"10.0.{number // 250}.{number % 250}", 1), float(number))
    probed = {address for _, address in play(lost, 2000.0, 2000.0 + MAX_LOST * MIN_INTERVAL * 2)}
    assert ("10.0.0.0", 1) not in probed and ("10.0.0.5", 1) in probed
