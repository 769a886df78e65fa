"""Quorum contact and state age of voters and of spares, with and without partitions."""

from __future__ import annotations

from firvane.fleet.replication.freshness import FRESHNESS_READ_INTERVAL_S, REPLICATING_WITHIN_S
from firvane.fleet.replication.group import COMPACTION_ENTRIES, MAX_ENTRIES_PER_APPLY, Actions
from firvane.fleet.replication.proposals import ProposalResult, ProposalStatus
from tests.fleet.replication.process import Process
from tests.fleet.replication.scenarios import owner_of, stable_cluster
from tests.fleet.replication.settings import Settings
from tests.fleet.replication.simulated_cluster import SimulatedCluster, patched_limits

MAX_AGE = 1.0  # seconds
FAULT_FREE = Settings(machines=4, loss_rate=0.0, duplicate_rate=0.0, delay_rate=0.0, sync_time=0.001)


def spare(cluster: SimulatedCluster) -> Process:
    members = owner_of(cluster).group.replica.core.log.members
    return next(process for process in cluster.running() if process.group.replica.identity not in members)


def follower(cluster: SimulatedCluster) -> Process:
    owner = owner_of(cluster)
    return next(
        process for process in cluster.running() if process is not owner and process.group.replica.is_voter
    )


def isolate(cluster: SimulatedCluster, process: Process) -> None:
    own = process.machine.address
    for other in cluster.machines:
        cluster.link_cuts[own, other] = cluster.link_cuts[other, own] = False


def test_without_faults_all_have_quorum_contact_and_voters_are_current() -> None:
    cluster = stable_cluster(FAULT_FREE, 3)
    for _ in range(20):
        cluster.run(cluster.now + 0.1)
        for process in cluster.running():
            now = process.now()
            assert process.group.has_quorum_contact(now, MAX_AGE)
            assert process.group.is_current(now, MAX_AGE) is process.group.replica.is_voter


def test_quorum_contact_ends_with_isolation_and_returns_after_it() -> None:
    for choose in (owner_of, follower, spare):
        cluster = stable_cluster(FAULT_FREE, 4)
        process = choose(cluster)
        isolate(cluster, process)
        cluster.run(cluster.now + MAX_AGE * 1.1 + 0.05)
        assert not process.group.has_quorum_contact(process.now(), MAX_AGE)
        assert not process.group.is_current(process.now(), MAX_AGE)
        cluster.heal()
        cluster.run(cluster.now + 1.0)
        assert process.group.has_quorum_contact(process.now(), MAX_AGE)


def test_a_restarted_process_has_no_quorum_contact_before_its_first_read() -> None:
    cluster = stable_cluster(FAULT_FREE, 5)
    machine = follower(cluster).machine
    cluster.kill(machine)
    cluster.boot(machine)
    process = machine.process
    assert process is not None
    assert not process.group.has_quorum_contact(process.now(), MAX_AGE)
    cluster.run(cluster.now + 1.0)
    assert process.group.is_current(process.now(), MAX_AGE)


def test_a_process_that_was_frozen_has_no_quorum_contact_when_it_resumes() -> None:
    cluster = stable_cluster(FAULT_FREE, 6)
    process = follower(cluster)
    cluster.freeze(process.machine)
    cluster.run(cluster.now + 5.0)
    assert not process.group.has_quorum_contact(process.now(), MAX_AGE)


def test_a_read_at_a_spare_returns_the_owner_at_once() -> None:
    cluster = stable_cluster(FAULT_FREE, 7)
    process, answers = spare(cluster), list[ProposalResult]()
    process.read(1.0, answers.append)
    assert [answer.status for answer in answers] == [ProposalStatus.NOT_OWNER]
    assert answers[0].owner == owner_of(cluster).machine.address


def test_freshness_costs_about_three_reads_per_second() -> None:
    cluster = stable_cluster(FAULT_FREE, 8)
    process = follower(cluster)
    read_times: list[float] = []
    read = process.group.replica.read
    process.group.replica.read = lambda token, now: (read_times.append(now), read(token, now))[1]  # type: ignore
    cluster.clients_stopped = True
    cluster.run(cluster.now + 10.0)
    assert 10.0 / FRESHNESS_READ_INTERVAL_S * 0.7 < len(read_times) <= 10.0 / FRESHNESS_READ_INTERVAL_S * 1.1
    assert REPLICATING_WITHIN_S >= 3 * FRESHNESS_READ_INTERVAL_S


def record_applied_counts(process: Process) -> list[int]:
    """Record how many commands each later input of a group applies."""
    collect_actions, state_machine, applied_counts = (
        process.group._collect_actions,
        process.state_machine,
        list[int](),
    )

    def recording(now: float) -> Actions:
        before = len(state_machine.commands)
        actions = collect_actions(now)
        applied_counts.append(len(state_machine.commands) - before)
        return actions

    process.group._collect_actions = recording  # type: ignore[method-assign]
    return applied_counts


def test_a_lagging_replica_applies_entries_in_batches_and_the_log_is_compacted() -> None:
    settings = Settings(
        compaction_entries=COMPACTION_ENTRIES, compaction_bytes=1_000_000, retained_log_bytes=1_000_000
    )
    with patched_limits(settings):
        cluster = stable_cluster(FAULT_FREE, 9)
        process = follower(cluster)
        machine = process.machine
        cluster.kill(machine)
        for _ in range(3 * COMPACTION_ENTRIES):
            cluster.propose(owner_of(cluster))
            cluster.run(cluster.now + 0.004)
        cluster.boot(machine)
        restarted = machine.process
        assert restarted is not None
        applied_counts = record_applied_counts(restarted)
        cluster.run_until(lambda: restarted.group.applied_index == owner_of(cluster).group.applied_index, 2.0)
        assert max(applied_counts) == MAX_ENTRIES_PER_APPLY
        assert sum(applied_counts) >= 2 * COMPACTION_ENTRIES
        owner = owner_of(cluster).group.replica.core.log
        assert owner.snapshot is not None
        assert owner.last_index - owner.snapshot.index <= COMPACTION_ENTRIES + 20
        cluster.finish()
