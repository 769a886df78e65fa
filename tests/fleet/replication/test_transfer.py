"""Leadership handed over on an operator's wish, and what a replica tells of its group."""

from __future__ import annotations

import pytest

from firvane.core.address import Address
from firvane.fleet.replication.replica import Role
from firvane.fleet.replication.status import GroupStatus, group_status
from firvane.fleet.replication.transfer import TransferStart
from tests.fleet.replication.faults import Faults
from tests.fleet.replication.simulated_cluster import Process, Settings, SimulatedCluster

HANDED_OVER = 0.2  # seconds, less than the shortest election takes
CALM = Settings(loss_rate=0.0, duplicate_rate=0.0, delay_rate=0.0)


def make_cluster(seed: int = 1, settings: Settings = CALM) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, settings)
    cluster.run_until(lambda: cluster.is_bootstrapped() and has_all(cluster), 5.0)
    return cluster


def has_all(cluster: SimulatedCluster) -> bool:
    owner = cluster.owner()
    return owner is not None and len(owner.group.replica.core.log.members) == cluster.settings.target_size


def owner_of(cluster: SimulatedCluster) -> Process:
    owner = cluster.owner()
    assert owner is not None
    return owner


def transfer(process: Process, successor: Address | None) -> TransferStart:
    start, actions = process.group.transfer(successor, process.now())
    process.perform(actions)
    return start


def status_of(process: Process) -> GroupStatus:
    return group_status(process.group, process.now())


def others(cluster: SimulatedCluster) -> list[Process]:
    owner = owner_of(cluster)
    return [process for process in cluster.running() if process is not owner]


@pytest.mark.parametrize("choice", [0, 1])
def test_the_named_voter_takes_over_and_the_old_owner_stays(choice: int) -> None:
    cluster = make_cluster()
    before, successor = owner_of(cluster), others(cluster)[choice]
    term = before.group.replica.term
    assert transfer(before, successor.machine.address) is TransferStart.STARTED
    assert cluster.run_until(lambda: cluster.owner() is successor, 2.0) < HANDED_OVER
    assert successor.group.replica.term > term
    cluster.run(cluster.now + 3.0)
    assert cluster.owner() is successor
    members = successor.group.replica.core.log.members
    assert before.group.replica.identity in members and len(members) == 3


def test_any_fit_voter_takes_over_where_none_is_named() -> None:
    cluster = make_cluster()
    before = owner_of(cluster)
    assert transfer(before, None) is TransferStart.STARTED
    assert cluster.run_until(lambda: cluster.owner() not in (None, before), 2.0) < HANDED_OVER


def test_what_cannot_be_handed_over_changes_nothing() -> None:
    cluster = make_cluster()
    owner, (first, second) = owner_of(cluster), others(cluster)
    term = owner.group.replica.term
    assert transfer(first, None) is TransferStart.NOT_LEADER
    assert transfer(owner, ("10.9.9.9", 7300)) is TransferStart.UNKNOWN_VOTER
    assert transfer(owner, owner.machine.address) is TransferStart.UNKNOWN_VOTER
    cluster.freeze(first.machine)
    cluster.run(cluster.now + 0.5)
    assert transfer(owner, first.machine.address) is TransferStart.NO_HEALTHY_VOTER
    assert owner.group.replica.accepts_proposals(owner.now())
    assert transfer(owner, second.machine.address) is TransferStart.STARTED
    cluster.run_until(lambda: cluster.owner() is second, 2.0)
    assert second.group.replica.term > term


def test_a_successor_that_falls_silent_is_given_up_and_the_owner_goes_on() -> None:
    cluster = make_cluster()
    owner, (first, _) = owner_of(cluster), others(cluster)
    cluster.freeze(first.machine)
    cluster.propose(owner)  # the named one lacks it for now
    assert transfer(owner, first.machine.address) is TransferStart.STARTED
    assert transfer(owner, first.machine.address) is TransferStart.IN_PROGRESS
    assert not owner.group.replica.accepts_proposals(owner.now())
    cluster.run(cluster.now + 1.2)
    assert cluster.owner() is owner
    assert owner.group.replica.accepts_proposals(owner.now())


@pytest.mark.parametrize("seed", range(8))
def test_no_promise_is_broken_by_transfers_among_troubles(seed: int) -> None:
    cluster = SimulatedCluster(
        seed, Settings(duration=5.0, mean_fault_interval=0.7, loss_rate=0.02, delay_rate=0.05)
    )
    faults = Faults(cluster)
    begun = []

    def transfer_ownership() -> None:
        owner = cluster.owner()
        if owner is not None:
            named = cluster.rng.choice([None, *cluster.machines])
            begun.append(transfer(owner, named) is TransferStart.STARTED)
        if cluster.faults_active:
            cluster.schedule(cluster.now + cluster.rng.expovariate(4.0), transfer_ownership)

    cluster.schedule(0.3, cluster.run_client)
    cluster.schedule(1.0, transfer_ownership)
    cluster.schedule(1.5, faults.inject)
    cluster.run(6.5)
    faults.stop()
    faults.inject_final()
    cluster.finish()
    assert sum(begun) > 3


def test_an_owner_knows_the_lag_of_each_replica() -> None:
    cluster = make_cluster()
    owner, (first, second) = owner_of(cluster), others(cluster)
    cluster.run(cluster.now + 0.5)
    cluster.kill(first.machine)
    for _ in range(4):
        cluster.propose(owner)
    cluster.run(cluster.now + 0.5)
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
    cluster = make_cluster()
    owner, (first, _) = owner_of(cluster), others(cluster)
    status = status_of(first)
    assert (status.role, status.owned, status.owner) == (Role.FOLLOWER, False, owner.machine.address)
    assert status.own == status.replicas[0].member == first.group.replica.identity
    assert [each.synced_index for each in status.replicas[1:]] == [None, None]
    assert {each.member.address for each in status.replicas} == set(cluster.machines)


def test_a_learner_is_told_from_a_voter() -> None:
    cluster = make_cluster(
        settings=Settings(machines=4, target_size=3, loss_rate=0.0, duplicate_rate=0.0, delay_rate=0.0)
    )
    owner = owner_of(cluster)
    victim = next(p for p in others(cluster) if p.group.replica.is_voter)
    spare = next(p for p in others(cluster) if not p.group.replica.is_voter)
    cluster.freeze(victim.machine)

    def learner() -> bool:
        found = [each for each in status_of(owner).replicas if not each.is_voter]
        return [each.member.address for each in found] == [spare.machine.address]

    cluster.run_until(learner, 4.0)
