"""The leader's view of who could join the group and who should leave it."""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from firvane.core.address import Address
from firvane.fleet.replication.core import Core
from firvane.fleet.replication.membership_policy import Change, LearnerView, MembershipPolicy, VoterView
from firvane.fleet.replication.progress import Progress
from firvane.fleet.replication.types import Member


class _Spare(Struct):
    member: Member
    heard_at: float


class Membership:
    """Controllers outside the group, by what they answered, and departures that were announced."""

    def __init__(self, core: Core, policy: MembershipPolicy) -> None:
        self.core = core
        self.policy = policy
        self.candidates: Sequence[Address] = ()  # live controllers, in the order of preference
        self._spares: dict[Address, _Spare] = {}
        self._leaving: dict[int, float] = {}  # by incarnation, when it was announced

    def on_beacon_reply(self, sender: Member, now: float) -> None:
        """A controller has answered with its present incarnation."""
        self._spares[sender.address] = _Spare(sender, now)

    def on_leave(self, sender: Member, now: float) -> None:
        """A voter is about to stop."""
        self._leaving[sender.incarnation] = now

    def is_leaving(self, member: Member, now: float) -> bool:
        """Whether a voter has announced that it is about to stop."""
        announced = self._leaving.get(member.incarnation, float("-inf"))
        return now - announced < self.core.timing.leave_valid

    def addresses_to_call(self) -> list[Address]:
        """Candidates outside the group."""
        voters = {member.address for member in self.core.log.members}
        return [address for address in self.candidates if address not in voters]

    def wanted_learners(self, peers: dict[int, Progress], now: float) -> list[Member]:
        """Spares that should be taught now."""
        return self.policy.wanted_learners(self._voters(peers, now), self._live_spares(now))

    def next_change(self, peers: dict[int, Progress], now: float) -> Change | None:
        """The change of voters that is due, if any."""
        learners = [
            LearnerView(peer.member, self._caught_up(peer, now))
            for peer in peers.values()
            if not self.core.is_voter(peer.member.incarnation) and not self.is_leaving(peer.member, now)
        ]
        return self.policy.decide(self._voters(peers, now), learners)

    def _live_spares(self, now: float) -> list[Member]:
        patience = self.core.timing.learn_after
        voters = {member.incarnation for member in self.core.log.members}
        live = [
            spare.member
            for spare in self._spares.values()
            if now - spare.heard_at < patience
            and spare.member.incarnation not in voters
            and not self.is_leaving(spare.member, now)
        ]
        order = {address: position for position, address in enumerate(self.candidates)}
        return sorted(live, key=lambda member: order.get(member.address, len(order)))

    def _voters(self, peers: dict[int, Progress], now: float) -> list[VoterView]:
        views = []
        for member in self.core.log.members:
            peer = peers.get(member.incarnation)
            if peer is None:
                views.append(VoterView(member, 0.0, is_leader=True))
                continue
            leaving = self.is_leaving(member, now)
            views.append(VoterView(member, now - peer.last_reply, peer.superseded, leaving))
        return views

    def _caught_up(self, peer: Progress, now: float) -> bool:
        recent = now - peer.last_reply < self.core.timing.recent
        return recent and peer.match >= self.core.commit_index and not peer.disk_trouble
