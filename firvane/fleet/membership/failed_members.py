"""Addresses of members that died, probed now and then: two halves find each other after a cut. Pure."""

from __future__ import annotations

import random

from msgspec import Struct

from firvane.core.address import Address

FIRST_PAUSE = 0.5
MAX_PAUSE = 5.0
"""Pauses between two probes of one address, in seconds: doubled from the first to the largest."""
MIN_INTERVAL = 0.25
"""Seconds between two probes by one process, whatever the number of addresses."""
LIFETIME = 900.0
"""Seconds after which an address that never answered is given up."""
MAX_LOST = 1024


class _Lost(Struct):
    pause: float
    due: float
    expires: float


class LostMembers:
    """When to probe which address."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._lost: dict[Address, _Lost] = {}
        self._due = float("inf")

    def add(self, address: Address, now: float) -> None:
        """A member died; the oldest one is given up if there are too many."""
        if len(self._lost) >= MAX_LOST:
            del self._lost[next(iter(self._lost))]
        self._lost[address] = _Lost(FIRST_PAUSE, now + FIRST_PAUSE, now + LIFETIME)
        self._due = min(self._due, now + FIRST_PAUSE)

    def discard(self, address: Address) -> None:
        """The member is back, or has left."""
        if self._lost.pop(address, None) is not None and not self._lost:
            self._due = float("inf")

    def deadline(self) -> float:
        """When the next probe is due; infinite if no member is lost."""
        return self._due

    def take(self, now: float) -> Address | None:
        """An address to probe now, or None; the longest overdue one."""
        if now < self._due:
            return None
        address = min(self._lost, key=lambda a: self._lost[a].due)
        lost = self._lost[address]
        if lost.expires <= now:
            del self._lost[address]
        else:
            lost.pause = min(lost.pause * 2, MAX_PAUSE)
            lost.due = now + lost.pause * self._rng.uniform(0.75, 1.25)
        first = min((entry.due for entry in self._lost.values()), default=float("inf"))
        self._due = max(first, now + MIN_INTERVAL)
        return address
