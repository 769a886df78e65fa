"""A leader's replication progress of each other replica (Raft: next index, match index)."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from firvane.fleet.replication.types import Member

LARGE_MESSAGE_BYTES = 1_000  # larger messages go over a stream, and later datagrams may overtake them
LARGE_MESSAGE_BASE_TIMEOUT_S = 0.050  # added to the transmission time
MIN_LINK_BYTES_PER_S = 5_000_000  # assumed throughput of every link between two controllers
MAX_SNAPSHOT_BACKOFF_DOUBLINGS = 3


class Progress(Struct):
    """Progress of one voter or learner in one leader's term; times are of the leader's clock."""

    member: Member
    next_index: int  # the next entry to send
    last_reply_at: float  # the start of this record until the first reply
    match_index: int = 0  # the log matches the leader's and is synced up to this index
    received_index: int = 0  # the log matches the leader's up to this index, synced or not
    echoed_at: float = float("-inf")  # the latest `sent_at` that the replica has acknowledged
    disk_fault: bool = False
    superseded: bool = False  # another incarnation has replied from its address
    resend_after: float = 0.0  # until then a rejection may be due to a large message still in flight
    large_first_index: int = 0  # the index of the first entry of the last large message
    unacknowledged_snapshots: int = 0  # sent since the match index last advanced

    def on_entries_sent(self, first_index: int, size: int, now: float) -> None:
        """Record a sent message of `size` bytes whose first entry has the index `first_index`."""
        if size > LARGE_MESSAGE_BYTES:
            self.resend_after = now + LARGE_MESSAGE_BASE_TIMEOUT_S + size / MIN_LINK_BYTES_PER_S
            self.large_first_index = first_index

    def on_snapshot_sent(self, index: int, size: int, now: float) -> None:
        """Record a sent snapshot of `size` bytes; each unacknowledged one doubles the timeout of the next.

        The backoff keeps a slow link from being filled with copies of a snapshot that it cannot deliver in
        one timeout.
        """
        self.on_entries_sent(index, size, now)
        doublings = min(self.unacknowledged_snapshots, MAX_SNAPSHOT_BACKOFF_DOUBLINGS)
        self.resend_after = now + (LARGE_MESSAGE_BASE_TIMEOUT_S + size / MIN_LINK_BYTES_PER_S) * 2**doublings
        self.large_first_index = index
        self.unacknowledged_snapshots += 1

    def should_backtrack(self, hint: int, now: float) -> bool:
        """Whether a rejection means that entries before those in flight must be sent.

        A heartbeat that overtook a large message is rejected for lack of the entries in that message. A hint
        below the first entry of the large message rejects the message itself: waiting would not help.
        """
        return now >= self.resend_after or hint + 1 < self.large_first_index

    def on_accepted(self, received_index: int, synced_index: int) -> None:
        """Record an acknowledgement, which may be older than the last one."""
        if synced_index > self.match_index:
            self.unacknowledged_snapshots = 0
        self.match_index = max(self.match_index, synced_index)
        self.received_index = max(self.received_index, received_index)
        self.next_index = max(self.next_index, self.received_index + 1)

    def on_rejected(self, hint: int) -> None:
        """Resend from after `hint`, but never from an index up to the match index."""
        self.next_index = max(min(self.next_index, hint + 1), self.match_index + 1)


def quorum_value(values: Iterable[float], quorum: int) -> float:
    """The largest value that at least `quorum` of the values reach or exceed."""
    return sorted(values, reverse=True)[quorum - 1]
