"""The exchange of rows with the peers: when the own row is sent, and what the peers' rows cause here."""

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

MAX_UNMATCHED_BLOCKS = 512  # kept until their servers are known


class RowExchange:
    """This router's side of the exchange; it shares `services` with the balancer.

    Attributes:
        peers: The other routers.
        live: Sorted numbers of the live routers.
        own_row: The row as last sent, since peers decide by that.
        own_row_at: When it was sent.
    """

    def __init__(self, own_number: int, services: Services, now: float) -> None:
        self.own_number, self.services = own_number, services
        self.peers = Peers(own_number)
        self.live: list[int] = [own_number]
        self.own_row: Row | None = None
        self.own_row_at = now
        self._unmatched_blocks: list[CachedBlock] = []

    def announce(self, flags: RowFlags, queued: int, now: float, peer: int | None = None) -> api.SendToPeer:
        """Return the action that sends the own row to one peer, or to all where `peer` is None."""
        zone, services = self.peers.zones().get(self.own_number, 0), list(self.services.values())
        row = announcement.make_row(services, self.own_number, zone, queued, flags, now)
        self.own_row, self.own_row_at = row, now
        limit = max_cached_blocks(len(row.sections), len(row.entries))
        select = announcement.take_unannounced_blocks if peer is None else announcement.recent_blocks
        return api.SendToPeer(peer, encode_row(row._replace(cached_blocks=select(services, limit))))

    def may_announce(self, now: float) -> bool:
        """Return whether a row out of turn is within the bound on received rows."""
        return now >= self.own_row_at + self.peers.min_row_interval

    def receive(self, message: api.PeerMessage, queued: int, now: float) -> list[api.Action]:
        """Apply a peer's row, and return the actions that answer it."""
        try:
            row = decode_row(message.payload)
        except RowError:
            return []  # truncated or foreign bytes are dropped
        previous = self.peers.last_row_of(message.sender)
        if not self.peers.record_row(message.sender, row, now):
            return []
        announcement.apply_row(row, previous, message.sender, self.services.values(), now)
        if row.cached_blocks:
            self._apply_cached_blocks(row.cached_blocks)
        answers = list[api.Action]()
        if row.flags & RowFlags.ASK:
            answers.append(self.announce(RowFlags.NONE, queued, now, message.sender))
        if row.flags & RowFlags.RISK:
            for service in self.services.values():
                service.slices.drop_moves_to(message.sender)
        elif self._count_unexpected_offloads(row):
            answers.append(self.announce(RowFlags.RISK, queued, now, message.sender))
        return answers

    def _apply_cached_blocks(self, blocks: Iterable[CachedBlock]) -> None:
        unmatched = announcement.apply_cached_blocks(blocks, self.services.values())
        self._unmatched_blocks = (self._unmatched_blocks + unmatched)[-MAX_UNMATCHED_BLOCKS:]

    def apply_unmatched_blocks(self) -> None:
        """Apply the blocks whose servers were not known so far, after servers have become known."""
        blocks, self._unmatched_blocks = self._unmatched_blocks, []
        self._apply_cached_blocks(blocks)

    def _count_unexpected_offloads(self, row: Row) -> bool:
        """Count the services for which a row shows an unexpected offload; whether there is any."""
        found = False
        for service in self.services.values():
            if announcement.is_unexpected_offload(row, service, self.own_number):
                service.unexpected_offloads += 1
                found = True
        return found

    def update(self, event: PeersChanged, now: float) -> bool:
        """Apply a change of the membership; whether the first peers came, which are to be asked for rows."""
        was_alone = not self.peers.has_others()
        self.services.router_count.record(len(event.numbers), now)
        for number in self.peers.update(event.numbers, event.zones, now):
            announcement.forget_peer(number, self.services.values())
        self.refresh(now)
        return was_alone and self.peers.has_others()

    def refresh(self, now: float) -> None:
        """Assign the slices anew where a peer has timed out or has returned."""
        live = self.peers.live(now)
        if live == self.live:
            return
        for number in set(self.live) - set(live):
            announcement.forget_peer(number, self.services.values())
        self.live = live
        self.services.assign(live)

    def sections(self, service: Service, now: float) -> Mapping[int, tuple[Section, float]]:
        """Return the rates of all routers for a service with their ages in seconds, by router."""
        return announcement.sections_by_router(service, self.own_row, self.own_row_at, self.peers, now)
