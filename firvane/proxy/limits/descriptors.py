"""The budget of file descriptors: each use has a reserved minimum (floor), the rest is shared.

Invariants:

1. A lease is acquired before a descriptor is opened, and released when it is closed.
2. A use may exceed its floor only with descriptors beyond the floors of the other uses.
3. A lease is granted or rejected at once: nothing waits for a descriptor here.
"""

from __future__ import annotations

from enum import Enum


class Use(Enum):
    """What a descriptor is for."""

    OWN = "own"  # the event loop, the log, the listening sockets, files read at a reload
    DISCOVERY = "discovery"  # the watch, and its successor when the address of discovery changes
    PEERS = "peers"
    TARGETS = "targets"
    CLIENTS = "clients"


OWN_FLOOR = 24  # standard streams, epoll, eventfds, listeners, a file, the spare descriptor of libuv
DISCOVERY_FLOOR = 4
PEERS_FLOOR = 2
TARGETS_FLOOR_RATIO = 0.4  # of what the floors above leave
CLIENTS_FLOOR_RATIO = 0.5
MIN_DESCRIPTORS = 64  # fewer cannot serve any client


def floors(total: int) -> dict[Use, int]:
    """Return the floor of each use.

    Raises:
        ValueError: `total` descriptors are fewer than `MIN_DESCRIPTORS`.
    """
    if total < MIN_DESCRIPTORS:
        raise ValueError(f"{total} descriptors are too few: at least {MIN_DESCRIPTORS} are needed")
    rest = total - OWN_FLOOR - DISCOVERY_FLOOR - PEERS_FLOOR
    return {
        Use.OWN: OWN_FLOOR,
        Use.DISCOVERY: DISCOVERY_FLOOR,
        Use.PEERS: PEERS_FLOOR,
        Use.TARGETS: int(rest * TARGETS_FLOOR_RATIO),
        Use.CLIENTS: int(rest * CLIENTS_FLOOR_RATIO),
    }


class Descriptors:
    """Counts leased descriptors, by use."""

    def __init__(self, total: int, floor: dict[Use, int] | None = None) -> None:
        self.total, self.floor = total, floor or floors(total)
        self.open = dict.fromkeys(Use, 0)
        self.open[Use.OWN] = self.floor[Use.OWN]
        self.rejected = dict.fromkeys(Use, 0)

    def limit(self, use: Use) -> int:
        """Return how many descriptors `use` could open if all others kept within their floors."""
        return self.total - sum(floor for other, floor in self.floor.items() if other is not use)

    def free(self, use: Use) -> int:
        """Return how many more descriptors `use` may open now."""
        left, floor = self.total, self.floor
        for other, count in self.open.items():
            left -= count if other is use or count > floor[other] else floor[other]
        return left

    def lease(self, use: Use) -> bool:
        """Return whether one more descriptor may be opened, and count it if so."""
        if self.free(use) <= 0:
            self.rejected[use] += 1
            return False
        self.open[use] += 1
        return True

    def count(self, use: Use) -> bool:
        """Count a descriptor that is already open, as of an accepted connection; return whether it fits."""
        self.open[use] += 1
        return self.free(use) >= 0

    def release(self, use: Use) -> None:
        """Count a descriptor as closed.

        Raises:
            ValueError: no descriptor is leased for this use.
        """
        if not self.open[use]:
            raise ValueError(f"released a descriptor for {use.value} that was never leased")
        self.open[use] -= 1

    def usage(self, use: Use) -> float:
        """Return the open descriptors of `use` as a fraction of those that it may have open now."""
        return self.open[use] / max(1, self.open[use] + self.free(use))
