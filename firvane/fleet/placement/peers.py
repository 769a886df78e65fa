"""The other routers: which are live, their last rows (load reports), and the interval between rows.

Rows are sent every second window in a small fleet and less often in a large one, so that a router receives at
most `MAX_ROWS_PER_WINDOW`. A long prompt is announced at once, within the same bound, since it occupies its
server for as long as a row is valid. A peer from which no row came for `PEER_TIMEOUT_ROWS` intervals is not
live until its next row.
"""

from __future__ import annotations

from msgspec import Struct

from firvane.core.balancing.window import WINDOW
from firvane.fleet.placement.rows import Row

MIN_ROW_INTERVAL_WINDOWS = 2
MAX_ROWS_PER_WINDOW = 28  # maximum number of rows that one router receives
PEER_TIMEOUT_ROWS = 3
RESTART_GAP_MS = 2000  # a sequence lower by more than this is from a restarted peer, not a late row


class Peer(Struct):
    """One router of the membership and its last row."""

    zone: int
    last_row_at: float  # when the last row was received, or else when the router joined, in seconds
    row: Row | None = None


class Peers:
    """All routers of the membership by number, including this one."""

    def __init__(self, own_number: int) -> None:
        self.own_number = own_number
        self.known: dict[int, Peer] = {}

    def update(self, numbers: tuple[int, ...], zones: tuple[int, ...], now: float) -> set[int]:
        """Replace the membership, and return the numbers of the routers that have left."""
        left = self.known.keys() - set(numbers)
        for number in left:
            del self.known[number]
        for number, zone in zip(numbers, zones, strict=True):
            self.known.setdefault(number, Peer(zone, now)).zone = zone
        return left

    def has_others(self) -> bool:
        """Return whether the membership contains any other router."""
        return any(number != self.own_number for number in self.known)

    @property
    def row_interval(self) -> int:
        """Number of windows between scheduled rows."""
        return max(MIN_ROW_INTERVAL_WINDOWS, round(len(self.known) / MAX_ROWS_PER_WINDOW))

    @property
    def min_row_interval(self) -> float:
        """Minimum seconds between any row and an unscheduled row."""
        return WINDOW * len(self.known) / MAX_ROWS_PER_WINDOW

    def live(self, now: float) -> list[int]:
        """Return the sorted numbers of the live routers, which always include this one."""
        oldest = now - PEER_TIMEOUT_ROWS * self.row_interval * WINDOW
        numbers = {number for number, peer in self.known.items() if peer.last_row_at >= oldest}
        return sorted(numbers | {self.own_number})

    def record_row(self, sender: int, row: Row, now: float) -> bool:
        """Store a row unless it is outdated or its sender unknown; return whether it was stored."""
        peer = self.known.get(sender)
        if peer is None or sender == self.own_number:
            return False
        if peer.row and peer.row.sequence - RESTART_GAP_MS < row.sequence <= peer.row.sequence:
            return False
        peer.row, peer.last_row_at = row, now
        return True

    def last_row_of(self, sender: int) -> Row | None:
        """Return the last row of a router, or None if no row was received."""
        peer = self.known.get(sender)
        return peer.row if peer else None

    def zones(self) -> dict[int, int]:
        """Return the zone of each router by router number."""
        return {number: peer.zone for number, peer in self.known.items()}
