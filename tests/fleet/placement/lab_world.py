"""All of the laboratory: clients, routers, emulated servers, the list, and faults."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator
from typing import Any
from zlib import crc32

import simpy

from firvane.core import interface as api
from firvane.fleet.discovery.instances import Instance, InstanceState
from firvane.fleet.placement.events import InstancesChanged, PeersChanged, ServiceInfo
from tests.fleet.placement.emulated_server import EmulatedServer, ReadLog
from tests.fleet.placement.helpers import settings
from tests.fleet.placement.lab_day import Day, Fault, Kind, Result, Tally, lognormal
from tests.fleet.placement.lab_router import LINK, SERVICE, Ask, Decisions, Flow, RouterHost

CLIENT_LINK = 0.003  # s one way to clients
LIST_LAG = 2.0  # s until routers know of a change of the list


class World:
    """All of it."""

    def __init__(self, day: Day, make: Callable[[api.Settings, int, float], Decisions], seed: int) -> None:
        self.day, self.env, self.rng = day, simpy.Environment(initial_time=1000.0), random.Random(seed)
        self.failing: dict[str, Fault] = {}  # by server
        self.grey_rng = random.Random(seed + 1)  # apart, so that the traffic is the same without troubles
        self.seed, self.log = seed, ReadLog()
        self.tallies = {kind.name: Tally() for kind in day.kinds}
        self.closing: dict[tuple[int, int], Flow] = {}
        self.sent = self.arrivals = self.repeats = self.rows = 0
        self.servers: dict[str, EmulatedServer] = {}
        self.listed: dict[str, InstanceState] = {}
        self.hot: dict[str, float] = {}
        self.burst = 1.0
        self.next_server = 0
        for _ in range(day.servers):
            self.add_server()
        self.sizes = self._draw_parts()
        numbers = tuple(range(1, day.routers + 1))
        self.routers = {
            number: RouterHost(self, number, make(settings(number), seed * 100 + number, self.env.now))
            for number in numbers
        }
        self.weights = [1.0 + day.uneven * self.rng.uniform(-1, 1) for _ in numbers]
        for host in self.routers.values():
            for action in list(host.decisions.start(self.env.now)):
                host.act(action)
            host.give(PeersChanged(numbers, tuple(0 for _ in numbers)))
            host.give(
                ServiceInfo(SERVICE, day.profile.slots, day.profile.memory, day.profile.tokens_per_event, 360)
            )
        self.spread_list()

    def _draw_parts(self) -> dict[tuple[str, int], list[int]]:
        return {
            (kind.name, index): [max(1, round(lognormal(self.rng, mean, spread, 3 * mean))) for _ in range(n)]
            for kind in self.day.kinds
            for index, (mean, spread, n) in enumerate(kind.shared)
        }

    # Servers

    def add_server(self) -> str:
        name = f"i-{self.next_server:03}"
        self.next_server += 1
        self.servers[name] = EmulatedServer(self.env, name, self.day.profile, self.log)
        self.listed[name] = InstanceState.READY
        return name

    def spread_list(self) -> None:
        found = tuple(
            Instance(name, SERVICE, ("127.0.0.1", 80), "a", self.day.profile.slots, state)
            for name, state in sorted(self.listed.items())
        )
        for host in self.routers.values():
            host.give(InstancesChanged(SERVICE, found))

    def play_fault(self, fault: Fault) -> Generator[Any, Any, None]:
        yield self.env.timeout(fault.at)
        name = next(iter(sorted(n for n, state in self.listed.items() if state is InstanceState.READY)))
        if fault.kind == "dark":
            self.servers[name].set_dark(True)
            yield self.env.timeout(fault.span)
            self.servers[name].set_dark(False)
        elif fault.kind == "crash":
            self.servers[name].crash()
            yield self.env.timeout(fault.span)
            del self.listed[name]
            self.add_server()
            self.spread_list()
        elif fault.kind in ("errors", "mute"):
            self.failing[name] = fault
            yield self.env.timeout(fault.span)
            del self.failing[name]
        elif fault.kind == "replace":
            yield from self.replace_server(name)
        elif fault.kind == "hot":
            self.hot["letter"] = fault.strength
            yield self.env.timeout(fault.span)
            self.hot = {}
        elif fault.kind == "burst":
            self.burst = fault.strength
            yield self.env.timeout(fault.span)
            self.burst = 1.0

    def failure_of(self, server: EmulatedServer) -> str | None:
        """How a request that has come to a server fails there, by lot; None where it does not."""
        fault = self.failing.get(server.name)
        return fault.kind if fault and self.grey_rng.random() < fault.strength else None

    def replace_server(self, name: str) -> Generator[Any, Any, None]:
        self.add_server()
        self.listed[name] = InstanceState.DRAINING
        yield self.env.timeout(LIST_LAG)
        self.spread_list()
        yield self.env.timeout(2 * LIST_LAG)
        del self.listed[name]
        self.spread_list()

    # Routers

    def tell(self, sender: int, action: api.SendToPeer) -> None:
        targets = [action.peer] if action.peer is not None else [n for n in self.routers if n != sender]
        for number in targets:
            if host := self.routers.get(number):
                self.rows += 1
                message = api.PeerMessage(sender, action.payload)
                host.later(LINK, lambda host=host, message=message: host.give(message))  # type: ignore[misc]

    # Clients

    def clients(self, kind: Kind) -> Generator[Any, Any, None]:
        while self.env.now < 1000.0 + self.day.length:
            rate = kind.rate * self.day.load * (self.burst if kind.name == "reply" else 1.0)
            yield self.env.timeout(self.rng.expovariate(rate))
            self.ask(kind)

    def ask(self, kind: Kind) -> None:
        parts = []
        for index, (_, _, count) in enumerate(kind.shared):
            number = min(int(count * self.rng.random() ** 1.5), count - 1)
            if self.rng.random() < self.hot.get(kind.name, 0.0):
                number = 0
            tokens = self.sizes[kind.name, index][number]
            parts.append((crc32(f"{self.seed} {kind.name} {index} {number}".encode()), tokens))
        own = max(1, round(lognormal(self.rng, *kind.own, most=14 * kind.own[0])))
        parts.append((self.rng.getrandbits(40), own))
        events = max(1, round(lognormal(self.rng, *kind.events, most=4 * kind.events[0])))
        size = sum(tokens for _, tokens in parts) + 40 * events
        mean = sum(tokens for tokens, _, _ in kind.shared) + kind.own[0] + 40 * kind.events[0]
        worth = min(4.0, 0.3 + 0.7 * size / mean)
        router = self.rng.choices(list(self.routers), self.weights)[0]
        ask = Ask(kind, tuple(parts), events, self.env.now, worth, router)
        tally = self.tallies[kind.name]
        tally.requests += 1
        tally.owed += worth * kind.worth
        self.try_at(ask, router, CLIENT_LINK)

    def try_at(self, ask: Ask, router: int, span: float) -> None:
        ask.tries += 1
        host = self.routers[router]
        host.later(span, lambda: host.take(ask))

    def event(self, ask: Ask) -> None:
        now = self.env.now + CLIENT_LINK
        if ask.first_at < 0:
            ask.first_at = now
            self.tallies[ask.kind.name].firsts.append(now - ask.asked_at)
        else:
            ask.longest_gap = max(ask.longest_gap, now - ask.last_at)
        ask.last_at = now
        ask.passed += 1

    def answered(self, ask: Ask, whole: bool, pause: float | None) -> None:
        if ask.over:
            return
        tally, kind = self.tallies[ask.kind.name], ask.kind
        if not whole:
            left = ask.asked_at + kind.deadline - self.env.now
            tally.refused += pause is not None
            if ask.tries < 2 and left > 0.1 and (pause is not None or kind.resumable):
                other = self.rng.choice(list(self.routers))
                self.try_at(ask, other, 2 * CLIENT_LINK + min(pause or 0.0, left / 3))
            else:
                ask.over = True
            return
        ask.over = True
        tally.served += 1
        late = ask.first_at - ask.asked_at > kind.aim or ask.longest_gap > kind.event_gap_target
        tally.late += late
        tally.earned += ask.worth * (kind.late_worth if late else kind.worth)

    def play(self) -> Result:
        for kind in self.day.kinds:
            self.env.process(self.clients(kind))
        for fault in self.day.faults:
            self.env.process(self.play_fault(fault))
        self.env.run(until=1000.0 + self.day.length + 6.0)
        return Result(self.tallies, self.log, self.repeats, self.arrivals, self.sent, self.rows)
