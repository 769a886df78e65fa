"""Values that every part of a replica uses."""

from __future__ import annotations

import enum

from msgspec import Struct

from firvane.core.address import Address

NOBODY = 0
"""The incarnation that no replica has: no vote yet, or a message to whoever answers at an address."""


class Member(Struct, frozen=True):
    """One replica for as long as it keeps its disk.

    A machine that returns with an empty disk has another incarnation, and is another member.
    """

    address: Address
    incarnation: int  # 64 bits, random, never 0 (`NOBODY`)


Members = tuple[Member, ...]


class EntryKind(enum.IntEnum):
    """What an entry of the log is for."""

    NOOP = 0  # the first entry of a leader's term
    COMMAND = 1  # for the replicated state machine
    MEMBERS = 2  # the voters of the group from here on


class Entry(Struct, frozen=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


class HardState(Struct, frozen=True):
    """What a replica must never forget: its term, and the incarnation it voted for in that term."""

    term: int = 0
    vote: int = NOBODY


NO_HARD_STATE = HardState()


class Snapshot(Struct, frozen=True):
    """The state machine after the entry `index`, with the voters in force there."""

    index: int
    term: int
    members_index: int
    members: Members
    state: bytes


class Timing(Struct, frozen=True):
    """Times of the protocol, in seconds of a monotonic clock.

    `clock_rate_bound` is the largest ratio that is assumed between the rates of two machines' monotonic
    clocks.
    """

    heartbeat: float = 0.080
    election_minimum: float = 0.300
    election_maximum: float = 0.450
    clock_rate_bound: float = 1.1
    pre_vote_minimum: float = 0.050
    pre_vote_maximum: float = 0.150
    vote_minimum: float = 0.150
    vote_maximum: float = 0.300
    introduction: float = 0.100  # between two introductions of a founder to the one that proposes the group
    beacon_beats: int = 3  # heartbeats between two beacons to a controller outside the group
    disk_stall: float = 0.300  # a write that is not synced after this long: the disk is in trouble
    transfer: float = 0.500  # a transfer of leadership that takes longer is given up
    recent: float = 0.300  # a replica that answered within this time is taken for reachable
    learn_after: float = 1.2  # a voter that is silent for so long: teach a possible replacement
    replace_after: float = 2.0  # a voter that is silent for so long is replaced
    leave_valid: float = 1.0  # a departure that is not announced again is over: five announcements

    @property
    def lease(self) -> float:
        """How long a leader may count on the followers' promise, from the sending of what they answered."""
        return self.election_minimum / self.clock_rate_bound


DEFAULT_TIMING = Timing()


def quorum_of(count: int) -> int:
    """The smallest majority of so many voters."""
    return count // 2 + 1
