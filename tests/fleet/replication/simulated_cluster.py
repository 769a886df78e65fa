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
from tests.fleet.replication.oracle import Invariant, Oracle, ViolationError, command, require
from tests.fleet.replication.process import Machine, Process
from tests.fleet.replication.settings import SYNC_TIME, FaultTrigger, Settings, settings_of
from tests.fleet.replication.simulated_disk import SimulatedDisk
from tests.fleet.replication.synced_log import SyncedLog

LINK_DELAY = 0.0014  # seconds one way
CLOCK_SKEW = 0.045  # rates between 1 - and 1 + this: a ratio below the bound of 1.1

MAX_SERVED_STATE_AGE = 0.5  # seconds of the process's clock for which a state counts as current
REPAIR_TIME = 0.5  # seconds within which a voter is replaced once it counts as lost
MAX_DISK_BYTES = 100_000
MAX_RECORD_BYTES = 250  # of an entry of 200 bytes in a frame of its own
MAX_EVENTS = 300_000  # far above the number of events of any seed


class RunawaySimulationError(Exception):
    """The simulation exceeds `MAX_EVENTS`."""


class SimulatedCluster:
    """Machines, network and clients of one seed."""

    def __init__(self, seed: int, settings: Settings) -> None:
        self.rng = random.Random(seed)
        self.settings = settings
        self.oracle = Oracle()
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None], Process | None]] = []
        self._count = 0
        self._commands = 0
        self.link_cuts: dict[tuple[Address, Address], bool] = {}  # True: messages are held, not lost
        self.held_messages: list[tuple[Address, Address, Envelope]] = []
        self.machines: dict[Address, Machine] = {}
        self.synced: dict[int, SyncedLog] = {}  # by incarnation, lost disks included
        self.faults_active = True
        self.clients_stopped = False
        self.bootstrapped = False
        self.fault_trigger_hook: Callable[[FaultTrigger, Machine], None] | None = None
        for number in range(settings.machines):
            self.add_machine(number)
        self.seeds = tuple(list(self.machines)[:3])
        for machine in self.machines.values():
            self.schedule(self.rng.uniform(0, 0.3), lambda machine=machine: self.boot(machine, True))

    # Time

    def schedule(self, when: float, call: Callable[[], None], process: Process | None = None) -> None:
        """Schedule a call; a call for a process is dropped if it is dead, and deferred while it is frozen."""
        self._count += 1
        if self._count > MAX_EVENTS:
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

    def run_until(self, condition: Callable[[], bool], timeout: float) -> float:
        """Run until a condition holds and return how long it took; a `ViolationError` after the timeout."""
        start = self.now
        while not condition():
            require(self.now - start < timeout, Invariant.RECOVERS, f"not within {timeout} s")
            self.run(self.now + 0.002)
        return self.now - start

    # Machines

    def add_machine(self, number: int) -> Machine:
        address = (f"10.0.0.{number + 1}", 7300)
        rate = 1 + self.rng.uniform(-CLOCK_SKEW, CLOCK_SKEW)
        if self.settings.extreme_clocks:
            rate = 1 + self.rng.choice((-CLOCK_SKEW, CLOCK_SKEW))
        machine = Machine(address, SimulatedDisk(self.rng), rate, self.rng.uniform(0, 1e5))
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
            self.schedule(self.now + 0.25, lambda: self.boot(machine, first_start))
            return
        machine.process.start()

    def kill(self, machine: Machine) -> None:
        if machine.process is not None:
            machine.process.crash()
            machine.process = None
        machine.deferred.clear()
        machine.frozen = False

    def lose_power(self, machine: Machine) -> None:
        self.kill(machine)
        machine.disk.lose_power()

    def freeze(self, machine: Machine) -> None:
        if machine.process is not None:
            machine.frozen = True

    def unfreeze(self, machine: Machine) -> None:
        if not machine.frozen:
            return
        machine.frozen = False
        deferred, machine.deferred = machine.deferred, []
        self.rng.shuffle(deferred)
        for call in deferred:
            self.schedule(self.now, call, machine.process)

    def running(self) -> list[Process]:
        return [machine.process for machine in self.machines.values() if machine.process is not None]

    def live_controllers(self, machine: Machine) -> Sequence[Address]:
        return [address for address, other in self.machines.items() if other.process is not None]

    def is_bootstrapped(self) -> bool:
        """Whether every seed has synced the group's first entry; no faults are injected before."""
        if not self.bootstrapped:
            seed_processes = [self.machines[seed].process for seed in self.seeds]
            self.bootstrapped = all(
                p is not None and p.group.replica.core.writes.synced_index > 0 for p in seed_processes
            )
        return self.bootstrapped

    def on_fault_trigger(self, trigger: FaultTrigger, machine: Machine) -> None:
        if self.fault_trigger_hook is not None and self.faults_active and self.is_bootstrapped():
            self.fault_trigger_hook(trigger, machine)

    # Network

    def send(self, source: Machine, target: Address, envelope: Envelope) -> None:
        rng, settings = self.rng, self.settings
        if settings.through_codec:
            envelope = decode_payload(encode_payload([envelope]))[0]
        held = self.link_cuts.get((source.address, target))
        if held is not None:
            if held:
                self.held_messages.append((source.address, target, envelope))
            return
        draw = rng.random() if self.faults_active else 1.0
        if draw < settings.loss_rate:
            return
        if draw < settings.loss_rate + settings.duplicate_rate:
            self._schedule_delivery(rng.uniform(0, settings.max_delay), source.address, target, envelope)
        delay = LINK_DELAY * rng.uniform(1.0, 1.3)
        if 1 - settings.delay_rate < draw < 1.0:
            delay += rng.uniform(0, settings.max_delay)
        self._schedule_delivery(delay, source.address, target, envelope)

    def _schedule_delivery(self, delay: float, source: Address, target: Address, envelope: Envelope) -> None:
        self.schedule(self.now + delay, lambda: self._deliver(source, target, envelope))

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
        """Restore all links, and deliver about half of the held messages."""
        self.link_cuts.clear()
        held, self.held_messages = self.held_messages, []
        for source, target, envelope in held:
            if self.rng.random() < 0.5:
                self._schedule_delivery(LINK_DELAY, source, target, envelope)

    # Clients

    def next_command(self) -> int:
        self._commands += 1
        return self._commands

    def owner(self) -> Process | None:
        """The process that owns the group now; None if there is none."""
        return next((p for p in self.running() if p.group.is_owner(p.now()) and not p.machine.frozen), None)

    def propose(self, process: Process, timeout: float = 1.0) -> None:
        number = self.next_command()
        size = self.settings.command_size
        if size > 16 and self.rng.random() < 0.5:
            size = 16

        def answer(proposal: ProposalResult) -> None:
            self.oracle.on_proposal_result(number, proposal)
            self.oracle.record_known_committed(self.now)
            if proposal.status is ProposalStatus.COMMITTED:
                self.on_fault_trigger(FaultTrigger.COMMITTED, process.machine)

        process.propose(command(number, size), timeout, answer)

    def read(self, process: Process, known_committed: int, timeout: float = 1.0) -> None:

        def answer(proposal: ProposalResult) -> None:
            if proposal.status is ProposalStatus.COMMITTED:
                self.oracle.on_read(known_committed, len(process.state_machine.commands))
                self.oracle.record_known_committed(self.now)

        process.read(timeout, answer)

    def run_client(self) -> None:
        """Send client requests to one process, usually the owner, and schedule the next ones."""
        if self.clients_stopped:
            return
        self.check_owners()
        self.check_served_states()
        processes = self.running()
        if processes:
            process = self.rng.choice(processes)
            owner = process.group.owner
            if self.rng.random() < 0.7 and owner in self.machines:
                owner_process = self.machines[owner].process
                process = owner_process if owner_process in processes else process
            for _ in range(self.rng.choice((1, 1, 1, 1, 1, 1, 1, 8))):
                self.send_request(process)
        self.schedule(
            self.now + self.rng.expovariate(1 / self.settings.mean_request_interval), self.run_client
        )

    def send_request(self, process: Process) -> None:
        """Send a proposal or a read to a process; a frozen process handles it once it resumes."""
        known_committed = self.oracle.known_committed
        propose = self.rng.random() < 0.5

        def arrive() -> None:
            if propose:
                self.propose(process)
            else:
                self.read(process, known_committed)

        if process.machine.frozen:
            process.machine.deferred.append(arrive)
        else:
            arrive()

    def check_owners(self) -> None:
        self.oracle.on_owners(
            process.group.replica.identity.incarnation
            for process in self.running()
            if process.group.is_owner(process.now())
        )

    def check_served_states(self) -> None:
        """Check that each current state has all commands that were known as committed at its age limit."""
        for process in self.running():
            if process.machine.frozen or not process.group.is_current(process.now(), MAX_SERVED_STATE_AGE):
                continue
            since = self.now - MAX_SERVED_STATE_AGE / process.machine.rate
            self.oracle.on_state_served(since, len(process.state_machine.commands))

    def check_concurrent_leaders(self) -> None:
        """Check the owners if more than one replica leads, which is allowed in different terms."""
        if sum(process.group.replica.leadership is not None for process in self.running()) > 1:
            self.check_owners()

    # Limits of the faults

    def can_lose_disk(self, machine: Machine) -> bool:
        """Whether every set of voters that may be in force keeps a majority without this machine's disk."""
        alive = {
            other.incarnation for other in self.machines.values() if other.present and other is not machine
        }
        groups = {members for process in self.running() for members in _voters_in_force(process)}
        if not groups or any(other.process is None and other.present for other in self.machines.values()):
            return False
        return all(
            sum(member.incarnation in alive for member in members) >= quorum_of(len(members))
            for members in groups
        )

    # Final checks

    def finish(self) -> None:
        """End all faults, and check that the group recovers with all voters and all acknowledged commands."""
        self.faults_active = False
        self.heal()
        for machine in self.machines.values():
            self.unfreeze(machine)
            machine.sync_time, machine.disk.full = SYNC_TIME, False
            if machine.present and machine.process is None:
                self.schedule(self.now + self.rng.uniform(0, 1.0), lambda machine=machine: self.boot(machine))
        faults_over_at = max([self.now, *(machine.hangs_until for machine in self.machines.values())])
        self.run(faults_over_at + self.settings.recovery_time - 1.0)
        self.clients_stopped = True
        self.run(self.now + 1.0)
        self.check_final()

    def has_full_membership(self, owner: Process, present: Sequence[Machine]) -> bool:
        """Whether the group has as many voters as possible, each on a machine that is present."""
        members = owner.group.replica.core.log.members
        alive = {machine.incarnation for machine in present}
        expected_voters = min(self.settings.target_size, len(present))
        return len(members) == expected_voters and all(member.incarnation in alive for member in members)

    def check_final(self) -> None:
        owner = self.owner()
        if owner is None:
            raise ViolationError(Invariant.RECOVERS, "no owner at the end")
        before = len(self.oracle.committed)
        self.propose(owner)
        self.run(self.now + 0.5)
        committed = len(self.oracle.committed) > before
        require(committed, Invariant.RECOVERS, "nothing is committed at the end")
        present = [machine for machine in self.machines.values() if machine.present]
        self.run_until(
            lambda: self.has_full_membership(owner, present),
            self.settings.timing.voter_replace_after_s + REPAIR_TIME,
        )
        members = owner.group.replica.core.log.members
        self.run(self.now + 0.3)
        for process in self.running():
            if process.group.replica.identity in members:
                equal = process.state_machine.commands == owner.state_machine.commands
                require(equal, Invariant.RECOVERS, "replicas differ at the end")
                self.oracle.check_final_commands(process.state_machine.commands)
        for machine in present:
            size = machine.disk.size()
            require(size < _max_bytes(machine), Invariant.RECOVERS, f"{size} bytes on a disk")


def _max_bytes(machine: Machine) -> int:
    """The allowed bytes on a disk: a fixed bound, or each entry once if the log has no snapshot."""
    if machine.process is None:
        return MAX_DISK_BYTES
    log = machine.process.group.replica.core.log
    return MAX_DISK_BYTES if log.snapshot else max(MAX_DISK_BYTES, log.last_index * MAX_RECORD_BYTES)


def _voters_in_force(process: Process) -> list[tuple[Member, ...]]:
    """The voters at the commit index that this process knows, and those of every later MEMBERS entry."""
    log = process.group.replica.core.log
    commit = process.group.replica.commit_index
    groups = [log.members_at(commit)[1]] + [
        members for index, members in log._membership_history if index > commit
    ]
    return [members for members in groups if members]


@contextlib.contextmanager
def patched_limits(settings: Settings) -> Iterator[None]:
    """Patch the limits of the code with those of a cluster's settings."""
    with contextlib.ExitStack() as patches:
        for module, name, value in (
            (group_module, "COMPACTION_BYTES", settings.compaction_bytes),
            (group_module, "RETAINED_LOG_BYTES", settings.retained_log_bytes),
            (group_module, "COMPACTION_ENTRIES", settings.compaction_entries),
            (leadership_module, "MAX_APPEND_BYTES", settings.max_append_bytes),
            (
                voting_module,
                "PRE_VOTE_RESERVATION_S",
                -1.0 if settings.contention else voting_module.PRE_VOTE_RESERVATION_S,
            ),
        ):
            patches.enter_context(patch.object(module, name, value))
        yield


def run_seed(seed: int, settings: Settings | None = None) -> SimulatedCluster:
    """Run the simulation of one seed to its end."""
    from tests.fleet.replication.faults import Faults

    settings = settings or settings_of(seed)
    with patched_limits(settings):
        cluster = SimulatedCluster(seed, settings)
        faults = Faults(cluster)
        cluster.schedule(0.3, cluster.run_client)
        cluster.schedule(settings.first_fault_at, faults.inject)
        cluster.run(settings.first_fault_at + settings.duration)
        faults.stop()
        faults.inject_final()
        cluster.finish()
        return cluster


def main(arguments: Sequence[str]) -> int:
    """Run the seeds of the command line: their number, and the first one."""
    count = int(arguments[0]) if arguments else 1000
    first = int(arguments[1]) if len(arguments) > 1 else 0
    failed = []
    started = time.monotonic()
    for seed in range(first, first + count):
        try:
            run_seed(seed)
        except Exception as error:
            failed.append(seed)
            place = traceback.extract_tb(error.__traceback__)[-1]
            print(f"seed {seed}: {type(error).__name__}: {error} ({place.name})", flush=True)
    print(f"{count} seeds in {time.monotonic() - started:.1f} s, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
