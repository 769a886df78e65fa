"""The policy of a group's voters, explored whole where it is small: each state of each voter and learner."""

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

LEARN_AFTER, REPLACE_AFTER, WELL_WITHIN = 1.2, 2.0, 0.3
ZONES = "abc"
ONE_ZONE = "a"


class Condition(enum.Enum):
    """What a leader may see of another voter."""

    WELL = 0.0
    LATE = 1.0  # not well, not yet in doubt
    IN_DOUBT = 1.5
    SILENT = 3.0
    SUPERSEDED = -1.0
    LEAVING = -2.0


RUNNING = (Condition.WELL, Condition.LATE, Condition.LEAVING)
GONE = (Condition.SILENT, Condition.SUPERSEDED)


@dataclass(frozen=True)
class Situation:
    """A leader's view of its group: the first voter is the leader."""

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
    return MembershipPolicy(target, LEARN_AFTER, REPLACE_AFTER, WELL_WITHIN, zone_of)


def view(who: Member, condition: Condition, is_leader: bool) -> VoterView:
    return VoterView(
        who,
        max(0.0, condition.value),
        superseded=condition is Condition.SUPERSEDED,
        draining=condition is Condition.LEAVING,
        is_leader=is_leader,
    )


def situations(target: int, size: int, zones: str, learners: int) -> Iterator[Situation]:
    """Every group of a size: zones, conditions of the others, and up to so many learners, ready or not."""
    policy = policy_of(target)
    options = [(zone, ready) for zone in zones for ready in (True, False)]
    learner_sets = [
        chosen for count in range(learners + 1) for chosen in itertools.product(options, repeat=count)
    ]
    for where in itertools.product(zones, repeat=size):
        members = [member(zone, number + 1) for number, zone in enumerate(where)]
        for others in itertools.product(Condition, repeat=size - 1):
            conditions = (Condition.WELL, *others)
            voters = tuple(
                view(who, condition, who == members[0])
                for who, condition in zip(members, conditions, strict=True)
            )
            for chosen in learner_sets:
                found = tuple(
                    LearnerView(member(zone, 50 + number), ready)
                    for number, (zone, ready) in enumerate(chosen)
                )
                yield Situation(target, voters, conditions, found, policy.decide(voters, found))


SPACES = {
    "three, with zones": [(3, size, ZONES, 1) for size in (1, 2, 3)] + [(3, 4, "ab", 1)],
    "five": [(5, size, ONE_ZONE, 2) for size in (2, 3, 4, 5, 6)],
    "seven": [(7, 6, ONE_ZONE, 1)],
}
STATES = {"three, with zones": 24_483, "five": 65_310, "seven": 23_328}


def running(situation: Situation) -> int:
    return sum(condition in RUNNING for condition in situation.conditions)


def condition_of(situation: Situation, who: Member) -> Condition:
    position = [voter.member for voter in situation.voters].index(who)
    return situation.conditions[position]


def check_change(situation: Situation, change: Change) -> None:
    """No step, at any moment, makes a loss fatal that the group would have borne before it."""
    size, able = len(situation.voters), running(situation)
    ready = [learner.member for learner in situation.learners if learner.caught_up]
    if change.kind is ChangeKind.ADD:
        assert change.member in ready
        assert size <= situation.target
        assert able + 1 - quorum_of(size + 1) >= able - quorum_of(size)
        return
    condition = condition_of(situation, change.member)
    assert not next(voter for voter in situation.voters if voter.member == change.member).is_leader
    assert size - 1 >= 2, "a single voter acknowledges what one disk holds"
    able_after = able - (condition in RUNNING)
    assert able_after - quorum_of(size - 1) >= able - quorum_of(size)
    if size <= situation.target:
        assert condition in GONE
        assert condition is Condition.SUPERSEDED or ready


@pytest.mark.parametrize("space", SPACES)
def test_no_change_costs_what_the_group_could_bear(space: str) -> None:
    count = 0
    for bounds in SPACES[space]:
        for situation in situations(*bounds):
            count += 1
            if situation.change is not None:
                check_change(situation, situation.change)
    assert count == STATES[space]


def test_the_explored_policy_makes_each_kind_of_change() -> None:
    kinds = {
        (situation.change.kind, len(situation.voters) - situation.target)
        for size in (2, 3, 4)
        for situation in situations(3, size, "ab", 1)
        if situation.change
    }
    add, remove = ChangeKind.ADD, ChangeKind.REMOVE
    assert kinds == {(add, -1), (add, 0), (remove, 0), (remove, 1)}


class Group:
    """Voters and spares that change as the policy says, every learner being taught at once."""

    def __init__(self, target: int, voters: Sequence[Member], spares: Sequence[Member]) -> None:
        self.policy = policy_of(target)
        self.voters, self.spares = list(voters), list(spares)
        self.conditions = dict.fromkeys(self.voters, Condition.WELL)

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
            self.conditions[change.member] = Condition.WELL
        else:
            self.voters.remove(change.member)
            if self.conditions[change.member] in RUNNING:
                self.spares.append(change.member)
        return change

    def settle(self) -> int:
        """Change until nothing is due; how many changes that took."""
        for steps in range(30):
            if self.step() is None:
                return steps
        raise AssertionError(f"no end: {self.voters}")

    def in_zone(self, zone: str) -> int:
        return sum(zone_of(voter.address) == zone for voter in self.voters)


def groups(target: int, sizes: Sequence[int], spares: int) -> Iterator[Group]:
    for size in sizes:
        for where in itertools.product(ZONES, repeat=size + spares):
            members = [member(zone, number + 1) for number, zone in enumerate(where)]
            for others in itertools.product(Condition, repeat=size - 1):
                group = Group(target, members[:size], members[size:])
                group.conditions.update(zip(members[1:size], others, strict=True))
                yield group


@pytest.mark.parametrize("spares", [0, 1, 2, 3])
def test_every_repair_ends_with_a_whole_group_that_is_spread(spares: int) -> None:
    for group in groups(3, (2, 3), spares):
        lost = sum(condition in GONE for condition in group.conditions.values())
        draining = sum(condition is Condition.LEAVING for condition in group.conditions.values())
        missing = 3 - len(group.voters)
        delayed = any(
            group.conditions[voter] in (Condition.LATE, Condition.IN_DOUBT) for voter in group.voters
        )
        group.settle()
        left = [group.conditions[voter] for voter in group.voters]
        assert Condition.SUPERSEDED not in left or len(left) <= 2
        if delayed or draining:
            continue
        if spares < missing + lost:
            continue
        assert len(group.voters) == 3
        assert left == [Condition.WELL] * 3
        crowded = max(group.in_zone(zone) for zone in ZONES)
        free = {zone_of(spare.address) for spare in group.spares}
        assert all(crowded - group.in_zone(zone) < 2 for zone in free)


def test_a_zone_that_is_lost_leaves_a_majority_where_the_machines_allow_it() -> None:
    for group in groups(3, (3,), 2):
        if any(condition is not Condition.WELL for condition in group.conditions.values()):
            continue
        machines = [*group.voters, *group.spares]
        if {zone_of(each.address) for each in machines} != set(ZONES):
            continue
        group.settle()
        assert [group.in_zone(zone) for zone in ZONES] == [1, 1, 1]


def test_who_replaces_a_lost_voter_comes_from_the_zone_that_lost() -> None:
    a, b, c = member("a", 1), member("b", 2), member("c", 3)
    group = Group(3, [a, b, c], [member("a", 4), member("b", 5), member("c", 6)])
    group.conditions[c] = Condition.SILENT
    wanted = group.policy.wanted_learners(group.views(), group.spares)
    assert wanted == [member("c", 6)]


def test_a_disk_that_came_back_empty_is_preferred_to_another_machine() -> None:
    a, b, c = member("a", 1), member("b", 2), member("c", 3)
    again = Member(c.address, 33)
    group = Group(3, [a, b, c], [member("c", 6), again])
    group.conditions[c] = Condition.SUPERSEDED
    assert group.policy.wanted_learners(group.views(), group.spares) == [again]


def test_two_voters_of_which_one_lost_its_disk_are_three_before_they_are_two() -> None:
    a, b, spare = member("a", 1), member("b", 2), member("c", 3)
    group = Group(3, [a, b], [spare])
    group.conditions[b] = Condition.SUPERSEDED
    changes = [group.step(), group.step(), group.step()]
    assert changes == [Change(ChangeKind.ADD, spare), Change(ChangeKind.REMOVE, b), None]
    assert group.voters == [a, spare]


def test_in_doubt_nobody_is_moved_for_the_sake_of_zones() -> None:
    a, b, c = member("a", 1), member("a", 2), member("b", 3)
    for condition in (Condition.IN_DOUBT, Condition.LATE):
        group = Group(3, [a, b, c], [member("c", 4)])
        group.conditions[c] = condition
        change = group.policy.decide(group.views(), [LearnerView(member("c", 4), True)])
        if condition is Condition.IN_DOUBT:
            assert change is None
