"""The leader's handling of rejections and acknowledgements while a large message is in flight."""

from __future__ import annotations

from firvane.fleet.replication.progress import LARGE_MESSAGE_BYTES, Progress
from firvane.fleet.replication.types import Member


def new_progress() -> Progress:
    return Progress(Member(("10.0.0.1", 7300), 1), next_index=12, last_reply_at=0.0)


def test_a_rejection_due_to_a_large_message_in_flight_is_ignored() -> None:
    peer = new_progress()
    peer.on_entries_sent(10, LARGE_MESSAGE_BYTES + 22, now=1.0)
    # A heartbeat overtook the message: the follower has entries up to 9, and 10 and 11 are in flight.
    assert not peer.should_backtrack(9, now=1.01)
    assert peer.should_backtrack(9, now=2.0)


def test_a_rejection_of_the_large_message_itself_backtracks_at_once() -> None:
    """Guards against a follower with entries of an earlier term that never catches up.

    Its rejection of the large message (an earlier entry conflicts) arrived before `resend_after` and was
    ignored. The rejection of the next heartbeat then made the leader send the same message again, endlessly.
    """
    peer = new_progress()
    peer.on_entries_sent(10, LARGE_MESSAGE_BYTES + 22, now=1.0)
    assert peer.should_backtrack(7, now=1.004)
    peer.on_rejected(7)
    assert peer.next_index == 8


def test_unacknowledged_snapshots_are_resent_with_bounded_backoff() -> None:
    peer = new_progress()
    timeouts = []
    now = 1.0
    for _ in range(6):
        peer.on_snapshot_sent(40, 5_000_000, now)
        timeouts.append(round(peer.resend_after - now, 2))
        now = peer.resend_after
    assert timeouts == [1.05, 2.1, 4.2, 8.4, 8.4, 8.4]
    peer.on_accepted(40, 40)
    peer.on_snapshot_sent(90, 5_000_000, now)
    assert round(peer.resend_after - now, 2) == 1.05


def test_an_acknowledgement_without_progress_keeps_the_backoff() -> None:
    peer = new_progress()
    peer.on_accepted(11, 11)
    peer.on_snapshot_sent(40, 1_000, 1.0)
    peer.on_accepted(11, 11)
    peer.on_snapshot_sent(40, 1_000, 2.0)
    assert round(peer.resend_after - 2.0, 4) == 0.1004
