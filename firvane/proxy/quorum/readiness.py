"""Readiness check before the vote on a proposal: which proxies can use its text, and which are awaited.

Invariants:

1. The check serves availability only; safety does not depend on it.
2. One rejection ends the proposal. A proxy from which no voter has received a request within `lease_s` is not
   awaited, since it has no lease. Neither is a proxy whose requests report it as isolated: it receives no
   replies, for example because only the direction to it is cut.
3. The voters' reports of active proxies count only if a majority has been observing for at least `lease_s`,
   and each voter that is itself reported as active has sent a recent report.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from firvane.proxy.quorum.messages import ActiveProxiesReply, CandidateReply
from firvane.proxy.quorum.types import Timing, Value

BITS_PER_BYTE = 8


class ActivityReport(NamedTuple):
    """A voter's report of active proxies, and when this proxy requested it."""

    requested_at: float
    reply: ActiveProxiesReply


@dataclass
class ReadinessCheck:
    """The readiness check for `value`, which is proposed at proxy `me`.

    Attributes:
        me: The number of this proxy.
        timing: The time bounds of the tier.
        value: The value to propose.
        voters: The voters on the value.
        quorum: The number of voters that form a majority.
        started_at: When the check began, in seconds on this proxy's clock.
        ready: The proxies that are ready.
        rejections: Why proxies are not ready, by proxy.
        reports: The latest activity report of each voter.
        competing_proposers: The proposers of competing candidates, by the voter that prepares for them.
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
    competing_proposers: dict[int, int] = field(default_factory=dict)

    def on_reply(self, proxy: int, message: CandidateReply) -> None:
        """Record a proxy's reply: ready, or why it is not."""
        if message.digest == self.value.digest:
            if message.reason:
                self.rejections[proxy] = message.reason
            else:
                self.ready.add(proxy)

    def awaited(self, now: float) -> set[int] | None:
        """Return the proxies that have a lease and are not ready; None if that is not known yet."""
        lease_s = self.timing.lease_s
        recent_replies = {
            voter: report.reply
            for voter, report in self.reports.items()
            if now - report.requested_at <= lease_s
        }
        if sum(reply.observed_s >= lease_s for reply in recent_replies.values()) < self.quorum:
            return None
        leased = {proxy for reply in recent_replies.values() for proxy in decode_bitmap(reply.bitmap)}
        if any(voter in leased and voter not in recent_replies for voter in self.voters):
            return None
        return leased - self.ready

    def failure(self, now: float) -> str:
        """Return why the proposal has failed; "" if it has not."""
        if self.rejections:
            proxy = min(self.rejections)
            return f"proxy {proxy} says no: {self.rejections[proxy]}"
        if len(self.competing_proposers) > len(self.voters) - self.quorum:
            return f"another change is being prepared, at proxy {min(self.competing_proposers.values())}"
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
    """Return the numbers of the proxies whose bits are set."""
    return [
        BITS_PER_BYTE * index + bit
        for index, byte in enumerate(bitmap)
        for bit in range(BITS_PER_BYTE)
        if byte >> bit & 1
    ]
