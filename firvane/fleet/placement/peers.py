"""The other routers: which of them are live, what their rows say, and when the own row goes.

Rows go every second window in a small fleet, and rarer in a large one, so that a router hears at most
`ROWS_HEARD` in a window. A long prompt that goes out is announced at once, within the same bound: it holds
up its server for as long as a row is old. A peer that has been silent for `SILENT_ROUNDS` rows drops out
until it is heard.
"""

from __future__ import annotations

from msgspec import Struct

from firvane.core.balancing.window import WINDOW
from firvane.fleet.placement.rows import Row

ROW_EVERY = 2  # windows between rows
ROWS_HEARD = 28  # rows that a router hears in a window at the most
SILENT_ROUNDS = 3
RESTARTED_MS = 2000  # a sequence lower by more is that of a peer that started anew, not of a late row


class Peer(Struct):
    """One live router as its last row told of it."""

    zone: int
    since: float  # when it became known, or was last heard, s
    row: Row | None = None


class Peers:
    """All routers that the membership names, this one included."""

    def __init__(self, me: int) -> None:
        self.me = me
        self.known: dict[int, Peer] = {}

    def update(self, numbers: tuple[int, ...], zones: tuple[int, ...], now: float) -> set[int]:
        """The membership has changed; returns those that have left."""
        left = self.known.keys() - set(numbers)
        for number in left:
            del self.known[number]
        for number, zone in zip(numbers, zones, strict=True):
            self.known.setdefault(number, Peer(zone, now)).zone = zone
        return left

    def others(self) -> bool:
        """Whether there is any router beside this one."""
        return any(number != self.me for number in self.known)

    @property
    def row_every(self) -> int:
        """Windows from row to row."""
        return max(ROW_EVERY, round(len(self.known) / ROWS_HEARD))

    @property
    def notice_pause(self) -> float:
        """Seconds between rows that go out of turn."""
        return WINDOW * len(self.known) / ROWS_HEARD

    def live(self, now: float) -> list[int]:
        """Numbers of the live routers, sorted; this one is always among them."""
        silent = now - SILENT_ROUNDS * self.row_every * WINDOW
        found = {number for number, peer in self.known.items() if peer.since >= silent}
        return sorted(found | {self.me})

    def hear(self, sender: int, row: Row, now: float) -> bool:
        """Take a row; False where it is stale or its sender is not known."""
        peer = self.known.get(sender)
        if peer is None or sender == self.me:
            return False
        if peer.row and peer.row.sequence - RESTARTED_MS < row.sequence <= peer.row.sequence:
            return False
        peer.row, peer.since = row, now
        return True

    def row_of(self, sender: int) -> Row | None:
        """The row that a router sent last; None where it has sent none."""
        peer = self.known.get(sender)
        return peer.row if peer else None

    def zones(self) -> dict[int, int]:
        """The zone of each router."""
        return {number: peer.zone for number, peer in self.known.items()}
