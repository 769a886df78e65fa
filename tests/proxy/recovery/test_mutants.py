"""Each promise of a recovery broken on purpose, and the test that catches it."""

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
    """One way to break it: whose, which, and what takes its place."""

    name: str
    owner: Any
    attribute: str
    instead: Any
    caught_by: Callable[[], None]


def grows(server: Backend, *more: Any) -> None:
    """Room grows with each answer, whatever it says."""
    server.stepped_capacity += 1.0


def writes(path: Path, data: bytes) -> None:
    """In place, as one would at first."""
    Path(path).write_bytes(data)


def any_is_warm(self: PeerReports, now: float, asked: int) -> int:
    return sum(report.state.is_warm for report in self.fresh(now))


def cut() -> None:
    test_steps.test_what_cuts_a_room_does_so_once_for_all_that_was_out_together(
        api.Result.OVERLOADED, 0.01, 4.8
    )


def failing_write() -> None:
    import tempfile

    caught_by = test_snapshots.test_a_write_that_fails_is_one_line_and_leaves_the_file
    with tempfile.TemporaryDirectory() as folder, pytest.MonkeyPatch.context() as patch:
        caught_by("read-only", Path(folder), patch)


def known(self: Recovery, server: Backend, now: float) -> bool:
    """Whatever has answered is as in ordinary times."""
    return server in self.responding_since


back = test_histories.many_histories
MUTANTS = (
    Mutant("no cut", steps, "_cut", lambda *more: None, cut),
    Mutant("boundless growth", steps, "on_attempt_ended", grows, back),
    Mutant("a room as remembered", Recovery, "_first_capacity", lambda self, server: 1e4, back),
    Mutant("all try a box", Recovery, "is_blocked", lambda *more: None,
           test_small_fleet.test_each_box_is_tried_by_one_proxy_while_none_answers),
    Mutant("trials too rare", recovery, "TRIAL_INTERVAL_S", (5.0, 6.0),
           test_small_fleet.test_each_box_is_tried_by_one_proxy_while_none_answers),
    Mutant("the highest scale", peers, "median", max,
           test_peers.test_a_third_of_liars_moves_the_scale_no_further_than_honest_peers),
    Mutant("one warm peer is enough", PeerReports, "count_warm", any_is_warm,
           test_peers.test_peers_are_warm_when_most_say_so_and_have_had_answers),
    Mutant("answers without a rate", PeerReports, "may_answer", lambda self, now: True,
           test_peers.test_a_question_is_answered_within_a_rate),
    Mutant("a pace that stays", steps, "decay_pace", lambda server: None,
           test_steps.test_work_that_would_take_more_than_its_aim_is_not_sent),
    Mutant("an answer shows that a box is warm", Recovery, "_is_old", known, back),
    Mutant("a table without an end", TRANSITIONS, RecoveryState.GROWING.value,
           {RecoveryEvent.ENDPOINTS_LOST: RecoveryState.NO_ENDPOINTS}, back),
    Mutant("a checksum that says nothing", checksum.google_crc32c, "value", lambda data: 0,
           test_snapshots.test_whatever_is_cut_flipped_or_added_is_refused_in_one_line),
    Mutant("written in place", file, "write_atomically", writes, failing_write),
    Mutant("nothing ages", types, "CAPACITY_HALF_LIFE_S", 1e18,
           lambda: test_snapshots.test_each_field_is_read_back_as_the_table_says(600.0, None, 8.0)),
)  # fmt: skip


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_a_broken_promise_is_caught(mutant: Mutant, monkeypatch: pytest.MonkeyPatch) -> None:
    if isinstance(mutant.owner, dict):
        monkeypatch.setitem(mutant.owner, RecoveryState(mutant.attribute), mutant.instead)
    else:
        monkeypatch.setattr(mutant.owner, mutant.attribute, mutant.instead)
    with pytest.raises((AssertionError, Failed)):
        mutant.caught_by()
