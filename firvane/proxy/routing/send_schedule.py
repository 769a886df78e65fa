"""To which peers a proxy sends its row in each window, at a bounded rate in fleets of any size.

Invariants:

1. In fleets of up to `MAX_FULL_MESH` proxies every peer gets every row, one each `ROUND_WINDOWS` windows.
2. In larger ones the `NEAR_PEERS` nearest in the ring of the zone's proxies, which share most of the
   reachable servers, get rows as often. All others, live or not, take turns, `FAR_PEERS_PER_WINDOW` of them
   in a window: so a peer that has timed out learns that this proxy is alive.
3. The turns of any two proxies differ, so that as many rows are received as sent: `NEAR_PEERS / ROUND_WINDOWS
   + FAR_PEERS_PER_WINDOW` a window.
4. A peer times out after `SILENT_ROUNDS` of its rounds without a row.
5. Rows of version 2 go only to peers whose last row shows that they read them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

ROUND_WINDOWS = 2
MAX_FULL_MESH = 29  # proxies
NEAR_PEERS, FAR_PEERS_PER_WINDOW = 16, 20
SILENT_ROUNDS = 3


class SendSchedule:
    """The receivers of one proxy's rows, by window."""

    def __init__(self, me: int, proxies: int) -> None:
        """`proxies` is the number of configured proxies, live or not; they are numbered from 0."""
        self.me, self.proxies = me, proxies
        self.near: list[int] = []
        self.v2_readers: set[int] = set()  # peers that read version 2

    @property
    def is_full_mesh(self) -> bool:
        """Return whether each row goes to all peers."""
        return self.proxies <= MAX_FULL_MESH

    def update_near_peers(self, zones: Mapping[int, int]) -> None:
        """Update the nearest peers; `zones` are the zones of the live proxies."""
        ring = [proxy for proxy in sorted(zones) if zones[proxy] == zones[self.me]]
        position, size = ring.index(self.me), len(ring)
        near = [
            ring[(position + distance * side) % size]
            for distance in range(1, NEAR_PEERS // 2 + 1)
            for side in (1, -1)
        ]
        self.near = [] if self.is_full_mesh else [n for n in dict.fromkeys(near) if n != self.me]

    def record_version(self, peer: int, reads_v2: bool) -> None:
        """Record whether a peer reads version 2, as its last row shows."""
        if reads_v2:
            self.v2_readers.add(peer)
        else:
            self.v2_readers.discard(peer)

    def all_read_v2(self, peers: Iterable[int]) -> bool:
        """Return whether all these peers read version 2."""
        return self.v2_readers.issuperset(peers)

    def near_peers_at(self, window: int) -> list[int]:
        """Return the near peers that get a row in this window."""
        return self.near if window % ROUND_WINDOWS == 0 else []

    def far_peers_at(self, window: int) -> list[int]:
        """Return the other peers whose turn it is in this window."""
        if self.is_full_mesh:
            return []
        others, begin = self.proxies - 1, window * FAR_PEERS_PER_WINDOW
        turns = [
            (self.me + 1 + (begin + i) % others) % self.proxies
            for i in range(min(FAR_PEERS_PER_WINDOW, others))
        ]
        return [number for number in turns if number not in self.near]

    def timeout_windows(self, peer: int) -> int:
        """Return the windows without a row after which a peer times out."""
        if self.is_full_mesh or peer in self.near:
            return SILENT_ROUNDS * ROUND_WINDOWS
        return SILENT_ROUNDS * -(-(self.proxies - 1) // FAR_PEERS_PER_WINDOW)
