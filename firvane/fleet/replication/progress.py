"""What a leader knows of each other replica."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from firvane.fleet.replication.types import Member

LARGE_BYTES = 1_000  # larger messages travel over a connection, and smaller later ones may pass them
LARGE_PATIENCE = 0.050  # seconds before a large message counts as lost, beside the time for its bytes
SLOW_LINK = 5_000_000  # bytes a second that any link between two controllers is expected to carry
MOST_DOUBLINGS = 3  # of the patience with a snapshot that is sent again and again


class Progress(Struct):
    """One other replica, voter or learner, in one leader's term. Times are the leader's."""

    member: Member
    next_index: int  # the first entry to send
    last_reply: float  # when it was last heard; the start of the term if never
    match: int = 0  # agrees with the leader's log and is synced up to here
    received: int = 0  # agrees, synced or not
    echoed_at: float = float("-inf")  # the latest sending time of what it has answered
    disk_trouble: bool = False
    superseded: bool = False  # another incarnation has answered from its address
    resend_after: float = 0.0  # until then a refusal may be one that a large message will have answered
    large_first: int = 0  # the first entry of the large message that was sent last
    snapshots_sent: int = 0  # since anything was acknowledged that was not known before

    def sent(self, first: int, size: int, now: float) -> None:
        """Note a message of so many bytes whose first entry is `first`."""
        if size > LARGE_BYTES:
            self.resend_after = now + LARGE_PATIENCE + size / SLOW_LINK
            self.large_first = first

    def sent_snapshot(self, index: int, size: int, now: float) -> None:
        """Note a snapshot. Each one that is sent in vain doubles the patience with the next.

        So a link that is too slow for one snapshot is not filled with several, and has time for one at last.
        """
        self.sent(index, size, now)
        doublings = min(self.snapshots_sent, MOST_DOUBLINGS)
        self.resend_after = now + (LARGE_PATIENCE + size / SLOW_LINK) * 2**doublings
        self.large_first = index
        self.snapshots_sent += 1

    def heeds_refusal(self, hint: int, now: float) -> bool:
        """Whether a refusal calls for earlier entries than are on their way.

        A heartbeat that passed a large message is refused for the lack of what that brings. But what asks for
        entries before that message has refused the message itself, and waiting would only repeat it.
        """
        return now >= self.resend_after or hint + 1 < self.large_first

    def accepted(self, received: int, synced: int) -> None:
        """Note an acknowledgement; older ones may come late."""
        if synced > self.match:
            self.snapshots_sent = 0
        self.match = max(self.match, synced)
        self.received = max(self.received, received)
        self.next_index = max(self.next_index, self.received + 1)

    def refused(self, hint: int) -> None:
        """Try from an earlier entry, but never from one that is acknowledged."""
        self.next_index = max(min(self.next_index, hint + 1), self.match + 1)


def quorum_value(values: Iterable[float], quorum: int) -> float:
    """The largest value that a majority has reached."""
    return sorted(values, reverse=True)[quorum - 1]
