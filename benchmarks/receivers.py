"""Half of the traffic through receivers: told by the control service, or by plain round robin, or by none.

    python -m benchmarks.receivers
    python -m benchmarks.receivers --seeds 5 --case deploy --json receivers.json

Emulated boxes, members, late lists and the network between, in virtual time. The proxies are the real engine
and module, the control service is its real core with its real codec; the receivers are the stand-in that
speaks xDS. What is left out: connections and their cost, and HTTP. A receiver tries again as its route says,
waits no longer than its route and the client allow, and makes no second copies.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import multiprocessing
import statistics
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from firvane.core import interface as api
from firvane.core.engine import Engine
from firvane.core.engine_protocols import Exchange
from firvane.core.flows import Flow
from firvane.core.terminations import Termination
from firvane.proxy.balancer import Balancer
from firvane.proxy.config.model import Control as ControlSettings
from firvane.proxy.control import stream_codec
from firvane.proxy.control.core import Core
from firvane.proxy.control.stream import Stream
from firvane.simulation.emulation.backend import Completion, EmulatedBackend, JobEnd
from firvane.simulation.emulation.clients import ClientPopulation, Try
from firvane.simulation.emulation.network import Links, seats
from firvane.simulation.emulation.registry import Change, Registry
from firvane.simulation.emulation.scenario import Boxes, Load, Network, Proxies, Retries
from firvane.simulation.emulation.seeded_random import mix, named
from firvane.simulation.runner.receiver import Receiver, Way

CLASS_NAME = "profile-view"
SERVICE_NAME = "lagos-web"
RECEIVERS_PER_ZONE = 6
LINK_LATENCY_S = 0.002  # one way between a receiver and the service
REPORT_S = 1.0  # between load reports
RETRY_BACKOFF_MIN_S = 0.025
RETRY_BACKOFF_MAX_S = 0.25
MAX_ATTEMPTS = 3
WARM_UP_S = 6.0  # at the start of a run, not measured
RUN_S = 60.0
MODES = ("all firvane", "half told by xDS", "half round robin")
CASES = ("calm", "deploy", "zone silent", "flood")
DRAIN_GRACE_S = 1.0  # in which a draining backend may still get requests


class Timer:
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class VirtualClock:
    """A virtual clock that advances from one call to the next."""

    def __init__(self) -> None:
        self.now, self.order = 0.0, itertools.count()
        self.due: list[tuple[float, int, Timer, Callable[..., Any], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Any:
        timer = Timer()
        heapq.heappush(self.due, (max(when, self.now), next(self.order), timer, callback, args))
        return timer

    def run(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, timer, callback, args = heapq.heappop(self.due)
            if not timer.cancelled:
                callback(*args)


@dataclass
class RunMetrics:
    """The results of one run."""

    service: float = 0.0  # worth answered within the aim, of the worth asked for
    worst: float = 0.0  # the same in the worst 5 s
    proxies: float = 0.0  # of what went through proxies
    receivers: float = 0.0  # of what went through receivers
    refused: float = 0.0  # tries that were refused or dropped, of all
    attempts: float = 0.0  # a try
    away: float = 0.0  # attempts that were turned away, of all
    fell: int = 0  # cold boxes pushed over
    late: int = 0  # sends to a box more than GRACE after it was told that it drains
    told: int = 0  # states that the service has handed out
    endings: Counter[str] = field(default_factory=Counter)


class Attempt:
    """One attempt at a box, as an exchange of the engine's or a receiver's."""

    def __init__(self, world: World, box: str, done: Callable[[Termination], None], back: float) -> None:
        self.world, self.box, self.done, self.back = world, box, done, back
        self.call = f"{next(world.calls):x}"
        self.over = False

    def cancel(self) -> None:
        if not self.over:
            self.over = True
            self.world.out.pop(self.call, None)
            self.world.clock.call_at(self.world.clock.now + self.back, self.world.drop, self)

    def end(self, ending: Termination) -> None:
        if not self.over:
            self.over = True
            self.world.out.pop(self.call, None)
            self.done(ending)


class World:
    """All of it, for one case, mode and seed."""

    def __init__(self, case: str, mode: str, seed: int, rate: float, counts_as: int = 3) -> None:
        self.counts_as = counts_as
        self.case, self.mode, self.seed = case, mode, seed
        self.clock, self.dice = VirtualClock(), Random(f"world/{seed}")
        self.boxes_as, self.network = Boxes(), Network()
        retries = Retries(most=2, how="wait")
        self.load = Load(rate=rate, retries=retries)
        tier = Proxies(count=3)
        self.population = ClientPopulation(self.load, self.network, tier, seed)
        self.links = Links(self.network, seed)
        self.registry = Registry(seed, self.network)
        self.seats = seats(self.network, tier)
        self.calls, self.out = itertools.count(1), dict[str, Attempt]()
        self.boxes: dict[str, EmulatedBackend] = {}
        self.ports: dict[str, int] = {}
        self.stepping: dict[str, Any] = {}
        self.served = Counter[int]()
        self.metrics = RunMetrics()
        self.sums: dict[str, list[float]] = {"proxy": [0.0, 0.0], "receiver": [0.0, 0.0]}
        self.windows: dict[int, list[float]] = {}
        self.answered: set[str] = set()
        self.tries = self.sends = self.refusals = self.turned = 0
        for _ in range(self.boxes_as.count):
            self.join(warm=True)
        self.registry.begin()
        half = mode != MODES[0]
        count = 3 if mode == MODES[2] else 3 + self.counts_as if half else 6
        self.proxies = [Proxy(self, n, count) for n in range(3 if half else 6)]
        self.tier: list[Any] = list(self.proxies)
        self.service = Service(self, 3, count) if mode == MODES[1] else None
        if self.service:
            self.tier += self.service.places
        self.receivers: list[Any] = []
        if half:
            kind = XdsReceiver if self.service else RoundRobin
            zones = self.network.zones
            self.receivers = [
                kind(self, f"r{n}", zones[n % len(zones)]) for n in range(RECEIVERS_PER_ZONE * len(zones))
            ]

    # Boxes

    def join(self, warm: bool) -> str:
        n = len(self.ports)
        kinds = self.boxes_as.kinds
        kind = kinds[0] if (n * 53) % 100 < 53 else kinds[1]
        name, zone = f"box-{n}", self.network.zones[n % len(self.network.zones)]
        now = self.clock.now
        self.boxes[name] = EmulatedBackend(name, kind, self.boxes_as, zone, self.seed, now, warm)
        self.ports[name] = 10_000 + n
        self.registry.change(now, name, "up", zone, kind.name, 0, None if warm else now)
        return name

    def zone_of(self, name: str) -> str:
        return self.boxes[name].zone

    def by_port(self, port: int) -> str:
        return f"box-{port - 10_000}"

    def step(self, name: str) -> None:
        """See what a box has done by now, and look again when it does more."""
        box = self.boxes[name]
        for done in box.advance(self.clock.now):
            self.finished(name, done)
        if old := self.stepping.pop(name, None):
            old.cancel()
        if (due := box.next_at()) < float("inf"):
            self.stepping[name] = self.clock.call_at(due, self.step, name)

    def finished(self, name: str, done: Completion) -> None:
        if (attempt := self.out.get(done.call)) is None:
            return
        ending = Termination.SERVED if done.wanted else Termination.BROKEN_AFTER_SENT
        if done.end is JobEnd.LOST and self.boxes[name].state == "silent":
            return  # nobody says a word
        self.clock.call_at(self.clock.now + attempt.back, attempt.end, ending)

    def send(self, at: Try, box: str, zone: str, done: Callable[[Termination], None]) -> Attempt:
        """An attempt sets out from a zone; `done` hears of its end."""
        self.sends += 1
        delay = self.links.delay(self.clock.now, zone, self.zone_of(box)) or 0.0
        attempt = Attempt(self, box, done, delay)
        self.out[attempt.call] = attempt
        self.clock.call_at(self.clock.now + delay, self.arrive, at, attempt)
        return attempt

    def arrive(self, at: Try, attempt: Attempt) -> None:
        box, now = self.boxes[attempt.box], self.clock.now
        if attempt.over:
            return
        if box.state in ("down", "fell"):
            self.clock.call_at(now + attempt.back, attempt.end, Termination.CONNECTION_REFUSED)
            return
        stood = box.is_up
        offer = box.offer(now, attempt.call, at.key, at.work)
        if stood and box.state == "fell":
            self.metrics.fell += 1
        if offer.verdict == "turned away":
            self.turned += 1
            self.clock.call_at(now + attempt.back, attempt.end, Termination.REJECTED)
        self.step(attempt.box)

    def drop(self, attempt: Attempt) -> None:
        if self.boxes[attempt.box].is_up:
            self.boxes[attempt.box].cancel(self.clock.now, attempt.call)
            self.step(attempt.box)

    # What goes wrong

    def troubles(self) -> None:
        at = self.clock.call_at
        if self.case == "deploy":
            old = [name for name in self.boxes if self.dice.random() < 0.93]
            batch = max(1, round(0.2 * len(self.boxes)))
            groups = [old[i : i + batch] for i in range(0, len(old), batch)]
            for n, group in enumerate(groups):
                at(10.0 + 35.0 * n / len(groups), self.replace, group)
        elif self.case == "zone silent":
            zone = self.network.zones[self.seed % len(self.network.zones)]
            struck = [name for name in self.boxes if self.zone_of(name) == zone]
            at(15.0, self.silence, struck)
        elif self.case == "flood":
            self.clock.call_at(15.0, self.population.burst, 15.0, "lagos", 4.0, 35.0)

    def replace(self, group: list[str]) -> None:
        for name in group:
            self.boxes[name].drain(self.clock.now)
            self.registry.change(self.clock.now, name, "draining")
            self.join(warm=False)
            self.clock.call_at(self.clock.now + 3.0, self.leave, name)
        self.tell_all()

    def leave(self, name: str) -> None:
        self.boxes[name].stop(self.clock.now)
        self.step(name)
        self.registry.change(self.clock.now, name, "removed")
        self.tell_all()

    def silence(self, group: list[str]) -> None:
        for name in group:
            self.boxes[name].silence(self.clock.now)
            self.step(name)
            self.clock.call_at(self.clock.now + 15.0, self.back, name)

    def back(self, name: str) -> None:
        self.boxes[name].restart(self.clock.now)
        now = self.clock.now
        self.registry.change(now, name, "up", start=self.boxes[name].start, since=now)
        self.tell_all()

    def tell_all(self) -> None:
        for reader in (*self.tier, *self.receivers):
            if hasattr(reader, "listen"):
                self.clock.call_at(self.registry.next_at(reader.name), reader.listen)

    # Members

    def ask(self, tries: Iterator[Try]) -> None:
        one = next(tries)
        if one.at < RUN_S:
            self.clock.call_at(one.at, self.first, one, tries)

    def first(self, one: Try, tries: Iterator[Try]) -> None:
        self.ask(tries)
        if one.at >= WARM_UP_S:
            way = "receiver" if self.through_receiver(one) else "proxy"
            self.sums[way][0] += one.work * one.worth
            self.windows.setdefault(int(one.at / 5), [0.0, 0.0])[0] += one.work * one.worth
        self.take(one)

    def through_receiver(self, one: Try) -> bool:
        return bool(self.receivers) and mix(int(one.first, 16)) & 1 == 1

    def take(self, one: Try) -> None:
        self.tries += one.at >= WARM_UP_S
        if self.through_receiver(one):
            here = [r for r in self.receivers if r.zone == one.zone]
            here[mix(int(one.call, 16)) % len(here)].ask(one)
        else:
            here = [p for p in self.proxies if p.zone == one.zone]
            here[mix(int(one.call, 16)) % len(here)].ask(one)

    def answer(self, one: Try, status: int, retry_after: float = 0.0) -> None:
        now = self.clock.now
        if status == 200:
            if now <= one.first_at + one.aim and one.first not in self.answered and one.first_at >= WARM_UP_S:
                self.answered.add(one.first)
                way = "receiver" if self.through_receiver(one) else "proxy"
                self.sums[way][1] += one.work * one.worth
                self.windows[int(one.first_at / 5)][1] += one.work * one.worth
            return
        self.refusals += status in (429, 503) and one.at >= WARM_UP_S
        if again := self.population.retry(now, one, status, retry_after):
            self.clock.call_at(again.at, self.take, again)

    # All of it

    def run(self) -> RunMetrics:
        for one in self.tier:
            one.start()
        self.troubles()
        self.ask(self.population.tries())
        self.clock.run(RUN_S + 3.0)
        got, asked = (sum(pair[i] for pair in self.sums.values()) for i in (1, 0))
        found = self.metrics
        found.service = got / asked
        found.worst = min(pair[1] / pair[0] for pair in self.windows.values())
        for way, name in (("proxy", "proxies"), ("receiver", "receivers")):
            asked_there, got_there = self.sums[way]
            setattr(found, name, got_there / asked_there if asked_there else 0.0)
        found.refused, found.away = self.refusals / self.tries, self.turned / self.sends
        found.attempts = self.sends / self.tries
        found.told = self.service.core.catalog.serial if self.service else 0
        return found


def server(change: Change, zones: tuple[str, ...], kinds: list[str]) -> api.Server:
    states = {"up": api.ServerState.UP, "draining": api.ServerState.DRAINING, "removed": api.ServerState.GONE}
    return api.Server(
        change.box, kinds.index(change.kind), 0, states[change.state], change.since, 1.0,
        zones.index(change.zone),
    )  # fmt: skip


class TierMember:
    """The common parts of a proxy and of the service: a place in the tier, a late list, an engine."""

    def __init__(self, world: World, me: int, count: int) -> None:
        self.world, self.me, self.name = world, me, f"proxy-{me}"
        zones = world.network.zones
        self.zone = zones[me % len(zones)]
        self.kinds = [kind.name for kind in world.boxes_as.kinds]
        boxes, load = world.boxes_as, world.load
        self.settings = api.Settings(
            me=me, proxies=count, tick=0.005, zone=me % len(zones), zones=len(zones), key_affinity=True,
            classes=(
                api.RequestClass(CLASS_NAME, load.aim_s, load.deadline_s, idempotency=api.Idempotency.SAFE),
            ),
            rules=api.Rules(0.02, 1.0, boxes.cold_share, boxes.warm_s, boxes.fall_multiple, boxes.fall_s),
            limits=api.Limits(
                3, cancel=True, hedging=True, peers=True, retry_after=True, max_retry_after=1.2
            ),
            tenants=tuple(
                api.Tenant(one.name, one.share, load.quota * one.share * load.rate)
                for one in load.communities
            ),
            over_quota_value=load.over_share_worth,
        )  # fmt: skip

    def send_datagram(self, peer: int | None, payload: bytes) -> None:
        for other in self.world.tier:
            if other is not self and peer in (None, other.me):
                late = self.world.links.datagram(self.world.clock.now, self.zone, other.zone)
                if late is not None:
                    message = api.PeerMessage(self.me, payload)
                    self.world.clock.call_at(self.world.clock.now + late, other.engine.dispatch, message)

    def refresh(self) -> None: ...

    def update(self, changes: list[Change], kind: api.ListKind) -> api.ServerList:
        zones = self.world.network.zones
        return api.ServerList(kind, self.version, tuple(server(one, zones, self.kinds) for one in changes))

    def first_list(self) -> api.ServerList:
        self.version, changes = self.world.registry.snapshot(self.name, self.world.clock.now)
        return self.update(changes, api.ListKind.COMPLETE)

    def listen(self) -> None:
        if changes := self.world.registry.due(self.name, self.world.clock.now):
            self.version = changes[-1].version
            self.on_server_list(self.update(changes, api.ListKind.INCREMENTAL))

    def on_server_list(self, update: api.ServerList) -> None:
        raise NotImplementedError


class ClientCallbacks:
    """The callbacks of a client's request at a proxy."""

    def __init__(self, world: World, one: Try) -> None:
        self.world, self.one = world, one

    def on_response(self, answer: Any) -> None:
        self.world.answer(self.one, 200)

    def on_rejected(self, retry_after: float) -> None:
        self.world.answer(self.one, 503, retry_after)

    def on_failed(self) -> None:
        self.world.answer(self.one, 502)

    on_bad_request = on_failed

    def on_response_started(self, answer: Any) -> None: ...

    on_response_finished = on_response_aborted = on_failed


class Proxy(TierMember):
    """A proxy with the real engine and decision module."""

    def __init__(self, world: World, me: int, count: int) -> None:
        super().__init__(world, me, count)
        clock = world.clock
        balancer = Balancer(self.settings, named(world.seed, self.name), clock.time())
        self.engine: Engine[Try, int] = Engine(self.settings, balancer, clock, self, self, self, clock.time)
        self.communities = [one.name for one in world.load.communities]

    def start(self) -> None:
        self.engine.start()
        self.on_server_list(self.first_list())

    def on_server_list(self, update: api.ServerList) -> None:
        self.engine.update_server_list(update)

    def ask(self, one: Try) -> None:
        flow: Flow[Try, int] = Flow(one, ClientCallbacks(self.world, one), one.deadline)
        self.engine.accept_request(
            flow,
            api.Request(
                -1, 0, 0.0, one.key, self.communities.index(one.community), one.hint_us / 1e6, one.marked
            ),
        )

    def forward(self, request: Try, target: str, exchange: Exchange[int]) -> Attempt:
        def done(ending: Termination) -> None:
            exchange.on_ended(ending, 200 if ending is Termination.SERVED else None)

        exchange.on_request_sent()
        return self.world.send(request, target, self.zone, done)

    def probe(self, target: str, exchange: Exchange[int]) -> Any: ...

    def close_idle(self, target: str) -> None: ...


class ServicePlace(TierMember):
    """One of the service's places in the tier."""

    engine: Engine[Any, Any]
    service: Service

    def start(self) -> None:
        if self.engine is self.service.core.engine:
            self.service.begin(self)

    def on_server_list(self, update: api.ServerList) -> None:
        self.service.on_server_list(update)

    def listen(self) -> None:
        if self.engine is self.service.core.engine:  # the service takes the list once
            super().listen()


class Service:
    """The control service's core, with streams that carry bytes."""

    def __init__(self, world: World, me: int, count: int) -> None:
        self.world = world
        clock = world.clock
        self.places = [ServicePlace(world, me + n, count) for n in range(world.counts_as)]
        control_settings = ControlSettings(service=SERVICE_NAME, report_s=REPORT_S, counts_as=world.counts_as)
        self.core = Core(
            [place.settings for place in self.places], control_settings, named(world.seed, "service"),
            world.network.zones, clock, self.places, self, self, clock.time,
        )  # fmt: skip
        for place, engine in zip(self.places, self.core.engines, strict=True):
            place.engine, place.service = engine, self
        self.writer = stream_codec.Writer(SERVICE_NAME)
        self.receivers_on_stream: list[XdsReceiver] = []
        self.drained: dict[str, float] = {}

    def begin(self, place: ServicePlace) -> None:
        self.core.start()
        self.on_server_list(place.first_list())

    def refresh(self) -> None: ...

    def on_server_list(self, update: api.ServerList) -> None:
        for one in update.servers:
            up = one.state is not api.ServerState.GONE
            self.core.set_backend_address(one.id, ("127.0.0.1", self.world.ports[one.id]) if up else None, up)
            if one.state is not api.ServerState.UP:
                self.drained.setdefault(one.id, self.world.clock.now)
        self.core.on_server_list(update)

    def on_published(self, zones: list[int]) -> None:
        for receiver in self.receivers_on_stream:
            if receiver.group in zones:
                self.write(receiver)

    def write(self, receiver: XdsReceiver) -> None:
        while (snapshot := self.core.snapshot(receiver.group)) and (
            response := receiver.stream.next_response(snapshot)
        ):
            data = self.writer.write(response, receiver.stream.delta)
            self.world.clock.call_at(self.world.clock.now + LINK_LATENCY_S, receiver.hear, data)

    def read(self, receiver: XdsReceiver, data: bytes) -> None:
        form: Any = discovery_pb2.DeltaDiscoveryRequest
        if not receiver.stream.delta:
            form = discovery_pb2.DiscoveryRequest
        stream_codec.apply_request(receiver.stream, form.FromString(data))
        self.write(receiver)

    def report(self, receiver: XdsReceiver, data: bytes) -> None:
        request = lrs_pb2.LoadStatsRequest.FromString(data)
        self.core.on_report(
            receiver.name, *stream_codec.read_reports(request, SERVICE_NAME, self.core.names, dict)
        )


class EmulatedReceiver:
    """A receiver: one attempt at a time, retried as its route allows."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.dice = Random(f"follower/{world.seed}/{name}")

    def way(self, key: str, tried: set[str]) -> tuple[str, int] | None:
        """A backend and the most attempts in total; None: the request is dropped."""
        raise NotImplementedError

    def ask(self, one: Try) -> None:
        self.attempt(one, 1, set())

    def attempt(self, one: Try, number: int, tried: set[str]) -> None:
        now, world = self.world.clock.now, self.world
        found = self.way(one.key, tried)
        if now >= one.deadline or found is None:
            self.again(-(number > 1))
            world.answer(one, 503)
            return
        box, most = found
        tried.add(box)
        self.count(box)
        timer: Any = None

        def over(well: bool = False) -> None:
            self.ended(box, well)
            self.again(-(number > 1))

        def done(ending: Termination) -> None:
            if timer:
                timer.cancel()
            over(ending is Termination.SERVED)
            if ending is Termination.SERVED:
                world.answer(one, 200)
            elif number < most and self.may_retry():
                bound = min(RETRY_BACKOFF_MAX_S, RETRY_BACKOFF_MIN_S * 2 ** (number - 1))
                span = self.dice.uniform(0.0, bound)
                self.again(1)
                world.clock.call_at(world.clock.now + span, self.attempt, one, number + 1, tried)
            else:
                world.answer(one, 503 if ending is Termination.REJECTED else 502)

        attempt = world.send(one, box, self.zone, done)

        def late() -> None:
            attempt.cancel()
            over()
            world.answer(one, 504)

        timer = world.clock.call_at(one.deadline, late)

    def may_retry(self) -> bool:
        return True

    def again(self, more: int) -> None:
        """So many more retries are in flight."""

    def count(self, box: str) -> None: ...

    def ended(self, box: str, well: bool) -> None: ...


class RoundRobin(EmulatedReceiver):
    """Uses its own late list, round robin."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        super().__init__(world, name, zone)
        _, changes = world.registry.snapshot(name, 0.0)
        self.up = [one.box for one in changes if one.state == "up"]
        self.next = self.dice.randrange(len(self.up))

    def listen(self) -> None:
        for one in self.world.registry.due(self.name, self.world.clock.now):
            if one.state == "up" and one.box not in self.up:
                self.up.append(one.box)
            elif one.state != "up" and one.box in self.up:
                self.up.remove(one.box)

    def way(self, key: str, tried: set[str]) -> tuple[str, int] | None:
        self.next += 1
        return (self.up[self.next % len(self.up)], MAX_ATTEMPTS) if self.up else None


class XdsReceiver(EmulatedReceiver):
    """Uses the assignments of the control service."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        super().__init__(world, name, zone)
        assert world.service
        self.service, delta = world.service, mix(named(world.seed, name)) & 1 == 1
        self.receiver, self.stream = Receiver(name, zone, delta=delta, seed=world.seed), Stream(delta)
        self.group = self.service.core.catalog.zone_of(zone)
        self.service.receivers_on_stream.append(self)
        self.service.core.registry.connect(name, self.group, 0.0)
        world.clock.call_at(0.1, self.speak)
        world.clock.call_at(REPORT_S * (1.0 + self.dice.random()), self.report, 0.0)

    def speak(self) -> None:
        for data in self.receiver.requests():
            self.world.clock.call_at(self.world.clock.now + LINK_LATENCY_S, self.service.read, self, data)

    def hear(self, data: bytes) -> None:
        self.receiver.hear(data)
        self.speak()

    def report(self, last: float) -> None:
        now = self.world.clock.now
        data = self.receiver.report(SERVICE_NAME, now - last)
        self.world.clock.call_at(now + LINK_LATENCY_S, self.service.report, self, data)
        self.world.clock.call_at(now + REPORT_S, self.report, now)

    def way(self, key: str, tried: set[str]) -> tuple[str, int] | None:
        for again in range(4):  # as `host_selection_retry_max_attempts` says
            found = self.receiver.way(f"/{CLASS_NAME}/x", f"{key}{again or ''}")
            if not isinstance(found, Way):
                return None
            box = self.world.by_port(found.address[1])
            if box not in tried:
                break
        drained = self.service.drained.get(box)
        if drained is not None and self.world.clock.now > drained + DRAIN_GRACE_S:
            self.world.metrics.late += 1
        return box, found.retries + 1

    def may_retry(self) -> bool:
        return self.receiver.may_retry(SERVICE_NAME)

    def again(self, more: int) -> None:
        self.receiver.again += more

    def count(self, box: str) -> None:
        self.receiver.sent(("127.0.0.1", self.world.ports[box]))

    def ended(self, box: str, well: bool) -> None:
        self.receiver.ended(("127.0.0.1", self.world.ports[box]), well)


def play(given: tuple[str, str, int, float, int]) -> RunMetrics:
    return World(*given).run()


def main() -> None:
    form = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=form)
    parser.add_argument("--case", choices=CASES, action="append")
    parser.add_argument("--mode", choices=MODES, action="append")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--since", type=int, default=1, help="the first seed")
    parser.add_argument("--rate", type=float, default=500.0)
    parser.add_argument("--counts-as", type=int, default=3, help="places of the service in the tier")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--json", default="")
    args = parser.parse_args()
    cases, modes = args.case or CASES, args.mode or MODES
    seeds = range(args.since, args.since + args.seeds)
    rest = args.rate, args.counts_as
    runs = [(case, mode, seed, *rest) for case in cases for mode in modes for seed in seeds]
    with multiprocessing.Pool(args.jobs) as pool:
        found = dict(zip(runs, pool.map(play, runs, 1), strict=True))
    names = ("service", "worst", "proxies", "receivers", "refused", "attempts", "away", "fell", "late")
    names += ("told",)
    head = "".join(f"{name:>10}" for name in names)
    print(f"{'case':12} {'mode':18}{head}   (means; service: range)")
    rows = []
    for case in cases:
        for mode in modes:
            some = [one for key, one in found.items() if key[:2] == (case, mode)]
            means = {name: statistics.mean(getattr(one, name) for one in some) for name in names}
            low, high = min(one.service for one in some), max(one.service for one in some)
            rows.append({"case": case, "mode": mode, **means, "low": low, "high": high})
            print(
                f"{case:12} {mode:18}" + "".join(f"{means[name]:10.3f}" for name in names)
                + f"   {low:.3f} to {high:.3f}"
            )  # fmt: skip
            sys.stdout.flush()
    if args.json:
        with open(args.json, "w") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    main()
