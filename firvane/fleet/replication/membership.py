"""The leader's view of the spare controllers that could join the group, and of draining voters."""

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
    last_reply_at: float


class Membership:
    """Tracks controllers outside the group that reply to beacons, and voters that announced a drain."""

    def __init__(self, core: Core, policy: MembershipPolicy) -> None:
        self.core = core
        self.policy = policy
        self.live_controllers: Sequence[Address] = ()  # in order of preference as group members
        self._spares: dict[Address, _Spare] = {}
        self._drain_noticed_at: dict[int, float] = {}  # time of the last drain notice, by incarnation

    def on_beacon_reply(self, sender: Member, now: float) -> None:
        """Record the current incarnation of a controller that replied."""
        self._spares[sender.address] = _Spare(sender, now)

    def on_drain_notice(self, sender: Member, now: float) -> None:
        """Record that a voter announced its drain."""
        self._drain_noticed_at[sender.incarnation] = now

    def is_draining(self, member: Member, now: float) -> bool:
        """Whether this member sent a drain notice that has not expired."""
        noticed_at = self._drain_noticed_at.get(member.incarnation, float("-inf"))
        return now - noticed_at < self.core.timing.drain_notice_valid_s

    def beacon_targets(self) -> list[Address]:
        """The addresses of the live controllers outside the group."""
        voters = {member.address for member in self.core.log.members}
        return [address for address in self.live_controllers if address not in voters]

    def wanted_learners(self, peers: dict[int, Progress], now: float) -> list[Member]:
        """The spare controllers that should be learners now."""
        return self.policy.wanted_learners(self._voters(peers, now), self._live_spares(now))

    def next_change(self, peers: dict[int, Progress], now: float) -> Change | None:
        """The membership change that is due; None if there is none."""
        learners = [
            LearnerView(peer.member, self._has_caught_up(peer, now))
            for peer in peers.values()
            if not self.core.is_voter(peer.member.incarnation) and not self.is_draining(peer.member, now)
        ]
        return self.policy.decide(self._voters(peers, now), learners)

    def _live_spares(self, now: float) -> list[Member]:
        max_reply_age_s = self.core.timing.learner_start_after_s
        voters = {member.incarnation for member in self.core.log.members}
        live = [
            spare.member
            for spare in self._spares.values()
            if now - spare.last_reply_at < max_reply_age_s
            and spare.member.incarnation not in voters
            and not self.is_draining(spare.member, now)
        ]
        preference = {address: position for position, address in enumerate(self.live_controllers)}
        return sorted(live, key=lambda member: preference.get(member.address, len(preference)))

    def _voters(self, peers: dict[int, Progress], now: float) -> list[VoterView]:
        views = []
        for member in self.core.log.members:
            peer = peers.get(member.incarnation)
            if peer is None:
                views.append(VoterView(member, 0.0, is_leader=True))
                continue
            draining = self.is_draining(member, now)
            views.append(VoterView(member, now - peer.last_reply_at, peer.superseded, draining))
        return views

    def _has_caught_up(self, peer: Progress, now: float) -> bool:
        recent = now - peer.last_reply_at < self.core.timing.reachable_within_s
        return recent and peer.match_index >= self.core.commit_index and not peer.disk_fault
