"""The exchange of rows (load reports) with the peers: sending this router's row and applying theirs."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from firvane.core import interface as api
from firvane.fleet.placement import announcement
from firvane.fleet.placement.events import PeersChanged
from firvane.fleet.placement.peers import Peers
from firvane.fleet.placement.rows import (
    CachedBlock,
    Row,
    RowError,
    RowFlags,
    Section,
    decode_row,
    encode_row,
    max_cached_blocks,
)
from firvane.fleet.placement.service import Service
from firvane.fleet.placement.services import Services

MAX_UNMATCHED_BLOCKS = 512  # cached blocks kept until their servers are known


class RowExchange:
    """This router's side of the exchange; it shares `services` with the balancer.

    Attributes:
        peers: The other routers.
        live: Sorted numbers of the live routers.
        own_row: This router's row as last sent, since its peers decide by that row.
        own_row_at: When `own_row` was sent.
    """

    def __init__(self, own_number: int, services: Services, now: float) -> None:
        self.own_number, self.services = own_number, services
        self.peers = Peers(own_number)
        self.live: list[int] = [own_number]
        self.own_row: Row | None = None
        self.own_row_at = now
        self._unmatched_blocks: list[CachedBlock] = []

    def announce(self, flags: RowFlags, queued: int, now: float, peer: int | None = None) -> api.SendToPeer:
        """Return the action that sends this router's row to one peer, or to all if `peer` is None."""
        zone, services = self.peers.zones().get(self.own_number, 0), list(self.services.values())
        row = announcement.make_row(services, self.own_number, zone, queued, flags, now)
        self.own_row, self.own_row_at = row, now
        limit = max_cached_blocks(len(row.sections), len(row.entries))
        select = announcement.take_unannounced_blocks if peer is None else announcement.recent_blocks
        return api.SendToPeer(peer, encode_row(row._replace(cached_blocks=select(services, limit))))

    def may_announce(self, now: float) -> bool:
        """Return whether an unscheduled row is within the bound on the rows that peers receive."""
        return now >= self.own_row_at + self.peers.min_row_interval

    def receive(self, message: api.PeerMessage, queued: int, now: float) -> list[api.Action]:
        """Apply a peer's row, and return the rows to send in reply."""
        try:
            row = decode_row(message.payload)
        except RowError:
            return []  # truncated or malformed datagrams are dropped
        previous = self.peers.last_row_of(message.sender)
        if not self.peers.record_row(message.sender, row, now):
            return []
        announcement.apply_row(row, previous, message.sender, self.services.values(), now)
        if row.cached_blocks:
            self._apply_cached_blocks(row.cached_blocks)
        replies = list[api.Action]()
        if row.flags & RowFlags.ASK:
            replies.append(self.announce(RowFlags.NONE, queued, now, message.sender))
        if row.flags & RowFlags.RISK:
            for service in self.services.values():
                service.slices.drop_moves_to(message.sender)
        elif self._count_unexpected_offloads(row):
            replies.append(self.announce(RowFlags.RISK, queued, now, message.sender))
        return replies

    def _apply_cached_blocks(self, blocks: Iterable[CachedBlock]) -> None:
        unmatched = announcement.apply_cached_blocks(blocks, self.services.values())
        self._unmatched_blocks = (self._unmatched_blocks + unmatched)[-MAX_UNMATCHED_BLOCKS:]

    def apply_unmatched_blocks(self) -> None:
        """Apply again the blocks whose servers were unknown, after the list of servers has changed."""
        blocks, self._unmatched_blocks = self._unmatched_blocks, []
        self._apply_cached_blocks(blocks)

    def _count_unexpected_offloads(self, row: Row) -> bool:
        """Count the unexpected offloads that a row shows for each service; return whether there is any."""
        any_unexpected = False
        for service in self.services.values():
            if announcement.is_unexpected_offload(row, service, self.own_number):
                service.unexpected_offloads += 1
                any_unexpected = True
        return any_unexpected

    def update(self, event: PeersChanged, now: float) -> bool:
        """Apply a membership change; return whether the first peers joined, which must be asked for rows."""
        was_alone = not self.peers.has_others()
        self.services.router_count.record(len(event.numbers), now)
        for number in self.peers.update(event.numbers, event.zones, now):
            announcement.forget_peer(number, self.services.values())
        self.refresh(now)
        return was_alone and self.peers.has_others()

    def refresh(self, now: float) -> None:
        """Reassign the slices if a peer has timed out or is live again."""
        live = self.peers.live(now)
        if live == self.live:
            return
        for number in set(self.live) - set(live):
            announcement.forget_peer(number, self.services.values())
        self.live = live
        self.services.assign(live)

    def sections(self, service: Service, now: float) -> Mapping[int, tuple[Section, float]]:
        """Return each router's section for a service with its age in seconds, by router number."""
        return announcement.sections_by_router(service, self.own_row, self.own_row_at, self.peers, now)
