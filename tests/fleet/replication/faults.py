"""Faults of a simulated cluster, chosen at random from its seed."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from firvane.core.address import Address
from tests.fleet.replication.process import Machine
from tests.fleet.replication.settings import FaultTrigger
from tests.fleet.replication.simulated_cluster import SimulatedCluster

TARGETED_FAULTS = (
    "power_cycle_machine",
    "power_cycle_all",
    "power_cycle_some",
    "kill_then_power_cycle",
    "freeze_machine",
    "isolate_machine",
    "cut_some_links",
    "wipe_one",
    "restart_some",
)


class Faults:
    """Injects faults repeatedly until stopped."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.stopped = False
        self.fault_kinds: list[Callable[[], None]] = [
            self.kill,
            self.kill,
            self.kill_all,
            self.lose_power,
            self.lose_power_all,
            self.freeze,
            self.freeze,
            self.stall,
            self.wipe,
            self.wipe,
            self.replace,
            self.partition,
            self.partition_one_way,
            self.fill_disk,
            self.slow_disk,
            self.hang_disk,
            self.terminate,
            self.cut_links,
            self.restart_quickly,
            self.damage_disk,
            self.partition_in_halves,
            self.wipe_oldest_during_power_loss,
            self.replace_during_link_cuts,
        ]
        rng = cluster.rng
        if cluster.settings.fault_kinds:
            self.fault_kinds = [getattr(self, kind) for kind in cluster.settings.fault_kinds]
        elif cluster.settings.fault_kind_count < len(self.fault_kinds):
            self.fault_kinds = rng.sample(self.fault_kinds, cluster.settings.fault_kind_count)
        if cluster.settings.targeted_rate:
            cluster.fault_trigger_hook = self.inject_at_trigger

    def inject(self) -> None:
        """Inject one fault, and schedule the next one."""
        if self.stopped:
            return
        cluster = self.cluster
        if cluster.is_bootstrapped():
            cluster.rng.choice(self.fault_kinds)()
        cluster.schedule(
            cluster.now + cluster.rng.expovariate(1 / cluster.settings.mean_fault_interval), self.inject
        )

    def stop(self) -> None:
        self.stopped = True

    def inject_at_trigger(self, trigger: FaultTrigger, machine: Machine) -> None:
        """Inject a targeted fault within milliseconds of a trigger event."""
        cluster = self.cluster
        settings = cluster.settings
        if self.stopped or cluster.rng.random() > settings.targeted_rate:
            return
        if settings.triggers and trigger not in settings.triggers:
            return
        if (
            trigger is FaultTrigger.WRITING
            and trigger not in settings.triggers
            and cluster.rng.random() < 0.8
        ):
            return
        names = settings.targeted_faults or TARGETED_FAULTS
        if trigger in (FaultTrigger.COMPACTING, FaultTrigger.VOTED) and not settings.targeted_faults:
            names = ("power_cycle_machine",)
        fault = getattr(self, cluster.rng.choice(names))
        cluster.schedule(cluster.now + cluster.rng.uniform(0, 0.012), lambda: fault(machine))

    def power_cycle_machine(self, machine: Machine) -> None:
        self._power_cycle_machines([machine])

    def power_cycle_all(self, _machine: Machine) -> None:
        self._power_cycle_machines([process.machine for process in self.cluster.running()])

    def power_cycle_some(self, _machine: Machine) -> None:
        running_machines = [process.machine for process in self.cluster.running()]
        if running_machines:
            count = self.cluster.rng.randrange(1, len(running_machines) + 1)
            self._power_cycle_machines(self.cluster.rng.sample(running_machines, count))

    def kill_then_power_cycle(self, machine: Machine) -> None:
        """Kill a process, restart it at once, and power-cycle all machines after that."""
        cluster = self.cluster
        cluster.kill(machine)
        self._schedule_after(0.005, 0.02, lambda: cluster.boot(machine))
        self._schedule_after(0.1, 0.3, lambda: self._power_cycle_machines(list(cluster.machines.values())))

    def freeze_machine(self, machine: Machine) -> None:
        self.cluster.freeze(machine)
        self._schedule_after(0.2, 1.5, lambda: self.cluster.unfreeze(machine))

    def isolate_machine(self, machine: Machine) -> None:
        """Cut off all messages from a machine, all messages to it, or both."""
        cluster = self.cluster
        delayed = cluster.rng.random() < 0.5
        direction = cluster.rng.randrange(3)
        for other in cluster.machines:
            if direction != 0:
                cluster.link_cuts[machine.address, other] = delayed
            if direction != 1:
                cluster.link_cuts[other, machine.address] = delayed
        self._schedule_after(0.3, 1.2, cluster.heal)

    def cut_some_links(self, _machine: Machine) -> None:
        self.cut_links()

    def wipe_one(self, _machine: Machine) -> None:
        self.wipe()

    def restart_some(self, _machine: Machine) -> None:
        self.restart_quickly()

    def _power_cycle_machines(self, machines: list[Machine]) -> None:
        for machine in machines:
            if not machine.present:
                continue
            self.cluster.lose_power(machine)
            self._schedule_after(0.02, 0.4, lambda machine=machine: self.cluster.boot(machine))

    def cut_links(self) -> None:
        """Cut random links, each in one direction."""
        cluster = self.cluster
        addresses = list(cluster.machines)
        delayed = cluster.rng.random() < 0.5
        for one in addresses:
            for other in addresses:
                if one != other and cluster.rng.random() < 0.3:
                    cluster.link_cuts[one, other] = delayed
        self._schedule_after(0.2, 1.5, cluster.heal)

    def restart_quickly(self) -> None:
        """Kill about half of the processes, and restart each within less than a lease."""
        cluster = self.cluster
        for process in cluster.running():
            if cluster.rng.random() < 0.5:
                machine = process.machine
                cluster.kill(machine)
                self._schedule_after(0.01, 0.1, lambda machine=machine: cluster.boot(machine))

    def inject_final(self) -> None:
        """Possibly inject one last fault on all machines, right after the last acknowledgements."""
        draw = self.cluster.rng.random()
        if draw < 0.2:
            self.lose_power_all()
        elif draw < 0.3:
            self.wipe()
            self.lose_power_all()
        elif draw < 0.4:
            self.kill_all()

    def _random_machine(self) -> Machine | None:
        """Choose a machine with a running process; the owner's with a probability above 0.4."""
        cluster = self.cluster
        machines = [process.machine for process in cluster.running()]
        if not machines:
            return None
        owner = cluster.owner()
        if owner is not None and cluster.rng.random() < 0.4:
            return owner.machine
        return cluster.rng.choice(machines)

    def _schedule_after(self, minimum: float, maximum: float, call: Callable[[], None]) -> None:
        cluster = self.cluster
        cluster.schedule(cluster.now + cluster.rng.uniform(minimum, maximum), call)

    def kill(self) -> None:
        if machine := self._random_machine():
            self.cluster.kill(machine)
            self._schedule_after(0.05, 1.5, lambda: self.cluster.boot(machine))

    def kill_all(self) -> None:
        for process in self.cluster.running():
            machine = process.machine
            self.cluster.kill(machine)
            self._schedule_after(0.05, 1.0, lambda machine=machine: self.cluster.boot(machine))

    def lose_power(self) -> None:
        if machine := self._random_machine():
            self.cluster.lose_power(machine)
            self._schedule_after(0.1, 2.0, lambda: self.cluster.boot(machine))

    def lose_power_all(self) -> None:
        for machine in self.cluster.machines.values():
            if machine.present:
                self.cluster.lose_power(machine)
                self._schedule_after(0.1, 1.0, lambda machine=machine: self.cluster.boot(machine))

    def freeze(self) -> None:
        if machine := self._random_machine():
            self.cluster.freeze(machine)
            self._schedule_after(0.1, 3.0, lambda: self.cluster.unfreeze(machine))

    def stall(self) -> None:
        """Freeze a process briefly, as if it got no CPU time."""
        if machine := self._random_machine():
            self.cluster.freeze(machine)
            self._schedule_after(0.05, 0.5, lambda: self.cluster.unfreeze(machine))

    def wipe(self) -> None:
        machine = self._random_machine()
        if machine is None or not self.cluster.can_lose_disk(machine):
            return
        self._wipe(machine)

    def _wipe(self, machine: Machine) -> None:
        self.cluster.kill(machine)
        machine.disk.wipe()
        machine.disk_since = self.cluster.now
        machine.incarnation = machine.journal = 0
        self._schedule_after(0.1, 1.5, lambda: self.cluster.boot(machine))

    def damage_disk(self) -> None:
        """Kill a process, and corrupt bytes on its disk that were synced earlier."""
        machine = self._random_machine()
        if machine is None or not self.cluster.can_lose_disk(machine):
            return
        self.cluster.kill(machine)
        corrupt = self.cluster.rng.choice((machine.disk.damage_segment, machine.disk.damage_snapshot))
        if corrupt():
            machine.damaged = True
            machine.incarnation = 0
        self._schedule_after(0.1, 1.5, lambda: self.cluster.boot(machine))

    def replace(self) -> None:
        cluster = self.cluster
        machine = self._random_machine()
        if machine is None or not cluster.can_lose_disk(machine) or len(cluster.machines) > 9:
            return
        cluster.kill(machine)
        machine.present = False
        replacement = cluster.add_machine(len(cluster.machines))
        self._schedule_after(0.1, 1.5, lambda: cluster.boot(replacement))

    def partition(self) -> None:
        self._partition(True)

    def partition_one_way(self) -> None:
        self._partition(False)

    def _partition(self, both_ways: bool) -> None:
        cluster = self.cluster
        addresses = list(cluster.machines)
        cluster.rng.shuffle(addresses)
        size = cluster.rng.randrange(1, len(addresses) + 1)
        delayed = cluster.rng.random() < 0.5
        for one in addresses[:size]:
            for other in addresses[size:]:
                cluster.link_cuts[one, other] = delayed
                if both_ways:
                    cluster.link_cuts[other, one] = delayed
        self._schedule_after(0.2, 2.5, cluster.heal)

    def partition_in_halves(self) -> None:
        """Partition the machines in two halves, and restart one half or none, midway or at the end."""
        cluster = self.cluster
        addresses = list(cluster.machines)
        cluster.rng.shuffle(addresses)
        half = len(addresses) // 2
        for one in addresses[:half]:
            for other in addresses[half:]:
                cluster.link_cuts[one, other] = cluster.link_cuts[other, one] = False
        restarted = cluster.rng.choice((addresses[:half], addresses[half:], []))
        duration = cluster.rng.uniform(0.5, 2.5)
        restart_after = cluster.rng.choice((duration / 2, duration))
        cluster.schedule(cluster.now + restart_after, lambda: self._restart(restarted))
        cluster.schedule(cluster.now + duration, cluster.heal)

    def _restart(self, addresses: Sequence[Address]) -> None:
        for address in addresses:
            machine = self.cluster.machines[address]
            if machine.process is not None:
                self.cluster.kill(machine)
                self._schedule_after(0.05, 0.5, lambda machine=machine: self.cluster.boot(machine))

    def wipe_oldest_during_power_loss(self) -> None:
        """Wipe the oldest disk, and power-cycle all other machines at the same time."""
        cluster = self.cluster
        present = [machine for machine in cluster.machines.values() if machine.present]
        oldest = min(present, key=lambda machine: machine.disk_since)
        if not cluster.can_lose_disk(oldest):
            return
        self._wipe(oldest)
        self._power_cycle_machines([machine for machine in present if machine is not oldest])

    def replace_during_link_cuts(self) -> None:
        """Replace a machine with an empty one while some links are cut."""
        self.cut_links()
        self.replace()

    def fill_disk(self) -> None:
        if machine := self._random_machine():
            machine.disk.full = True
            self._schedule_after(0.2, 3.0, lambda: setattr(machine.disk, "full", False))

    def slow_disk(self) -> None:
        if machine := self._random_machine():
            machine.sync_time = self.cluster.rng.choice((0.05, 0.2, 0.5))
            self._schedule_after(
                0.5, 3.0, lambda: setattr(machine, "sync_time", self.cluster.settings.sync_time)
            )

    def hang_disk(self) -> None:
        if machine := self._random_machine():
            machine.hangs_until = self.cluster.now + self.cluster.rng.uniform(0.2, 3.0)

    def terminate(self) -> None:
        """Stop a process as planned: it transfers leadership before it is killed."""
        machine = self._random_machine()
        if machine is None or machine.frozen or machine.process is None:
            return
        process = machine.process
        process.perform(process.group.start_draining(process.now()))

        def stop() -> None:
            if machine.process is process:
                self.cluster.kill(machine)
                self._schedule_after(0.1, 1.0, lambda: self.cluster.boot(machine))

        self._schedule_after(0.05, 1.0, stop)
