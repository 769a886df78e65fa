"""The intervals at which failed members are probed."""

from __future__ import annotations

import itertools
import random

from firvane.fleet.membership.failed_members import (
    FAILED_MEMBER_LIFETIME_S,
    MAX_BACKOFF_S,
    MAX_FAILED_MEMBERS,
    MIN_PROBE_INTERVAL_S,
    FailedMembers,
)


def probes_between(failed: FailedMembers, begin: float, end: float) -> list[tuple[float, tuple[str, int]]]:
    """Return the times and addresses of all probes, if each deadline is met."""
    probed = []
    while (now := max(failed.deadline(), begin)) < end:
        address = failed.next_probe_target(now)
        if address is not None:
            probed.append((now, address))
    return probed


def test_the_backoff_grows_to_its_maximum_and_probing_ends() -> None:
    failed = FailedMembers(random.Random(1))
    failed.add(("10.0.0.1", 1), 0.0)
    times = [when for when, _ in probes_between(failed, 0.0, 2 * FAILED_MEMBER_LIFETIME_S)]
    intervals = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert intervals[0] < 2 and max(intervals) <= MAX_BACKOFF_S * 1.25
    assert FAILED_MEMBER_LIFETIME_S - 10 < times[-1] < FAILED_MEMBER_LIFETIME_S + 10
    assert failed.deadline() == float("inf")


def test_many_failed_members_are_all_probed_at_a_bounded_rate() -> None:
    failed = FailedMembers(random.Random(1))
    for number in range(100):
        failed.add((f"10.0.0.{number}", 1), 0.0)
    probed = probes_between(failed, 0.0, 30.0)
    assert len(probed) <= 30.0 / MIN_PROBE_INTERVAL_S + 1
    assert len({address for _, address in probed}) == 100


def test_a_discarded_member_is_not_probed() -> None:
    failed = FailedMembers(random.Random(1))
    failed.add(("10.0.0.1", 1), 0.0)
    failed.discard(("10.0.0.1", 1))
    assert failed.deadline() == float("inf")
    assert failed.next_probe_target(100.0) is None


def test_the_number_of_addresses_is_bounded() -> None:
    failed = FailedMembers(random.Random(1))
    for number in range(MAX_FAILED_MEMBERS + 5):
        failed.add((f"10.0.{number // 250}.{number % 250}", 1), float(number))
    probed = {
        address
        for _, address in probes_between(
            failed, 2000.0, 2000.0 + MAX_FAILED_MEMBERS * MIN_PROBE_INTERVAL_S * 2
        )
    }
    assert ("10.0.0.0", 1) not in probed and ("10.0.0.5", 1) in probed
