"""Records of the consensus: the value that is agreed on, proposal numbers, a voter's durable state, timing.

Times are seconds on the monotonic clock of the process that holds the record; no wall clock is in any of
them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple

MAX_VOTERS = 5


class Value(NamedTuple):
    """The value of an epoch: a policy, by its digest, and the voters that decide the next epoch."""

    epoch: int
    digest: bytes
    voters: tuple[int, ...]  # proxy numbers, ascending

    @property
    def quorum(self) -> int:
        """How many voters are a majority."""
        return len(self.voters) // 2 + 1


class ProposalNumber(NamedTuple):
    """A Paxos proposal number, compared field by field.

    The nonce keeps the numbers of a proxy that has lost its state apart from those that it used before.
    """

    term: int
    proxy: int
    nonce: int


NO_PROPOSAL_NUMBER = ProposalNumber(0, 0, 0)  # below every other one


class VoterState(NamedTuple):
    """The durable state of a voter: on disk before anything that follows from it is sent.

    It is stored as a MessagePack array: the order of the fields is the file's format.
    """

    incarnation: int  # incremented by each start without the state of before
    decided: Value
    activated: bool  # the activation time of `decided` has passed
    promised: ProposalNumber
    accepted: tuple[ProposalNumber, Value] | None  # for the epoch after `decided`
    known_incarnations: tuple[tuple[int, int], ...]  # voters that have lost their state, and their newest one


@dataclass(frozen=True)
class Timing:
    """The time bounds that safety and liveness rest on."""

    lease_s: float = 3.0  # how long a read from a majority may be acted on
    clock_skew: float = 0.01  # the largest relative difference between the rates of two clocks
    round_trip_s: float = 0.2  # the longest round trip that counts for a lease or an activation time
    readiness_timeout_s: float = 15.0  # how long a proposal waits for proxies that hold a lease

    @property
    def renewal_interval_s(self) -> float:
        """Time between two lease requests: four to a lease, so that the loss of one costs nothing."""
        return self.lease_s / 4

    @property
    def min_notice_s(self) -> float:
        """Least time between a voter's acceptance and the activation.

        Whoever has renewed its lease since then knows of the activation; any older lease has expired by then.
        """
        return (self.lease_s + self.round_trip_s) * (1 + 2 * self.clock_skew) + self.round_trip_s

    @property
    def activation_delay_s(self) -> float:
        """Time between the second phase and the activation: the notice, and time for the messages."""
        return self.min_notice_s + 3 * self.round_trip_s

    @property
    def activation_tolerance_s(self) -> float:
        """How far apart two proxies may activate: each maps the time twice, half a round trip off at most."""
        return 2 * self.round_trip_s + 2 * self.clock_skew * self.activation_delay_s


class LeaseStatus(Enum):
    """What a proxy may do, by what it knows; the values are shown to operators."""

    VALID = "holds a lease"
    EXPIRED = "has no lease: no majority of the voters has been heard of late"
    AWAITING_ACTIVATION = "awaits the outcome of a change, or its moment"
    TEXT_UNAVAILABLE = "lacks the text of the policy in force, or cannot use it"
    NOT_SYNCHRONIZED = "has not been told yet which policy is in force"


class ProposalOutcome(Enum):
    """The outcome of a proposal; the values are shown to operators."""

    OPEN = "open"
    IN_FORCE = "in force"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass
class ActivationWindow:
    """The bounds, as far as known, between which an epoch replaces the one before it."""

    previous_end: float = inf  # the epoch before is over from then on
    start: float = inf  # the epoch has begun by then
