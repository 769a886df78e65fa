"""Simulated clusters: sizes, packet loss, failures, partitions, and random schedules with invariants."""

from __future__ import annotations

import random

import pytest

from firvane.core.address import Address
from firvane.fleet.dissemination.items import Item
from firvane.fleet.membership.members import Role
from tests.fleet.cluster.simulated_cluster import Process, SimulatedCluster

KEY = b"configuration"
SLOW_LINK = 5e6 / 8
"""5 Mbit/s in bytes per second."""


def start_cluster(
    routers: int, controllers: int = 3, seed: int = 1, loss: float = 0.03, **options: float
) -> SimulatedCluster:
    """Return a cluster whose processes have all joined."""
    cluster = SimulatedCluster(routers, controllers, seed, loss, duplicates=0.01, **options)
    cluster.start_all()
    took = cluster.run_until(lambda: cluster.all_running() and not cluster.unconverged(), 10.0)
    assert not cluster.unconverged(), f"after {took} s"
    cluster.run(2.0)
    return cluster


def publish(cluster: SimulatedCluster, version: int, size: int = 300, by: int = 0) -> Item:
    item = Item(KEY, version, bytes(size))
    cluster.publish(cluster.process_at(by), item)
    return item


def time_to_reach_all(cluster: SimulatedCluster, item: Item, limit: float = 5.0) -> float:
    """Return the seconds until all running processes have the item."""
    return cluster.run_until(lambda: not cluster.processes_without(item), limit, step=0.01)


def time_to_converge(cluster: SimulatedCluster, limit: float = 10.0) -> float:
    """Return the seconds until all running processes see exactly each other as live."""
    return cluster.run_until(lambda: not cluster.unconverged(), limit, step=0.01)


@pytest.mark.parametrize(("routers", "seconds"), [(7, 60.0), (67, 10.0)])
def test_an_idle_cluster_has_low_traffic_and_no_suspicions(routers: int, seconds: float) -> None:
    cluster = start_cluster(routers)
    cluster.run(5.0)
    cluster.clear_traffic()
    version = {process.address: process.live_view for process in cluster.running()}
    cluster.run(seconds)
    count = len(cluster.running())
    traffic = [process.traffic for process in cluster.running()]
    assert sum(t.sent_bytes for t in traffic) / count / seconds < 400
    assert sum(t.wake_ups for t in traffic) / count / seconds < 6
    assert max(t.sent_bytes for t in traffic) / seconds < 1000
    assert cluster.false_deaths == []
    assert {process.address: process.live_view for process in cluster.running()} == version


@pytest.mark.parametrize(("controllers", "size"), [(3, 300), (3, 60_000), (5, 60_000)])
def test_an_item_reaches_70_processes_within_a_second_over_slow_links(controllers: int, size: int) -> None:
    for seed in (1, 2):
        cluster = start_cluster(67, controllers, seed, router_bandwidth=SLOW_LINK)
        cluster.run(4.0)
        cluster.clear_traffic()
        assert time_to_reach_all(cluster, publish(cluster, 5, size, by=seed)) < 1.0
        cluster.run(1.0)
        mean = sum(process.traffic.sent_bytes for process in cluster.running()) / len(cluster.running())
        assert mean < 1.1 * size + 5000


def test_380_processes_converge_with_bounded_traffic() -> None:
    """The benchmark simulates their joining, which takes long."""
    cluster = SimulatedCluster(375, 5, seed=1, loss=0.03, duplicates=0.01, router_bandwidth=SLOW_LINK)
    cluster.start_joined()
    assert cluster.unconverged() == []
    cluster.run(2.0)
    cluster.clear_traffic()
    cluster.run(4.0)
    count = len(cluster.running())
    assert sum(process.traffic.sent_bytes for process in cluster.running()) / count / 4.0 < 500
    assert time_to_reach_all(cluster, publish(cluster, 5, 300)) < 0.5
    cluster.kill(cluster.process_at(200))
    assert time_to_reach_all(cluster, publish(cluster, 6, 60_000)) < 1.0
    assert time_to_converge(cluster) < 2.6
    assert cluster.false_deaths == []


@pytest.mark.parametrize("routers", [7, 67])
def test_deaths_and_departures_converge(routers: int) -> None:
    cluster = start_cluster(routers)
    for number in (1, 5, 8):
        cluster.kill(cluster.process_at(number))
        assert 0.9 < time_to_converge(cluster) < 2.6
        cluster.start(cluster.process_at(number))
        assert time_to_converge(cluster) < 1.0
        cluster.run(2.0)
    cluster.leave(cluster.process_at(6))
    assert time_to_converge(cluster) < 0.5
    assert cluster.false_deaths == []


@pytest.mark.parametrize("clock_step", [0.0, -5.0])
def test_a_restarted_router_receives_the_configuration_at_once(clock_step: float) -> None:
    cluster = start_cluster(7)
    item = publish(cluster, 5, 30_000)
    cluster.run(3.0)
    router = cluster.process_at(6)
    cluster.kill(router)
    cluster.run(0.3)
    cluster.start(router, clock_step)
    cluster.loss = 0.0
    assert time_to_reach_all(cluster, item) < 0.1
    assert cluster.run_until(lambda: is_known_to_all(cluster, router), 2.0) < 1.0
    assert cluster.false_deaths == []


def is_known_to_all(cluster: SimulatedCluster, router: Process) -> bool:
    """Return whether all running processes know the router's current incarnation."""
    assert router.core is not None
    identity = router.core.identity
    return all(
        process.core is not None and identity in process.core.members() for process in cluster.running()
    )


def test_a_suspended_process_rejoins_and_receives_missed_items() -> None:
    cluster = start_cluster(7)
    frozen = cluster.process_at(5)
    cluster.freeze(frozen, 5.0)
    cluster.run(3.0)
    assert all(frozen.address not in p.live_view for p in cluster.running() if p is not frozen)
    item = publish(cluster, 7)
    cluster.run(2.0)
    assert time_to_reach_all(cluster, item) < 0.5
    assert time_to_converge(cluster) < 0.5
    assert cluster.false_deaths == []


def test_a_mass_failure_converges_and_all_processes_rejoin() -> None:
    cluster = start_cluster(67)
    item = publish(cluster, 5, 30_000)
    cluster.run(3.0)
    victims = [cluster.process_at(number) for number in range(3, 70, 2)]
    for victim in victims:
        cluster.kill(victim)
    assert time_to_converge(cluster) < 5.0
    for victim in victims:
        cluster.start(victim)
    assert time_to_reach_all(cluster, item) < 0.6
    assert time_to_converge(cluster) < 1.5
    assert cluster.false_deaths == []


@pytest.mark.parametrize(("routers", "span"), [(7, 6.0), (7, 45.0), (67, 6.0)])
def test_two_halves_merge_after_a_partition(routers: int, span: float) -> None:
    cluster = start_cluster(routers)
    half = {address: number % 2 for number, address in enumerate(cluster.processes)}
    cluster.is_blocked = lambda source, target: half[source] != half[target]
    cluster.run(span / 2)
    item = publish(cluster, 8, 20_000)
    cluster.run(span / 2)
    assert all(len(process.live_view) <= (routers + 4) // 2 for process in cluster.running())
    cluster.heal()
    assert time_to_reach_all(cluster, item) < 1.5
    assert time_to_converge(cluster) < 2.0
    assert cluster.false_deaths == []


def test_one_partitioned_process_does_not_disturb_the_others() -> None:
    cluster = start_cluster(67)
    isolated = cluster.process_at(9).address
    cluster.is_blocked = lambda source, target: (source == isolated) != (target == isolated)
    cluster.run(4.0)
    item = publish(cluster, 8, 20_000)
    cluster.run(4.0)
    cluster.heal()
    cluster.clear_traffic()
    assert time_to_reach_all(cluster, item) < 1.5
    assert time_to_converge(cluster) < 2.0
    others = [process.traffic.sent_bytes for process in cluster.running() if process.address != isolated]
    assert sum(others) / len(others) < 6000
    assert cluster.false_deaths == []


def test_a_router_joins_after_all_of_its_seeds_were_replaced() -> None:
    cluster = start_cluster(7)
    item = publish(cluster, 5, 20_000)
    for _ in range(3):
        cluster.start(cluster.add(Role.CONTROLLER))
        cluster.run(1.0)
    for number in range(3):
        cluster.leave(cluster.process_at(number))
        cluster.run(1.0)
    router = cluster.process_at(6)
    cluster.kill(router)
    cluster.run(0.3)
    cluster.start(router)
    assert time_to_reach_all(cluster, item) < 1.0
    assert time_to_converge(cluster) < 1.0


def test_a_cluster_whose_processes_all_died_at_once_forms_again() -> None:
    cluster = start_cluster(7)
    for process in cluster.running():
        cluster.kill(process)
    cluster.run(1.0)
    cluster.start_all()
    assert cluster.run_until(lambda: cluster.all_running() and not cluster.unconverged(), 10.0) < 2.0


class RandomSchedule:
    """A random schedule of failures, restarts, partitions and publications."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        loss = self.rng.choice((0.0, 0.03, 0.1))
        self.cluster = SimulatedCluster(7, 3, seed, loss, duplicates=0.02)
        self.version = 0
        self.cluster.start_all()
        self.cluster.run(2.0)

    def run(self, steps: int) -> None:
        actions = (
            self.kill,
            self.restart_some,
            self.restart_some,
            self.freeze,
            self.partition,
            self.isolate_one,
        )
        actions += (self.cluster.heal, self.publish, self.leave)
        for _ in range(steps):
            self.rng.choice(actions)()
            self.cluster.run(self.rng.uniform(0.05, 2.0))

    def restore_all(self) -> None:
        """End all partitions, start all processes, and wait until none is suspended."""
        self.cluster.heal()
        for process in self.cluster.processes.values():
            if process.core is None:
                self.cluster.start(process)
        all_resumed_at = max(process.frozen_until for process in self.cluster.processes.values())
        self.cluster.run(max(0.0, all_resumed_at - self.cluster.now) + 0.01)

    def responsive(self) -> list[Process]:
        return [process for process in self.cluster.running() if process.frozen_until <= self.cluster.now]

    def kill(self) -> None:
        if running := self.cluster.running():
            self.cluster.kill(self.rng.choice(running))

    def restart_some(self) -> None:
        dead = [process for process in self.cluster.processes.values() if process.core is None]
        for process in dead[: self.rng.randint(1, 5)]:
            self.cluster.start(process, clock_step=self.rng.choice((0.0, -5.0, 5.0)))

    def freeze(self) -> None:
        if running := self.cluster.running():
            self.cluster.freeze(self.rng.choice(running), self.rng.uniform(0.2, 6.0))

    def partition(self) -> None:
        side = {address: self.rng.random() < 0.5 for address in self.cluster.processes}
        self.cluster.is_blocked = lambda source, target: side[source] != side[target]

    def isolate_one(self) -> None:
        isolated: Address = self.rng.choice(list(self.cluster.processes))
        blocks_inbound, blocks_outbound = self.rng.choice(((True, True), (True, False), (False, True)))
        self.cluster.is_blocked = lambda source, target: (
            (blocks_inbound and target == isolated) or (blocks_outbound and source == isolated)
        )

    def publish(self) -> None:
        controllers = [process for process in self.responsive() if process.member.role is Role.CONTROLLER]
        if controllers:
            self.version += self.rng.randint(1, 3)
            size = self.rng.choice((100, 20_000))
            self.cluster.publish(self.rng.choice(controllers), Item(KEY, self.version, bytes(size)))

    def leave(self) -> None:
        if responsive := self.responsive():
            self.cluster.leave(self.rng.choice(responsive))


@pytest.mark.parametrize("seed", range(8))
def test_after_a_random_schedule_all_agree_on_members_and_items(seed: int) -> None:
    schedule = RandomSchedule(seed)
    schedule.run(25)
    schedule.restore_all()
    newest = max(process.versions.get(KEY, -1) for process in schedule.cluster.running())
    cluster = schedule.cluster

    def is_settled() -> bool:
        versions = {process.versions.get(KEY, -1) for process in cluster.running()}
        return versions == {newest} and not cluster.unconverged()

    cluster.run_until(is_settled, 3.0)
    assert is_settled()
