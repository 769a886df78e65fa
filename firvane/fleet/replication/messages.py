"""Messages between replicas of one group. Times are of the leader's monotonic clock, and only echoed."""

from __future__ import annotations

from msgspec import Struct

from firvane.core.address import Address
from firvane.fleet.replication.types import Entry, Member, Snapshot


class PreVote(Struct):
    """Would you vote for me in this term? Changes nothing at either end."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(Struct):
    """`term` is the voter's own, `proposed` the one that was asked about; `leader` whom the voter follows."""

    term: int
    proposed: int
    granted: bool
    leader: Address | None


class Vote(Struct):
    """A request for a vote. `transfer`: the leader of the term before has resigned in the sender's favour."""

    term: int
    last_index: int
    last_term: int
    transfer: bool


class VoteReply(Struct):
    """The answer, sent once the vote is synced."""

    term: int
    granted: bool


class Append(Struct):
    """Entries that follow `previous_index`; without entries a heartbeat."""

    term: int
    sent_at: float
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


class AppendReply(Struct):
    """The answer to `Append` and `InstallSnapshot`.

    Accepted: the log agrees with the leader's up to `received`, and is synced up to `synced`. Refused:
    `received` is a point from which the leader should try.
    """

    term: int
    echo: float  # `sent_at` of what is answered
    accepted: bool
    received: int
    synced: int
    disk_trouble: bool


class InstallSnapshot(Struct):
    """A snapshot for a replica that lacks entries which the leader has compacted."""

    term: int
    sent_at: float
    snapshot: Snapshot


class TimeoutNow(Struct):
    """The leader has resigned: the receiver should stand for election at once."""

    term: int


class Beacon(Struct):
    """The leader's sign of life to a controller that is no member, or whose incarnation is unknown."""

    term: int
    sent_at: float


class BeaconReply(Struct):
    """Tells the sender's incarnation, in the envelope; also to who meant another incarnation."""

    term: int
    echo: float


class ReadRequest(Struct):
    """A follower asks up to which entry it must have applied before a read is linearizable."""

    term: int
    token: int


class ReadReply(Struct):
    """The answer to `ReadRequest`."""

    term: int
    token: int
    index: int


class Leave(Struct):
    """The sender is about to stop: replace it if a spare controller is there."""

    term: int


class Introduction(Struct):
    """A replica without a group tells its incarnation to the seed that founds the group."""

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
    | Leave
    | Introduction
)


class Outgoing(Struct):
    """A message and whom it is for; incarnation `NOBODY`: whoever answers at the address."""

    to: Member
    message: Message


class Envelope(Struct):
    """A message as it travels between two controllers."""

    group: int
    to_incarnation: int
    from_incarnation: int
    message: Message
