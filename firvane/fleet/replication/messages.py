"""Messages between the replicas of one group.

Times are seconds of the sending leader's monotonic clock; receivers only echo them.
"""

from __future__ import annotations

from msgspec import Struct

from firvane.core.address import Address
from firvane.fleet.replication.types import Entry, Member, Snapshot


class PreVote(Struct):
    """Ask whether the receiver would vote for the sender in `term`; changes no state at either end."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(Struct):
    """The answer: the voter's own `term`, the `proposed` term it was asked about, and its current leader."""

    term: int
    proposed: int
    granted: bool
    leader: Address | None


class Vote(Struct):
    """A request for a vote; `transfer` if the leader of the previous term resigned in the sender's favour."""

    term: int
    last_index: int
    last_term: int
    transfer: bool


class VoteReply(Struct):
    """The answer to `Vote`, sent once the vote is synced."""

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
    """The answer to `Append` and `InstallSnapshot`.

    If accepted, the log matches the leader's up to `received_index` and is synced up to `synced_index`. If
    rejected, `received_index` is a hint: the leader should resend what follows it.
    """

    term: int
    echo: float  # `sent_at` of the message that is answered
    accepted: bool
    received_index: int
    synced_index: int
    disk_fault: bool


class InstallSnapshot(Struct):
    """A snapshot for a replica that lacks entries that the leader has compacted."""

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
    """Announces the sender's incarnation (in the envelope), also to a sender that assumed another one."""

    term: int
    echo: float


class ReadRequest(Struct):
    """A follower asks which entry it must have applied before a read is linearizable (read index)."""

    term: int
    token: int


class ReadReply(Struct):
    """The answer to `ReadRequest`: the leader's commit index."""

    term: int
    token: int
    index: int


class DrainNotice(Struct):
    """The sender is draining: the leader should replace it if a spare controller exists."""

    term: int


class Introduction(Struct):
    """A replica without a group announces its incarnation to the seed that bootstraps the group."""

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
    """A message and its receiver; incarnation `NOBODY` addresses any replica at the address."""

    to: Member
    message: Message


class Envelope(Struct):
    """A message with its addressing, as it is sent between two controllers."""

    group: int
    to_incarnation: int
    from_incarnation: int
    message: Message
