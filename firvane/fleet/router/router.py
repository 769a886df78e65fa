"""One router, wired: cluster agent, front, engine, decisions, upstream connections, and its end in order."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from msgspec.structs import asdict

from firvane.core import interface as api
from firvane.core.address import Address
from firvane.core.engine import Engine
from firvane.core.logs import Log
from firvane.core.net.dialer import SocketDialer
from firvane.core.net.http import Message
from firvane.core.net.transport_pool import TransportPool
from firvane.fleet.cluster.agent import Channel, ClusterAgent, Item, Member, Role
from firvane.fleet.cluster.reports import encode_members
from firvane.fleet.configuration.item import read_item
from firvane.fleet.configuration.routes import Configuration, RouteTable
from firvane.fleet.discovery.codec import decode_instances
from firvane.fleet.placement.balancer import PromptBalancer
from firvane.fleet.placement.events import Progress, ServiceInfo
from firvane.fleet.router.admission import Admission
from firvane.fleet.router.backends import Backends
from firvane.fleet.router.front import Front
from firvane.fleet.router.members_call import MembersCall
from firvane.fleet.router.peers import Peers, peer_number
from firvane.fleet.router.readiness import ReadinessConnection
from firvane.fleet.router.requests import ProxiedRequest
from firvane.fleet.router.upstream import Upstreams

CONFIGURATION_KEY = b"configuration"
INSTANCES_PREFIX = b"instances/"
BACKLOG = 1024  # connections that wait to be accepted
MAX_ATTEMPTS = 16  # forwards of one request, those that reached no backend included
MAX_OPEN = 4096  # requests open at once
RESERVED_DESCRIPTORS = 600  # for clients' connections beyond half, own links, files
SWEEP_INTERVAL = 0.05  # s between looks at silent streams
SLOW_SWEEPS = 10  # sweeps between looks at idle connections
FIGURES_INTERVAL = 5.0  # s between lines of figures in the log
END_MARGIN = 0.8  # s before the end of the grace by which all answers are out
LAST_LOOK = 0.05  # s between looks for what is still open at the end


class Router:
    """All parts of one router. `start` returns once it listens; `drain` ends it in order."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: RouterSettings,
        log: Log,
    ) -> None:
        self.loop, self.settings, self.log = loop, settings, log
        self.front = Front(loop, log)
        self.transports = TransportPool(loop)
        most = max(64, settings.file_descriptors // 2 - RESERVED_DESCRIPTORS)
        self.upstreams = Upstreams(loop, SocketDialer(loop, self.transports), most)
        identity = Member(settings.internal, Role.ROUTER, settings.zone, None, settings.incarnation)
        self.agent = ClusterAgent(
            loop,
            identity,
            settings.seeds,
            log,
            on_item=self._on_item,
            on_members=self._on_members,
            on_message=self._on_message,
        )
        self.admission = Admission(
            loop,
            settings.internal,
            settings.zone,
            settings.revoke,
            random.Random(settings.seed),
            self.agent.members,
            lambda to, payload: self.agent.send(to, Channel.TENANCY, payload),
            log,
        )
        self.front.admission = self.admission
        self.peers = Peers(settings.internal, settings.zones, self._send_row)
        self.balancer = self._make_balancer()
        self.engine = self._make_engine()
        self.front.engine = self.engine
        self.upstreams.on_progress = self._on_progress
        self.upstreams.may_continue = self._may_continue
        self.backends = Backends(self.upstreams, self.engine)
        self.members_call = MembersCall(loop, self._members_report)
        self.configuration: Configuration | None = None
        self.sweeps = 0
        self.servers: list[asyncio.Server] = []
        self.front_server: asyncio.Server  # set by `start`

    def _make_balancer(self) -> PromptBalancer:
        return PromptBalancer(
            engine_settings(peer_number(self.settings.internal)),
            self.settings.seed,
            self.loop.time(),
            retry_ratio=self.settings.retry_ratio,
            retry_slack=self.settings.retry_slack,
            zone=self.settings.zone,
        )

    def _make_engine(self) -> Engine[ProxiedRequest, Message]:
        return Engine(
            self.balancer.settings,
            self.balancer,
            self.loop,
            self.upstreams,
            self.peers,
            NoDirectory(),
            wall=self.loop.time,
            log=self.log,
        )

    async def start(self) -> None:
        self.transports.start()
        await self.agent.start()
        self.front_server = await self._listen(self.settings.front, self.front.accept)
        await self._listen(self.settings.readiness, self._accept_question)
        self._on_members()
        self.engine.start()
        self._sweep()
        self.loop.call_later(FIGURES_INTERVAL, self._report)
        self.log.info("router: listens.", front=f"{self.settings.front[0]}:{self.settings.front[1]}")

    async def _listen(self, address: Address, factory: Callable[[], asyncio.BaseProtocol]) -> asyncio.Server:
        server = await self.loop.create_server(
            factory, address[0], address[1], backlog=BACKLOG, reuse_address=True
        )
        self.servers.append(server)
        return server

    def _accept_question(self) -> ReadinessConnection:
        return ReadinessConnection(self.is_ready, self.members_call)

    def _members_report(self) -> bytes:
        """What this router knows of the fleet, for operators."""
        published = self.agent.item(CONFIGURATION_KEY)
        return encode_members(
            self.settings.internal, published.version if published else 0, self.agent.known_members()
        )

    def is_ready(self) -> bool:
        """Whether the platform should send new connections here."""
        if self.front.drain.has_begun or self.configuration is None:
            return False
        return self.backends.any_ready() and self.admission.is_able()

    # The cluster's side

    def _on_item(self, item: Item) -> None:
        try:
            if item.key == CONFIGURATION_KEY:
                self._configure(read_item(item.payload))
            elif item.key.startswith(INSTANCES_PREFIX):
                service = item.key[len(INSTANCES_PREFIX) :].decode()
                self.backends.learn(service, decode_instances(item.payload))
        except ValueError as error:
            self.log.error("router: item unreadable.", key=repr(item.key), why=str(error))

    def _configure(self, configuration: Configuration) -> None:
        if self.configuration and configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        self.agent.set_applied_version(configuration.version)
        self.admission.configure(configuration)
        self.front.configure(RouteTable(configuration), configuration.limits)
        for service in configuration.services.values():
            engine = service.engine
            self.engine.dispatch(
                ServiceInfo(
                    service.name,
                    engine.slots if engine else 0,
                    engine.cache_tokens if engine else 0,
                    engine.stride if engine else 1,
                    service.connection_limit,
                )
            )
        self.log.info("config: in force.", version=configuration.version, routes=len(configuration.routes))

    def _on_members(self) -> None:
        routers = self.agent.members(Role.ROUTER)
        self.engine.dispatch(self.peers.update(routers))

    def _on_message(self, sender: Address, channel: Channel, payload: bytes) -> None:
        if channel is Channel.ROWS:
            self.engine.dispatch(api.PeerMessage(peer_number(sender), payload))
        elif channel is Channel.TENANCY:
            self.admission.receive(sender, payload)

    def _on_progress(self, backend: str) -> None:
        self.engine.dispatch(Progress(backend))

    def _may_continue(self, request: ProxiedRequest) -> bool:
        return self.balancer.may_continue(request.flow_id, self.loop.time())

    def _send_row(self, address: Address, payload: bytes) -> None:
        self.agent.send(address, Channel.ROWS, payload)

    # Timers

    def _sweep(self) -> None:
        now = self.loop.time()
        self.sweeps += 1
        self.admission.tick()
        if self.sweeps % SLOW_SWEEPS == 0 or self.upstreams.streams:
            self.upstreams.sweep(now)
        if self.sweeps % SLOW_SWEEPS == 0:
            self.front.sweep(now)
        self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    def _report(self) -> None:
        endings = self.engine.event_counts
        counted = {name.replace(" ", "_").replace(",", ""): count for name, count in sorted(endings.items())}
        self.log.info(
            "router: figures.",
            clients=len(self.front.connections),
            open=self.engine.unanswered,
            upstream=self.upstreams.connections,
            dials=self.upstreams.dials,
            **counted,
        )
        endings.clear()
        self._report_admission()
        self._report_budgets()
        self.loop.call_later(FIGURES_INTERVAL, self._report)

    def _report_admission(self) -> None:
        self.admission.forget_idle()
        counts = self.admission.take_counts()
        if any(counts.values()):
            self.log.info("tenancy: turned away.", **counts)

    def _report_budgets(self) -> None:
        for name, figures in self.balancer.take_budget_figures(self.loop.time()).items():
            if not figures.repeats and not figures.denied:
                continue
            self.log.info(
                "retries: budget.",
                service=name,
                requests=figures.requests,
                repeats=figures.repeats,
                denied=figures.denied,
                tokens=round(figures.tokens, 1),
                capacity=round(figures.capacity, 1),
            )

    # The end

    async def drain(self) -> None:
        """Take no new work beyond what still comes, finish what is here, and leave the cluster."""
        began, drain = self.loop.time(), self.front.drain
        drain.begin(began, began + self.settings.grace - END_MARGIN)
        self.engine.shorten_deadlines(drain.end_by)
        self.log.info("router: drains.", open=self.engine.unanswered)
        await asyncio.sleep(drain.take_until - began)
        self.front_server.close()
        self.front.close_idle()
        while self.loop.time() < drain.end_by + LAST_LOOK and self.front.connections:
            await asyncio.sleep(LAST_LOOK)
            self.front.close_idle()
        for server in self.servers:
            server.close()
        self.agent.close()
        self.log.info("router: ends.", open=self.engine.unanswered, **asdict(drain.figures))


class RouterSettings:
    """What a router is told by its settings file, in seconds and internal addresses."""

    def __init__(
        self,
        *,
        internal: Address,
        front: Address,
        readiness: Address,
        seeds: tuple[Address, ...],
        zone: str,
        zones: tuple[str, ...],
        incarnation: int,
        file_descriptors: int,
        grace: float,
        retry_ratio: float,
        retry_slack: float,
        revoke: float = 0.0,
    ) -> None:
        """`revoke`: seconds within which a removed key must be refused; 0 where nothing has to prove it."""
        self.internal, self.front, self.readiness, self.seeds = internal, front, readiness, seeds
        self.zone, self.zones, self.incarnation = zone, zones, incarnation
        self.file_descriptors, self.grace = file_descriptors, grace
        self.retry_ratio, self.retry_slack, self.revoke = retry_ratio, retry_slack, revoke
        self.seed = random.Random(incarnation).getrandbits(32)


class NoDirectory:
    """Lists of backends come by dissemination: there is nobody to ask."""

    def refresh(self) -> None: ...


def engine_settings(number: int) -> api.Settings:
    """The engine's settings in the fleet: limits of single requests come with their routes."""
    anything = api.RequestClass("prompt", latency_target=1.0, deadline=3600.0)
    rules = api.Rules(
        0.02, drain_grace=0.0, start_capacity=1.0, slow_start=0.0, fall_multiple=1.0, fall_window=1.0
    )
    limits = api.Limits(
        max_attempts=MAX_ATTEMPTS, cancel=True, peers=True, retry_after=True, max_open_requests=MAX_OPEN
    )
    return api.Settings(
        me=number, proxies=1, tick=0.001, classes=(anything,), rules=rules, limits=limits, key_affinity=True
    )
