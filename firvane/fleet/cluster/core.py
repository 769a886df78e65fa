"""Membership and dissemination of one process, combined into one state machine on bytes. Does no I/O."""

from __future__ import annotations

import random
import struct
from collections.abc import Callable, Sequence

from msgspec import Struct, field

from firvane.core.address import Address
from firvane.fleet.cluster.applied import AppliedVersions
from firvane.fleet.cluster.envelope import (
    ENVELOPE_OVERHEAD,
    SECTION_OVERHEAD,
    EnvelopeError,
    Plane,
    Section,
    decode_envelope,
    encode_envelope,
)
from firvane.fleet.dissemination.codec import MessageError as DisseminationError
from firvane.fleet.dissemination.items import Item
from firvane.fleet.dissemination.machine import Dissemination, Output, never_withheld
from firvane.fleet.dissemination.machine import Send as ItemSend
from firvane.fleet.dissemination.peers import Peer, PeerSet
from firvane.fleet.membership.codec import MessageError as MembershipError
from firvane.fleet.membership.machine import Membership
from firvane.fleet.membership.members import Member, MemberState, Role
from firvane.fleet.membership.outbox import Send as MemberSend

MAX_PAYLOAD_BYTES = 1200
"""Maximum bytes of a payload that combines several sections for one peer."""
_SUMMARY = struct.Struct(">I")


class PayloadError(ValueError):
    """A payload from another process cannot be decoded; the text gives the reason."""


class Effects(Struct):
    """The messages, newly learned items and membership changes that an input causes."""

    sends: list[tuple[Address, bytes]] = field(default_factory=list)
    learned: list[Item] = field(default_factory=list)
    members_changed: bool = False


class KnownMember(Struct, frozen=True):
    """A member in the view of this process, and the version of the configuration that the member applies."""

    state: MemberState
    applied_version: int | None = None
    """None if the member's current incarnation has not reported any."""
    report_age: float | None = None
    """Seconds since the report arrived; 0 for this process."""


class ClusterCore:
    """One member of the cluster. Methods that take `now` (monotonic seconds) return their effects."""

    def __init__(
        self,
        identity: Member,
        seeds: Sequence[Address],
        rng: random.Random,
        now: float,
        is_withheld: Callable[[bytes], bool] = never_withheld,
    ) -> None:
        """`is_withheld` returns whether the item of a key must not be offered to others at this moment."""
        self._membership = Membership(identity, seeds, rng, now)
        self._dissemination = Dissemination(rng, now, is_withheld)
        self._peer_set_version = -1
        self._members_version = self._membership.version
        self._pending_sections: dict[Address, list[Section]] = {}
        self._learned: list[Item] = []
        self._applied = AppliedVersions()
        self._controllers: frozenset[Address] = frozenset()

    @property
    def identity(self) -> Member:
        """This process's identity; its incarnation may have risen since the start."""
        return self._membership.identity

    def members(self, role: Role | None = None) -> list[Member]:
        """Return the members believed live, this process included."""
        return [member for member in self._membership.members() if role is None or member.role is role]

    def known_members(self, now: float) -> list[KnownMember]:
        """Return all known members, this process first, with those that died or left recently."""
        states = self._membership.states(now)
        own = KnownMember(states[0], self._applied.own, None if self._applied.own is None else 0.0)
        return [own, *(self._known_member(state, now) for state in states[1:])]

    def _known_member(self, state: MemberState, now: float) -> KnownMember:
        report = self._applied.report_of(state.member)
        if report is None:
            return KnownMember(state)
        return KnownMember(state, report.version, now - report.received_at)

    def set_applied_version(self, version: int) -> None:
        """From now on, report this version of the configuration as the one that this process applies."""
        self._applied.own = version
        self._dissemination.report_to_controllers()

    def item(self, key: bytes) -> Item | None:
        """Return the newest known item of a key, or None."""
        return self._dissemination.item(key)

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Replace the seeds."""
        self._membership.set_seeds(seeds)

    def deadline(self) -> float:
        """Return when `tick` is due next."""
        return min(self._membership.deadline(), self._dissemination.deadline())

    def tick(self, now: float) -> Effects:
        """Run the due timers of membership and dissemination."""
        self._add_member_sends(self._membership.tick(now))
        self._refresh_peers()
        self._add_output(self._dissemination.tick(now))
        return self._effects()

    def receive(self, sender: Address, payload: bytes, now: float) -> Effects:
        """Handle a payload of another process.

        Raises:
            PayloadError: It cannot be decoded; the sections before the invalid one have taken effect.
        """
        try:
            for section in decode_envelope(payload):
                self._receive_section(sender, section, now)
        except (EnvelopeError, MembershipError, DisseminationError) as error:
            raise PayloadError(str(error)) from None
        return self._effects()

    def publish(self, item: Item, now: float) -> Effects:
        """Store an item of this process and disseminate it."""
        self._refresh_peers()
        self._add_output(self._dissemination.publish(item, now))
        return self._effects()

    def record_received(self, sender: Address, now: float) -> None:
        """Record that a payload of the sender has arrived, so that the sender is alive."""
        self._membership.record_received(sender, now)

    def leave(self, now: float) -> Effects:
        """Return messages that notify some members that this process leaves."""
        self._add_member_sends(self._membership.leave(now))
        return self._effects()

    def _receive_section(self, sender: Address, section: Section, now: float) -> None:
        match section.plane:
            case Plane.MEMBERSHIP:
                self._add_member_sends(self._membership.receive(sender, section.content, now))
            case Plane.SUMMARY:
                if len(section.content) != _SUMMARY.size:
                    raise EnvelopeError("summary has a wrong length")
                (summary,) = _SUMMARY.unpack(section.content)
                self._add_member_sends(self._membership.compare_summary(sender, summary, now))
            case Plane.APPLIED:
                self._receive_report(sender, section.content, now)
            case Plane.DISSEMINATION:
                self._refresh_peers()
                self._add_output(self._dissemination.receive(sender, section.content, now))

    def _receive_report(self, sender: Address, content: bytes, now: float) -> None:
        """Store the report of a live member; others are ignored, so that the number of reports is bounded."""
        member = self._membership.member(sender)
        if member is not None:
            self._applied.receive(member, content, now)

    def _refresh_peers(self) -> None:
        if self._peer_set_version == self._membership.version:
            return
        self._peer_set_version = self._membership.version
        own = self._membership.identity
        others = [member for member in self._membership.members() if member.address != own.address]
        self._applied.retain(member.address for member in others)
        self._controllers = frozenset(m.address for m in others if m.role is Role.CONTROLLER)
        peers = [Peer(m.address, m.zone, m.role is Role.CONTROLLER) for m in others]
        self._dissemination.set_peers(
            PeerSet(own.zone, peers, self._membership.successor(), own.role is Role.CONTROLLER)
        )

    def _add_member_sends(self, sends: Sequence[MemberSend]) -> None:
        for send in sends:
            self._enqueue(send.to, Plane.MEMBERSHIP, send.payload)
            if send.is_heartbeat:
                self._enqueue(send.to, Plane.DISSEMINATION, self._dissemination.summary_message())
            elif send.is_join:
                self._enqueue(send.to, Plane.DISSEMINATION, self._dissemination.digest_message())

    def _add_output(self, output: Output) -> None:
        self._learned += output.learned
        for send in output.sends:
            self._add_item_send(send)

    def _add_item_send(self, send: ItemSend) -> None:
        self._enqueue(send.to, Plane.DISSEMINATION, send.payload)
        if send.is_summary:
            self._enqueue(send.to, Plane.SUMMARY, _SUMMARY.pack(self._membership.summary()))
            report = self._applied.section()
            if report is not None and send.to in self._controllers:
                self._enqueue(send.to, Plane.APPLIED, report)

    def _enqueue(self, to: Address, plane: Plane, content: bytes) -> None:
        self._pending_sections.setdefault(to, []).append(Section(plane, content))

    def _effects(self) -> Effects:
        effects = Effects(learned=self._learned)
        self._learned = []
        for to, sections in self._pending_sections.items():
            effects.sends += [(to, payload) for payload in _pack(sections)]
        self._pending_sections.clear()
        if self._members_version != self._membership.version:
            self._members_version = self._membership.version
            effects.members_changed = True
        return effects


def _pack(sections: Sequence[Section]) -> list[bytes]:
    """Return payloads with the sections in order, as many in one payload as fit a datagram."""
    payloads = []
    batch: list[Section] = []
    size = ENVELOPE_OVERHEAD
    for section in sections:
        length = SECTION_OVERHEAD + len(section.content)
        if batch and size + length > MAX_PAYLOAD_BYTES:
            payloads.append(encode_envelope(batch))
            batch, size = [], ENVELOPE_OVERHEAD
        batch.append(section)
        size += length
    if batch:
        payloads.append(encode_envelope(batch))
    return payloads
