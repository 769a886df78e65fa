"""A small world round the decisions alone: six boxes, some proxies, requests, and one thing that goes wrong.

    python -m benchmarks.small_world

A table of the hard cases: what was served in time, in all and in the worst second, refusals, second copies as
part of first tries, and the rate of the usual kind as believed over the true one. Seeded, in virtual time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from firvane.core import interface as api
from firvane.proxy.balancer import Balancer

NAMES = "abcdef"
CORES, PLACES = 4, 20  # of a box, and how many it takes in all
WORK = (0.02, 0.08)  # s of a core that a request takes
CALM, AIM, DEADLINE = 200.0, 0.5, 2.0  # requests a second, of 480 that the boxes can do; s
FROM, UNTIL = 3.0, 6.0  # s between which things go wrong
COLD, START = 8.0, 0.3  # s of warm-up by the rules, and the part that a box does at its start
ROW_S = 0.01  # s that a row takes

READ = api.RequestClass("read", latency_target=AIM, deadline=DEADLINE, idempotency=api.Idempotency.SAFE)
RULES = api.Rules(0.02, 0.25, START, COLD, 3.0, 1.0, 10.0)
LIMITS = api.Limits(3, cancel=True, hedging=True, peers=True, max_retry_after=1.2)


@dataclass(frozen=True)
class Situation:
    """What goes wrong."""

    name: str
    proxies: int = 1
    lost: float = 0.0  # part of attempts that no box ever answers
    lost_at: tuple[tuple[str, float], ...] = ()  # the same at single boxes
    silent: str = ""  # boxes that answer nothing
    paused: str = ""  # that stand still for a time and then say all at once
    shuffled: str = ""  # that answer in any order
    hints: float = 1.0  # factor by which hints are off, either way
    restarted: str = ""  # that start anew without a word of the list
    fresh: bool = False  # all boxes have just started
    stranger: bool = False  # a box of a kind never seen, at half the speed, joins
    cut: bool = False  # rows are lost
    flood: float = 1.0  # times as many requests


SITUATIONS = (
    Situation("calm"),
    Situation("one in six lost everywhere", lost=1 / 6),
    Situation("one box silent", silent="a"),
    Situation("one box silent, one in six lost", silent="a", lost=1 / 6),
    Situation("one box silent in part", lost_at=(("a", 0.5),)),
    Situation("3 s of pause, then all at once", paused="a"),
    Situation("out of order", shuffled="a"),
    Situation("hints off by three", hints=3.0),
    Situation("cold without a word", restarted="ab"),
    Situation("a kind never seen", stranger=True),
    Situation("all boxes cold", fresh=True),
    Situation("three proxies, rows cut", proxies=3, cut=True),
    Situation("three proxies, a flood", proxies=3, flood=4.0),
)


@dataclass
class Figures:
    served: float  # part of the requests answered within the aim
    worst: float  # the same in the worst second
    refused: float  # part of the requests
    copies: float  # attempts beyond the first, of the requests
    away: float  # part of the attempts that were turned away
    rate: float  # of the usual kind, as believed over the true one; 0 where nothing is believed


@dataclass
class Work:
    """A box's cores, and what is in it."""

    speed: float = 1.0
    since: float = -1e9
    life: int = 0
    cores: list[float] = field(default_factory=lambda: [0.0] * CORES)
    inside: int = 0

    def pace(self, now: float) -> float:
        return self.speed * (START + (1.0 - START) * min(1.0, (now - self.since) / COLD))


class World:
    """Boxes that work in order on a few cores, proxies, and requests evenly in time."""

    def __init__(self, what: Situation, seed: int = 5) -> None:
        self.what, self.dice, self.now = what, random.Random(seed), 0.0
        self.order, self.due = itertools.count(), list[tuple[float, int, Callable[[], None]]]()
        self.boxes = {name: Work(since=0.0 if what.fresh else -1e9) for name in NAMES}
        self.out = dict[tuple[int, int], tuple[str, int]]()
        self.sent, self.began = Counter[int](), dict[int, float]()
        self.served, self.refused, self.away = dict[int, float](), 0, 0
        self.hint = dict[int, float]()
        self.proxies = [Balancer(self.settings(n), 3 + n, 0.0) for n in range(what.proxies)]
        for n, proxy in enumerate(self.proxies):
            self.act(n, proxy.start(0.0))
        since = 0.0001 if what.fresh else None
        self.tell([api.Server(name, up_since=since) for name in self.boxes], api.ListKind.COMPLETE)
        if what.stranger:
            self.at(FROM, self.join)
        for name in what.restarted:
            self.at(FROM, lambda name=name: self.restart(name))  # type: ignore[misc]

    def settings(self, me: int) -> api.Settings:
        return api.Settings(me, self.what.proxies, 0.005, (READ,), RULES, LIMITS)

    def tell(self, servers: list[api.Server], kind: api.ListKind) -> None:
        for n in range(self.what.proxies):
            self.give(n, api.ServerList(kind, 1, tuple(replace(one) for one in servers)))

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.due, (when, next(self.order), what))

    @property
    def is_wrong(self) -> bool:
        return FROM <= self.now < UNTIL

    # What goes wrong

    def join(self) -> None:
        self.boxes["x"] = Work(speed=0.5, since=self.now)
        self.tell([api.Server("x", kind=9, up_since=self.now)], api.ListKind.INCREMENTAL)

    def restart(self, name: str) -> None:
        box = self.boxes[name]
        box.since, box.cores, box.inside, box.life = self.now, [self.now] * CORES, 0, box.life + 1
        for key, (where, _) in list(self.out.items()):
            if where == name:
                self.end(key, api.Result.RESET)

    # What proxies do

    def give(self, proxy: int, event: api.Event) -> None:
        self.act(proxy, self.proxies[proxy].handle(event, self.now))

    def act(self, proxy: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.send(action)
            elif isinstance(action, api.SetTimer):
                fired = api.TimerFired(action.token)
                self.at(self.now + action.delay, lambda fired=fired: self.give(proxy, fired))  # type: ignore[misc]
            elif isinstance(action, api.Cancel) and (key := (action.id, action.attempt)) in self.out:
                self.at(self.now, lambda key=key: self.end(key, api.Result.CANCELLED))  # type: ignore[misc]
            elif isinstance(action, api.Reject | api.Fail):
                self.refused += 1
            elif isinstance(action, api.SendToPeer) and not (self.what.cut and self.is_wrong):
                for other in range(self.what.proxies):
                    if other != proxy and action.peer in (None, other):
                        row = api.PeerMessage(proxy, action.payload)
                        self.at(self.now + ROW_S, lambda o=other, row=row: self.give(o, row))  # type: ignore[misc]

    def send(self, action: api.Send) -> None:
        key, box, dice = (action.id, self.sent[action.id]), self.boxes[action.server], self.dice
        self.sent[action.id] += 1
        self.out[key] = action.server, box.life
        lost = dict(self.what.lost_at).get(action.server, self.what.lost)
        if action.server in self.what.silent or dice.random() < lost:
            return
        if box.inside >= PLACES:
            self.away += 1
            self.at(self.now + 0.001, lambda: self.end(key, api.Result.OVERLOADED))
            return
        box.inside += 1
        core = box.cores.index(min(box.cores))
        box.cores[core] = max(self.now, box.cores[core]) + dice.uniform(*WORK) / box.pace(self.now)
        done = box.cores[core]
        if action.server in self.what.shuffled:
            done += dice.uniform(0.0, 0.2)
        if action.server in self.what.paused and self.is_wrong:
            done = max(done, UNTIL)
        self.at(done, lambda life=box.life: self.done(key, box, life))  # type: ignore[misc]

    def done(self, key: tuple[int, int], box: Work, life: int) -> None:
        if box.life == life:
            box.inside -= 1
            self.end(key, api.Result.OK)

    def end(self, key: tuple[int, int], result: api.Result) -> None:
        name, _ = self.out.pop(key, ("", 0))
        if name:
            n, done = key[0] % self.what.proxies, result is api.Result.OK
            if done and key[0] in self.proxies[n].open_requests:
                self.served[key[0]] = self.now - self.began[key[0]]
            took = self.now - self.began[key[0]]
            self.give(n, api.Outcome(key[0], key[1], name, result, took, done))

    # What clients do

    def ask(self, number: int) -> None:
        off = self.dice.choice((1.0 / self.what.hints, self.what.hints))
        self.began[number] = self.now
        request = api.Request(number, 0, DEADLINE, work=self.dice.uniform(*WORK) * off)
        self.give(number % self.what.proxies, request)

    def run(self, requests: int) -> Figures:
        """So many requests at the calm rate; during a flood they come quicker."""
        at = 0.0
        for number in range(1, requests + 1):
            at += 1.0 / (CALM * (self.what.flood if FROM <= at < UNTIL else 1.0))
            self.at(at, lambda number=number: self.ask(number))  # type: ignore[misc]
        while self.due and self.due[0][0] < at + 3.0:
            self.now, _, what = heapq.heappop(self.due)
            what()
        asked, good = Counter[int](), Counter[int]()
        for number, began in self.began.items():
            asked[int(began)] += 1
            good[int(began)] += self.served.get(number, 9.0) <= AIM
        attempts, true = self.sent.total(), CORES / (sum(WORK) / 2)
        rates = [proxy.estimates.best_rate.get(0, 0.0) / true for proxy in self.proxies]
        return Figures(
            good.total() / requests,
            min(good[second] / asked[second] for second in asked),
            self.refused / requests,
            max(0, attempts - requests) / requests,
            self.away / max(1, attempts),
            sum(rates) / len(rates),
        )


def main() -> None:
    print(f"{'':32}{'served':>8}{'worst s':>9}{'refused':>9}{'copies':>8}{'away':>7}{'rate':>7}")
    for what in SITUATIONS:
        one = World(what).run(2400)
        print(
            f"{what.name:32}{one.served:8.3f}{one.worst:9.3f}{one.refused:9.3f}{one.copies:8.3f}"
            f"{one.away:7.3f}{one.rate:7.2f}"
        )


if __name__ == "__main__":
    main()
