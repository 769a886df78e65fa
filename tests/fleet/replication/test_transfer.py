"""Leadership transfers requested by an operator, and the status that a replica reports of its group."""

from __future__ import annotations

import pytest

from firvane.core.address import Address
from firvane.fleet.replication.replica import Role
from firvane.fleet.replication.status import GroupStatus, group_status
from firvane.fleet.replication.transfer import TransferStart
from tests.fleet.replication.faults import Faults
from tests.fleet.replication.simulated_cluster import Process, Settings, SimulatedCluster

MAX_TRANSFER_TIME = 0.2  # seconds, less than the shortest election takes
FAULT_FREE = Settings(loss_rate=0.0, duplicate_rate=0.0, delay_rate=0.0)


def make_cluster(seed: int = 1, settings: Settings = FAULT_FREE) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, settings)
    cluster.run_until(lambda: cluster.is_bootstrapped() and has_all_voters(cluster), 5.0)
    return cluster


def has_all_voters(cluster: SimulatedCluster) -> bool:
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


def other_processes(cluster: SimulatedCluster) -> list[Process]:
    owner = owner_of(cluster)
    return [process for process in cluster.running() if process is not owner]


@pytest.mark.parametrize("choice", [0, 1])
def test_the_requested_voter_becomes_owner_and_the_old_owner_stays_a_voter(choice: int) -> None:
    cluster = make_cluster()
    before, successor = owner_of(cluster), other_processes(cluster)[choice]
    term = before.group.replica.term
    assert transfer(before, successor.machine.address) is TransferStart.STARTED
    assert cluster.run_until(lambda: cluster.owner() is successor, 2.0) < MAX_TRANSFER_TIME
    assert successor.group.replica.term > term
    cluster.run(cluster.now + 3.0)
    assert cluster.owner() is successor
    members = successor.group.replica.core.log.members
    assert before.group.replica.identity in members and len(members) == 3


def test_any_healthy_voter_becomes_owner_if_no_successor_is_requested() -> None:
    cluster = make_cluster()
    before = owner_of(cluster)
    assert transfer(before, None) is TransferStart.STARTED
    assert cluster.run_until(lambda: cluster.owner() not in (None, before), 2.0) < MAX_TRANSFER_TIME


def test_a_rejected_transfer_changes_nothing() -> None:
    cluster = make_cluster()
    owner, (first, second) = owner_of(cluster), other_processes(cluster)
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


def test_a_transfer_to_an_unresponsive_successor_is_abandoned() -> None:
    cluster = make_cluster()
    owner, (first, _) = owner_of(cluster), other_processes(cluster)
    cluster.freeze(first.machine)
    cluster.propose(owner)  # the frozen successor lacks the entry
    assert transfer(owner, first.machine.address) is TransferStart.STARTED
    assert transfer(owner, first.machine.address) is TransferStart.IN_PROGRESS
    assert not owner.group.replica.accepts_proposals(owner.now())
    cluster.run(cluster.now + 1.2)
    assert cluster.owner() is owner
    assert owner.group.replica.accepts_proposals(owner.now())


@pytest.mark.parametrize("seed", range(8))
def test_transfers_under_random_faults_violate_no_invariant(seed: int) -> None:
    cluster = SimulatedCluster(
        seed, Settings(duration=5.0, mean_fault_interval=0.7, loss_rate=0.02, delay_rate=0.05)
    )
    faults = Faults(cluster)
    started = []

    def transfer_ownership() -> None:
        owner = cluster.owner()
        if owner is not None:
            successor = cluster.rng.choice([None, *cluster.machines])
            started.append(transfer(owner, successor) is TransferStart.STARTED)
        if cluster.faults_active:
            cluster.schedule(cluster.now + cluster.rng.expovariate(4.0), transfer_ownership)

    cluster.schedule(0.3, cluster.run_client)
    cluster.schedule(1.0, transfer_ownership)
    cluster.schedule(1.5, faults.inject)
    cluster.run(6.5)
    faults.stop()
    faults.inject_final()
    cluster.finish()
    assert sum(started) > 3


def test_the_status_of_an_owner_has_the_lag_of_each_replica() -> None:
    cluster = make_cluster()
    owner, (first, second) = owner_of(cluster), other_processes(cluster)
    cluster.run(cluster.now + 0.5)
    cluster.kill(first.machine)
    for _ in range(4):
        cluster.propose(owner)
    cluster.run(cluster.now + 0.5)
    status = status_of(owner)
    assert (status.role, status.owned, status.owner) == (Role.LEADER, True, owner.machine.address)
    assert status.commit_index == status.applied_index == status.last_index
    replicas = {replica_status.member.address: replica_status for replica_status in status.replicas}
    assert len(replicas) == len(status.replicas) == 3
    assert all(replica_status.is_voter for replica_status in status.replicas)
    assert replicas[owner.machine.address].synced_index == status.last_index
    assert replicas[second.machine.address].synced_index == status.last_index
    unresponsive = replicas[first.machine.address]
    assert unresponsive.synced_index == status.last_index - 4
    assert unresponsive.unresponsive_for_s is not None and 0.4 < unresponsive.unresponsive_for_s < 0.7


def test_the_status_of_a_follower_has_the_owner_and_the_voters() -> None:
    cluster = make_cluster()
    owner, (first, _) = owner_of(cluster), other_processes(cluster)
    status = status_of(first)
    assert (status.role, status.owned, status.owner) == (Role.FOLLOWER, False, owner.machine.address)
    assert status.own == status.replicas[0].member == first.group.replica.identity
    assert [replica_status.synced_index for replica_status in status.replicas[1:]] == [None, None]
    assert {replica_status.member.address for replica_status in status.replicas} == set(cluster.machines)


def test_the_status_distinguishes_learners_from_voters() -> None:
    cluster = make_cluster(
        settings=Settings(machines=4, target_size=3, loss_rate=0.0, duplicate_rate=0.0, delay_rate=0.0)
    )
    owner = owner_of(cluster)
    victim = next(p for p in other_processes(cluster) if p.group.replica.is_voter)
    spare = next(p for p in other_processes(cluster) if not p.group.replica.is_voter)
    cluster.freeze(victim.machine)

    def learner() -> bool:
        learners = [
            replica_status for replica_status in status_of(owner).replicas if not replica_status.is_voter
        ]
        return [replica_status.member.address for replica_status in learners] == [spare.machine.address]

    cluster.run_until(learner, 4.0)
