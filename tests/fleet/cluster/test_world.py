"""The cluster in the simulated world: sizes, losses, deaths, cuts, and random plays under the oracle."""

from __future__ import annotations

import random

import pytest

from firvane.core.address import Address
from firvane.fleet.dissemination.items import Item
from firvane.fleet.membership.members import Role
from tests.fleet.cluster.world import Process, World

KEY = b"configuration"
SLOW_LINK = 5e6 / 8
"""5 Mbit/s in bytes a second."""


def start(routers: int, controllers: int = 3, seed: int = 1, loss: float = 0.03, **options: float) -> World:
    """A calm cluster in which all know each other."""
    world = World(routers, controllers, seed, loss, duplicates=0.01, **options)
    world.start_all()
    took = world.run_until(lambda: world.all_run() and not world.disagreeing(), 10.0)
    assert not world.disagreeing(), f"after {took} s"
    world.run(2.0)
    return world


def publish(world: World, version: int, size: int = 300, by: int = 0) -> Item:
    item = Item(KEY, version, bytes(size))
    world.publish(world.place(by), item)
    return item


def time_to_all(world: World, item: Item, limit: float = 5.0) -> float:
    """Seconds until all running processes have the item."""
    return world.run_until(lambda: not world.missing(item), limit, step=0.01)


def time_to_agree(world: World, limit: float = 10.0) -> float:
    """Seconds until all running processes see exactly each other."""
    return world.run_until(lambda: not world.disagreeing(), limit, step=0.01)


@pytest.mark.parametrize(("routers", "seconds"), [(7, 60.0), (67, 10.0)])
def test_calm_times_are_cheap_and_without_suspicion(routers: int, seconds: float) -> None:
    world = start(routers)
    world.run(5.0)
    world.clear_traffic()
    version = {process.address: process.seen for process in world.running()}
    world.run(seconds)
    count = len(world.running())
    traffic = [process.traffic for process in world.running()]
    assert sum(t.sent_bytes for t in traffic) / count / seconds < 400
    assert sum(t.wake_ups for t in traffic) / count / seconds < 6
    assert max(t.sent_bytes for t in traffic) / seconds < 1000
    assert world.false_deaths == []
    assert {process.address: process.seen for process in world.running()} == version


@pytest.mark.parametrize(("controllers", "size"), [(3, 300), (3, 60_000), (5, 60_000)])
def test_an_item_reaches_70_processes_within_a_second_over_slow_links(controllers: int, size: int) -> None:
    for seed in (1, 2):
        world = start(67, controllers, seed, router_bandwidth=SLOW_LINK)
        world.run(4.0)
        world.clear_traffic()
        assert time_to_all(world, publish(world, 5, size, by=seed)) < 1.0
        world.run(1.0)
        mean = sum(process.traffic.sent_bytes for process in world.running()) / len(world.running())
        assert mean < 1.1 * size + 5000


def test_380_processes_converge_and_their_cost_is_flat() -> None:
    """How they meet is played by the benchmark: it takes long."""
    world = World(375, 5, seed=1, loss=0.03, duplicates=0.01, router_bandwidth=SLOW_LINK)
    world.acquaint()
    assert world.disagreeing() == []
    world.run(2.0)
    world.clear_traffic()
    world.run(4.0)
    count = len(world.running())
    assert sum(process.traffic.sent_bytes for process in world.running()) / count / 4.0 < 500
    assert time_to_all(world, publish(world, 5, 300)) < 0.5
    world.kill(world.place(200))
    assert time_to_all(world, publish(world, 6, 60_000)) < 1.0
    assert time_to_agree(world) < 2.6
    assert world.false_deaths == []


@pytest.mark.parametrize("routers", [7, 67])
def test_deaths_and_departures_converge(routers: int) -> None:
    world = start(routers)
    for number in (1, 5, 8):
        world.kill(world.place(number))
        assert 0.9 < time_to_agree(world) < 2.6
        world.start(world.place(number))
        assert time_to_agree(world) < 1.0
        world.run(2.0)
    world.leave(world.place(6))
    assert time_to_agree(world) < 0.5
    assert world.false_deaths == []


@pytest.mark.parametrize("clock_step", [0.0, -5.0])
def test_a_restarted_router_has_the_configuration_at_once(clock_step: float) -> None:
    world = start(7)
    item = publish(world, 5, 30_000)
    world.run(3.0)
    router = world.place(6)
    world.kill(router)
    world.run(0.3)
    world.start(router, clock_step)
    world.loss = 0.0
    assert time_to_all(world, item) < 0.1
    assert world.run_until(lambda: self_is_known(world, router), 2.0) < 1.0
    assert world.false_deaths == []


def self_is_known(world: World, router: Process) -> bool:
    """Whether all know the incarnation that the process has now."""
    assert router.core is not None
    identity = router.core.identity
    return all(process.core is not None and identity in process.core.members() for process in world.running())


def test_a_suspended_process_comes_back_and_learns_what_it_missed() -> None:
    world = start(7)
    frozen = world.place(5)
    world.freeze(frozen, 5.0)
    world.run(3.0)
    assert all(frozen.address not in p.seen for p in world.running() if p is not frozen)
    item = publish(world, 7)
    world.run(2.0)
    assert time_to_all(world, item) < 0.5
    assert time_to_agree(world) < 0.5
    assert world.false_deaths == []


def test_a_mass_kill_converges_and_all_come_back() -> None:
    world = start(67)
    item = publish(world, 5, 30_000)
    world.run(3.0)
    victims = [world.place(number) for number in range(3, 70, 2)]
    for victim in victims:
        world.kill(victim)
    assert time_to_agree(world) < 5.0
    for victim in victims:
        world.start(victim)
    assert time_to_all(world, item) < 0.6
    assert time_to_agree(world) < 1.5
    assert world.false_deaths == []


@pytest.mark.parametrize(("routers", "span"), [(7, 6.0), (7, 45.0), (67, 6.0)])
def test_two_halves_merge_after_a_partition(routers: int, span: float) -> None:
    world = start(routers)
    half = {address: number % 2 for number, address in enumerate(world.processes)}
    world.is_cut = lambda source, target: half[source] != half[target]
    world.run(span / 2)
    item = publish(world, 8, 20_000)
    world.run(span / 2)
    assert all(len(process.seen) <= (routers + 4) // 2 for process in world.running())
    world.heal()
    assert time_to_all(world, item) < 1.5
    assert time_to_agree(world) < 2.0
    assert world.false_deaths == []


def test_one_partitioned_process_does_not_disturb_the_others() -> None:
    world = start(67)
    lone = world.place(9).address
    world.is_cut = lambda source, target: (source == lone) != (target == lone)
    world.run(4.0)
    item = publish(world, 8, 20_000)
    world.run(4.0)
    world.heal()
    world.clear_traffic()
    assert time_to_all(world, item) < 1.5
    assert time_to_agree(world) < 2.0
    others = [process.traffic.sent_bytes for process in world.running() if process.address != lone]
    assert sum(others) / len(others) < 6000
    assert world.false_deaths == []


def test_all_seeds_are_replaced_and_a_router_still_names_the_old_ones() -> None:
    world = start(7)
    item = publish(world, 5, 20_000)
    for _ in range(3):
        world.start(world.add(Role.CONTROLLER))
        world.run(1.0)
    for number in range(3):
        world.leave(world.place(number))
        world.run(1.0)
    router = world.place(6)
    world.kill(router)
    world.run(0.3)
    world.start(router)
    assert time_to_all(world, item) < 1.0
    assert time_to_agree(world) < 1.0


def test_a_cluster_whose_processes_all_die_at_once_forms_again() -> None:
    world = start(7)
    for process in world.running():
        world.kill(process)
    world.run(1.0)
    world.start_all()
    assert world.run_until(lambda: world.all_run() and not world.disagreeing(), 10.0) < 2.0


class Play:
    """A random play: whatever may happen to processes and links, for some time."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        loss = self.rng.choice((0.0, 0.03, 0.1))
        self.world = World(7, 3, seed, loss, duplicates=0.02)
        self.version = 0
        self.world.start_all()
        self.world.run(2.0)

    def run(self, steps: int) -> None:
        actions = (self.kill, self.restart, self.restart, self.freeze, self.cut, self.cut_one)
        actions += (self.world.heal, self.publish, self.leave)
        for _ in range(steps):
            self.rng.choice(actions)()
            self.world.run(self.rng.uniform(0.05, 2.0))

    def calm(self) -> None:
        """Everything runs again, and nothing is cut."""
        self.world.heal()
        for process in self.world.processes.values():
            if process.core is None:
                self.world.start(process)
        thawed = max(process.frozen_until for process in self.world.processes.values())
        self.world.run(max(0.0, thawed - self.world.now) + 0.01)

    def awake(self) -> list[Process]:
        return [process for process in self.world.running() if process.frozen_until <= self.world.now]

    def kill(self) -> None:
        if running := self.world.running():
            self.world.kill(self.rng.choice(running))

    def restart(self) -> None:
        dead = [process for process in self.world.processes.values() if process.core is None]
        for process in dead[: self.rng.randint(1, 5)]:
            self.world.start(process, clock_step=self.rng.choice((0.0, -5.0, 5.0)))

    def freeze(self) -> None:
        if running := self.world.running():
            self.world.freeze(self.rng.choice(running), self.rng.uniform(0.2, 6.0))

    def cut(self) -> None:
        side = {address: self.rng.random() < 0.5 for address in self.world.processes}
        self.world.is_cut = lambda source, target: side[source] != side[target]

    def cut_one(self) -> None:
        lone: Address = self.rng.choice(list(self.world.processes))
        to, of = self.rng.choice(((True, True), (True, False), (False, True)))
        self.world.is_cut = lambda source, target: (to and target == lone) or (of and source == lone)

    def publish(self) -> None:
        controllers = [process for process in self.awake() if process.member.role is Role.CONTROLLER]
        if controllers:
            self.version += self.rng.randint(1, 3)
            size = self.rng.choice((100, 20_000))
            self.world.publish(self.rng.choice(controllers), Item(KEY, self.version, bytes(size)))

    def leave(self) -> None:
        if awake := self.awake():
            self.world.leave(self.rng.choice(awake))


@pytest.mark.parametrize("seed", range(8))
def test_after_a_random_play_all_agree_on_members_and_items(seed: int) -> None:
    play = Play(seed)
    play.run(25)
    play.calm()
    newest = max(process.versions.get(KEY, -1) for process in play.world.running())
    world = play.world

    def is_settled() -> bool:
        versions = {process.versions.get(KEY, -1) for process in world.running()}
        return versions == {newest} and not world.disagreeing()

    world.run_until(is_settled, 3.0)
    assert is_settled()
