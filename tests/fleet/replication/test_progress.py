"""What a leader concludes from a follower's refusals while a large message is on its way."""

from __future__ import annotations

from firvane.fleet.replication.progress import LARGE_MESSAGE_BYTES, Progress
from firvane.fleet.replication.types import Member


def progress() -> Progress:
    return Progress(Member(("10.0.0.1", 7300), 1), next_index=12, last_reply_at=0.0)


def test_a_refusal_that_a_large_message_will_have_answered_is_passed_over() -> None:
    peer = progress()
    peer.on_entries_sent(10, LARGE_MESSAGE_BYTES + 22, now=1.0)
    # A heartbeat passed it: the follower has entries up to 9, and 10 and 11 are on their way.
    assert not peer.should_backtrack(9, now=1.01)
    assert peer.should_backtrack(9, now=2.0)


def test_a_refusal_of_the_large_message_itself_is_heeded_at_once() -> None:
    """Found on a hunted day: a follower with entries of an earlier term was never brought back.

    Its refusal of the message (an earlier entry differs) came within the patience for the message, and the
    next heartbeat's refusal asked for the same message again, without an end.
    """
    peer = progress()
    peer.on_entries_sent(10, LARGE_MESSAGE_BYTES + 22, now=1.0)
    assert peer.should_backtrack(7, now=1.004)
    peer.on_rejected(7)
    assert peer.next_index == 8


def test_snapshots_in_vain_are_sent_more_and_more_rarely_but_never_given_up() -> None:
    peer = progress()
    waits = []
    now = 1.0
    for _ in range(6):
        peer.on_snapshot_sent(40, 5_000_000, now)
        waits.append(round(peer.resend_after - now, 2))
        now = peer.resend_after
    assert waits == [1.05, 2.1, 4.2, 8.4, 8.4, 8.4]
    peer.on_accepted(40, 40)
    peer.on_snapshot_sent(90, 5_000_000, now)
    assert round(peer.resend_after - now, 2) == 1.05


def test_an_acknowledgement_that_tells_nothing_new_leaves_the_patience_as_it_is() -> None:
    peer = progress()
    peer.on_accepted(11, 11)
    peer.on_snapshot_sent(40, 1_000, 1.0)
    peer.on_accepted(11, 11)
    peer.on_snapshot_sent(40, 1_000, 2.0)
    assert round(peer.resend_after - 2.0, 4) == 0.1004
