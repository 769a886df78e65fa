"""A router that uses its configuration for keys knows every removal that is older than the bound.

The world below draws histories: versions that are acknowledged, controllers that are cut off and learn late,
messages that are held up, lost or doubled, routers that relay what they know, that freeze, and whose
clocks run at other rates. The oracle knows when each version was acknowledged.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import pytest

from firvane.core.address import Address
from firvane.fleet.tenancy.freshness import REQUESTS_PER_MAX_AGE, RESPONSE_TIMEOUT_S, Freshness
from firvane.fleet.tenancy.messages import FreshnessProof, FreshnessRequest

REVOKE = 5.0
CONTROLLERS: list[Address] = [("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)]
ROUTERS: list[Address] = [("10.1.0.1", 1), ("10.1.0.2", 1), ("10.1.0.3", 1), ("10.1.0.4", 1)]


def proven(age: float = 0.0, version: int = 1, now: float = 10.0) -> Freshness:
    """A router with this version in force, which asked at `now` and was answered with this age."""
    router = Freshness(random.Random(1), REVOKE)
    router.set_version(version)
    asked = router.next_request(CONTROLLERS, ROUTERS, now)
    assert asked is not None
    assert router.receive(asked[0], FreshnessProof(asked[1].nonce, version, age, None), now + 0.01)
    return router


def test_a_proof_lasts_from_its_request_less_its_age() -> None:
    router = proven(age=0.25, now=10.0)
    last = 10.0 - 0.25 + router.max_age
    assert router.is_fresh(last - 0.001)
    assert not router.is_fresh(last)
    assert router.max_age < REVOKE


def test_nothing_is_fresh_before_the_first_proof() -> None:
    assert not Freshness(random.Random(1), REVOKE).is_fresh(0.0)


def test_without_a_bound_nothing_is_requested_and_all_is_fresh() -> None:
    router = Freshness(random.Random(1), 0.0)
    assert router.is_fresh(1e9)
    assert router.next_request(CONTROLLERS, ROUTERS, 1e9) is None


def test_a_proof_of_a_newer_version_counts_once_it_is_in_force() -> None:
    router = Freshness(random.Random(1), REVOKE)
    router.set_version(1)
    asked = router.next_request(CONTROLLERS, ROUTERS, 10.0)
    assert asked is not None
    router.receive(asked[0], FreshnessProof(asked[1].nonce, 4, 0.0, None), 10.01)
    assert not router.is_fresh(10.02)
    router.set_version(3)
    assert not router.is_fresh(10.02)
    router.set_version(4)
    assert router.is_fresh(10.02)


def test_a_proof_of_an_older_version_counts_for_a_newer_one() -> None:
    router = Freshness(random.Random(1), REVOKE)
    router.set_version(9)
    asked = router.next_request(CONTROLLERS, ROUTERS, 10.0)
    assert asked is not None
    router.receive(asked[0], FreshnessProof(asked[1].nonce, 8, 0.0, None), 10.01)
    assert router.is_fresh(10.02)


def test_only_the_last_request_can_be_answered() -> None:
    router = Freshness(random.Random(1), REVOKE)
    router.set_version(1)
    first = router.next_request(CONTROLLERS, ROUTERS, 10.0)
    second = router.next_request(CONTROLLERS, ROUTERS, 10.0 + RESPONSE_TIMEOUT_S)
    assert first is not None and second is not None and second[0] != first[0]
    assert not router.receive(first[0], FreshnessProof(first[1].nonce, 1, 0.0, None), 10.3)
    assert router.receive(second[0], FreshnessProof(second[1].nonce, 1, 0.0, None), 10.3)
    assert not router.receive(second[0], FreshnessProof(second[1].nonce, 1, 0.0, None), 10.3)


def test_a_redirect_is_followed_at_once() -> None:
    router = Freshness(random.Random(1), REVOKE)
    router.set_version(1)
    asked = router.next_request(CONTROLLERS, ROUTERS, 10.0)
    assert asked is not None and asked[0] == CONTROLLERS[0]
    assert not router.receive(asked[0], FreshnessProof(asked[1].nonce, 0, None, CONTROLLERS[2]), 10.01)
    again = router.next_request(CONTROLLERS, ROUTERS, 10.01)
    assert again is not None and again[0] == CONTROLLERS[2]


def test_the_process_that_answered_is_asked_again_a_few_times_per_proof() -> None:
    router = proven(now=10.0)
    assert (
        router.next_request(CONTROLLERS, ROUTERS, 10.0 + 0.9 * router.max_age / REQUESTS_PER_MAX_AGE) is None
    )
    again = router.next_request(CONTROLLERS, ROUTERS, 10.0 + 1.01 * router.max_age / REQUESTS_PER_MAX_AGE)
    assert again is not None and again[0] == CONTROLLERS[0]


def test_other_routers_are_asked_where_no_controller_answers() -> None:
    router = Freshness(random.Random(1), REVOKE)
    router.set_version(1)
    asked = set[Address]()
    for turn in range(12):
        request = router.next_request(CONTROLLERS, ROUTERS, 10.0 + turn * RESPONSE_TIMEOUT_S * 1.01)
        assert request is not None
        asked.add(request[0])
    assert asked >= set(CONTROLLERS)
    assert asked & set(ROUTERS)


def test_a_router_forwards_its_proof_only_while_it_is_recent() -> None:
    router = proven(age=0.0, now=10.0)
    early = router.prove(FreshnessRequest(5), 10.5)
    assert early.age is not None and early.age == pytest.approx(0.5)
    assert router.prove(FreshnessRequest(5), 10.0 + 0.6 * router.max_age).age is None


@dataclass
class Controller:
    """It knows a version, and since when that was surely the newest of a majority."""

    version: int = 1
    proven_at: float = 0.0
    cut_until: float = 0.0


@dataclass
class Router:
    machine: Freshness
    rate: float
    offset: float
    version: int = 0
    frozen_until: float = 0.0

    def clock(self, now: float) -> float:
        return self.offset + now * self.rate


@dataclass
class World:
    """One drawn history of `length` seconds."""

    seed: int
    length: float = 40.0
    random: random.Random = field(init=False)
    now: float = 0.0
    acknowledged: list[tuple[float, int]] = field(default_factory=lambda: [(0.0, 1)])
    fresh_looks: int = 0
    stale_looks: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.controllers = {address: Controller() for address in CONTROLLERS}
        self.routers = {
            address: Router(
                Freshness(random.Random(self.random.random()), REVOKE),
                self.random.uniform(0.97, 1.03),
                self.random.uniform(0.0, 1000.0),
            )
            for address in ROUTERS
        }

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), call))

    def play(self) -> None:
        self.at(0.0, self.change)
        for address in CONTROLLERS:
            self.at(0.0, partial(self.contact, address))
        for address in ROUTERS:
            self.at(self.random.random(), partial(self.turn, address))
        while self.queue and self.queue[0][0] < self.length:
            self.now, _, call = heapq.heappop(self.queue)
            call()

    def change(self) -> None:
        """A version is acknowledged; most routers hear of it soon, some late."""
        version = self.acknowledged[-1][1] + 1
        self.acknowledged.append((self.now, version))
        for router in self.routers.values():
            delay = self.random.choice((0.05, 0.3, 3.0, 15.0))
            self.at(self.now + delay, partial(self.install, router, version))
        self.at(self.now + self.random.uniform(0.3, 4.0), self.change)

    def install(self, router: Router, version: int) -> None:
        if self.now < router.frozen_until:
            self.at(router.frozen_until, lambda: self.install(router, version))
        elif version > router.version:
            router.version = version
            router.machine.set_version(version)

    def contact(self, address: Address) -> None:
        """A controller that is not cut off reads from a majority what was acknowledged by then."""
        controller = self.controllers[address]
        if self.random.random() < 0.02:
            controller.cut_until = self.now + self.random.uniform(1.0, 15.0)
        if self.now >= controller.cut_until:
            controller.proven_at, controller.version = self.now, self.acknowledged[-1][1]
        self.at(self.now + 0.3, lambda: self.contact(address))

    def turn(self, address: Address) -> None:
        router = self.routers[address]
        if self.random.random() < 0.003:
            router.frozen_until = self.now + self.random.uniform(0.5, 8.0)
        if self.now >= router.frozen_until:
            others = [each for each in ROUTERS if each != address]
            request = router.machine.next_request(CONTROLLERS, others, router.clock(self.now))
            if request is not None:
                target, asked = request
                self.send(lambda: self.prove(address, target, asked))
            self.look(router)
        self.at(self.now + 0.05, lambda: self.turn(address))

    def send(self, call: Callable[[], None]) -> None:
        """Messages are lost, doubled, or held up by a cut."""
        if self.random.random() < 0.1:
            return
        for _ in range(1 + (self.random.random() < 0.05)):
            delay = (
                self.random.uniform(2.0, 9.0) if self.random.random() < 0.05 else self.random.expovariate(200)
            )
            self.at(self.now + delay, call)

    def prove(self, asker: Address, target: Address, request: FreshnessRequest) -> None:
        if target in self.controllers:
            controller = self.controllers[target]
            proof = FreshnessProof(request.nonce, controller.version, self.now - controller.proven_at, None)
        else:
            redirect = self.routers[target]
            if self.now < redirect.frozen_until:
                self.at(redirect.frozen_until, lambda: self.prove(asker, target, request))
                return
            proof = redirect.machine.prove(request, redirect.clock(self.now))
        self.send(lambda: self.receive(asker, target, proof))

    def receive(self, asker: Address, target: Address, proof: FreshnessProof) -> None:
        router = self.routers[asker]
        if self.now < router.frozen_until:
            self.at(router.frozen_until, lambda: self.receive(asker, target, proof))
        else:
            router.machine.receive(target, proof, router.clock(self.now))

    def look(self, router: Router) -> None:
        """The promise: what is fresh knows all that was acknowledged longer ago than the bound."""
        if not router.machine.is_fresh(router.clock(self.now)):
            self.stale_looks += 1
            return
        self.fresh_looks += 1
        newest = max(version for at, version in self.acknowledged if at <= self.now - REVOKE or version == 1)
        assert router.version >= newest, (self.seed, self.now, router.version, newest)


def test_a_fresh_configuration_has_every_removal_older_than_the_bound() -> None:
    fresh = stale = 0
    for seed in range(60):
        world = World(seed)
        world.play()
        fresh, stale = fresh + world.fresh_looks, stale + world.stale_looks
    assert fresh > 20_000  # the promise was kept by answers, not by silence
    assert stale > 1_000
