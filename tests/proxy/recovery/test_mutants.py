"""Mutants of the recovery: each breaks one invariant, and a test must detect it."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from _pytest.outcomes import Failed

from firvane.core import checksum
from firvane.core import interface as api
from firvane.core.balancing.records import Backend
from firvane.proxy.recovery import peers, recovery, steps
from firvane.proxy.recovery.peers import PeerReports
from firvane.proxy.recovery.recovery import Recovery
from firvane.proxy.recovery.state_machine import TRANSITIONS, RecoveryEvent, RecoveryState
from firvane.proxy.snapshots import file, types
from tests.proxy.recovery import test_histories, test_peers, test_small_fleet, test_steps
from tests.proxy.snapshots import test_snapshots


class Mutant(NamedTuple):
    """A mutant: the owner and name of the replaced attribute, and the test that detects it."""

    name: str
    owner: Any
    attribute: str
    replacement: Any
    detected_by: Callable[[], None]


def grow_always(server: Backend, *more: Any) -> None:
    """Raise the capacity with each ended attempt, whatever its result."""
    server.stepped_capacity += 1.0


def write_in_place(path: Path, data: bytes) -> None:
    """Write a file in place."""
    Path(path).write_bytes(data)


def any_is_warm(self: PeerReports, now: float, asked: int) -> int:
    return sum(report.state.is_warm for report in self.fresh(now))


def cut() -> None:
    test_steps.test_attempts_that_fail_together_cut_the_capacity_once(api.Result.OVERLOADED, 0.01, 4.8)


def failing_write() -> None:
    import tempfile

    detected_by = test_snapshots.test_a_failed_write_logs_one_event_and_leaves_the_file
    with tempfile.TemporaryDirectory() as folder, pytest.MonkeyPatch.context() as patch:
        detected_by("read-only", Path(folder), patch)


def has_responded(self: Recovery, server: Backend, now: float) -> bool:
    """Treat every backend that has responded as warm."""
    return server in self.responding_since


many_histories = test_histories.many_histories
MUTANTS = (
    Mutant("no cut", steps, "_cut", lambda *more: None, cut),
    Mutant("boundless growth", steps, "on_attempt_ended", grow_always, many_histories),
    Mutant("a restored capacity without a bound", Recovery, "_first_capacity", lambda self, server: 1e4,
           many_histories),
    Mutant("all proxies try a backend", Recovery, "is_blocked", lambda *more: None,
           test_small_fleet.test_each_backend_is_tried_by_one_proxy_while_none_responds),
    Mutant("trials too rare", recovery, "TRIAL_INTERVAL_S", (5.0, 6.0),
           test_small_fleet.test_each_backend_is_tried_by_one_proxy_while_none_responds),
    Mutant("the highest scale", peers, "median", max,
           test_peers.test_a_minority_of_false_reports_keeps_the_scale_within_correct_ones),
    Mutant("one warm peer is enough", PeerReports, "count_warm", any_is_warm,
           test_peers.test_peers_are_warm_when_most_report_it_with_recent_responses),
    Mutant("replies without a rate limit", PeerReports, "may_answer", lambda self, now: True,
           test_peers.test_the_rate_of_replies_to_state_requests_is_limited),
    Mutant("a work pace that does not decay", steps, "decay_pace", lambda server: None,
           test_steps.test_a_request_expected_to_miss_its_latency_target_is_not_sent),
    Mutant("a response shows that a backend is warm", Recovery, "_is_old", has_responded, many_histories),
    Mutant("a state machine without an end", TRANSITIONS, RecoveryState.GROWING.value,
           {RecoveryEvent.ENDPOINTS_LOST: RecoveryState.NO_ENDPOINTS}, many_histories),
    Mutant("a constant checksum", checksum.google_crc32c, "value", lambda data: 0,
           test_snapshots.test_truncated_changed_or_extended_data_is_rejected_with_one_line),
    Mutant("written in place", file, "write_atomically", write_in_place, failing_write),
    Mutant("capacities do not age", types, "CAPACITY_HALF_LIFE_S", 1e18,
           lambda: test_snapshots.test_each_field_is_restored_as_the_rules_say(600.0, None, 8.0)),
)  # fmt: skip


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_a_mutant_is_detected(mutant: Mutant, monkeypatch: pytest.MonkeyPatch) -> None:
    if isinstance(mutant.owner, dict):
        monkeypatch.setitem(mutant.owner, RecoveryState(mutant.attribute), mutant.replacement)
    else:
        monkeypatch.setattr(mutant.owner, mutant.attribute, mutant.replacement)
    with pytest.raises((AssertionError, Failed)):
        mutant.detected_by()
