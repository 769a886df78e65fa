"""Messages between the replicas of one group.

Times are seconds of the sending leader's monotonic clock; receivers only echo them.
"""

from __future__ import annotations

from msgspec import Struct

from firvane.core.address import Address
from firvane.fleet.replication.types import Entry, Member, Snapshot


class PreVote(Struct):
    """A query whether the receiver would vote for the sender in `term`; changes no state at either end."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(Struct):
    """The reply to `PreVote`: the voter's `term` and leader, and the `proposed` term of the request."""

    term: int
    proposed: int
    granted: bool
    leader: Address | None


class Vote(Struct):
    """A request for a vote; `transfer` if the previous term's leader resigned in the sender's favour."""

    term: int
    last_index: int
    last_term: int
    transfer: bool


class VoteReply(Struct):
    """The reply to `Vote`, sent once the vote is synced."""

    term: int
    granted: bool


class Append(Struct):
    """Entries that follow `previous_index`; a heartbeat if there are none."""

    term: int
    sent_at: float
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


class AppendReply(Struct):
    """The reply to `Append` and `InstallSnapshot`.

    If accepted, the log matches the leader's up to `received_index` and is synced up to `synced_index`. If
    rejected, `received_index` is a hint: the leader should resend what follows it.
    """

    term: int
    echo: float  # `sent_at` of the message that this replies to
    accepted: bool
    received_index: int
    synced_index: int
    disk_fault: bool


class InstallSnapshot(Struct):
    """A snapshot for a replica that lacks entries which the leader has compacted."""

    term: int
    sent_at: float
    snapshot: Snapshot


class TimeoutNow(Struct):
    """The leader has resigned: the receiver starts an election at once, without a pre-vote."""

    term: int


class Beacon(Struct):
    """The leader's keep-alive to a controller that is not a member, or whose incarnation is unknown."""

    term: int
    sent_at: float


class BeaconReply(Struct):
    """Announces the replying replica's incarnation (in the envelope).

    It also replies to a leader's message that was addressed to another incarnation.
    """

    term: int
    echo: float


class ReadRequest(Struct):
    """A follower's request for the read index: the entry to apply before a read is linearizable."""

    term: int
    token: int


class ReadReply(Struct):
    """The reply to `ReadRequest`: the leader's commit index."""

    term: int
    token: int
    index: int


class DrainNotice(Struct):
    """The sender is draining: the leader should replace it if a spare controller exists."""

    term: int


class Introduction(Struct):
    """A seed without a group announces its incarnation to the seed that bootstraps the group."""

    term: int


Message = (
    PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | TimeoutNow
    | Beacon
    | BeaconReply
    | ReadRequest
    | ReadReply
    | DrainNotice
    | Introduction
)


class Outgoing(Struct):
    """A message and its receiver; incarnation `NO_INCARNATION` addresses any replica at the address."""

    to: Member
    message: Message


class Envelope(Struct):
    """A message with its addressing, as it is sent between two controllers."""

    group: int
    to_incarnation: int
    from_incarnation: int
    message: Message
