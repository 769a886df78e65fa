"""A simulated cluster for one replication group: machines, disks, clocks, a network, faults and clients.

The replicas, the journals and the journal writer are the real code. Time is simulated, and all random choices
come from the seed. `python -m tests.fleet.replication.simulated_cluster COUNT [FIRST]` runs COUNT seeds from
FIRST on and prints those that fail.
"""

from __future__ import annotations

import contextlib
import heapq
import random
import sys
import time
import traceback
from collections.abc import Callable, Iterator, Sequence
from unittest.mock import patch

from firvane.core.address import Address
from firvane.fleet.replication import group as group_module
from firvane.fleet.replication import leadership as leadership_module
from firvane.fleet.replication import voting as voting_module
from firvane.fleet.replication.codec import decode_payload, encode_payload
from firvane.fleet.replication.messages import Envelope
from firvane.fleet.replication.proposals import ProposalResult, ProposalStatus
from firvane.fleet.replication.types import Member, quorum_of
from tests.fleet.replication.oracle import Oracle, Promise, ViolationError, command, require
from tests.fleet.replication.process import Machine, Process
from tests.fleet.replication.settings import SYNC, Settings, WeakMoment, settings_of
from tests.fleet.replication.simulated_disk import SimulatedDisk
from tests.fleet.replication.synced_log import SyncedLog

LINK = 0.0014  # seconds one way
CLOCK_SKEW = 0.045  # rates between 1 - and 1 + this: a ratio below the bound of 1.1

HAND_OUT_PATIENCE = 0.5  # seconds of a process for which its state may be handed out after a proof
REPAIR = 0.5  # seconds in which a voter is exchanged once its silence has lasted long enough
MAXIMUM_DISK = 100_000  # bytes
MAXIMUM_RECORD = 250  # bytes of an entry of 200 bytes in a frame of its own
MAXIMUM_EVENTS = 300_000  # no drawn history comes near


class RunawaySimulationError(Exception):
    """Events come without end."""


class SimulatedCluster:
    """Machines, network, clients and faults of one seed."""

    def __init__(self, seed: int, settings: Settings) -> None:
        self.chance = random.Random(seed)
        self.settings = settings
        self.oracle = Oracle()
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None], Process | None]] = []
        self._count = 0
        self._commands = 0
        self.cuts: dict[tuple[Address, Address], bool] = {}  # True: what is sent is held, not lost
        self.held: list[tuple[Address, Address, Envelope]] = []
        self.machines: dict[Address, Machine] = {}
        self.synced: dict[int, SyncedLog] = {}  # by incarnation, also of those whose disk was lost
        self.faulty = True
        self.quiet = False  # no more calls of clients
        self.formed = False
        self.on_weak_moment: Callable[[WeakMoment, Machine], None] | None = None
        for number in range(settings.machines):
            self.add_machine(number)
        self.seeds = tuple(list(self.machines)[:3])
        for machine in self.machines.values():
            self.at(self.chance.uniform(0, 0.3), lambda machine=machine: self.boot(machine, True))

    # Time

    def at(self, when: float, call: Callable[[], None], process: Process | None = None) -> None:
        """Call at a time; for a process only while it lives, and later if it is frozen then."""
        self._count += 1
        if self._count > MAXIMUM_EVENTS:
            raise RunawaySimulationError(f"{self._count} events until {self.now:.1f} s")
        heapq.heappush(self._events, (when, self._count, call, process))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            when, _, call, process = heapq.heappop(self._events)
            self.now = max(self.now, when)
            if process is None:
                call()
            elif process.alive:
                if process.machine.frozen:
                    process.machine.deferred.append(call)
                else:
                    call()
        self.now = until

    def run_until(self, condition: Callable[[], bool], patience: float) -> float:
        """Run until something holds; how long it took. An assertion where it takes too long."""
        start = self.now
        while not condition():
            require(self.now - start < patience, Promise.SERVES_AGAIN, f"not within {patience} s")
            self.run(self.now + 0.002)
        return self.now - start

    # Machines

    def add_machine(self, number: int) -> Machine:
        address = (f"10.0.0.{number + 1}", 7300)
        rate = 1 + self.chance.uniform(-CLOCK_SKEW, CLOCK_SKEW)
        if self.settings.extreme_clocks:
            rate = 1 + self.chance.choice((-CLOCK_SKEW, CLOCK_SKEW))
        machine = Machine(address, SimulatedDisk(self.chance), rate, self.chance.uniform(0, 1e5))
        machine.sync_time = self.settings.sync_time
        machine.disk_since = self.now
        self.machines[address] = machine
        return machine

    def boot(self, machine: Machine, first_start: bool = False) -> None:
        if machine.process is not None or not machine.present:
            return
        machine.powered = True
        try:
            machine.process = Process(self, machine, first_start and machine.address in self.seeds)
        except OSError:
            self.at(self.now + 0.25, lambda: self.boot(machine, first_start))
            return
        machine.process.start()

    def kill(self, machine: Machine) -> None:
        if machine.process is not None:
            machine.process.end()
            machine.process = None
        machine.deferred.clear()
        machine.frozen = False

    def lose_power(self, machine: Machine) -> None:
        self.kill(machine)
        machine.disk.lose_power()

    def freeze(self, machine: Machine) -> None:
        if machine.process is not None:
            machine.frozen = True

    def thaw(self, machine: Machine) -> None:
        if not machine.frozen:
            return
        machine.frozen = False
        deferred, machine.deferred = machine.deferred, []
        self.chance.shuffle(deferred)
        for call in deferred:
            self.at(self.now, call, machine.process)

    def running(self) -> list[Process]:
        return [machine.process for machine in self.machines.values() if machine.process is not None]

    def candidates_of(self, machine: Machine) -> Sequence[Address]:
        return [address for address, other in self.machines.items() if other.process is not None]

    def is_formed(self) -> bool:
        """Whether every founder has the group's first entry on its disk: nothing strikes before."""
        if not self.formed:
            founders = [self.machines[seed].process for seed in self.seeds]
            self.formed = all(
                p is not None and p.group.replica.core.writes.synced_index > 0 for p in founders
            )
        return self.formed

    def weak_moment(self, moment: WeakMoment, machine: Machine) -> None:
        if self.on_weak_moment is not None and self.faulty and self.is_formed():
            self.on_weak_moment(moment, machine)

    # Network

    def send(self, source: Machine, target: Address, envelope: Envelope) -> None:
        chance, settings = self.chance, self.settings
        if settings.through_codec:
            envelope = decode_payload(encode_payload([envelope]))[0]
        held = self.cuts.get((source.address, target))
        if held is not None:
            if held:
                self.held.append((source.address, target, envelope))
            return
        draw = chance.random() if self.faulty else 1.0
        if draw < settings.loss:
            return
        if draw < settings.loss + settings.doubled:
            self._deliver_after(chance.uniform(0, settings.late_by), source.address, target, envelope)
        delay = LINK * chance.uniform(1.0, 1.3)
        if 1 - settings.late < draw < 1.0:
            delay += chance.uniform(0, settings.late_by)
        self._deliver_after(delay, source.address, target, envelope)

    def _deliver_after(self, delay: float, source: Address, target: Address, envelope: Envelope) -> None:
        self.at(self.now + delay, lambda: self._deliver(source, target, envelope))

    def _deliver(self, source: Address, target: Address, envelope: Envelope) -> None:
        machine = self.machines.get(target)
        if machine is None or machine.process is None:
            return
        if machine.frozen:
            process = machine.process
            machine.deferred.append(lambda: process.receive(source, envelope))
        else:
            machine.process.receive(source, envelope)

    def heal(self) -> None:
        """Join all that was cut; what was held arrives."""
        self.cuts.clear()
        held, self.held = self.held, []
        for source, target, envelope in held:
            if self.chance.random() < 0.5:
                self._deliver_after(LINK, source, target, envelope)

    # Clients

    def next_command(self) -> int:
        self._commands += 1
        return self._commands

    def owner(self) -> Process | None:
        """Whoever owns the group now."""
        return next((p for p in self.running() if p.group.is_owner(p.now()) and not p.machine.frozen), None)

    def propose(self, process: Process, timeout: float = 1.0) -> None:
        number = self.next_command()
        size = self.settings.command_size
        if size > 16 and self.chance.random() < 0.5:
            size = 16

        def answer(proposal: ProposalResult) -> None:
            self.oracle.proposed(number, proposal)
            self.oracle.note_floor(self.now)
            if proposal.status is ProposalStatus.COMMITTED:
                self.weak_moment(WeakMoment.COMMITTED, process.machine)

        process.propose(command(number, size), timeout, answer)

    def read(self, process: Process, floor: int, timeout: float = 1.0) -> None:

        def answer(proposal: ProposalResult) -> None:
            if proposal.status is ProposalStatus.COMMITTED:
                self.oracle.read(floor, len(process.ledger.commands))
                self.oracle.note_floor(self.now)

        process.read(timeout, answer)

    def operate(self) -> None:
        """A client's call, at the owner as a rule, and the next one."""
        if self.quiet:
            return
        self.check_owners()
        self.check_handed_out()
        processes = self.running()
        if processes:
            process = self.chance.choice(processes)
            owner = process.group.owner
            if self.chance.random() < 0.7 and owner in self.machines:
                known = self.machines[owner].process
                process = known if known in processes else process
            for _ in range(self.chance.choice((1, 1, 1, 1, 1, 1, 1, 8))):
                self.call(process)
        self.at(self.now + self.chance.expovariate(1 / self.settings.operation_gap), self.operate)

    def call(self, process: Process) -> None:
        """A call that waits in the socket of a frozen process."""
        floor = self.oracle.floor
        propose = self.chance.random() < 0.5

        def arrive() -> None:
            if propose:
                self.propose(process)
            else:
                self.read(process, floor)

        if process.machine.frozen:
            process.machine.deferred.append(arrive)
        else:
            arrive()

    def check_owners(self) -> None:
        self.oracle.owners(
            process.group.replica.identity.incarnation
            for process in self.running()
            if process.group.is_owner(process.now())
        )

    def check_handed_out(self) -> None:
        """No controller takes its state for a recent one that lacks what was known by then."""
        for process in self.running():
            if process.machine.frozen or not process.group.is_current(process.now(), HAND_OUT_PATIENCE):
                continue
            since = self.now - HAND_OUT_PATIENCE / process.machine.rate
            self.oracle.handed_out(since, len(process.ledger.commands))

    def check_rivals(self) -> None:
        """Check the owners where more than one replica leads, as it may in different terms."""
        if sum(process.group.replica.leadership is not None for process in self.running()) > 1:
            self.check_owners()

    # What the faults must respect

    def may_wipe(self, machine: Machine) -> bool:
        """Whether every group of voters that may be in force keeps a majority without this disk."""
        alive = {
            other.incarnation for other in self.machines.values() if other.present and other is not machine
        }
        groups = {members for process in self.running() for members in _groups_in_force(process)}
        if not groups or any(other.process is None and other.present for other in self.machines.values()):
            return False
        return all(
            sum(member.incarnation in alive for member in members) >= quorum_of(len(members))
            for members in groups
        )

    # The end

    def finish(self) -> None:
        """End all faults; the group must serve again, with all its voters, and hold what it must."""
        self.faulty = False
        self.heal()
        for machine in self.machines.values():
            self.thaw(machine)
            machine.sync_time, machine.disk.full = SYNC, False
            if machine.present and machine.process is None:
                self.at(self.now + self.chance.uniform(0, 1.0), lambda machine=machine: self.boot(machine))
        calm_from = max([self.now, *(machine.hangs_until for machine in self.machines.values())])
        self.run(calm_from + self.settings.calm - 1.0)
        self.quiet = True
        self.run(self.now + 1.0)
        self.check_final()

    def is_whole(self, owner: Process, present: Sequence[Machine]) -> bool:
        """Whether the group has all the voters that it can have, each one a machine that is there."""
        members = owner.group.replica.core.log.members
        alive = {machine.incarnation for machine in present}
        wanted = min(self.settings.target_size, len(present))
        return len(members) == wanted and all(member.incarnation in alive for member in members)

    def check_final(self) -> None:
        owner = self.owner()
        if owner is None:
            raise ViolationError(Promise.SERVES_AGAIN, "no owner at the end")
        before = len(self.oracle.committed)
        self.propose(owner)
        self.run(self.now + 0.5)
        committed = len(self.oracle.committed) > before
        require(committed, Promise.SERVES_AGAIN, "nothing is committed at the end")
        present = [machine for machine in self.machines.values() if machine.present]
        self.run_until(
            lambda: self.is_whole(owner, present), self.settings.timing.voter_replace_after_s + REPAIR
        )
        members = owner.group.replica.core.log.members
        self.run(self.now + 0.3)
        for process in self.running():
            if process.group.replica.identity in members:
                equal = process.ledger.commands == owner.ledger.commands
                require(equal, Promise.SERVES_AGAIN, "replicas differ at the end")
                self.oracle.finish(process.ledger.commands)
        for machine in present:
            size = machine.disk.size()
            require(size < _most_bytes(machine), Promise.SERVES_AGAIN, f"{size} bytes on a disk")


def _most_bytes(machine: Machine) -> int:
    """How much a disk may hold: a bound for all, but for a log without a snapshot each entry once."""
    if machine.process is None:
        return MAXIMUM_DISK
    log = machine.process.group.replica.core.log
    return MAXIMUM_DISK if log.snapshot else max(MAXIMUM_DISK, log.last_index * MAXIMUM_RECORD)


def _groups_in_force(process: Process) -> list[tuple[Member, ...]]:
    """The voters after the commit index that this process knows, and after every later entry."""
    log = process.group.replica.core.log
    commit = process.group.replica.commit_index
    groups = [log.members_at(commit)[1]] + [
        members for index, members in log._membership_history if index > commit
    ]
    return [members for members in groups if members]


@contextlib.contextmanager
def limits_of(settings: Settings) -> Iterator[None]:
    """Put a world's sizes and times in the place of those in the code."""
    with contextlib.ExitStack() as patches:
        for module, name, value in (
            (group_module, "COMPACTION_BYTES", settings.compact_bytes),
            (group_module, "RETAINED_LOG_BYTES", settings.keep_bytes),
            (group_module, "COMPACTION_ENTRIES", settings.compact_entries),
            (leadership_module, "MAX_APPEND_BYTES", settings.append_bytes),
            (
                voting_module,
                "PRE_VOTE_RESERVATION_S",
                -1.0 if settings.contention else voting_module.PRE_VOTE_RESERVATION_S,
            ),
        ):
            patches.enter_context(patch.object(module, name, value))
        yield


def play(seed: int, settings: Settings | None = None) -> SimulatedCluster:
    """Play one seed to its end."""
    from tests.fleet.replication.faults import Faults

    settings = settings or settings_of(seed)
    with limits_of(settings):
        cluster = SimulatedCluster(seed, settings)
        faults = Faults(cluster)
        cluster.at(0.3, cluster.operate)
        cluster.at(settings.first_fault, faults.strike)
        cluster.run(settings.first_fault + settings.duration)
        faults.stop()
        faults.final()
        cluster.finish()
        return cluster


def main(arguments: Sequence[str]) -> int:
    """Play seeds from the command line: how many, and from which on."""
    count = int(arguments[0]) if arguments else 1000
    first = int(arguments[1]) if len(arguments) > 1 else 0
    failed = []
    started = time.monotonic()
    for seed in range(first, first + count):
        try:
            play(seed)
        except Exception as error:
            failed.append(seed)
            place = traceback.extract_tb(error.__traceback__)[-1]
            print(f"seed {seed}: {type(error).__name__}: {error} ({place.name})", flush=True)
    print(f"{count} seeds in {time.monotonic() - started:.1f} s, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
