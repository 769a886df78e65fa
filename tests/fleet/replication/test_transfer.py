"""Leadership handed over on an operator's wish, and what a replica tells of its group."""

from __future__ import annotations

import pytest

from firvane.core.address import Address
from firvane.fleet.replication.replica import Role
from firvane.fleet.replication.status import GroupStatus, group_status
from firvane.fleet.replication.transfer import TransferStart
from tests.fleet.replication.faults import Faults
from tests.fleet.replication.world import Process, Settings, World

HANDED_OVER = 0.2  # seconds, less than the shortest election takes
CALM = Settings(loss=0.0, doubled=0.0, late=0.0)


def make_world(seed: int = 1, settings: Settings = CALM) -> World:
    world = World(seed, settings)
    world.run_until(lambda: world.is_formed() and has_all(world), 5.0)
    return world


def has_all(world: World) -> bool:
    owner = world.owner()
    return owner is not None and len(owner.group.replica.core.log.members) == world.settings.target_size


def owner_of(world: World) -> Process:
    owner = world.owner()
    assert owner is not None
    return owner


def transfer(process: Process, successor: Address | None) -> TransferStart:
    start, actions = process.group.transfer(successor, process.now())
    process.perform(actions)
    return start


def status_of(process: Process) -> GroupStatus:
    return group_status(process.group, process.now())


def others(world: World) -> list[Process]:
    owner = owner_of(world)
    return [process for process in world.running() if process is not owner]


@pytest.mark.parametrize("choice", [0, 1])
def test_the_named_voter_takes_over_and_the_old_owner_stays(choice: int) -> None:
    world = make_world()
    before, successor = owner_of(world), others(world)[choice]
    term = before.group.replica.term
    assert transfer(before, successor.machine.address) is TransferStart.STARTED
    assert world.run_until(lambda: world.owner() is successor, 2.0) < HANDED_OVER
    assert successor.group.replica.term > term
    world.run(world.now + 3.0)
    assert world.owner() is successor
    members = successor.group.replica.core.log.members
    assert before.group.replica.identity in members and len(members) == 3


def test_any_fit_voter_takes_over_where_none_is_named() -> None:
    world = make_world()
    before = owner_of(world)
    assert transfer(before, None) is TransferStart.STARTED
    assert world.run_until(lambda: world.owner() not in (None, before), 2.0) < HANDED_OVER


def test_what_cannot_be_handed_over_changes_nothing() -> None:
    world = make_world()
    owner, (first, second) = owner_of(world), others(world)
    term = owner.group.replica.term
    assert transfer(first, None) is TransferStart.NOT_LEADER
    assert transfer(owner, ("10.9.9.9", 7300)) is TransferStart.UNKNOWN_VOTER
    assert transfer(owner, owner.machine.address) is TransferStart.UNKNOWN_VOTER
    world.freeze(first.machine)
    world.run(world.now + 0.5)
    assert transfer(owner, first.machine.address) is TransferStart.NO_HEALTHY_VOTER
    assert owner.group.replica.accepts_proposals(owner.now())
    assert transfer(owner, second.machine.address) is TransferStart.STARTED
    world.run_until(lambda: world.owner() is second, 2.0)
    assert second.group.replica.term > term


def test_a_successor_that_falls_silent_is_given_up_and_the_owner_goes_on() -> None:
    world = make_world()
    owner, (first, _) = owner_of(world), others(world)
    world.freeze(first.machine)
    world.propose(owner)  # the named one lacks it for now
    assert transfer(owner, first.machine.address) is TransferStart.STARTED
    assert transfer(owner, first.machine.address) is TransferStart.IN_PROGRESS
    assert not owner.group.replica.accepts_proposals(owner.now())
    world.run(world.now + 1.2)
    assert world.owner() is owner
    assert owner.group.replica.accepts_proposals(owner.now())


@pytest.mark.parametrize("seed", range(8))
def test_no_promise_is_broken_by_transfers_among_troubles(seed: int) -> None:
    world = World(seed, Settings(duration=5.0, fault_gap=0.7, loss=0.02, late=0.05))
    faults = Faults(world)
    begun = []

    def transfer_ownership() -> None:
        owner = world.owner()
        if owner is not None:
            named = world.chance.choice([None, *world.machines])
            begun.append(transfer(owner, named) is TransferStart.STARTED)
        if world.faulty:
            world.at(world.now + world.chance.expovariate(4.0), transfer_ownership)

    world.at(0.3, world.operate)
    world.at(1.0, transfer_ownership)
    world.at(1.5, faults.strike)
    world.run(6.5)
    faults.stop()
    faults.final()
    world.finish()
    assert sum(begun) > 3


def test_an_owner_knows_the_lag_of_each_replica() -> None:
    world = make_world()
    owner, (first, second) = owner_of(world), others(world)
    world.run(world.now + 0.5)
    world.kill(first.machine)
    for _ in range(4):
        world.propose(owner)
    world.run(world.now + 0.5)
    status = status_of(owner)
    assert (status.role, status.owned, status.owner) == (Role.LEADER, True, owner.machine.address)
    assert status.commit_index == status.applied_index == status.last_index
    replicas = {each.member.address: each for each in status.replicas}
    assert len(replicas) == len(status.replicas) == 3
    assert all(each.is_voter for each in status.replicas)
    assert replicas[owner.machine.address].synced_index == status.last_index
    assert replicas[second.machine.address].synced_index == status.last_index
    silent = replicas[first.machine.address]
    assert silent.synced_index == status.last_index - 4
    assert silent.unresponsive_for_s is not None and 0.4 < silent.unresponsive_for_s < 0.7


def test_a_follower_knows_the_owner_and_who_votes() -> None:
    world = make_world()
    owner, (first, _) = owner_of(world), others(world)
    status = status_of(first)
    assert (status.role, status.owned, status.owner) == (Role.FOLLOWER, False, owner.machine.address)
    assert status.own == status.replicas[0].member == first.group.replica.identity
    assert [each.synced_index for each in status.replicas[1:]] == [None, None]
    assert {each.member.address for each in status.replicas} == set(world.machines)


def test_a_learner_is_told_from_a_voter() -> None:
    world = make_world(settings=Settings(machines=4, target_size=3, loss=0.0, doubled=0.0, late=0.0))
    owner = owner_of(world)
    victim = next(p for p in others(world) if p.group.replica.is_voter)
    spare = next(p for p in others(world) if not p.group.replica.is_voter)
    world.freeze(victim.machine)

    def learner() -> bool:
        found = [each for each in status_of(owner).replicas if not each.is_voter]
        return [each.member.address for each in found] == [spare.machine.address]

    world.run_until(learner, 4.0)
