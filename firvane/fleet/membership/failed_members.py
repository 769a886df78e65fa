"""Addresses of failed members, probed at intervals, so that partitions merge after they heal. Does no I/O."""

from __future__ import annotations

import random

from msgspec import Struct

from firvane.core.address import Address

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 5.0
"""Bounds of the exponential backoff between probes of one address."""
MIN_PROBE_INTERVAL_S = 0.25
"""Seconds between two probes of failed members by one process, whatever the number of addresses."""
FAILED_MEMBER_LIFETIME_S = 900.0
"""Seconds after which an address that has not answered is removed."""
MAX_FAILED_MEMBERS = 1024
MIN_JITTER = 0.75
MAX_JITTER = 1.25


class _FailedMember(Struct):
    backoff: float
    due: float
    expires_at: float


class FailedMembers:
    """The schedule of the probes of failed members."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._members: dict[Address, _FailedMember] = {}
        self._due = float("inf")

    def add(self, address: Address, now: float) -> None:
        """Add a member that died; the oldest address is removed if there are too many."""
        if len(self._members) >= MAX_FAILED_MEMBERS:
            del self._members[next(iter(self._members))]
        self._members[address] = _FailedMember(
            INITIAL_BACKOFF_S, now + INITIAL_BACKOFF_S, now + FAILED_MEMBER_LIFETIME_S
        )
        self._due = min(self._due, now + INITIAL_BACKOFF_S)

    def discard(self, address: Address) -> None:
        """Remove a member that is alive again or has left."""
        if self._members.pop(address, None) is not None and not self._members:
            self._due = float("inf")

    def deadline(self) -> float:
        """Return when the next probe is due; infinite without failed members."""
        return self._due

    def next_probe_target(self, now: float) -> Address | None:
        """Return the longest overdue address and schedule its next probe, or return None."""
        if now < self._due:
            return None
        address = min(self._members, key=lambda a: self._members[a].due)
        member = self._members[address]
        if member.expires_at <= now:
            del self._members[address]
        else:
            member.backoff = min(member.backoff * 2, MAX_BACKOFF_S)
            member.due = now + member.backoff * self._rng.uniform(MIN_JITTER, MAX_JITTER)
        next_due = min((other.due for other in self._members.values()), default=float("inf"))
        self._due = max(next_due, now + MIN_PROBE_INTERVAL_S)
        return address
