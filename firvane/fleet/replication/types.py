"""Values shared by all modules of a replica: members, log entries, hard state, snapshots and timing."""

from __future__ import annotations

import enum

from msgspec import Struct

from firvane.core.address import Address

NO_INCARNATION = 0
"""A reserved incarnation: no vote cast yet, or a message for whichever replica is at an address."""


class Member(Struct, frozen=True):
    """One replica, identified by its address and by the incarnation that its journal stores.

    A machine that restarts with an empty disk draws a new incarnation and counts as a new member.
    """

    address: Address
    incarnation: int  # 64 bits, random, never 0 (`NO_INCARNATION`)


Members = tuple[Member, ...]


class EntryKind(enum.IntEnum):
    """The purpose of a log entry."""

    NOOP = 0  # the first entry of each leader's term
    COMMAND = 1  # for the replicated state machine
    MEMBERS = 2  # the voters of the group from this entry on


class Entry(Struct, frozen=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


class HardState(Struct, frozen=True):
    """The durable election state: the current term, and the incarnation voted for in that term."""

    term: int = 0
    vote: int = NO_INCARNATION


NO_HARD_STATE = HardState()


class Snapshot(Struct, frozen=True):
    """The state machine after the entry `index`, with the voters in force at that entry."""

    index: int
    term: int
    members_index: int
    members: Members
    state: bytes


class Timing(Struct, frozen=True):
    """Intervals and timeouts of the protocol, in seconds of a monotonic clock.

    `clock_rate_bound` is the largest ratio that is assumed between the rates of two machines' monotonic
    clocks.
    """

    heartbeat_interval_s: float = 0.080
    election_timeout_min_s: float = 0.300
    election_timeout_max_s: float = 0.450
    clock_rate_bound: float = 1.1
    pre_vote_timeout_min_s: float = 0.050
    pre_vote_timeout_max_s: float = 0.150
    vote_timeout_min_s: float = 0.150
    vote_timeout_max_s: float = 0.300
    introduction_interval_s: float = 0.100  # at which a seed repeats `Introduction` to the bootstrapping seed
    heartbeats_per_beacon: int = 3
    disk_stall_timeout_s: float = 0.300  # a write that is unsynced for longer counts as a disk fault
    transfer_timeout_s: float = 0.500  # a leadership transfer that takes longer is abandoned
    reachable_within_s: float = 0.300  # a replica that replied within this time counts as reachable
    learner_start_after_s: float = 1.2  # without a reply from a voter before a learner starts to replace it
    voter_replace_after_s: float = 2.0  # without a reply from a voter before it is replaced
    drain_notice_valid_s: float = 1.0  # a drain notice expires unless it is repeated

    @property
    def lease_duration_s(self) -> float:
        """Length of a leader's lease, counted from when it sent an append that a majority acknowledged."""
        return self.election_timeout_min_s / self.clock_rate_bound


DEFAULT_TIMING = Timing()


def quorum_of(count: int) -> int:
    """The smallest majority of `count` voters."""
    return count // 2 + 1
