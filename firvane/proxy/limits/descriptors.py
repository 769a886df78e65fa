"""The budget of file descriptors: each use has a floor that no other takes, the rest is for whoever asks.

Rules that hold here and nowhere else:

1. A lease is had before a descriptor is opened, and given back when it is closed.
2. A use may go beyond its floor only into what the floors of the others leave.
3. What is refused is told at once: nothing waits for a descriptor here.
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


OWN, DISCOVERY, PEERS = 24, 4, 2  # standard streams, epoll, eventfds, listeners; a file; libuv's spare
TARGETS_FLOOR, CLIENTS_FLOOR = 0.4, 0.5  # of what is left after those
LEAST = 64  # fewer than that serve nobody


def floors(total: int) -> dict[Use, int]:
    """The floor of each use; `ValueError` where `total` descriptors cannot hold the least of all."""
    if total < LEAST:
        raise ValueError(f"{total} descriptors are too few: at least {LEAST} are needed")
    rest = total - OWN - DISCOVERY - PEERS
    return {
        Use.OWN: OWN,
        Use.DISCOVERY: DISCOVERY,
        Use.PEERS: PEERS,
        Use.TARGETS: int(rest * TARGETS_FLOOR),
        Use.CLIENTS: int(rest * CLIENTS_FLOOR),
    }


class Descriptors:
    """Leases of descriptors, by use."""

    def __init__(self, total: int, floor: dict[Use, int] | None = None) -> None:
        self.total, self.floor = total, floor or floors(total)
        self.held = dict.fromkeys(Use, 0)
        self.held[Use.OWN] = self.floor[Use.OWN]
        self.refused = dict.fromkeys(Use, 0)

    def most(self, use: Use) -> int:
        """How many `use` could hold if nobody else went beyond its floor."""
        return self.total - sum(floor for other, floor in self.floor.items() if other is not use)

    def free(self, use: Use) -> int:
        """How many more `use` may open now."""
        left, floor = self.total, self.floor
        for other, held in self.held.items():
            left -= held if other is use or held > floor[other] else floor[other]
        return left

    def lease(self, use: Use) -> bool:
        """Whether one more may be opened; it is then counted."""
        if self.free(use) <= 0:
            self.refused[use] += 1
            return False
        self.held[use] += 1
        return True

    def count(self, use: Use) -> bool:
        """Count one that is open already, as an accepted connection is; whether there was room for it."""
        self.held[use] += 1
        return self.free(use) >= 0

    def give_back(self, use: Use) -> None:
        if not self.held[use]:
            raise ValueError(f"a descriptor for {use.value} is given back that was never leased")
        self.held[use] -= 1

    def part(self, use: Use) -> float:
        """What `use` holds, as a part of what it may hold now."""
        return self.held[use] / max(1, self.held[use] + self.free(use))
