"""When the voters of a group change: a pure policy over what its leader sees.

1. A voter whose address answers with another incarnation has lost its disk for good: it is removed at once,
   since it can never again be part of a majority, and the others' majority stays as it is. Of two voters it
   is removed only after a successor has been added: a single voter would acknowledge what one disk holds.
2. A learner that has caught up becomes a voter where there are fewer than the target.
3. A voter that announced its departure is replaced while it still runs: the learner is added first.
4. A voter that has been silent for long is replaced once a learner has caught up: it is removed first, since
   the majority is no larger without it.
5. A group larger than the target loses a voter: a silent one, else a departing one, else any, once all are
   well. One voter more bears no more losses, and asks for one more acknowledgement.
6. Without a spare controller nobody is removed for silence: a smaller group would bear less.
7. Voters are spread over the failure domains: who replaces another comes from the domain with the fewest
   voters, and in calm a voter of a crowded domain gives way to a spare of one with two voters fewer.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

from msgspec import Struct

from firvane.fleet.replication.spread import DomainOf, Spread, each_alone
from firvane.fleet.replication.types import Member

SMALLEST_REDUCED = 2
"""A group of so many voters or fewer loses none before another one has been added."""


class ChangeKind(enum.Enum):
    """The two changes of a group's voters."""

    ADD = 1
    REMOVE = 2


class Change(Struct, frozen=True):
    """One change, to be made through the group's log."""

    kind: ChangeKind
    member: Member


class VoterView(Struct, frozen=True):
    """A voter as the leader sees it; `silent_for` in seconds, 0 for the leader itself."""

    member: Member
    silent_for: float
    superseded: bool = False
    leaving: bool = False
    is_leader: bool = False


class LearnerView(Struct, frozen=True):
    """A learner as the leader sees it."""

    member: Member
    caught_up: bool


class MembershipPolicy(Struct, frozen=True):
    """The target size, and times in seconds: the patience with silent voters, and what counts as well.

    `domain_of` names the failure domain of an address.
    """

    target_size: int
    learn_after: float
    replace_after: float
    well_within: float
    domain_of: DomainOf = each_alone

    def wanted_learners(self, voters: Sequence[VoterView], spares: Sequence[Member]) -> list[Member]:
        """Which controllers outside the group to teach; `spares` come in the order of preference."""
        in_doubt = [voter for voter in voters if self._is_in_doubt(voter)]
        missing = max(0, self.target_size - len(voters)) + len(in_doubt)
        spread = Spread(self.domain_of, self._sound(voters))
        if not missing:
            better = spread.least_crowded(spares)
            return [better] if better and spread.improves(better) else []
        lost_addresses = {voter.member.address for voter in voters if voter.superseded}
        wanted = [spare for spare in spares if spare.address in lost_addresses][:missing]
        left = [spare for spare in spares if spare.address not in lost_addresses]
        for spare in wanted:
            spread.add(spare)
        while len(wanted) < missing and (best := spread.least_crowded(left)):
            wanted.append(best)
            left.remove(best)
            spread.add(best)
        return wanted

    def decide(self, voters: Sequence[VoterView], learners: Sequence[LearnerView]) -> Change | None:
        """The next change, if any is due."""
        spread = Spread(self.domain_of, self._sound(voters))
        ready = spread.least_crowded([learner.member for learner in learners if learner.caught_up])
        others = [voter for voter in voters if not voter.is_leader]
        superseded = next((voter for voter in others if voter.superseded), None)
        if superseded and len(voters) > SMALLEST_REDUCED:
            return Change(ChangeKind.REMOVE, superseded.member)
        if superseded and ready:
            return Change(ChangeKind.ADD, ready)
        leaving = [voter for voter in others if voter.leaving]
        silent = sorted(
            (voter for voter in others if voter.silent_for > self.replace_after),
            key=lambda voter: -voter.silent_for,
        )
        if ready and len(voters) < self.target_size:
            return Change(ChangeKind.ADD, ready)
        if len(voters) > self.target_size and others:
            return self._shrink(voters, others, silent, leaving)
        if ready and silent:
            return Change(ChangeKind.REMOVE, silent[0].member)
        in_doubt = any(self._is_in_doubt(voter) for voter in voters)
        if (
            ready
            and len(voters) == self.target_size
            and (leaving or (not in_doubt and spread.improves(ready)))
        ):
            return Change(ChangeKind.ADD, ready)
        return None

    def _shrink(
        self,
        voters: Sequence[VoterView],
        others: Sequence[VoterView],
        silent: Sequence[VoterView],
        leaving: Sequence[VoterView],
    ) -> Change | None:
        if silent or leaving:
            return Change(ChangeKind.REMOVE, (silent or leaving)[0].member)
        if max(voter.silent_for for voter in others) > self.well_within:
            return None
        spread = Spread(self.domain_of, self._sound(voters))
        surplus = max(others, key=lambda voter: (spread.count_beside(voter.member), voter.silent_for))
        return Change(ChangeKind.REMOVE, surplus.member)

    def _sound(self, voters: Sequence[VoterView]) -> list[Member]:
        return [voter.member for voter in voters if not self._is_in_doubt(voter)]

    def _is_in_doubt(self, voter: VoterView) -> bool:
        return voter.superseded or voter.leaving or voter.silent_for > self.learn_after
