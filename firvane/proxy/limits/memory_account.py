"""The memory account: how much is used, by what, and when no more may be accepted.

Invariants:

1. Every byte that a peer can make the proxy keep is charged under one `MemoryUse`, and released once.
2. An object (a connection, a flow, a backend) is charged at a fixed cost, see `memory_costs.py`.
3. Small bodies are charged as they arrive. A body that grows beyond `MAX_UNLEASED_BODY_BYTES` needs a lease
   of the largest size that it may reach before more of it is read; without one it waits in order, with
   reading paused. Holders of a lease can always finish, so waiting bodies always proceed in the end.
4. Reaching `high` sets `under_pressure`, falling to `low` clears it. While it is set nothing new is accepted.
"""

from __future__ import annotations

from enum import IntEnum

MAX_UNLEASED_BODY_BYTES = 8 * 1024


class MemoryUse(IntEnum):
    """What uses memory."""

    CLIENTS = 0  # open client connections, at a fixed cost each
    TARGETS = 1  # connections to targets, at a fixed cost each
    READING = 2  # request heads and bodies being read, and pipelined bytes behind them
    FLOWS = 3  # open flows, at a fixed cost each, with their requests
    ANSWERS = 4  # responses from targets
    WRITING = 5  # responses that clients have not read
    TABLES = 6  # the endpoint list, the decisions' records, peers' rows


class MemoryAccount:
    """Bytes used over all connections, within one budget."""

    def __init__(self, budget: int, high: float = 0.85, low: float = 0.7) -> None:
        """`budget` in bytes; `high` and `low` as fractions of it."""
        if not 0 < low < high <= 1:
            raise ValueError(f"watermarks {low} and {high} are not in order within 0 and 1")
        self.budget, self.high, self.low = budget, int(budget * high), int(budget * low)
        self.bytes_by_use = [0] * len(MemoryUse)
        self.used_bytes = 0
        self.peak = 0
        self.under_pressure = False

    def charge(self, use: MemoryUse, size: int) -> None:
        """Charge `size` bytes (release them, if negative) under `use`."""
        self.bytes_by_use[use] += size
        self.used_bytes += size
        if size > 0:
            if self.used_bytes > self.peak:
                self.peak = self.used_bytes
                if self.used_bytes >= self.high:
                    self.under_pressure = True
            elif self.used_bytes >= self.high:
                self.under_pressure = True
        elif self.under_pressure and self.used_bytes <= self.low:
            self.under_pressure = False

    def usage(self) -> float:
        """Return the bytes used, as a fraction of the budget."""
        return self.used_bytes / self.budget
