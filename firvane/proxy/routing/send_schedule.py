"""Whom a proxy sends its row to and when: as many rows a window however many proxies there are.

Rules that hold here and nowhere else:

1. Up to `ALL` proxies everyone hears every row, one each `ROUND` windows, as before.
2. Beyond that the `NEAR` nearest in the circle of the zone, with whom it shares most of what it reaches, hear
   as often. All others, live or not, hear in turn, `FAR` of them in a window: so those that fell silent learn
   that it is there.
3. The turns of any two proxies differ, so that as many are heard as sent: `NEAR / ROUND + FAR` a window.
4. A peer drops out that was silent for `SILENT` of its rounds.
5. Rows of version 2 go to peers who have shown that they read them, and did not show otherwise since.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

ROUND = 2  # windows
ALL = 29
NEAR, FAR = 16, 20
SILENT = 3  # rounds


class SendSchedule:
    """The order of one proxy's rows."""

    def __init__(self, me: int, proxies: int) -> None:
        """`proxies` counts all that are configured, live or not; they have the numbers from 0 on."""
        self.me, self.proxies = me, proxies
        self.near: list[int] = []
        self.reads: set[int] = set()  # peers that read version 2

    @property
    def everyone(self) -> bool:
        """Whether one row to all is meant each time."""
        return self.proxies <= ALL

    def arrange(self, zones: Mapping[int, int]) -> None:
        """Find the nearest; `zones` tells where each live proxy is."""
        circle = [proxy for proxy in sorted(zones) if zones[proxy] == zones[self.me]]
        at, size = circle.index(self.me), len(circle)
        near = [circle[(at + step * side) % size] for step in range(1, NEAR // 2 + 1) for side in (1, -1)]
        self.near = [] if self.everyone else [n for n in dict.fromkeys(near) if n != self.me]

    def hear(self, peer: int, knows: bool) -> None:
        """A peer's row shows whether it reads version 2."""
        if knows:
            self.reads.add(peer)
        else:
            self.reads.discard(peer)

    def all_read(self, peers: Iterable[int]) -> bool:
        """Whether version 2 may go to these."""
        return self.reads.issuperset(peers)

    def near_now(self, window: int) -> list[int]:
        """Who hears the row of all near ones in this window."""
        return self.near if window % ROUND == 0 else []

    def far_now(self, window: int) -> list[int]:
        """Whose turn it is in this window, beside the near ones."""
        if self.everyone:
            return []
        others, begin = self.proxies - 1, window * FAR
        turns = [(self.me + 1 + (begin + i) % others) % self.proxies for i in range(min(FAR, others))]
        return [number for number in turns if number not in self.near]

    def silent_after(self, peer: int) -> int:
        """Windows without a row after which a peer drops out."""
        if self.everyone or peer in self.near:
            return SILENT * ROUND
        return SILENT * -(-(self.proxies - 1) // FAR)
