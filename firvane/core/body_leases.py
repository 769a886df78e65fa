"""Memory for large bodies, leased before the rest of a body is read.

A lease is for the largest size that its body may reach. Holders of a lease can always finish, so those that
wait always go on.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WaitingBody:
    """Who waits for a lease of `units`; of those who wait the lowest `priority` goes on first."""

    go_on: Callable[[], None]
    units: int
    priority: int


class BodyLeases:
    """Memory for large bodies in units of `size` bytes, and a queue of those that wait.

    Attributes:
        total: All units.
        free: Units that nobody holds.
        holders: The units that each owner holds.
        queue: Owners that wait, in the order in which they came.
    """

    def __init__(self, total: int, size: int = 1) -> None:
        """`total` and `size` are in bytes; at least one unit is there."""
        self.size, self.free = size, max(1, total // size)
        self.total = self.free
        self.holders: dict[Hashable, int] = {}
        self.queue: OrderedDict[Hashable, WaitingBody] = OrderedDict()

    def request(self, owner: Hashable, go_on: Callable[[], None], units: int = 1, priority: int = 0) -> bool:
        """Whether `owner` holds a lease now; else it is queued, and `go_on` is called once it does.

        `units` is at most `total`; more would never be free.
        """
        if owner in self.holders:
            return True
        is_next = all(priority < waiting.priority for waiting in self.queue.values())
        if units <= self.free and is_next and owner not in self.queue:
            self._grant(owner, units)
            return True
        self.queue.setdefault(owner, WaitingBody(go_on, units, priority))
        return False

    def release(self, owner: Hashable) -> None:
        """End the lease, or the wait for one; the next in the queue go on. No error if there is neither."""
        self.queue.pop(owner, None)
        self.free += self.holders.pop(owner, 0)
        while self.queue:
            heir = min(self.queue, key=lambda waiting: self.queue[waiting].priority)
            if self.queue[heir].units > self.free:
                return
            waiting = self.queue.pop(heir)
            self._grant(heir, waiting.units)
            waiting.go_on()

    def _grant(self, owner: Hashable, units: int) -> None:
        self.free -= units
        self.holders[owner] = units
