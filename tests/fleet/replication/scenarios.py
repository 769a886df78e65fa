"""Histories that are told, not drawn: one trouble in a calm world, and what it must not cost."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from firvane.fleet.replication.types import DEFAULT_TIMING
from tests.fleet.replication.oracle import Promise, require
from tests.fleet.replication.process import Machine, Process
from tests.fleet.replication.settings import CROWDED, Settings
from tests.fleet.replication.world import HAND_OUT_PATIENCE, World, limits_of

ROUNDS = 4  # how often the trouble comes in one history
LONG_CUT = 20.0  # seconds
SILENT_AFTER = 1.2  # seconds of a cut after which the machine must not claim to be in contact
HANDS_OUT_AGAIN = 4.0  # seconds after a cut in which all must hand out again, also after a restart of most
QUOTA_PERIOD, QUOTA_STILL = 0.1, 0.07  # seconds: what a quota leaves of each period
QUOTA_TIME = 10.0  # seconds
CUT_OFF = 2.0  # seconds, several election timeouts
PROMPT = 0.100  # seconds in which a successor must have acknowledged an order; an election takes 0.3 at least


def calm_world(settings: Settings, seed: int) -> World:
    """A world without faults whose group serves."""
    world = World(seed, settings)
    world.at(0.3, world.operate)
    world.run_until(lambda: world.is_formed() and world.owner() is not None, 5.0)
    world.run(world.now + 3.0)
    return world


def calm_settings(seed: int) -> Settings:
    """No message is lost or late."""
    machines = (3, 5, 7)[seed % 3]
    return Settings(machines=machines, target_size=machines, loss=0.0, doubled=0.0, late=0.0)


def tight_settings(seed: int) -> Settings:
    """What shortens the time between the end of a lease and the next owner: quick disks, extreme clocks."""
    return Settings(
        machines=3,
        target_size=3,
        operation_gap=0.012,
        loss=0.0,
        doubled=0.0,
        late=0.0,
        sync_time=0.0003,
        extreme_clocks=True,
        timing=CROWDED,
    )


def owner_of(world: World) -> Process:
    """The owner, which there must be."""
    owner = world.owner()
    assert owner is not None
    return owner


def rejoining(seed: int) -> None:
    """A follower is cut off from everybody for a while: the leader and its term stay."""
    world = calm_world(calm_settings(seed), seed)
    owner = owner_of(world)
    term = owner.group.replica.term
    others = [process.machine for process in world.running() if process is not owner]
    lost = world.chance.choice(others)
    for address in world.machines:
        world.cuts[address, lost.address] = world.cuts[lost.address, address] = False
    world.run(world.now + CUT_OFF)
    world.heal()
    world.run(world.now + 1.0)
    after = world.owner()
    kept = after is owner and owner.group.replica.term == term
    require(
        kept, Promise.LEADER_UNDISTURBED, f"{lost.address} returned, and the leader of term {term} is none"
    )
    world.finish()


def processor_quota(seed: int) -> None:
    """All processes stand still for most of each tenth of a second: the leader and its term stay."""
    world = calm_world(calm_settings(seed), seed)
    owner = owner_of(world)
    term = owner.group.replica.term
    end = world.now + QUOTA_TIME

    def stand_still(machine: Machine) -> None:
        world.freeze(machine)
        world.at(world.now + QUOTA_STILL, lambda: go_on(machine))

    def go_on(machine: Machine) -> None:
        world.thaw(machine)
        if world.now < end:
            world.at(world.now + QUOTA_PERIOD - QUOTA_STILL, lambda: stand_still(machine))

    for machine in world.machines.values():
        world.at(world.now + world.chance.uniform(0.0, QUOTA_PERIOD), lambda each=machine: stand_still(each))
    acknowledged = len(owner.ledger.commands)
    world.run(end + 1.0)
    after = world.owner()
    kept = after is owner and owner.group.replica.term == term
    require(kept, Promise.LEADER_UNDISTURBED, f"under a processor quota the leader of term {term} was lost")
    require(
        len(owner.ledger.commands) > acknowledged, Promise.LEADER_UNDISTURBED, "no order was taken meanwhile"
    )
    world.finish()


def _cut_both_ways(world: World, one: Machine, other: Machine) -> None:
    world.cuts[one.address, other.address] = world.cuts[other.address, one.address] = False


def _others(world: World, owner: Process) -> list[Machine]:
    return [process.machine for process in world.running() if process is not owner]


def isolated_owner(seed: int) -> None:
    """The owner is cut off from all others, again and again, and clients still ask it."""
    settings = tight_settings(seed)
    if seed % 2:
        settings.late, settings.late_by = 0.5, 0.29
    world = calm_world(settings, seed)
    world.quiet = bool(seed % 4 // 2)
    for _ in range(ROUNDS):
        world.run_until(lambda: world.owner() is not None, 5.0)
        owner = owner_of(world)
        world.run(world.now + world.chance.uniform(0.1, 0.3))
        for machine in _others(world, owner):
            _cut_both_ways(world, owner.machine, machine)
        for _ in range(40):
            world.run(world.now + 0.015)
            world.call(owner)
        world.heal()
    world.finish()


def half_cut_owner(seed: int) -> None:
    """One follower loses the owner, the others do not; these start again, or not. All logs are equal."""
    world = calm_world(tight_settings(seed), seed)
    world.quiet = True
    world.run(world.now + 0.2)
    for _ in range(ROUNDS):
        world.run_until(lambda: world.owner() is not None, 5.0)
        owner = owner_of(world)
        lost, *rest = world.chance.sample(_others(world, owner), 2)
        _cut_both_ways(world, owner.machine, lost)
        world.run(world.now + 0.25)
        for _ in range(10):
            if seed % 2:
                world.kill(rest[0])
                world.boot(rest[0])
            world.run(world.now + world.chance.uniform(0.02, 0.06))
        world.heal()
    world.finish()


def stalled_owner(seed: int) -> None:
    """The owner gets no processor for an election timeout, and goes on while others ask for votes.

    In every other history one of the others does not hear of its return at once.
    """
    settings = tight_settings(seed)
    settings.late, settings.late_by = ((0.3, 0.02), (0.6, 0.12))[seed % 2]
    if seed % 2:
        settings.timing = DEFAULT_TIMING  # the owner has not yet given up when it returns
    world = calm_world(settings, seed)
    world.quiet = True
    for _ in range(3 * ROUNDS):
        world.run_until(lambda: world.owner() is not None, 5.0)
        owner = owner_of(world)
        if seed % 2:
            _cut_both_ways(world, owner.machine, _others(world, owner)[0])
        world.freeze(owner.machine)
        world.run(world.now + world.chance.uniform(0.25, 0.42))
        world.thaw(owner.machine)
        world.run(world.now + 0.25)
        world.heal()
        world.run(world.now + 0.2)
    world.finish()


def late_answers(seed: int) -> None:
    """Answers come to the owner late, when those who gave them may soon elect another."""
    world = calm_world(tight_settings(seed), seed)
    world.quiet = True
    for _ in range(ROUNDS):
        world.run_until(lambda: world.owner() is not None, 5.0)
        owner = owner_of(world)
        others = _others(world, owner)
        for machine in others:
            world.cuts[machine.address, owner.machine.address] = True
        world.run(world.now + 0.1)
        for machine in others:
            world.cuts[owner.machine.address, machine.address] = False
        world.run(world.now + world.chance.uniform(0.18, 0.26))
        world.heal()
        for machine in others:
            _cut_both_ways(world, owner.machine, machine)
        world.run(world.now + 0.4)
        world.heal()
        world.run(world.now + 0.5)
    world.finish()


def diverging_tail(seed: int) -> None:
    """An owner that is cut off appends more than the others commit, and is sent a snapshot of theirs."""
    settings = calm_settings(seed)
    settings.compact_bytes, settings.keep_bytes = 300, 0
    with limits_of(settings):
        world = calm_world(settings, seed)
        world.quiet = True
        for _ in range(ROUNDS):
            world.run_until(lambda: world.owner() is not None, 5.0)
            owner = owner_of(world)
            for machine in _others(world, owner):
                _cut_both_ways(world, owner.machine, machine)
            for _ in range(20):
                world.propose(owner, 0.1)
            world.run_until(lambda owner=owner: world.owner() not in (None, owner), 5.0)
            for _ in range(world.chance.randrange(4, 14)):
                world.propose(owner_of(world))
                world.run(world.now + 0.02)
            world.heal()
            world.run(world.now + 1.0)
        world.finish()


def parting_owner(seed: int) -> None:
    """An owner names its successor, and hears nothing of the election."""
    world = calm_world(calm_settings(seed), seed)
    world.quiet = True
    for _ in range(ROUNDS):
        world.run_until(lambda: world.owner() is not None, 5.0)
        world.run(world.now + 0.3)
        owner = owner_of(world)
        owner.perform(owner.group.start_draining(owner.now()))
        for machine in _others(world, owner):
            world.cuts[machine.address, owner.machine.address] = False
        world.run(world.now + 0.2)
        world.kill(owner.machine)
        world.heal()
        world.boot(owner.machine)
        world.run(world.now + 1.0)
    world.finish()


def planned_end(seed: int) -> None:
    """An owner is told to stop: another one acknowledges an order without an election timeout."""
    world = calm_world(calm_settings(seed), seed)
    for _ in range(ROUNDS):
        took = hand_over_time(world)
        require(took < PROMPT, Promise.PROMPT_SUCCESSOR, f"the next acknowledgement after {took:.3f} s")
        world.run(world.now + 1.5)
    world.finish()


def hand_over_time(world: World) -> float:
    """Seconds from the owner's SIGTERM to the first acknowledgement of another; the process starts again."""
    world.run_until(lambda: world.owner() is not None, 5.0)
    owner = owner_of(world)
    started = world.now
    known = len(world.oracle.committed)
    owner.perform(owner.group.start_draining(owner.now()))

    def acknowledged() -> bool:
        successor = world.owner()
        if successor is None or successor is owner:
            return False
        world.propose(successor)
        return len(world.oracle.committed) > known and successor.group.applied_index > 0

    took = world.run_until(acknowledged, 5.0)
    assert took == world.now - started
    world.kill(owner.machine)
    world.at(world.now + 0.2, lambda: world.boot(owner.machine))
    return took


def _cut_from(world: World, machine: Machine, others: Sequence[Machine], how: int) -> None:
    """Cut a machine off: both ways, only what it sends, or only what it is sent."""
    for other in others:
        if how != 1:
            world.cuts[other.address, machine.address] = False
        if how != 2:
            world.cuts[machine.address, other.address] = False


def long_cut(seed: int) -> None:
    """A machine is cut off for twenty seconds while orders are taken; it is asked for everything meanwhile.

    In other histories only one direction is cut, the machine is the owner, or it starts again while it is cut
    off; at the end of the cut every process of the other side is killed.
    """
    settings = calm_settings(seed)
    settings.compact_bytes, settings.keep_bytes = 2_000, 400
    world = calm_world(settings, seed)
    owner = owner_of(world)
    lost = owner.machine if seed % 2 else world.chance.choice(_others(world, owner))
    others = [machine for machine in world.machines.values() if machine is not lost]
    _cut_from(world, lost, others, seed // 2 % 3)
    heard_until = world.now + SILENT_AFTER
    while world.now < heard_until + LONG_CUT:
        if lost.process is None:
            world.boot(lost)
        elif seed % 5 == 4 and world.chance.random() < 0.05:
            world.kill(lost)
            continue
        if lost.process is not None:
            world.call(lost.process)
        world.run(world.now + 0.1)
        _check_silence(world, lost, heard_until)
    if seed % 3 == 2:
        for machine in others:
            world.kill(machine)
            world.at(world.now + 0.5, lambda machine=machine: world.boot(machine))
    world.heal()
    world.run_until(lambda: _hands_out(world), HANDS_OUT_AGAIN)
    world.finish()


def _check_silence(world: World, lost: Machine, since: float) -> None:
    """Whoever hears nothing, or is heard by nobody, soon has nothing to hand out."""
    process = lost.process
    if process is not None and world.now >= since:
        contact = process.group.has_quorum_contact(process.now(), HAND_OUT_PATIENCE)
        require(not contact, Promise.HANDED_OUT_RECENT, f"{lost.address} claims contact at {world.now:.2f} s")


def _hands_out(world: World) -> bool:
    """Whether every voter may hand its state out."""
    return all(process.group.is_current(process.now(), HAND_OUT_PATIENCE) for process in world.running())


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
