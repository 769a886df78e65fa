"""Records of the consensus: decided values, proposal numbers, a voter's durable state, and time bounds.

Times are seconds on the monotonic clock of the process that uses the record; no record contains a wall-clock
time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple

MAX_VOTERS = 5


class Value(NamedTuple):
    """The value of an epoch: the digest of its policy, and the voters on the next epoch."""

    epoch: int
    digest: bytes
    voters: tuple[int, ...]  # proxy numbers, ascending

    @property
    def quorum(self) -> int:
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1


class ProposalNumber(NamedTuple):
    """A Paxos proposal number, compared field by field.

    The nonce distinguishes the numbers of a proxy that has lost its state from those that it used before.
    """

    term: int
    proxy: int
    nonce: int


NO_PROPOSAL_NUMBER = ProposalNumber(0, 0, 0)  # less than all other numbers


class VoterState(NamedTuple):
    """The durable state of a voter: on disk before any message that depends on it is sent.

    It is stored as a MessagePack array: the order of the fields is the file's format.
    """

    incarnation: int  # incremented by each recovery from a loss of the state
    decided: Value
    activated: bool  # the activation time of `decided` has passed
    promised: ProposalNumber
    accepted: tuple[ProposalNumber, Value] | None  # for the epoch after `decided`
    known_incarnations: tuple[tuple[int, int], ...]  # latest one of each voter that has lost its state


@dataclass(frozen=True)
class Timing:
    """The time bounds on which safety and liveness depend."""

    lease_s: float = 3.0  # duration of a lease, from the send time of its read
    clock_skew: float = 0.01  # maximum relative difference between the rates of two clocks
    round_trip_s: float = 0.2  # maximum round trip for measuring a clock or an activation time
    readiness_timeout_s: float = 15.0  # maximum wait of a proposal for proxies that hold a lease

    @property
    def renewal_interval_s(self) -> float:
        """Time between two lease requests: four per lease, so that losing one does not end the lease."""
        return self.lease_s / 4

    @property
    def min_notice_s(self) -> float:
        """Minimum time between a voter's acceptance and the activation.

        A proxy that renews its lease after the acceptance knows the activation time; any older lease has
        expired by the activation.
        """
        return (self.lease_s + self.round_trip_s) * (1 + 2 * self.clock_skew) + self.round_trip_s

    @property
    def activation_delay_s(self) -> float:
        """Time from the start of phase 2 to the activation: `min_notice_s` plus time for the messages."""
        return self.min_notice_s + 3 * self.round_trip_s

    @property
    def activation_tolerance_s(self) -> float:
        """Maximum time between the activations of two proxies.

        The activation time is mapped twice, each time with an error of at most half a round trip.
        """
        return 2 * self.round_trip_s + 2 * self.clock_skew * self.activation_delay_s


class LeaseStatus(Enum):
    """Whether a proxy may serve, or why not; the values are shown to operators."""

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
    """The known bounds between which an epoch replaces the previous one."""

    previous_end: float = inf  # the previous epoch ends no later than this
    start: float = inf  # the epoch begins no later than this
