"""Memory leases for large request bodies, acquired before the rest of a body is read.

A lease covers the size of its body if that is known. So its holder can always finish and release it, and
owners that wait never deadlock. Other leases are extended as their bodies grow, without a wait.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WaitingBody:
    """A queued request for a lease of `units`; the lowest `priority` is granted first."""

    on_granted: Callable[[], None]
    units: int
    priority: int


class BodyLeases:
    """Memory for large bodies in units of `size` bytes, and a queue of waiting owners.

    Attributes:
        total: Number of all units.
        free: Number of units that are not leased.
        holders: Number of units leased by each owner.
        queue: Waiting owners, in order of arrival.
    """

    def __init__(self, total: int, size: int = 1) -> None:
        """Create the leases; `total` and `size` are in bytes, and there is at least one unit."""
        self.size, self.free = size, max(1, total // size)
        self.total = self.free
        self.holders: dict[Hashable, int] = {}
        self.queue: OrderedDict[Hashable, WaitingBody] = OrderedDict()

    def request(
        self, owner: Hashable, on_granted: Callable[[], None], units: int = 1, priority: int = 0
    ) -> bool:
        """Lease units to `owner` and return True, or queue it and call `on_granted` once it has its lease.

        Returns True as well if `owner` already holds a lease. `units` must not exceed `total`.
        """
        if owner in self.holders:
            return True
        is_next = all(priority < waiting.priority for waiting in self.queue.values())
        if units <= self.free and is_next and owner not in self.queue:
            self._grant(owner, units)
            return True
        self.queue.setdefault(owner, WaitingBody(on_granted, units, priority))
        return False

    def extend(self, owner: Hashable, units: int) -> bool:
        """Extend the lease of `owner` to `units`, and return whether they were free; it never waits.

        A holder that waited could wait for another one that waits too.
        """
        added = units - self.holders[owner]
        if added > self.free:
            return False
        self._grant(owner, added)
        return True

    def release(self, owner: Hashable) -> None:
        """End the lease of `owner` or its wait for one, if any, and grant leases to waiting owners."""
        self.queue.pop(owner, None)
        self.free += self.holders.pop(owner, 0)
        while self.queue:
            next_owner = min(self.queue, key=lambda waiting: self.queue[waiting].priority)
            if self.queue[next_owner].units > self.free:
                return
            waiting = self.queue.pop(next_owner)
            self._grant(next_owner, waiting.units)
            waiting.on_granted()

    def _grant(self, owner: Hashable, units: int) -> None:
        self.free -= units
        self.holders[owner] = self.holders.get(owner, 0) + units
