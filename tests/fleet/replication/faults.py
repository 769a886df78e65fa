"""The faults of a simulated world, drawn from its seed."""

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
    """Strikes again and again until it is stopped."""

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
        """One fault, and the next one later."""
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

    def inject_at_trigger(self, moment: FaultTrigger, machine: Machine) -> None:
        """Strike within milliseconds of a weak moment."""
        cluster = self.cluster
        settings = cluster.settings
        if self.stopped or cluster.rng.random() > settings.targeted_rate:
            return
        if settings.triggers and moment not in settings.triggers:
            return
        if moment is FaultTrigger.WRITING and moment not in settings.triggers and cluster.rng.random() < 0.8:
            return
        names = settings.targeted_faults or TARGETED_FAULTS
        if moment in (FaultTrigger.COMPACTING, FaultTrigger.VOTED) and not settings.targeted_faults:
            names = ("power_cycle_machine",)
        fault = getattr(self, cluster.rng.choice(names))
        cluster.schedule(cluster.now + cluster.rng.uniform(0, 0.012), lambda: fault(machine))

    def power_cycle_machine(self, machine: Machine) -> None:
        self._power_cycle_machines([machine])

    def power_cycle_all(self, _machine: Machine) -> None:
        self._power_cycle_machines([process.machine for process in self.cluster.running()])

    def power_cycle_some(self, _machine: Machine) -> None:
        everybody = [process.machine for process in self.cluster.running()]
        if everybody:
            count = self.cluster.rng.randrange(1, len(everybody) + 1)
            self._power_cycle_machines(self.cluster.rng.sample(everybody, count))

    def kill_then_power_cycle(self, machine: Machine) -> None:
        """The process ends, is there again at once, and then the power goes."""
        cluster = self.cluster
        cluster.kill(machine)
        self._later(0.005, 0.02, lambda: cluster.boot(machine))
        self._later(0.1, 0.3, lambda: self._power_cycle_machines(list(cluster.machines.values())))

    def freeze_machine(self, machine: Machine) -> None:
        self.cluster.freeze(machine)
        self._later(0.2, 1.5, lambda: self.cluster.unfreeze(machine))

    def isolate_machine(self, machine: Machine) -> None:
        """Nobody hears the machine, or it hears nobody, or both."""
        cluster = self.cluster
        held = cluster.rng.random() < 0.5
        which = cluster.rng.randrange(3)
        for other in cluster.machines:
            if which != 0:
                cluster.link_cuts[machine.address, other] = held
            if which != 1:
                cluster.link_cuts[other, machine.address] = held
        self._later(0.3, 1.2, cluster.heal)

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
            self._later(0.02, 0.4, lambda machine=machine: self.cluster.boot(machine))

    def cut_links(self) -> None:
        """Some links fail, each in a direction of its own."""
        cluster = self.cluster
        addresses = list(cluster.machines)
        held = cluster.rng.random() < 0.5
        for one in addresses:
            for other in addresses:
                if one != other and cluster.rng.random() < 0.3:
                    cluster.link_cuts[one, other] = held
        self._later(0.2, 1.5, cluster.heal)

    def restart_quickly(self) -> None:
        """Processes end and are there again within less than a lease."""
        cluster = self.cluster
        for process in cluster.running():
            if cluster.rng.random() < 0.5:
                machine = process.machine
                cluster.kill(machine)
                self._later(0.01, 0.1, lambda machine=machine: cluster.boot(machine))

    def inject_final(self) -> None:
        """Perhaps one more blow to all, right after something was acknowledged."""
        draw = self.cluster.rng.random()
        if draw < 0.2:
            self.lose_power_all()
        elif draw < 0.3:
            self.wipe()
            self.lose_power_all()
        elif draw < 0.4:
            self.kill_all()

    def _random_machine(self) -> Machine | None:
        """A machine with a process; often the leader."""
        cluster = self.cluster
        machines = [process.machine for process in cluster.running()]
        if not machines:
            return None
        owner = cluster.owner()
        if owner is not None and cluster.rng.random() < 0.4:
            return owner.machine
        return cluster.rng.choice(machines)

    def _later(self, least: float, most: float, call: Callable[[], None]) -> None:
        cluster = self.cluster
        cluster.schedule(cluster.now + cluster.rng.uniform(least, most), call)

    def kill(self) -> None:
        if machine := self._random_machine():
            self.cluster.kill(machine)
            self._later(0.05, 1.5, lambda: self.cluster.boot(machine))

    def kill_all(self) -> None:
        for process in self.cluster.running():
            machine = process.machine
            self.cluster.kill(machine)
            self._later(0.05, 1.0, lambda machine=machine: self.cluster.boot(machine))

    def lose_power(self) -> None:
        if machine := self._random_machine():
            self.cluster.lose_power(machine)
            self._later(0.1, 2.0, lambda: self.cluster.boot(machine))

    def lose_power_all(self) -> None:
        for machine in self.cluster.machines.values():
            if machine.present:
                self.cluster.lose_power(machine)
                self._later(0.1, 1.0, lambda machine=machine: self.cluster.boot(machine))

    def freeze(self) -> None:
        if machine := self._random_machine():
            self.cluster.freeze(machine)
            self._later(0.1, 3.0, lambda: self.cluster.unfreeze(machine))

    def stall(self) -> None:
        """The process gets no processor for a moment."""
        if machine := self._random_machine():
            self.cluster.freeze(machine)
            self._later(0.05, 0.5, lambda: self.cluster.unfreeze(machine))

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
        self._later(0.1, 1.5, lambda: self.cluster.boot(machine))

    def damage_disk(self) -> None:
        """A process ends, and something that was synced long ago is spoilt on its disk."""
        machine = self._random_machine()
        if machine is None or not self.cluster.can_lose_disk(machine):
            return
        self.cluster.kill(machine)
        spoil = self.cluster.rng.choice((machine.disk.damage_segment, machine.disk.damage_snapshot))
        if spoil():
            machine.damaged = True
            machine.incarnation = 0
        self._later(0.1, 1.5, lambda: self.cluster.boot(machine))

    def replace(self) -> None:
        cluster = self.cluster
        machine = self._random_machine()
        if machine is None or not cluster.can_lose_disk(machine) or len(cluster.machines) > 9:
            return
        cluster.kill(machine)
        machine.present = False
        new = cluster.add_machine(len(cluster.machines))
        self._later(0.1, 1.5, lambda: cluster.boot(new))

    def partition(self) -> None:
        self._partition(True)

    def partition_one_way(self) -> None:
        self._partition(False)

    def _partition(self, both: bool) -> None:
        cluster = self.cluster
        addresses = list(cluster.machines)
        cluster.rng.shuffle(addresses)
        size = cluster.rng.randrange(1, len(addresses) + 1)
        held = cluster.rng.random() < 0.5
        for one in addresses[:size]:
            for other in addresses[size:]:
                cluster.link_cuts[one, other] = held
                if both:
                    cluster.link_cuts[other, one] = held
        self._later(0.2, 2.5, cluster.heal)

    def partition_in_halves(self) -> None:
        """Two halves hear nothing of each other; one of them starts again meanwhile, or as the cut ends."""
        cluster = self.cluster
        addresses = list(cluster.machines)
        cluster.rng.shuffle(addresses)
        half = len(addresses) // 2
        for one in addresses[:half]:
            for other in addresses[half:]:
                cluster.link_cuts[one, other] = cluster.link_cuts[other, one] = False
        restarted = cluster.rng.choice((addresses[:half], addresses[half:], []))
        lasts = cluster.rng.uniform(0.5, 2.5)
        at = cluster.rng.choice((lasts / 2, lasts))
        cluster.schedule(cluster.now + at, lambda: self._restart(restarted))
        cluster.schedule(cluster.now + lasts, cluster.heal)

    def _restart(self, addresses: Sequence[Address]) -> None:
        for address in addresses:
            machine = self.cluster.machines[address]
            if machine.process is not None:
                self.cluster.kill(machine)
                self._later(0.05, 0.5, lambda machine=machine: self.cluster.boot(machine))

    def wipe_oldest_during_power_loss(self) -> None:
        """The disk that has lasted longest is lost, and all other machines lose power at that moment."""
        cluster = self.cluster
        present = [machine for machine in cluster.machines.values() if machine.present]
        oldest = min(present, key=lambda machine: machine.disk_since)
        if not cluster.can_lose_disk(oldest):
            return
        self._wipe(oldest)
        self._power_cycle_machines([machine for machine in present if machine is not oldest])

    def replace_during_link_cuts(self) -> None:
        """A machine is replaced by an empty one while some links fail."""
        self.cut_links()
        self.replace()

    def fill_disk(self) -> None:
        if machine := self._random_machine():
            machine.disk.full = True
            self._later(0.2, 3.0, lambda: setattr(machine.disk, "full", False))

    def slow_disk(self) -> None:
        if machine := self._random_machine():
            machine.sync_time = self.cluster.rng.choice((0.05, 0.2, 0.5))
            self._later(0.5, 3.0, lambda: setattr(machine, "sync_time", self.cluster.settings.sync_time))

    def hang_disk(self) -> None:
        if machine := self._random_machine():
            machine.hangs_until = self.cluster.now + self.cluster.rng.uniform(0.2, 3.0)

    def terminate(self) -> None:
        """A planned end: hand over first, then stop."""
        machine = self._random_machine()
        if machine is None or machine.frozen or machine.process is None:
            return
        process = machine.process
        process.perform(process.group.start_draining(process.now()))

        def stop() -> None:
            if machine.process is process:
                self.cluster.kill(machine)
                self._later(0.1, 1.0, lambda: self.cluster.boot(machine))

        self._later(0.05, 1.0, stop)
