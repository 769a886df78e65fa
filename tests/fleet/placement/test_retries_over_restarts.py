"""The retry budget of a fleet whose routers are killed and start again, against the rule.

Each router is a real `PromptBalancer`; its life ends without a word, and the next one remembers nothing.
Backends fail many attempts for some seconds, the more cruelly the closer the kills come.
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
SHARES = (6, 4, 3, 3, 2, 2)  # of the requests
ATTEMPT_TIME = 0.004  # s until a failure is told
ROW_TIME = 0.002  # s that a row is under way
WINDOW_STEP = 0.25  # s between the balancers' own timers
ALONE = 0.3  # s for which a new life knows no peers
END = 36.0


@dataclass(frozen=True, slots=True)
class Kill:
    """These routers are killed at once and start again after `away` seconds."""

    at: float
    routers: tuple[int, ...]
    away: float = 0.7


@dataclass(frozen=True, slots=True)
class Story:
    """When backends fail, how many of the attempts, which routers are killed, and requests a second."""

    seed: int
    kills: tuple[Kill, ...]
    failing: tuple[tuple[float, float], ...]
    share: float = 0.6
    rate: float = 92.0
    cut: tuple[float, float] = (END, END)  # no rows pass between routers from when to when


@dataclass(slots=True)
class Fleet:
    """Routers that come and go, on a clock of events."""

    story: Story
    rng: random.Random = field(init=False)
    now: float = 0.0
    queue: list[tuple[float, int, object]] = field(default_factory=list)
    order: itertools.count[int] = field(default_factory=itertools.count)
    incarnations: list[int] = field(default_factory=lambda: [0] * ROUTERS)
    balancers: list[PromptBalancer | None] = field(default_factory=lambda: [None] * ROUTERS)
    requests: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)
    reached: set[int] = field(default_factory=set)
    attempts: dict[int, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.story.seed)

    def play(self) -> None:
        for router in range(ROUTERS):
            self.start(router)
        for kill in self.story.kills:
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
                self.at(self.now + event_data.away, ("start", router))
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
        self.later(router, ALONE, PeersChanged(numbers, (0,) * ROUTERS))
        self.later(router, WINDOW_STEP, api.TimerFired(0))

    def later(self, router: int, after: float, event: object) -> None:
        self.at(self.now + after, ("event", (router, self.incarnations[router], event)))

    def submit(self) -> None:
        """A client sends a request to a router that is there."""
        self.at(self.now + self.rng.expovariate(self.story.rate), ("ask", None))
        there = [router for router in range(ROUTERS) if self.balancers[router]]
        self.requests.append(self.now)
        if there:
            router = self.rng.choices(there, [SHARES[each] for each in there])[0]
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
                self.tell(router, action)
        if isinstance(event, api.TimerFired):
            self.later(router, WINDOW_STEP, event)

    def tell(self, sender: int, action: api.SendToPeer) -> None:
        begin, end = self.story.cut
        for router in range(ROUTERS):
            if router != sender and action.peer in (None, router + 1) and not begin <= self.now < end:
                self.later(router, ROW_TIME, api.PeerMessage(sender + 1, action.payload))

    def send(self, router: int, action: api.Send) -> None:
        """The attempt reaches its backend, which answers or fails it."""
        if action.id in self.reached:
            self.repeats.append(self.now)
        self.reached.add(action.id)
        attempt = self.attempts.get(action.id, 0)
        self.attempts[action.id] = attempt + 1
        fails = any(begin <= self.now < end for begin, end in self.story.failing)
        failed = fails and self.rng.random() < self.story.share
        result = api.Result.ERROR if failed else api.Result.OK
        outcome = api.Outcome(action.id, attempt, action.server, result, ATTEMPT_TIME, not failed)
        self.later(router, ATTEMPT_TIME, outcome)


ALL = tuple(range(ROUTERS))
STORIES = {
    "as reported": Story(1, (Kill(12.0, (4,), 4.0), Kill(15.5, (0, 1, 2, 3))), ((11.0, 20.0),), share=0.7),
    "all at once": Story(2, (Kill(14.0, ALL),), ((12.5, 24.0),)),
    "twice": Story(3, (Kill(14.0, ALL), Kill(18.0, ALL)), ((12.0, 26.0),)),
    "again and again": Story(4, tuple(Kill(10.0 + 2.5 * turn, ALL) for turn in range(8)), ((9.0, 32.0),)),
    "one after the other": Story(
        5, tuple(Kill(10.0 + 0.9 * turn, (turn % ROUTERS,)) for turn in range(24)), ((9.0, 34.0),)
    ),
}


def excess(story: Story) -> float:
    """How far the repeats of a story exceed the rule in its worst window."""
    fleet = Fleet(story)
    fleet.play()
    assert len(fleet.repeats) > 50
    return RULE.worst_excess(fleet.requests, fleet.repeats)


def drawn(seed: int) -> Story:
    """Kills of any routers at any time, while backends fail."""
    rng = random.Random(seed)
    kills = tuple(
        Kill(rng.uniform(5, 30), tuple(rng.sample(ALL, rng.randint(1, ROUTERS))), rng.uniform(0.4, 3))
        for _ in range(rng.randint(1, 8))
    )
    begins = rng.uniform(3, 20)
    failing = ((begins, begins + rng.uniform(5, 20)),)
    return Story(seed, kills, failing, rng.uniform(0.3, 1.0), rng.uniform(20.0, 120.0))


def test_all_processes_of_all_routers_together_stay_within_the_rule() -> None:
    broken = {name: over for name, story in STORIES.items() if (over := excess(story)) > 0.0}
    broken |= {str(seed): over for seed in range(100, 108) if (over := excess(drawn(seed))) > 0.0}
    assert broken == {}


def test_routers_that_are_not_killed_stay_within_the_rule() -> None:
    assert excess(Story(6, (), ((12.0, 30.0),))) <= 0.0


def test_partitioned_routers_divide_the_slack_as_before() -> None:
    assert excess(Story(7, (), ((14.0, 30.0),), cut=(8.0, 30.0))) <= 0.0
