"""The membership policy, tested exhaustively for small groups: all states of each voter and learner."""

from __future__ import annotations

import enum
import itertools
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import pytest

from firvane.core.address import Address
from firvane.fleet.replication.membership_policy import (
    Change,
    ChangeKind,
    LearnerView,
    MembershipPolicy,
    VoterView,
)
from firvane.fleet.replication.types import Member, quorum_of

LEARNER_START_AFTER, REPLACE_AFTER, HEALTHY_WITHIN = 1.2, 2.0, 0.3
ZONES = "abc"
ONE_ZONE = "a"


class Condition(enum.Enum):
    """The condition of a voter as the leader sees it; values from 0 on are seconds without a reply."""

    HEALTHY = 0.0
    DELAYED = 1.0  # neither healthy nor suspect
    SUSPECT = 1.5
    UNRESPONSIVE = 3.0
    SUPERSEDED = -1.0
    DRAINING = -2.0


RUNNING = (Condition.HEALTHY, Condition.DELAYED, Condition.DRAINING)
GONE = (Condition.UNRESPONSIVE, Condition.SUPERSEDED)


@dataclass(frozen=True)
class PolicyCase:
    """A leader's view of its group and the policy's decision; the first voter is the leader."""

    target: int
    voters: tuple[VoterView, ...]
    conditions: tuple[Condition, ...]
    learners: tuple[LearnerView, ...]
    change: Change | None


def zone_of(address: Address) -> str:
    return address[0].split(".")[1]


def member(zone: str, number: int) -> Member:
    return Member((f"10.{zone}.0.{number}", 7300), number)


def policy_of(target: int) -> MembershipPolicy:
    return MembershipPolicy(target, LEARNER_START_AFTER, REPLACE_AFTER, HEALTHY_WITHIN, zone_of)


def view(voter_member: Member, condition: Condition, is_leader: bool) -> VoterView:
    return VoterView(
        voter_member,
        max(0.0, condition.value),
        superseded=condition is Condition.SUPERSEDED,
        draining=condition is Condition.DRAINING,
        is_leader=is_leader,
    )


def policy_cases(target: int, size: int, zones: str, learners: int) -> Iterator[PolicyCase]:
    """All groups of a size: by zones, conditions of the other voters, and up to `learners` learners."""
    policy = policy_of(target)
    options = [(zone, ready) for zone in zones for ready in (True, False)]
    learner_sets = [
        chosen for count in range(learners + 1) for chosen in itertools.product(options, repeat=count)
    ]
    for voter_zones in itertools.product(zones, repeat=size):
        members = [member(zone, number + 1) for number, zone in enumerate(voter_zones)]
        for others in itertools.product(Condition, repeat=size - 1):
            conditions = (Condition.HEALTHY, *others)
            voters = tuple(
                view(voter_member, condition, voter_member == members[0])
                for voter_member, condition in zip(members, conditions, strict=True)
            )
            for chosen in learner_sets:
                learner_views = tuple(
                    LearnerView(member(zone, 50 + number), ready)
                    for number, (zone, ready) in enumerate(chosen)
                )
                yield PolicyCase(
                    target, voters, conditions, learner_views, policy.decide(voters, learner_views)
                )


SPACES = {
    "three, with zones": [(3, size, ZONES, 1) for size in (1, 2, 3)] + [(3, 4, "ab", 1)],
    "five": [(5, size, ONE_ZONE, 2) for size in (2, 3, 4, 5, 6)],
    "seven": [(7, 6, ONE_ZONE, 1)],
}
STATES = {"three, with zones": 24_483, "five": 65_310, "seven": 23_328}


def running(case: PolicyCase) -> int:
    return sum(condition in RUNNING for condition in case.conditions)


def condition_of(case: PolicyCase, voter_member: Member) -> Condition:
    position = [voter.member for voter in case.voters].index(voter_member)
    return case.conditions[position]


def check_change(case: PolicyCase, change: Change) -> None:
    """Check that a change does not reduce the number of further losses that the group tolerates."""
    size, running_voters = len(case.voters), running(case)
    ready = [learner.member for learner in case.learners if learner.caught_up]
    if change.kind is ChangeKind.ADD:
        assert change.member in ready
        assert size <= case.target
        assert running_voters + 1 - quorum_of(size + 1) >= running_voters - quorum_of(size)
        return
    condition = condition_of(case, change.member)
    assert not next(voter for voter in case.voters if voter.member == change.member).is_leader
    assert size - 1 >= 2, "a single voter would acknowledge entries that only one disk stores"
    running_after = running_voters - (condition in RUNNING)
    assert running_after - quorum_of(size - 1) >= running_voters - quorum_of(size)
    if size <= case.target:
        assert condition in GONE
        assert condition is Condition.SUPERSEDED or ready


@pytest.mark.parametrize("space", SPACES)
def test_no_change_reduces_the_tolerated_losses(space: str) -> None:
    count = 0
    for bounds in SPACES[space]:
        for case in policy_cases(*bounds):
            count += 1
            if case.change is not None:
                check_change(case, case.change)
    assert count == STATES[space]


def test_each_kind_of_change_occurs() -> None:
    kinds = {
        (case.change.kind, len(case.voters) - case.target)
        for size in (2, 3, 4)
        for case in policy_cases(3, size, "ab", 1)
        if case.change
    }
    add, remove = ChangeKind.ADD, ChangeKind.REMOVE
    assert kinds == {(add, -1), (add, 0), (remove, 0), (remove, 1)}


class Group:
    """Voters and spares that change as the policy decides; each learner catches up at once."""

    def __init__(self, target: int, voters: Sequence[Member], spares: Sequence[Member]) -> None:
        self.policy = policy_of(target)
        self.voters, self.spares = list(voters), list(spares)
        self.conditions = dict.fromkeys(self.voters, Condition.HEALTHY)

    def views(self) -> list[VoterView]:
        leader = self.voters[0]
        return [view(voter, self.conditions[voter], voter == leader) for voter in self.voters]

    def step(self) -> Change | None:
        wanted = self.policy.wanted_learners(self.views(), self.spares)
        change = self.policy.decide(self.views(), [LearnerView(each, True) for each in wanted])
        if change is None:
            return None
        if change.kind is ChangeKind.ADD:
            self.spares.remove(change.member)
            self.voters.append(change.member)
            self.conditions[change.member] = Condition.HEALTHY
        else:
            self.voters.remove(change.member)
            if self.conditions[change.member] in RUNNING:
                self.spares.append(change.member)
        return change

    def settle(self) -> int:
        """Apply changes until none is due; returns their number."""
        for steps in range(30):
            if self.step() is None:
                return steps
        raise AssertionError(f"membership changes do not end: {self.voters}")

    def in_zone(self, zone: str) -> int:
        return sum(zone_of(voter.address) == zone for voter in self.voters)


def groups(target: int, sizes: Sequence[int], spares: int) -> Iterator[Group]:
    for size in sizes:
        for voter_zones in itertools.product(ZONES, repeat=size + spares):
            members = [member(zone, number + 1) for number, zone in enumerate(voter_zones)]
            for others in itertools.product(Condition, repeat=size - 1):
                group = Group(target, members[:size], members[size:])
                group.conditions.update(zip(members[1:size], others, strict=True))
                yield group


@pytest.mark.parametrize("spares", [0, 1, 2, 3])
def test_every_repair_ends_with_a_full_group_spread_over_the_zones(spares: int) -> None:
    for group in groups(3, (2, 3), spares):
        lost = sum(condition in GONE for condition in group.conditions.values())
        draining = sum(condition is Condition.DRAINING for condition in group.conditions.values())
        missing = 3 - len(group.voters)
        delayed = any(
            group.conditions[voter] in (Condition.DELAYED, Condition.SUSPECT) for voter in group.voters
        )
        group.settle()
        final_conditions = [group.conditions[voter] for voter in group.voters]
        assert Condition.SUPERSEDED not in final_conditions or len(final_conditions) <= 2
        if delayed or draining:
            continue
        if spares < missing + lost:
            continue
        assert len(group.voters) == 3
        assert final_conditions == [Condition.HEALTHY] * 3
        largest_zone = max(group.in_zone(zone) for zone in ZONES)
        spare_zones = {zone_of(spare.address) for spare in group.spares}
        assert all(largest_zone - group.in_zone(zone) < 2 for zone in spare_zones)


def test_voters_are_spread_over_all_zones_if_the_machines_allow_it() -> None:
    for group in groups(3, (3,), 2):
        if any(condition is not Condition.HEALTHY for condition in group.conditions.values()):
            continue
        machines = [*group.voters, *group.spares]
        if {zone_of(each.address) for each in machines} != set(ZONES):
            continue
        group.settle()
        assert [group.in_zone(zone) for zone in ZONES] == [1, 1, 1]


def test_a_lost_voter_is_replaced_from_its_zone() -> None:
    a, b, c = member("a", 1), member("b", 2), member("c", 3)
    group = Group(3, [a, b, c], [member("a", 4), member("b", 5), member("c", 6)])
    group.conditions[c] = Condition.UNRESPONSIVE
    wanted = group.policy.wanted_learners(group.views(), group.spares)
    assert wanted == [member("c", 6)]


def test_a_machine_with_a_wiped_disk_is_preferred_to_another_spare() -> None:
    a, b, c = member("a", 1), member("b", 2), member("c", 3)
    replaced_disk = Member(c.address, 33)
    group = Group(3, [a, b, c], [member("c", 6), replaced_disk])
    group.conditions[c] = Condition.SUPERSEDED
    assert group.policy.wanted_learners(group.views(), group.spares) == [replaced_disk]


def test_a_group_of_two_adds_a_voter_before_it_removes_one_with_a_lost_disk() -> None:
    a, b, spare = member("a", 1), member("b", 2), member("c", 3)
    group = Group(3, [a, b], [spare])
    group.conditions[b] = Condition.SUPERSEDED
    changes = [group.step(), group.step(), group.step()]
    assert changes == [Change(ChangeKind.ADD, spare), Change(ChangeKind.REMOVE, b), None]
    assert group.voters == [a, spare]


def test_no_voter_is_moved_between_zones_while_one_is_suspect() -> None:
    a, b, c = member("a", 1), member("a", 2), member("b", 3)
    for condition in (Condition.SUSPECT, Condition.DELAYED):
        group = Group(3, [a, b, c], [member("c", 4)])
        group.conditions[c] = condition
        change = group.policy.decide(group.views(), [LearnerView(member("c", 4), True)])
        if condition is Condition.SUSPECT:
            assert change is None
