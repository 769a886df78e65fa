"""Scripted scenarios: one kind of fault in an otherwise fault-free cluster, and the invariants under it."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from firvane.fleet.replication.types import DEFAULT_TIMING
from tests.fleet.replication.oracle import Invariant, require
from tests.fleet.replication.process import Machine, Process
from tests.fleet.replication.settings import COLLIDING_ELECTIONS, Settings
from tests.fleet.replication.simulated_cluster import MAX_SERVED_STATE_AGE, SimulatedCluster, patched_limits

ROUNDS = 4  # the number of times that a fault is injected in one run
LONG_ISOLATION = 20.0  # seconds
CONTACT_TIMEOUT = 1.2  # seconds after which an isolated machine must not report quorum contact
CURRENT_WITHIN = 4.0  # seconds after a partition within which all states are current, even after restarts
QUOTA_PERIOD, QUOTA_FROZEN = 0.1, 0.07  # seconds: the period of a CPU quota, and the frozen part of it
QUOTA_DURATION = 10.0  # seconds
ISOLATION = 2.0  # seconds, several election timeouts
MAX_TRANSFER_TIME = 0.100  # seconds until a successor acknowledges a command; an election takes 0.3 or more


def stable_cluster(settings: Settings, seed: int) -> SimulatedCluster:
    """A cluster without faults whose group has an owner."""
    cluster = SimulatedCluster(seed, settings)
    cluster.schedule(0.3, cluster.run_client)
    cluster.run_until(lambda: cluster.is_bootstrapped() and cluster.owner() is not None, 5.0)
    cluster.run(cluster.now + 3.0)
    return cluster


def fault_free_settings(seed: int) -> Settings:
    """Settings under which no message is lost, duplicated or delayed."""
    machines = (3, 5, 7)[seed % 3]
    return Settings(
        machines=machines, target_size=machines, loss_rate=0.0, duplicate_rate=0.0, delay_rate=0.0
    )


def tight_lease_settings(seed: int) -> Settings:
    """Settings that minimise the time between the end of a lease and the next owner.

    Disks are fast, clock rates extreme, and election timeouts almost equal.
    """
    return Settings(
        machines=3,
        target_size=3,
        mean_request_interval=0.012,
        loss_rate=0.0,
        duplicate_rate=0.0,
        delay_rate=0.0,
        sync_time=0.0003,
        extreme_clocks=True,
        timing=COLLIDING_ELECTIONS,
    )


def owner_of(cluster: SimulatedCluster) -> Process:
    """The owner; asserts that there is one."""
    owner = cluster.owner()
    assert owner is not None
    return owner


def rejoining(seed: int) -> None:
    """Isolate a follower for several election timeouts: the leader and its term must not change."""
    cluster = stable_cluster(fault_free_settings(seed), seed)
    owner = owner_of(cluster)
    term = owner.group.replica.term
    others = [process.machine for process in cluster.running() if process is not owner]
    isolated = cluster.rng.choice(others)
    for address in cluster.machines:
        cluster.link_cuts[address, isolated.address] = cluster.link_cuts[isolated.address, address] = False
    cluster.run(cluster.now + ISOLATION)
    cluster.heal()
    cluster.run(cluster.now + 1.0)
    after = cluster.owner()
    is_unchanged = after is owner and owner.group.replica.term == term
    require(
        is_unchanged,
        Invariant.LEADER_KEPT,
        f"{isolated.address} rejoined, and the leader of term {term} changed",
    )
    cluster.finish()


def cpu_quota(seed: int) -> None:
    """Freeze all processes for most of each 0.1 s, as a CPU quota does: the leader must not change."""
    cluster = stable_cluster(fault_free_settings(seed), seed)
    owner = owner_of(cluster)
    term = owner.group.replica.term
    end = cluster.now + QUOTA_DURATION

    def freeze_machine(machine: Machine) -> None:
        cluster.freeze(machine)
        cluster.schedule(cluster.now + QUOTA_FROZEN, lambda: resume(machine))

    def resume(machine: Machine) -> None:
        cluster.unfreeze(machine)
        if cluster.now < end:
            cluster.schedule(cluster.now + QUOTA_PERIOD - QUOTA_FROZEN, lambda: freeze_machine(machine))

    for machine in cluster.machines.values():
        cluster.schedule(
            cluster.now + cluster.rng.uniform(0.0, QUOTA_PERIOD), lambda each=machine: freeze_machine(each)
        )
    acknowledged = len(owner.state_machine.commands)
    cluster.run(end + 1.0)
    after = cluster.owner()
    is_unchanged = after is owner and owner.group.replica.term == term
    require(is_unchanged, Invariant.LEADER_KEPT, f"under a CPU quota the leader of term {term} changed")
    require(
        len(owner.state_machine.commands) > acknowledged,
        Invariant.LEADER_KEPT,
        "no command was committed under the quota",
    )
    cluster.finish()


def _cut_link(cluster: SimulatedCluster, one: Machine, other: Machine) -> None:
    cluster.link_cuts[one.address, other.address] = cluster.link_cuts[other.address, one.address] = False


def _others(cluster: SimulatedCluster, owner: Process) -> list[Machine]:
    return [process.machine for process in cluster.running() if process is not owner]


def isolated_owner(seed: int) -> None:
    """Isolate the owner repeatedly while clients still send requests to it."""
    settings = tight_lease_settings(seed)
    if seed % 2:
        settings.delay_rate, settings.max_delay = 0.5, 0.29
    cluster = stable_cluster(settings, seed)
    cluster.clients_stopped = bool(seed % 4 // 2)
    for _ in range(ROUNDS):
        cluster.run_until(lambda: cluster.owner() is not None, 5.0)
        owner = owner_of(cluster)
        cluster.run(cluster.now + cluster.rng.uniform(0.1, 0.3))
        for machine in _others(cluster, owner):
            _cut_link(cluster, owner.machine, machine)
        for _ in range(40):
            cluster.run(cluster.now + 0.015)
            cluster.send_request(owner)
        cluster.heal()
    cluster.finish()


def half_isolated_owner(seed: int) -> None:
    """Cut the links between the owner and one follower, with or without restarts of another follower.

    All logs are equal, so that the cut-off follower could be elected.
    """
    cluster = stable_cluster(tight_lease_settings(seed), seed)
    cluster.clients_stopped = True
    cluster.run(cluster.now + 0.2)
    for _ in range(ROUNDS):
        cluster.run_until(lambda: cluster.owner() is not None, 5.0)
        owner = owner_of(cluster)
        isolated, *rest = cluster.rng.sample(_others(cluster, owner), 2)
        _cut_link(cluster, owner.machine, isolated)
        cluster.run(cluster.now + 0.25)
        for _ in range(10):
            if seed % 2:
                cluster.kill(rest[0])
                cluster.boot(rest[0])
            cluster.run(cluster.now + cluster.rng.uniform(0.02, 0.06))
        cluster.heal()
    cluster.finish()


def stalled_owner(seed: int) -> None:
    """Freeze the owner for about an election timeout, so that it resumes while others request votes.

    With every other seed, one of the others does not receive the owner's messages at first.
    """
    settings = tight_lease_settings(seed)
    settings.delay_rate, settings.max_delay = ((0.3, 0.02), (0.6, 0.12))[seed % 2]
    if seed % 2:
        settings.timing = DEFAULT_TIMING  # the owner has not stepped down yet when it resumes
    cluster = stable_cluster(settings, seed)
    cluster.clients_stopped = True
    for _ in range(3 * ROUNDS):
        cluster.run_until(lambda: cluster.owner() is not None, 5.0)
        owner = owner_of(cluster)
        if seed % 2:
            _cut_link(cluster, owner.machine, _others(cluster, owner)[0])
        cluster.freeze(owner.machine)
        cluster.run(cluster.now + cluster.rng.uniform(0.25, 0.42))
        cluster.unfreeze(owner.machine)
        cluster.run(cluster.now + 0.25)
        cluster.heal()
        cluster.run(cluster.now + 0.2)
    cluster.finish()


def delayed_replies(seed: int) -> None:
    """Delay replies to the owner until shortly before the replying voters may elect another leader."""
    cluster = stable_cluster(tight_lease_settings(seed), seed)
    cluster.clients_stopped = True
    for _ in range(ROUNDS):
        cluster.run_until(lambda: cluster.owner() is not None, 5.0)
        owner = owner_of(cluster)
        others = _others(cluster, owner)
        for machine in others:
            cluster.link_cuts[machine.address, owner.machine.address] = True
        cluster.run(cluster.now + 0.1)
        for machine in others:
            cluster.link_cuts[owner.machine.address, machine.address] = False
        cluster.run(cluster.now + cluster.rng.uniform(0.18, 0.26))
        cluster.heal()
        for machine in others:
            _cut_link(cluster, owner.machine, machine)
        cluster.run(cluster.now + 0.4)
        cluster.heal()
        cluster.run(cluster.now + 0.5)
    cluster.finish()


def diverging_tail(seed: int) -> None:
    """Let an isolated owner append more entries than the others commit; it then receives their snapshot."""
    settings = fault_free_settings(seed)
    settings.compaction_bytes, settings.retained_log_bytes = 300, 0
    with patched_limits(settings):
        cluster = stable_cluster(settings, seed)
        cluster.clients_stopped = True
        for _ in range(ROUNDS):
            cluster.run_until(lambda: cluster.owner() is not None, 5.0)
            owner = owner_of(cluster)
            for machine in _others(cluster, owner):
                _cut_link(cluster, owner.machine, machine)
            for _ in range(20):
                cluster.propose(owner, 0.1)
            cluster.run_until(lambda owner=owner: cluster.owner() not in (None, owner), 5.0)
            for _ in range(cluster.rng.randrange(4, 14)):
                cluster.propose(owner_of(cluster))
                cluster.run(cluster.now + 0.02)
            cluster.heal()
            cluster.run(cluster.now + 1.0)
        cluster.finish()


def resigning_owner(seed: int) -> None:
    """Isolate an owner on the receiving side while it transfers leadership to a successor."""
    cluster = stable_cluster(fault_free_settings(seed), seed)
    cluster.clients_stopped = True
    for _ in range(ROUNDS):
        cluster.run_until(lambda: cluster.owner() is not None, 5.0)
        cluster.run(cluster.now + 0.3)
        owner = owner_of(cluster)
        owner.perform(owner.group.start_draining(owner.now()))
        for machine in _others(cluster, owner):
            cluster.link_cuts[machine.address, owner.machine.address] = False
        cluster.run(cluster.now + 0.2)
        cluster.kill(owner.machine)
        cluster.heal()
        cluster.boot(owner.machine)
        cluster.run(cluster.now + 1.0)
    cluster.finish()


def planned_stop(seed: int) -> None:
    """Stop an owner as planned: another one must acknowledge a command without an election timeout."""
    cluster = stable_cluster(fault_free_settings(seed), seed)
    for _ in range(ROUNDS):
        duration = transfer_time(cluster)
        require(
            duration < MAX_TRANSFER_TIME,
            Invariant.FAST_TRANSFER,
            f"the next acknowledgement after {duration:.3f} s",
        )
        cluster.run(cluster.now + 1.5)
    cluster.finish()


def transfer_time(cluster: SimulatedCluster) -> float:
    """Seconds from the owner's drain to the successor's first acknowledgement; restarts the old owner."""
    cluster.run_until(lambda: cluster.owner() is not None, 5.0)
    owner = owner_of(cluster)
    started = cluster.now
    known = len(cluster.oracle.committed)
    owner.perform(owner.group.start_draining(owner.now()))

    def acknowledged() -> bool:
        successor = cluster.owner()
        if successor is None or successor is owner:
            return False
        cluster.propose(successor)
        return len(cluster.oracle.committed) > known and successor.group.applied_index > 0

    duration = cluster.run_until(acknowledged, 5.0)
    assert duration == cluster.now - started
    cluster.kill(owner.machine)
    cluster.schedule(cluster.now + 0.2, lambda: cluster.boot(owner.machine))
    return duration


def _cut_links_of(
    cluster: SimulatedCluster, machine: Machine, others: Sequence[Machine], direction: int
) -> None:
    """Cut the links of a machine: both directions (0), only from it (1) or only to it (2)."""
    for other in others:
        if direction != 1:
            cluster.link_cuts[other.address, machine.address] = False
        if direction != 2:
            cluster.link_cuts[machine.address, other.address] = False


def long_isolation(seed: int) -> None:
    """Isolate a machine for 20 s while commands are committed and clients send requests to it.

    Depending on the seed, only one direction is cut, the machine is the owner, it restarts while isolated, or
    all processes of the other side are killed when the isolation ends.
    """
    settings = fault_free_settings(seed)
    settings.compaction_bytes, settings.retained_log_bytes = 2_000, 400
    cluster = stable_cluster(settings, seed)
    owner = owner_of(cluster)
    isolated = owner.machine if seed % 2 else cluster.rng.choice(_others(cluster, owner))
    others = [machine for machine in cluster.machines.values() if machine is not isolated]
    _cut_links_of(cluster, isolated, others, seed // 2 % 3)
    contact_ends_at = cluster.now + CONTACT_TIMEOUT
    while cluster.now < contact_ends_at + LONG_ISOLATION:
        if isolated.process is None:
            cluster.boot(isolated)
        elif seed % 5 == 4 and cluster.rng.random() < 0.05:
            cluster.kill(isolated)
            continue
        if isolated.process is not None:
            cluster.send_request(isolated.process)
        cluster.run(cluster.now + 0.1)
        _check_no_contact(cluster, isolated, contact_ends_at)
    if seed % 3 == 2:
        for machine in others:
            cluster.kill(machine)
            cluster.schedule(cluster.now + 0.5, lambda machine=machine: cluster.boot(machine))
    cluster.heal()
    cluster.run_until(lambda: _all_states_current(cluster), CURRENT_WITHIN)
    cluster.finish()


def _check_no_contact(cluster: SimulatedCluster, isolated: Machine, since: float) -> None:
    """Check that a machine that is isolated in any direction soon reports no quorum contact."""
    process = isolated.process
    if process is not None and cluster.now >= since:
        contact = process.group.has_quorum_contact(process.now(), MAX_SERVED_STATE_AGE)
        require(
            not contact,
            Invariant.STATE_AGE_BOUNDED,
            f"{isolated.address} claims contact at {cluster.now:.2f} s",
        )


def _all_states_current(cluster: SimulatedCluster) -> bool:
    """Whether every running process considers its state current."""
    return all(process.group.is_current(process.now(), MAX_SERVED_STATE_AGE) for process in cluster.running())


SCENARIOS: dict[str, Callable[[int], None]] = {
    "rejoining": rejoining,
    "isolated owner": isolated_owner,
    "half-isolated owner": half_isolated_owner,
    "stalled owner": stalled_owner,
    "delayed replies": delayed_replies,
    "diverging tail": diverging_tail,
    "resigning owner": resigning_owner,
    "planned stop": planned_stop,
    "long isolation": long_isolation,
    "CPU quota": cpu_quota,
}
