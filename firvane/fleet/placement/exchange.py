"""Rows to and from the peers: when the own row goes, and what the rows of others change here."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from firvane.core import interface as api
from firvane.fleet.placement import announcement
from firvane.fleet.placement.events import PeersChanged
from firvane.fleet.placement.peers import Peers
from firvane.fleet.placement.rows import (
    Read,
    Row,
    RowError,
    RowFlags,
    Section,
    decode_row,
    encode_row,
    room_for_reads,
)
from firvane.fleet.placement.service import Service
from firvane.fleet.placement.services import Services

MOST_UNPLACED = 512  # reads that are kept until their servers are known


class RowExchange:
    """This router's side of the exchange. `services` is shared with the balancer."""

    def __init__(self, me: int, services: Services, now: float) -> None:
        self.me, self.services = me, services
        self.peers = Peers(me)
        self.live: list[int] = [me]
        self.own_row: Row | None = None
        self.own_row_at = now
        self._unplaced: list[Read] = []  # of servers that are not known yet

    def announce(self, flags: RowFlags, held: int, now: float, peer: int | None = None) -> api.SendToPeer:
        """The own row, to one peer or to all; it is kept as announced, since peers decide by that."""
        zone, services = self.peers.zones().get(self.me, 0), list(self.services.values())
        row = announcement.make_row(services, self.me, zone, held, flags, now)
        self.own_row, self.own_row_at = row, now
        most = room_for_reads(len(row.sections), len(row.entries))
        pick = announcement.take_reads if peer is None else announcement.latest_reads
        return api.SendToPeer(peer, encode_row(row._replace(reads=pick(services, most))))

    def may_announce(self, now: float) -> bool:
        """Whether a row out of turn is within the bound on rows heard."""
        return now >= self.own_row_at + self.peers.notice_pause

    def hear(self, message: api.PeerMessage, held: int, now: float) -> list[api.Action]:
        """Take a peer's row; the answers that it calls for."""
        try:
            row = decode_row(message.payload)
        except RowError:
            return []  # cut or foreign bytes harm nothing
        before = self.peers.row_of(message.sender)
        if not self.peers.hear(message.sender, row, now):
            return []
        announcement.learn_row(row, before, message.sender, self.services.values(), now)
        if row.reads:
            self._learn_reads(row.reads)
        answers = list[api.Action]()
        if row.flags & RowFlags.ASK:
            answers.append(self.announce(RowFlags.NONE, held, now, message.sender))
        if row.flags & RowFlags.RISK:
            for service in self.services.values():
                service.slices.drop_moves_to(message.sender)
        elif self._is_unexpected(row):
            answers.append(self.announce(RowFlags.RISK, held, now, message.sender))
        return answers

    def _learn_reads(self, reads: Iterable[Read]) -> None:
        unknown = announcement.learn_reads(reads, self.services.values())
        self._unplaced = (self._unplaced + unknown)[-MOST_UNPLACED:]

    def place_reads(self) -> None:
        """Servers have become known: what peers told of them before is put into the picture."""
        reads, self._unplaced = self._unplaced, []
        self._learn_reads(reads)

    def _is_unexpected(self, row: Row) -> bool:
        """Whether a row tells of far more work toward the own slices than expected; counts it as a miss."""
        found = False
        for service in self.services.values():
            if announcement.unexpected_offload(row, service, self.me):
                service.misses += 1
                found = True
        return found

    def update(self, event: PeersChanged, now: float) -> bool:
        """The membership has changed; whether these are the first peers, which are to be asked for rows."""
        was_alone = not self.peers.others()
        self.services.sharers.note(len(event.numbers), now)
        for number in self.peers.update(event.numbers, event.zones, now):
            announcement.forget_peer(number, self.services.values())
        self.refresh(now)
        return was_alone and self.peers.others()

    def refresh(self, now: float) -> None:
        """Deal the slices anew where a peer has fallen silent or is heard again."""
        live = self.peers.live(now)
        if live == self.live:
            return
        for number in set(self.live) - set(live):
            announcement.forget_peer(number, self.services.values())
        self.live = live
        self.services.assign(live)

    def sections(self, service: Service, now: float) -> Mapping[int, tuple[Section, float]]:
        """The figures of all live routers for a service, with their ages in s."""
        return announcement.sections_of(service, self.own_row, self.own_row_at, self.peers, now)
