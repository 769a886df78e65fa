"""The account of memory: what is held, by what, and who may hold more.

Rules that hold here and nowhere else:

1. Every byte that a peer can make the proxy keep is charged under one `Held`, and released once.
2. A fixed cost stands for an object (a connection, a flow, a box); it is measured, see `costs.py`.
3. What is small is charged as it comes. A body that grows beyond `SMALL` needs a lease of the largest size
   that it may reach, before more of it is read; whoever gets none waits in order, with reading stopped.
   Holders of a lease can always finish, so those that wait always go on.
4. Crossing `high` sets `pressed`, falling to `low` lifts it. While it is set nothing new is taken on.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable
from enum import IntEnum

SMALL = 8 * 1024  # bytes of a body that need no lease


class Held(IntEnum):
    """What holds memory."""

    CLIENTS = 0  # client connections that stand, as fixed costs
    TARGETS = 1  # connections to targets, as fixed costs
    READING = 2  # heads and bodies on their way in from clients, and what waits unread behind them
    FLOWS = 3  # flows that are open, as fixed costs, with their requests
    ANSWERS = 4  # answers on their way in from targets
    WRITING = 5  # answers that clients have not read
    TABLES = 6  # the list, the decisions' records, peers' rows


class Account:
    """Bytes held over all connections, within one budget."""

    def __init__(self, budget: int, high: float = 0.85, low: float = 0.7) -> None:
        """`budget` in bytes; `high` and `low` as parts of it."""
        if not 0 < low < high <= 1:
            raise ValueError(f"watermarks {low} and {high} are not in order within 0 and 1")
        self.budget, self.high, self.low = budget, int(budget * high), int(budget * low)
        self.by = [0] * len(Held)
        self.held = 0
        self.peak = 0
        self.pressed = False

    def charge(self, what: Held, size: int) -> None:
        """Take `size` bytes more (or less, where negative) under `what`."""
        self.by[what] += size
        self.held += size
        if size > 0:
            if self.held > self.peak:
                self.peak = self.held
                if self.held >= self.high:
                    self.pressed = True
            elif self.held >= self.high:
                self.pressed = True
        elif self.pressed and self.held <= self.low:
            self.pressed = False

    def part(self) -> float:
        """What is held, as a part of the budget."""
        return self.held / self.budget


class Leases:
    """Room for bodies that grow large: `total` bytes in leases of `size`, and a line of those who wait."""

    def __init__(self, total: int, size: int) -> None:
        self.size, self.free = size, max(1, total // size)
        self.total = self.free
        self.holders: set[Hashable] = set()
        self.line: OrderedDict[Hashable, Callable[[], None]] = OrderedDict()

    def ask(self, owner: Hashable, go_on: Callable[[], None]) -> bool:
        """Whether `owner` holds a lease now; else it is in line, and `go_on` is called once it does."""
        if owner in self.holders:
            return True
        if self.free and not self.line:
            self.free -= 1
            self.holders.add(owner)
            return True
        self.line.setdefault(owner, go_on)
        return False

    def give_back(self, owner: Hashable) -> None:
        """End the lease, or the wait for one; the next in line goes on. Harmless where there is neither."""
        self.line.pop(owner, None)
        if owner not in self.holders:
            return
        self.holders.discard(owner)
        if not self.line:
            self.free += 1
            return
        heir, go_on = self.line.popitem(last=False)
        self.holders.add(heir)
        go_on()
