"""What a replica claims of the age of its state, in calm and cut off, as a member and outside its group."""

from __future__ import annotations

from firvane.fleet.replication.freshness import FRESHNESS_READ_INTERVAL_S, REPLICATING_WITHIN_S
from firvane.fleet.replication.group import COMPACTION_ENTRIES, MAX_ENTRIES_PER_APPLY, Actions
from firvane.fleet.replication.proposals import ProposalResult, ProposalStatus
from tests.fleet.replication.process import Process
from tests.fleet.replication.scenarios import owner_of, stable_cluster
from tests.fleet.replication.settings import Settings
from tests.fleet.replication.simulated_cluster import SimulatedCluster, patched_limits

PATIENCE = 1.0  # seconds
CALM = Settings(machines=4, loss_rate=0.0, duplicate_rate=0.0, delay_rate=0.0, sync_time=0.001)


def outside(cluster: SimulatedCluster) -> Process:
    members = owner_of(cluster).group.replica.core.log.members
    return next(each for each in cluster.running() if each.group.replica.identity not in members)


def follower(cluster: SimulatedCluster) -> Process:
    owner = owner_of(cluster)
    return next(each for each in cluster.running() if each is not owner and each.group.replica.is_voter)


def cut_off(cluster: SimulatedCluster, process: Process) -> None:
    own = process.machine.address
    for other in cluster.machines:
        cluster.link_cuts[own, other] = cluster.link_cuts[other, own] = False


def test_in_calm_all_are_in_contact_and_members_are_current() -> None:
    cluster = stable_cluster(CALM, 3)
    for _ in range(20):
        cluster.run(cluster.now + 0.1)
        for process in cluster.running():
            now = process.now()
            assert process.group.has_quorum_contact(now, PATIENCE)
            assert process.group.is_current(now, PATIENCE) is process.group.replica.is_voter


def test_a_cut_ends_contact_within_the_patience_and_its_end_brings_it_back() -> None:
    for choose in (owner_of, follower, outside):
        cluster = stable_cluster(CALM, 4)
        process = choose(cluster)
        cut_off(cluster, process)
        cluster.run(cluster.now + PATIENCE * 1.1 + 0.05)
        assert not process.group.has_quorum_contact(process.now(), PATIENCE)
        assert not process.group.is_current(process.now(), PATIENCE)
        cluster.heal()
        cluster.run(cluster.now + 1.0)
        assert process.group.has_quorum_contact(process.now(), PATIENCE)


def test_a_process_that_starts_claims_nothing_until_it_has_asked() -> None:
    cluster = stable_cluster(CALM, 5)
    machine = follower(cluster).machine
    cluster.kill(machine)
    cluster.boot(machine)
    process = machine.process
    assert process is not None
    assert not process.group.has_quorum_contact(process.now(), PATIENCE)
    cluster.run(cluster.now + 1.0)
    assert process.group.is_current(process.now(), PATIENCE)


def test_a_frozen_process_is_out_of_contact_in_the_moment_in_which_it_wakes() -> None:
    cluster = stable_cluster(CALM, 6)
    process = follower(cluster)
    cluster.freeze(process.machine)
    cluster.run(cluster.now + 5.0)
    assert not process.group.has_quorum_contact(process.now(), PATIENCE)


def test_a_read_outside_the_group_names_the_owner_at_once() -> None:
    cluster = stable_cluster(CALM, 7)
    process, answers = outside(cluster), list[ProposalResult]()
    process.read(1.0, answers.append)
    assert [answer.status for answer in answers] == [ProposalStatus.NOT_OWNER]
    assert answers[0].owner == owner_of(cluster).machine.address


def test_contact_costs_three_questions_a_second() -> None:
    cluster = stable_cluster(CALM, 8)
    process = follower(cluster)
    asked: list[float] = []
    read = process.group.replica.read
    process.group.replica.read = lambda token, now: (asked.append(now), read(token, now))[1]  # type: ignore
    cluster.clients_stopped = True
    cluster.run(cluster.now + 10.0)
    assert 10.0 / FRESHNESS_READ_INTERVAL_S * 0.7 < len(asked) <= 10.0 / FRESHNESS_READ_INTERVAL_S * 1.1
    assert REPLICATING_WITHIN_S >= 3 * FRESHNESS_READ_INTERVAL_S


def count_turns(process: Process) -> list[int]:
    """How many commands each turn of a group applies from now on."""
    act, state_machine, turns = process.group._collect_actions, process.state_machine, list[int]()

    def counted(now: float) -> Actions:
        before = len(state_machine.commands)
        actions = act(now)
        turns.append(len(state_machine.commands) - before)
        return actions

    process.group._collect_actions = counted  # type: ignore[method-assign]
    return turns


def test_what_is_far_behind_is_applied_in_turns_and_then_compacted() -> None:
    settings = Settings(
        compaction_entries=COMPACTION_ENTRIES, compaction_bytes=1_000_000, retained_log_bytes=1_000_000
    )
    with patched_limits(settings):
        cluster = stable_cluster(CALM, 9)
        process = follower(cluster)
        machine = process.machine
        cluster.kill(machine)
        for _ in range(3 * COMPACTION_ENTRIES):
            cluster.propose(owner_of(cluster))
            cluster.run(cluster.now + 0.004)
        cluster.boot(machine)
        restarted = machine.process
        assert restarted is not None
        turns = count_turns(restarted)
        cluster.run_until(lambda: restarted.group.applied_index == owner_of(cluster).group.applied_index, 2.0)
        assert max(turns) == MAX_ENTRIES_PER_APPLY
        assert sum(turns) >= 2 * COMPACTION_ENTRIES
        owner = owner_of(cluster).group.replica.core.log
        assert owner.snapshot is not None
        assert owner.last_index - owner.snapshot.index <= COMPACTION_ENTRIES + 20
        cluster.finish()
