"""The retry budget over all routers of a fleet, while routers are killed and restarted.

A restarted router has lost all counts. If it started with more tokens than its predecessor had left, the
routers together would exceed the budget. Each router is a real `PromptBalancer`; backends fail many attempts.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from firvane.core import interface as api
from firvane.fleet.placement.balancer import PromptBalancer
from firvane.fleet.placement.events import InstancesChanged, PeersChanged, RequestKind, ServiceInfo
from firvane.simulation.soak.retry_rule import RetryRule
from tests.fleet.placement.helpers import SERVICE, instances, request, settings

RULE = RetryRule(ratio=0.2, slack=52.0, window=10.0)
ROUTERS, BACKENDS = 6, 5
SHARES = (6, 4, 3, 3, 2, 2)  # relative shares of the routers in the requests
ATTEMPT_TIME = 0.004  # s from sending an attempt to its outcome
ROW_LATENCY = 0.002  # s from sending a row to its arrival
WINDOW_STEP = 0.25  # s between the window timers of a balancer
PEER_DISCOVERY_TIME = 0.3  # s from the start of a process to its first list of peers
END = 36.0


@dataclass(frozen=True, slots=True)
class Kill:
    """The routers are killed at the same time and restart after `downtime` seconds."""

    at: float
    routers: tuple[int, ...]
    downtime: float = 0.7


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario: the kills of routers, the times in which backends fail, and the traffic."""

    seed: int
    kills: tuple[Kill, ...]
    failing: tuple[tuple[float, float], ...]
    failure_ratio: float = 0.6
    rate: float = 92.0  # requests per second
    partition: tuple[float, float] = (END, END)  # start and end of a time in which no rows pass


@dataclass(slots=True)
class Fleet:
    """Simulates the routers of a scenario in simulated time."""

    scenario: Scenario
    rng: random.Random = field(init=False)
    now: float = 0.0
    queue: list[tuple[float, int, object]] = field(default_factory=list)
    order: itertools.count[int] = field(default_factory=itertools.count)
    incarnations: list[int] = field(default_factory=lambda: [0] * ROUTERS)
    balancers: list[PromptBalancer | None] = field(default_factory=lambda: [None] * ROUTERS)
    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)
    reached: set[int] = field(default_factory=set)
    attempts: dict[int, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.scenario.seed)

    def play(self) -> None:
        for router in range(ROUTERS):
            self.start(router)
        for kill in self.scenario.kills:
            self.at(kill.at, ("kill", kill))
        self.at(0.5, ("ask", None))
        while self.queue and self.queue[0][0] < END:
            self.now, _, what = heapq.heappop(self.queue)
            self.step(*what)  # type: ignore[misc]

    def at(self, when: float, what: object) -> None:
        heapq.heappush(self.queue, (when, next(self.order), what))

    def step(self, kind: str, event_data: object) -> None:
        if kind == "ask":
            self.submit()
        elif kind == "kill":
            assert isinstance(event_data, Kill)
            for router in event_data.routers:
                self.balancers[router] = None
                self.at(self.now + event_data.downtime, ("start", router))
        elif kind == "start":
            assert isinstance(event_data, int)
            self.start(event_data)
        else:
            router, incarnation, event = event_data  # type: ignore[misc]
            if self.incarnations[router] == incarnation:
                self.handle(router, event)

    def start(self, router: int) -> None:
        self.incarnations[router] += 1
        seed = self.rng.getrandbits(32)
        self.balancers[router] = PromptBalancer(settings(router + 1), seed, self.now, retry_slack=RULE.slack)
        balancer = self.balancers[router]
        assert balancer
        balancer.start(self.now)
        self.handle(router, ServiceInfo(SERVICE, 64, 400_000, 4, 360))
        self.handle(router, InstancesChanged(SERVICE, instances(BACKENDS)))
        numbers = tuple(range(1, ROUTERS + 1))
        self.later(router, PEER_DISCOVERY_TIME, PeersChanged(numbers, (0,) * ROUTERS))
        self.later(router, WINDOW_STEP, api.TimerFired(0))

    def later(self, router: int, after: float, event: object) -> None:
        self.at(self.now + after, ("event", (router, self.incarnations[router], event)))

    def submit(self) -> None:
        """Send a client request to one of the running routers."""
        self.at(self.now + self.rng.expovariate(self.scenario.rate), ("ask", None))
        running = [router for router in range(ROUTERS) if self.balancers[router]]
        self.requests.append(self.now)
        if running:
            router = self.rng.choices(running, [SHARES[each] for each in running])[0]
            number = len(self.requests)
            event = request(number, kind=RequestKind.IDEMPOTENT, max_attempts=3)
            self.handle(router, event)

    def handle(self, router: int, event: object) -> None:
        balancer = self.balancers[router]
        if balancer is None:
            return
        for action in balancer.handle(event, self.now):  # type: ignore[arg-type]
            if isinstance(action, api.Send):
                self.send(router, action)
            elif isinstance(action, api.SendToPeer):
                self.send_row(router, action)
        if isinstance(event, api.TimerFired):
            self.later(router, WINDOW_STEP, event)

    def send_row(self, sender: int, action: api.SendToPeer) -> None:
        begin, end = self.scenario.partition
        for router in range(ROUTERS):
            if router != sender and action.peer in (None, router + 1) and not begin <= self.now < end:
                self.later(router, ROW_LATENCY, api.PeerMessage(sender + 1, action.payload))

    def send(self, router: int, action: api.Send) -> None:
        """Deliver an attempt to its backend, which responds or fails."""
        if action.id in self.reached:
            self.retries.append(self.now)
        self.reached.add(action.id)
        attempt = self.attempts.get(action.id, 0)
        self.attempts[action.id] = attempt + 1
        fails = any(begin <= self.now < end for begin, end in self.scenario.failing)
        failed = fails and self.rng.random() < self.scenario.failure_ratio
        result = api.Result.ERROR if failed else api.Result.OK
        outcome = api.Outcome(action.id, attempt, action.server, result, ATTEMPT_TIME, not failed)
        self.later(router, ATTEMPT_TIME, outcome)


ALL = tuple(range(ROUTERS))
SCENARIOS = {
    "as reported": Scenario(
        1, (Kill(12.0, (4,), 4.0), Kill(15.5, (0, 1, 2, 3))), ((11.0, 20.0),), failure_ratio=0.7
    ),
    "all at once": Scenario(2, (Kill(14.0, ALL),), ((12.5, 24.0),)),
    "twice": Scenario(3, (Kill(14.0, ALL), Kill(18.0, ALL)), ((12.0, 26.0),)),
    "again and again": Scenario(
        4, tuple(Kill(10.0 + 2.5 * index, ALL) for index in range(8)), ((9.0, 32.0),)
    ),
    "one after the other": Scenario(
        5, tuple(Kill(10.0 + 0.9 * index, (index % ROUTERS,)) for index in range(24)), ((9.0, 34.0),)
    ),
}


def excess(scenario: Scenario) -> float:
    """Return by how much the retries of a scenario exceed the rule in the worst window."""
    fleet = Fleet(scenario)
    fleet.play()
    assert len(fleet.retries) > 50
    return RULE.worst_excess(fleet.requests, fleet.retries)


def random_scenario(seed: int) -> Scenario:
    """Return a scenario with kills of random routers at random times, while backends fail."""
    rng = random.Random(seed)
    kills = tuple(
        Kill(rng.uniform(5, 30), tuple(rng.sample(ALL, rng.randint(1, ROUTERS))), rng.uniform(0.4, 3))
        for _ in range(rng.randint(1, 8))
    )
    failing_from = rng.uniform(3, 20)
    failing = ((failing_from, failing_from + rng.uniform(5, 20)),)
    return Scenario(seed, kills, failing, rng.uniform(0.3, 1.0), rng.uniform(20.0, 120.0))


def test_all_processes_of_all_routers_together_stay_within_the_rule() -> None:
    violations = {name: over for name, scenario in SCENARIOS.items() if (over := excess(scenario)) > 0.0}
    violations |= {
        str(seed): over for seed in range(100, 108) if (over := excess(random_scenario(seed))) > 0.0
    }
    assert violations == {}


def test_routers_that_are_not_killed_stay_within_the_rule() -> None:
    assert excess(Scenario(6, (), ((12.0, 30.0),))) <= 0.0


def test_partitioned_routers_stay_within_the_rule() -> None:
    assert excess(Scenario(7, (), ((14.0, 30.0),), partition=(8.0, 30.0))) <= 0.0
