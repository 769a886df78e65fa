"""Decides when the voters of a group change; a pure function of the leader's view of the group.

1. A voter whose address replies with another incarnation has lost its disk: it is removed at once, since it
   can never vote again. In a group of two it is removed only after a replacement has been added, since a
   single remaining voter would commit entries that only one disk stores.
2. A learner that has caught up becomes a voter if the group is smaller than the target size.
3. A draining voter is replaced while it still runs: the learner is added first.
4. A voter that is unresponsive beyond the timeout is replaced once a learner has caught up: it is removed
   first, since that does not raise the quorum.
5. A group larger than the target size removes a voter: an unresponsive one, else a draining one, else any
   once all are healthy. An additional voter raises the quorum without tolerating more failures.
6. Without a learner no voter is removed for being unresponsive: a smaller group tolerates fewer failures.
7. Voters are spread over the failure domains: a replacement comes from the domain with the fewest voters, and
   while all are healthy, a voter is replaced by a spare whose domain has at least two voters fewer.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

from msgspec import Struct

from firvane.fleet.replication.spread import DomainOf, Spread, one_domain_per_address
from firvane.fleet.replication.types import Member

MAX_VOTERS_TO_ADD_FIRST = 2
"""A group of at most this many voters adds a replacement before it removes a voter."""


class ChangeKind(enum.Enum):
    """The kinds of membership changes."""

    ADD = 1
    REMOVE = 2


class Change(Struct, frozen=True):
    """One membership change, to be appended to the group's log."""

    kind: ChangeKind
    member: Member


class VoterView(Struct, frozen=True):
    """A voter as the leader sees it; `unresponsive_for_s` is 0 for the leader itself."""

    member: Member
    unresponsive_for_s: float
    superseded: bool = False
    draining: bool = False
    is_leader: bool = False


class LearnerView(Struct, frozen=True):
    """A learner as the leader sees it."""

    member: Member
    caught_up: bool


class MembershipPolicy(Struct, frozen=True):
    """Decides on membership changes.

    Attributes:
        target_size: The intended number of voters.
        learner_start_after_s: Seconds without a reply after which a voter is suspect and a learner starts.
        voter_replace_after_s: Seconds without a reply after which a voter is replaced.
        healthy_within_s: Seconds since the last reply within which a voter is healthy.
        domain_of: Returns the failure domain of an address.
    """

    target_size: int
    learner_start_after_s: float
    voter_replace_after_s: float
    healthy_within_s: float
    domain_of: DomainOf = one_domain_per_address

    def wanted_learners(self, voters: Sequence[VoterView], spares: Sequence[Member]) -> list[Member]:
        """Return the spares that should be learners; `spares` are in order of preference."""
        suspects = [voter for voter in voters if self._is_suspect(voter)]
        needed = max(0, self.target_size - len(voters)) + len(suspects)
        spread = Spread(self.domain_of, self._healthy_members(voters))
        if not needed:
            preferred = spread.least_crowded(spares)
            return [preferred] if preferred and spread.improves(preferred) else []
        superseded_addresses = {voter.member.address for voter in voters if voter.superseded}
        wanted = [spare for spare in spares if spare.address in superseded_addresses][:needed]
        remaining = [spare for spare in spares if spare.address not in superseded_addresses]
        for spare in wanted:
            spread.add(spare)
        while len(wanted) < needed and (best := spread.least_crowded(remaining)):
            wanted.append(best)
            remaining.remove(best)
            spread.add(best)
        return wanted

    def decide(self, voters: Sequence[VoterView], learners: Sequence[LearnerView]) -> Change | None:
        """Return the next membership change; None if none is due."""
        spread = Spread(self.domain_of, self._healthy_members(voters))
        ready = spread.least_crowded([learner.member for learner in learners if learner.caught_up])
        others = [voter for voter in voters if not voter.is_leader]
        superseded = next((voter for voter in others if voter.superseded), None)
        if superseded and len(voters) > MAX_VOTERS_TO_ADD_FIRST:
            return Change(ChangeKind.REMOVE, superseded.member)
        if superseded and ready:
            return Change(ChangeKind.ADD, ready)
        draining = [voter for voter in others if voter.draining]
        unresponsive = sorted(
            (voter for voter in others if voter.unresponsive_for_s > self.voter_replace_after_s),
            key=lambda voter: -voter.unresponsive_for_s,
        )
        if ready and len(voters) < self.target_size:
            return Change(ChangeKind.ADD, ready)
        if len(voters) > self.target_size and others:
            return self._shrink(voters, others, unresponsive, draining)
        if ready and unresponsive:
            return Change(ChangeKind.REMOVE, unresponsive[0].member)
        has_suspects = any(self._is_suspect(voter) for voter in voters)
        if (
            ready
            and len(voters) == self.target_size
            and (draining or (not has_suspects and spread.improves(ready)))
        ):
            return Change(ChangeKind.ADD, ready)
        return None

    def _shrink(
        self,
        voters: Sequence[VoterView],
        others: Sequence[VoterView],
        unresponsive: Sequence[VoterView],
        draining: Sequence[VoterView],
    ) -> Change | None:
        if unresponsive or draining:
            return Change(ChangeKind.REMOVE, (unresponsive or draining)[0].member)
        if max(voter.unresponsive_for_s for voter in others) > self.healthy_within_s:
            return None
        spread = Spread(self.domain_of, self._healthy_members(voters))
        surplus = max(
            others, key=lambda voter: (spread.voters_in_domain_of(voter.member), voter.unresponsive_for_s)
        )
        return Change(ChangeKind.REMOVE, surplus.member)

    def _healthy_members(self, voters: Sequence[VoterView]) -> list[Member]:
        return [voter.member for voter in voters if not self._is_suspect(voter)]

    def _is_suspect(self, voter: VoterView) -> bool:
        return voter.superseded or voter.draining or voter.unresponsive_for_s > self.learner_start_after_s
