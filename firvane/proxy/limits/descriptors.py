"""The budget of file descriptors: each use has a floor that no other takes, the rest is shared.

Rules that hold here and nowhere else:

1. A lease is taken before a descriptor is opened, and released when it is closed.
2. A use may go beyond its floor only into what the floors of the others leave.
3. A lease is granted or rejected at once: nothing waits for a descriptor here.
"""

from __future__ import annotations

from enum import Enum


class Use(Enum):
    """What a descriptor is for."""

    OWN = "own"  # the loop's, the log's, the listening sockets, files read at a reload
    DISCOVERY = "discovery"  # the watch, and the one that follows it when discovery moves
    PEERS = "peers"
    TARGETS = "targets"
    CLIENTS = "clients"


OWN_FLOOR = 24  # standard streams, epoll, eventfds, listeners; a file; libuv's spare
DISCOVERY_FLOOR = 4
PEERS_FLOOR = 2
TARGETS_FLOOR_RATIO = 0.4  # of what is left after those
CLIENTS_FLOOR_RATIO = 0.5
MIN_DESCRIPTORS = 64  # fewer serve nobody


def floors(total: int) -> dict[Use, int]:
    """The floor of each use.

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
    """BodyLeases of descriptors, by use."""

    def __init__(self, total: int, floor: dict[Use, int] | None = None) -> None:
        self.total, self.floor = total, floor or floors(total)
        self.open = dict.fromkeys(Use, 0)
        self.open[Use.OWN] = self.floor[Use.OWN]
        self.rejected = dict.fromkeys(Use, 0)

    def limit(self, use: Use) -> int:
        """How many `use` could open if no other went beyond its floor."""
        return self.total - sum(floor for other, floor in self.floor.items() if other is not use)

    def free(self, use: Use) -> int:
        """How many more `use` may open now."""
        left, floor = self.total, self.floor
        for other, count in self.open.items():
            left -= count if other is use or count > floor[other] else floor[other]
        return left

    def lease(self, use: Use) -> bool:
        """Whether one more may be opened; it is then counted."""
        if self.free(use) <= 0:
            self.rejected[use] += 1
            return False
        self.open[use] += 1
        return True

    def count(self, use: Use) -> bool:
        """Count one that is open already, as an accepted connection is; whether it is within the limit."""
        self.open[use] += 1
        return self.free(use) >= 0

    def release(self, use: Use) -> None:
        """Count a descriptor as closed.

        Raises:
            ValueError: none is leased for this use.
        """
        if not self.open[use]:
            raise ValueError(f"a descriptor for {use.value} is given back that was never leased")
        self.open[use] -= 1

    def usage(self, use: Use) -> float:
        """What `use` has open, as a fraction of what it may have open now."""
        return self.open[use] / max(1, self.open[use] + self.free(use))
