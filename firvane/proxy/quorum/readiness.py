"""The readiness check before a proposal is put to the vote: which proxies are ready, and which are awaited.

Invariants:

1. It serves availability alone: whatever is overlooked here, safety does not depend on it.
2. One rejection ends the proposal. A proxy that no voter has had a request from for a lease is not awaited:
   it has no lease. Nor is one that reports to be isolated, as where only its way in is lost.
3. The reports of voters on active proxies count once a majority has been observing for a lease, with a report
   of each voter that is itself reported as active.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from firvane.proxy.quorum.messages import ActiveProxiesReply, CandidateReply
from firvane.proxy.quorum.types import Timing, Value

BITS_PER_BYTE = 8


class ActivityReport(NamedTuple):
    """A voter's report of active proxies, and when it was asked for."""

    requested_at: float
    reply: ActiveProxiesReply


@dataclass
class ReadinessCheck:
    """The readiness check for `value`, whose text is at proxy `me`.

    Attributes:
        me: The number of this proxy.
        timing: The time bounds of the tier.
        value: What is to be proposed.
        voters: Who decides.
        quorum: How many voters are a majority.
        started_at: When the check began, in seconds on this proxy's clock.
        ready: The proxies that are ready.
        rejections: Why proxies are not ready, by proxy.
        reports: The last activity report of each voter.
        rivals: The proposers of other candidates, by the voter that prepares for them.
    """

    me: int
    timing: Timing
    value: Value
    voters: Sequence[int]
    quorum: int
    started_at: float
    ready: set[int] = field(default_factory=set)
    rejections: dict[int, str] = field(default_factory=dict)
    reports: dict[int, ActivityReport] = field(default_factory=dict)
    rivals: dict[int, int] = field(default_factory=dict)

    def on_reply(self, proxy: int, message: CandidateReply) -> None:
        """Record whether a proxy is ready."""
        if message.digest == self.value.digest:
            if message.reason:
                self.rejections[proxy] = message.reason
            else:
                self.ready.add(proxy)

    def awaited(self, now: float) -> set[int] | None:
        """Return the proxies that have a lease and are not ready; None as long as that is not known."""
        lease_s = self.timing.lease_s
        fresh = {
            voter: report.reply
            for voter, report in self.reports.items()
            if now - report.requested_at <= lease_s
        }
        if sum(reply.observed_s >= lease_s for reply in fresh.values()) < self.quorum:
            return None
        leased = {proxy for reply in fresh.values() for proxy in decode_bitmap(reply.bitmap)}
        if any(voter in leased and voter not in fresh for voter in self.voters):
            return None
        return leased - self.ready

    def failure(self, now: float) -> str:
        """Return why the proposal cannot go on; "" where it can."""
        if self.rejections:
            proxy = min(self.rejections)
            return f"proxy {proxy} says no: {self.rejections[proxy]}"
        if len(self.rivals) > len(self.voters) - self.quorum:
            return f"another change is being prepared, at proxy {min(self.rivals.values())}"
        if now < self.started_at + self.timing.readiness_timeout_s:
            return ""
        awaited = self.awaited(now)
        if awaited is None:
            return "a majority of the voters has not told who has a lease"
        proxies = ", ".join(map(str, sorted(awaited)))
        return f"not prepared in time, with a lease: {proxies}" if awaited else ""


def encode_bitmap(numbers: Sequence[int], proxy_count: int) -> bytes:
    """Return a bitmap with one bit for each proxy, set for `numbers`, the lowest bit first."""
    bitmap = bytearray((proxy_count + BITS_PER_BYTE - 1) // BITS_PER_BYTE)
    for number in numbers:
        bitmap[number // BITS_PER_BYTE] |= 1 << number % BITS_PER_BYTE
    return bytes(bitmap)


def decode_bitmap(bitmap: bytes) -> list[int]:
    """Return the numbers whose bits are set."""
    return [
        BITS_PER_BYTE * index + bit
        for index, byte in enumerate(bitmap)
        for bit in range(BITS_PER_BYTE)
        if byte >> bit & 1
    ]
