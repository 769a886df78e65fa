"""Histories that are told, not drawn: one trouble in a calm world, and what it must not cost."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from firvane.fleet.replication.types import DEFAULT_TIMING
from tests.fleet.replication.oracle import Invariant, require
from tests.fleet.replication.process import Machine, Process
from tests.fleet.replication.settings import COLLIDING_ELECTIONS, Settings
from tests.fleet.replication.simulated_cluster import MAX_SERVED_STATE_AGE, SimulatedCluster, patched_limits

ROUNDS = 4  # how often the trouble comes in one history
LONG_CUT = 20.0  # seconds
SILENT_AFTER = 1.2  # seconds of a cut after which the machine must not claim to be in contact
HANDS_OUT_AGAIN = 4.0  # seconds after a cut in which all must hand out again, also after a restart of most
QUOTA_PERIOD, QUOTA_STILL = 0.1, 0.07  # seconds: what a quota leaves of each period
QUOTA_TIME = 10.0  # seconds
CUT_OFF = 2.0  # seconds, several election timeouts
PROMPT = 0.100  # seconds in which a successor must have acknowledged an order; an election takes 0.3 at least


def stable_cluster(settings: Settings, seed: int) -> SimulatedCluster:
    """A world without faults whose group serves."""
    cluster = SimulatedCluster(seed, settings)
    cluster.schedule(0.3, cluster.run_client)
    cluster.run_until(lambda: cluster.is_bootstrapped() and cluster.owner() is not None, 5.0)
    cluster.run(cluster.now + 3.0)
    return cluster


def calm_settings(seed: int) -> Settings:
    """No message is lost or late."""
    machines = (3, 5, 7)[seed % 3]
    return Settings(
        machines=machines, target_size=machines, loss_rate=0.0, duplicate_rate=0.0, delay_rate=0.0
    )


def tight_settings(seed: int) -> Settings:
    """What shortens the time between the end of a lease and the next owner: quick disks, extreme clocks."""
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
    """The owner, which there must be."""
    owner = cluster.owner()
    assert owner is not None
    return owner


def rejoining(seed: int) -> None:
    """A follower is cut off from everybody for a while: the leader and its term stay."""
    cluster = stable_cluster(calm_settings(seed), seed)
    owner = owner_of(cluster)
    term = owner.group.replica.term
    others = [process.machine for process in cluster.running() if process is not owner]
    lost = cluster.rng.choice(others)
    for address in cluster.machines:
        cluster.link_cuts[address, lost.address] = cluster.link_cuts[lost.address, address] = False
    cluster.run(cluster.now + CUT_OFF)
    cluster.heal()
    cluster.run(cluster.now + 1.0)
    after = cluster.owner()
    kept = after is owner and owner.group.replica.term == term
    require(kept, Invariant.LEADER_KEPT, f"{lost.address} returned, and the leader of term {term} is none")
    cluster.finish()


def processor_quota(seed: int) -> None:
    """All processes stand still for most of each tenth of a second: the leader and its term stay."""
    cluster = stable_cluster(calm_settings(seed), seed)
    owner = owner_of(cluster)
    term = owner.group.replica.term
    end = cluster.now + QUOTA_TIME

    def stand_still(machine: Machine) -> None:
        cluster.freeze(machine)
        cluster.schedule(cluster.now + QUOTA_STILL, lambda: go_on(machine))

    def go_on(machine: Machine) -> None:
        cluster.unfreeze(machine)
        if cluster.now < end:
            cluster.schedule(cluster.now + QUOTA_PERIOD - QUOTA_STILL, lambda: stand_still(machine))

    for machine in cluster.machines.values():
        cluster.schedule(
            cluster.now + cluster.rng.uniform(0.0, QUOTA_PERIOD), lambda each=machine: stand_still(each)
        )
    acknowledged = len(owner.state_machine.commands)
    cluster.run(end + 1.0)
    after = cluster.owner()
    kept = after is owner and owner.group.replica.term == term
    require(kept, Invariant.LEADER_KEPT, f"under a processor quota the leader of term {term} was lost")
    require(
        len(owner.state_machine.commands) > acknowledged,
        Invariant.LEADER_KEPT,
        "no order was taken meanwhile",
    )
    cluster.finish()


def _cut_both_ways(cluster: SimulatedCluster, one: Machine, other: Machine) -> None:
    cluster.link_cuts[one.address, other.address] = cluster.link_cuts[other.address, one.address] = False


def _others(cluster: SimulatedCluster, owner: Process) -> list[Machine]:
    return [process.machine for process in cluster.running() if process is not owner]


def isolated_owner(seed: int) -> None:
    """The owner is cut off from all others, again and again, and clients still ask it."""
    settings = tight_settings(seed)
    if seed % 2:
        settings.delay_rate, settings.max_delay = 0.5, 0.29
    cluster = stable_cluster(settings, seed)
    cluster.clients_stopped = bool(seed % 4 // 2)
    for _ in range(ROUNDS):
        cluster.run_until(lambda: cluster.owner() is not None, 5.0)
        owner = owner_of(cluster)
        cluster.run(cluster.now + cluster.rng.uniform(0.1, 0.3))
        for machine in _others(cluster, owner):
            _cut_both_ways(cluster, owner.machine, machine)
        for _ in range(40):
            cluster.run(cluster.now + 0.015)
            cluster.call(owner)
        cluster.heal()
    cluster.finish()


def half_cut_owner(seed: int) -> None:
    """One follower loses the owner, the others do not; these start again, or not. All logs are equal."""
    cluster = stable_cluster(tight_settings(seed), seed)
    cluster.clients_stopped = True
    cluster.run(cluster.now + 0.2)
    for _ in range(ROUNDS):
        cluster.run_until(lambda: cluster.owner() is not None, 5.0)
        owner = owner_of(cluster)
        lost, *rest = cluster.rng.sample(_others(cluster, owner), 2)
        _cut_both_ways(cluster, owner.machine, lost)
        cluster.run(cluster.now + 0.25)
        for _ in range(10):
            if seed % 2:
                cluster.kill(rest[0])
                cluster.boot(rest[0])
            cluster.run(cluster.now + cluster.rng.uniform(0.02, 0.06))
        cluster.heal()
    cluster.finish()


def stalled_owner(seed: int) -> None:
    """The owner gets no processor for an election timeout, and goes on while others ask for votes.

    In every other history one of the others does not hear of its return at once.
    """
    settings = tight_settings(seed)
    settings.delay_rate, settings.max_delay = ((0.3, 0.02), (0.6, 0.12))[seed % 2]
    if seed % 2:
        settings.timing = DEFAULT_TIMING  # the owner has not yet given up when it returns
    cluster = stable_cluster(settings, seed)
    cluster.clients_stopped = True
    for _ in range(3 * ROUNDS):
        cluster.run_until(lambda: cluster.owner() is not None, 5.0)
        owner = owner_of(cluster)
        if seed % 2:
            _cut_both_ways(cluster, owner.machine, _others(cluster, owner)[0])
        cluster.freeze(owner.machine)
        cluster.run(cluster.now + cluster.rng.uniform(0.25, 0.42))
        cluster.unfreeze(owner.machine)
        cluster.run(cluster.now + 0.25)
        cluster.heal()
        cluster.run(cluster.now + 0.2)
    cluster.finish()


def late_answers(seed: int) -> None:
    """Answers come to the owner late, when those who gave them may soon elect another."""
    cluster = stable_cluster(tight_settings(seed), seed)
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
            _cut_both_ways(cluster, owner.machine, machine)
        cluster.run(cluster.now + 0.4)
        cluster.heal()
        cluster.run(cluster.now + 0.5)
    cluster.finish()


def diverging_tail(seed: int) -> None:
    """An owner that is cut off appends more than the others commit, and is sent a snapshot of theirs."""
    settings = calm_settings(seed)
    settings.compaction_bytes, settings.retained_log_bytes = 300, 0
    with patched_limits(settings):
        cluster = stable_cluster(settings, seed)
        cluster.clients_stopped = True
        for _ in range(ROUNDS):
            cluster.run_until(lambda: cluster.owner() is not None, 5.0)
            owner = owner_of(cluster)
            for machine in _others(cluster, owner):
                _cut_both_ways(cluster, owner.machine, machine)
            for _ in range(20):
                cluster.propose(owner, 0.1)
            cluster.run_until(lambda owner=owner: cluster.owner() not in (None, owner), 5.0)
            for _ in range(cluster.rng.randrange(4, 14)):
                cluster.propose(owner_of(cluster))
                cluster.run(cluster.now + 0.02)
            cluster.heal()
            cluster.run(cluster.now + 1.0)
        cluster.finish()


def parting_owner(seed: int) -> None:
    """An owner names its successor, and hears nothing of the election."""
    cluster = stable_cluster(calm_settings(seed), seed)
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


def planned_end(seed: int) -> None:
    """An owner is told to stop: another one acknowledges an order without an election timeout."""
    cluster = stable_cluster(calm_settings(seed), seed)
    for _ in range(ROUNDS):
        took = hand_over_time(cluster)
        require(took < PROMPT, Invariant.FAST_TRANSFER, f"the next acknowledgement after {took:.3f} s")
        cluster.run(cluster.now + 1.5)
    cluster.finish()


def hand_over_time(cluster: SimulatedCluster) -> float:
    """Seconds from the owner's SIGTERM to the first acknowledgement of another; the process starts again."""
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

    took = cluster.run_until(acknowledged, 5.0)
    assert took == cluster.now - started
    cluster.kill(owner.machine)
    cluster.schedule(cluster.now + 0.2, lambda: cluster.boot(owner.machine))
    return took


def _cut_from(cluster: SimulatedCluster, machine: Machine, others: Sequence[Machine], how: int) -> None:
    """Cut a machine off: both ways, only what it sends, or only what it is sent."""
    for other in others:
        if how != 1:
            cluster.link_cuts[other.address, machine.address] = False
        if how != 2:
            cluster.link_cuts[machine.address, other.address] = False


def long_cut(seed: int) -> None:
    """A machine is cut off for twenty seconds while orders are taken; it is asked for everything meanwhile.

    In other histories only one direction is cut, the machine is the owner, or it starts again while it is cut
    off; at the end of the cut every process of the other side is killed.
    """
    settings = calm_settings(seed)
    settings.compaction_bytes, settings.retained_log_bytes = 2_000, 400
    cluster = stable_cluster(settings, seed)
    owner = owner_of(cluster)
    lost = owner.machine if seed % 2 else cluster.rng.choice(_others(cluster, owner))
    others = [machine for machine in cluster.machines.values() if machine is not lost]
    _cut_from(cluster, lost, others, seed // 2 % 3)
    heard_until = cluster.now + SILENT_AFTER
    while cluster.now < heard_until + LONG_CUT:
        if lost.process is None:
            cluster.boot(lost)
        elif seed % 5 == 4 and cluster.rng.random() < 0.05:
            cluster.kill(lost)
            continue
        if lost.process is not None:
            cluster.call(lost.process)
        cluster.run(cluster.now + 0.1)
        _check_silence(cluster, lost, heard_until)
    if seed % 3 == 2:
        for machine in others:
            cluster.kill(machine)
            cluster.schedule(cluster.now + 0.5, lambda machine=machine: cluster.boot(machine))
    cluster.heal()
    cluster.run_until(lambda: _hands_out(cluster), HANDS_OUT_AGAIN)
    cluster.finish()


def _check_silence(cluster: SimulatedCluster, lost: Machine, since: float) -> None:
    """Whoever hears nothing, or is heard by nobody, soon has nothing to hand out."""
    process = lost.process
    if process is not None and cluster.now >= since:
        contact = process.group.has_quorum_contact(process.now(), MAX_SERVED_STATE_AGE)
        require(
            not contact, Invariant.STATE_AGE_BOUNDED, f"{lost.address} claims contact at {cluster.now:.2f} s"
        )


def _hands_out(cluster: SimulatedCluster) -> bool:
    """Whether every voter may hand its state out."""
    return all(process.group.is_current(process.now(), MAX_SERVED_STATE_AGE) for process in cluster.running())


SCENARIOS: dict[str, Callable[[int], None]] = {
    "rejoining": rejoining,
    "isolated owner": isolated_owner,
    "half-cut owner": half_cut_owner,
    "stalled owner": stalled_owner,
    "late answers": late_answers,
    "diverging tail": diverging_tail,
    "parting owner": parting_owner,
    "planned end": planned_end,
    "long cut": long_cut,
    "processor quota": processor_quota,
}
