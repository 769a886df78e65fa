"""The types of the agreement: what is voted on, what is kept on disk, what is said of a proxy's standing.

Times are seconds on the monotonic clock of whoever holds the record; no wall clock is in any of them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple

MOST_VOTERS = 5


class Value(NamedTuple):
    """What an epoch is: a policy by its digest, and who votes on the next one."""

    epoch: int
    digest: bytes
    voters: tuple[int, ...]  # numbers of proxies, ascending

    @property
    def quorum(self) -> int:
        """How many voters are a majority."""
        return len(self.voters) // 2 + 1


class Ballot(NamedTuple):
    """Ordered; the nonce makes those of a proxy that has lost its memory differ from its earlier ones."""

    round: int
    proxy: int
    nonce: int


NO_BALLOT = Ballot(0, 0, 0)


class Kept(NamedTuple):
    """What a voter has on disk before it says it."""

    incarnation: int  # one more with each start that had lost its memory
    decided: Value
    settled: bool  # the moment of its swap has passed
    promised: Ballot
    accepted: tuple[Ballot, Value] | None  # for the epoch after `decided`
    met: tuple[tuple[int, int], ...]  # the incarnations of voters that have come back without memory


@dataclass(frozen=True)
class Times:
    """Seconds."""

    lease: float = 3.0  # for which what a majority has said may be acted on
    skew: float = 0.01  # by which the rates of two clocks differ at the most
    trip: float = 0.2  # the longest way there and back that counts for a lease or a moment
    gather: float = 15.0  # for which a change waits for proxies that hold a lease

    @property
    def ask(self) -> float:
        """From one question to the next: four to a lease, so that one lost costs nothing."""
        return self.lease / 4

    @property
    def notice(self) -> float:
        """From a voter's yes to the swap, at the least.

        Whoever has asked since then knows of it, and the lease of whoever has not has run out.
        """
        return (self.lease + self.trip) * (1 + 2 * self.skew) + self.trip

    @property
    def lead(self) -> float:
        """From the ballot to the swap: the notice, and time for the ballot's own messages."""
        return self.notice + 3 * self.trip

    @property
    def slack(self) -> float:
        """By which two proxies' swaps may be apart: each maps the moment twice, half a trip off at most."""
        return 2 * self.trip + 2 * self.skew * self.lead


class Standing(Enum):
    """What a proxy may do, by what it knows."""

    HOLDS = "holds a lease"
    WITHOUT = "has no lease: no majority of the voters has been heard of late"
    AWAITS = "awaits the outcome of a change, or its moment"
    LACKS = "lacks the text of the policy in force, or cannot use it"
    UNTOLD = "has not been told yet which policy is in force"


class Outcome(Enum):
    """What has become of a proposal."""

    OPEN = "open"
    IN_FORCE = "in force"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass
class Window:
    """When a swap is, as far as is known: not before `ends`, and not after `begins`."""

    ends: float = inf  # the earlier epoch is over then
    begins: float = inf  # the later one has begun then
