"""One router: assembles the cluster agent, client listener, engine, placement and upstream connections."""

from __future__ import annotations

import asyncio
import gc
import random
from collections.abc import Callable

from msgspec import Struct
from msgspec.structs import asdict

from firvane.core import interface as api
from firvane.core.address import Address
from firvane.core.body_leases import BodyLeases
from firvane.core.engine import Engine
from firvane.core.logs import Log
from firvane.core.loop_delay import LoopDelays
from firvane.core.net.dialer import SocketDialer
from firvane.core.net.http_message import Message
from firvane.core.net.transport_pool import TransportPool
from firvane.fleet.cluster.agent import Channel, ClusterAgent, Item, Member, Role
from firvane.fleet.cluster.reports import encode_members
from firvane.fleet.configuration.item import read_item
from firvane.fleet.configuration.routes import Configuration, RouteTable
from firvane.fleet.discovery.codec import decode_instances
from firvane.fleet.placement.balancer import PromptBalancer
from firvane.fleet.placement.events import ServiceInfo, StreamProgress
from firvane.fleet.router.admission import Admission
from firvane.fleet.router.backends import Backends
from firvane.fleet.router.client_listener import ClientListener
from firvane.fleet.router.members_endpoint import MembersEndpoint
from firvane.fleet.router.peers import RouterPeers, peer_number
from firvane.fleet.router.readiness import ReadinessConnection
from firvane.fleet.router.requests import ProxiedRequest
from firvane.fleet.router.upstream import Upstreams

CONFIGURATION_KEY = b"configuration"
INSTANCES_PREFIX = b"instances/"
LISTEN_BACKLOG = 1024  # maximum number of connections that wait to be accepted
MAX_ATTEMPTS = 16  # per request, including attempts that reached no backend
MAX_OPEN_REQUESTS = 4096
MIB = 1024 * 1024
LONG_BODIES_RATIO = 0.4  # part of the memory available to all long bodies together
RESERVED_DESCRIPTORS = 600  # not used upstream; for further clients, cluster links and files
MIN_UPSTREAM_CONNECTIONS = 64
SWEEP_INTERVAL_S = 0.05
IDLE_SWEEP_INTERVAL = 10  # idle connections are checked in every tenth sweep
METRICS_INTERVAL_S = 5.0
DRAIN_MARGIN_S = 0.8  # all responses must be complete this long before the end of the grace period
DRAIN_POLL_INTERVAL_S = 0.05


class RouterSettings(Struct, frozen=True, kw_only=True):
    """Settings of one router; times are in seconds.

    Attributes:
        internal: Listening address for the other processes of the fleet.
        client_address: Listening address for clients.
        readiness_address: Listening address of the readiness endpoint and the members endpoint.
        seeds: Internal addresses of controllers, for joining the cluster.
        zone: Zone of this router.
        zones: All zones.
        incarnation: Number that increases with each start.
        file_descriptors: Maximum number of file descriptors.
        memory_mb: Maximum memory, in MiB.
        grace: Time from SIGTERM to the end of the process.
        retry_ratio: Maximum number of retries per request, over all routers.
        retry_slack: Additional retries in any window of the retry budget, over all routers.
        revoke: Time within which a removed key must be rejected; 0 disables freshness proofs.
    """

    internal: Address
    client_address: Address
    readiness_address: Address
    seeds: tuple[Address, ...]
    zone: str
    zones: tuple[str, ...]
    incarnation: int
    file_descriptors: int
    memory_mb: float
    grace: float
    retry_ratio: float
    retry_slack: float
    revoke: float = 0.0

    @property
    def seed(self) -> int:
        """Seed of the random number generators, which differs between starts."""
        return random.Random(self.incarnation).getrandbits(32)


class NoDirectory:
    """Empty implementation of the engine's directory: the cluster agent delivers the lists of backends."""

    def refresh(self) -> None:
        """Do nothing."""


def cyclic_garbage_total() -> int:
    """Return the number of objects freed by the garbage collector since the start of the process."""
    return sum(generation["collected"] for generation in gc.get_stats())


def engine_settings(number: int) -> api.Settings:
    """Return the engine's settings for a router's peer number; limits of requests are set by their routes."""
    prompts = api.RequestClass("prompt", latency_target=1.0, deadline=3600.0)
    rules = api.Rules(
        0.02, drain_grace=0.0, start_capacity=1.0, slow_start=0.0, fall_multiple=1.0, fall_window=1.0
    )
    limits = api.Limits(
        max_attempts=MAX_ATTEMPTS,
        cancel=True,
        peers=True,
        retry_after=True,
        max_open_requests=MAX_OPEN_REQUESTS,
    )
    return api.Settings(
        me=number, proxies=1, tick=0.001, classes=(prompts,), rules=rules, limits=limits, key_affinity=True
    )


class Router:
    """One router. `start` returns once it accepts connections; `drain` stops it gracefully.

    Attributes:
        configuration: The active configuration; None before the first.
        sweeps: Number of sweeps since the start.
        delays: Histogram of the delays of the sweeps.
        sweep_due: Loop time of the next sweep; 0 before the first.
        servers: All servers, each with its listening sockets.
        client_server: The server for clients; set by `start`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: RouterSettings, log: Log) -> None:
        self.loop, self.settings, self.log = loop, settings, log
        self.listener = ClientListener(loop, log)
        self.transports = TransportPool(loop)
        max_upstream = max(MIN_UPSTREAM_CONNECTIONS, settings.file_descriptors // 2 - RESERVED_DESCRIPTORS)
        self.upstreams = Upstreams(
            loop, SocketDialer(loop, self.transports), max_upstream, self.listener.turns
        )
        self.agent = self._make_agent()
        self.admission = self._make_admission()
        self.listener.admission = self.admission
        self.listener.leases = BodyLeases(int(settings.memory_mb * MIB * LONG_BODIES_RATIO))
        self.peers = RouterPeers(settings.internal, settings.zones, self._send_row)
        self.balancer = self._make_balancer()
        self.engine = self._make_engine()
        self.listener.engine = self.engine
        self.upstreams.on_progress = self._on_progress
        self.upstreams.may_resume = self._may_resume
        self.backends = Backends(self.upstreams, self.engine)
        self.members_endpoint = MembersEndpoint(loop, self._members_report)
        self.configuration: Configuration | None = None
        self.sweeps = 0
        self.delays = LoopDelays()
        self.sweep_due = 0.0
        self.servers: list[asyncio.Server] = []
        self.client_server: asyncio.Server

    def _make_agent(self) -> ClusterAgent:
        settings = self.settings
        return ClusterAgent(
            self.loop,
            Member(settings.internal, Role.ROUTER, settings.zone, None, settings.incarnation),
            settings.seeds,
            self.log,
            on_item=self._on_item,
            on_members=self._on_members,
            on_message=self._on_message,
        )

    def _make_admission(self) -> Admission:
        return Admission(
            self.loop,
            self.settings.internal,
            self.settings.zone,
            self.settings.revoke,
            random.Random(self.settings.seed),
            self.agent.members,
            lambda to, payload: self.agent.send(to, Channel.TENANCY, payload),
            self.log,
        )

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
        """Join the cluster, and start the servers for clients and health checks."""
        self.transports.start()
        await self.agent.start()
        self.client_server = await self.listener.listen(self.settings.client_address, LISTEN_BACKLOG)
        self.servers.append(self.client_server)
        await self._listen(self.settings.readiness_address, self._accept_readiness)
        self._on_members()
        self.engine.start()
        self._sweep()
        self.loop.call_later(METRICS_INTERVAL_S, self._report)
        host, port = self.settings.client_address
        self.log.info("router_listening", client_address=f"{host}:{port}")

    async def _listen(self, address: Address, factory: Callable[[], asyncio.BaseProtocol]) -> asyncio.Server:
        server = await self.loop.create_server(
            factory, address[0], address[1], backlog=LISTEN_BACKLOG, reuse_address=True
        )
        self.servers.append(server)
        return server

    def _accept_readiness(self) -> ReadinessConnection:
        return ReadinessConnection(self.is_ready, self.members_endpoint)

    def _members_report(self) -> bytes:
        """Return the fleet's members as known to this router, for operators."""
        published = self.agent.item(CONFIGURATION_KEY)
        return encode_members(
            self.settings.internal, published.version if published else 0, self.agent.known_members()
        )

    def is_ready(self) -> bool:
        """Return whether the platform should send new connections to this router."""
        if self.listener.drain.has_started or self.configuration is None:
            return False
        return self.backends.any_ready() and self.admission.is_ready()

    # Callbacks of the cluster agent and the upstream connections

    def _on_item(self, item: Item) -> None:
        try:
            if item.key == CONFIGURATION_KEY:
                self._configure(read_item(item.payload))
            elif item.key.startswith(INSTANCES_PREFIX):
                service = item.key[len(INSTANCES_PREFIX) :].decode()
                self.backends.update(service, decode_instances(item.payload))
        except ValueError as error:
            self.log.error("router_item_unreadable", key=repr(item.key), reason=str(error))

    def _configure(self, configuration: Configuration) -> None:
        if self.configuration and configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        self.agent.set_applied_version(configuration.version)
        self.admission.configure(configuration)
        self.listener.configure(RouteTable(configuration), configuration.limits)
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
        self.log.info(
            "configuration_applied", version=configuration.version, routes=len(configuration.routes)
        )

    def _on_members(self) -> None:
        routers = self.agent.members(Role.ROUTER)
        self.engine.dispatch(self.peers.update(routers))

    def _on_message(self, sender: Address, channel: Channel, payload: bytes) -> None:
        if channel is Channel.ROWS:
            self.engine.dispatch(api.PeerMessage(peer_number(sender), payload))
        elif channel is Channel.TENANCY:
            self.admission.receive(sender, payload)

    def _on_progress(self, backend: str) -> None:
        self.engine.dispatch(StreamProgress(backend))

    def _may_resume(self, request: ProxiedRequest) -> bool:
        return self.balancer.may_continue(request.flow_id, self.loop.time())

    def _send_row(self, address: Address, payload: bytes) -> None:
        self.agent.send(address, Channel.ROWS, payload)

    # Timers

    def _sweep(self) -> None:
        now = self.loop.time()
        if self.sweep_due and self.delays.record(max(0.0, now - self.sweep_due)):
            self._log_loop_delay(now - self.sweep_due)
        self.sweeps += 1
        self.admission.tick()
        if self.sweeps % IDLE_SWEEP_INTERVAL == 0 or self.upstreams.streams:
            self.upstreams.sweep(now)
        if self.sweeps % IDLE_SWEEP_INTERVAL == 0:
            self.listener.sweep(now)
        self.sweep_due = self.loop.time() + SWEEP_INTERVAL_S
        self.loop.call_at(self.sweep_due, self._sweep)

    def _log_loop_delay(self, delay: float) -> None:
        self.log.warning(
            "loop_held",
            delay_ms=round(1000 * delay),
            waiting_connections=self.listener.turns.waiting,
            streams=len(self.upstreams.streams),
            open_requests=self.engine.unanswered,
        )

    def _report(self) -> None:
        counters = self.engine.event_counts
        fields = {name.replace(" ", "_").replace(",", ""): count for name, count in sorted(counters.items())}
        self.log.info(
            "router_metrics",
            client_connections=len(self.listener.connections),
            open_requests=self.engine.unanswered,
            upstream_connections=self.upstreams.connections,
            upstream_dials=self.upstreams.dials,
            responses_cut_off=self.upstreams.responses_cut_off,
            long_body_bytes=self.listener.leases.total - self.listener.leases.free,
            long_bodies_waiting=len(self.listener.leases.queue),
            cyclic_garbage=cyclic_garbage_total(),
            waiting_connections=self.listener.turns.waiting,
            **self.delays.take(),
            **fields,
        )
        counters.clear()
        self._report_admission()
        self._report_budgets()
        self.loop.call_later(METRICS_INTERVAL_S, self._report)

    def _report_admission(self) -> None:
        self.admission.evict_idle()
        rejections = self.admission.take_rejections()
        if any(rejections.values()):
            self.log.info("admission_rejections", **rejections)

    def _report_budgets(self) -> None:
        for name, metrics in self.balancer.take_budget_metrics(self.loop.time()).items():
            if not metrics.retries and not metrics.denied:
                continue
            self.log.info(
                "retry_budget_metrics",
                service=name,
                requests=metrics.requests,
                retries=metrics.retries,
                denied=metrics.denied,
                tokens=round(metrics.tokens, 1),
                capacity=round(metrics.capacity, 1),
            )

    # Draining

    async def drain(self) -> None:
        """Finish open requests and those that still arrive, then close the servers and leave the cluster."""
        started_at, drain = self.loop.time(), self.listener.drain
        drain.start(started_at, started_at + self.settings.grace - DRAIN_MARGIN_S)
        self.engine.shorten_deadlines(drain.deadline)
        self.log.info("router_draining", open_requests=self.engine.unanswered)
        await asyncio.sleep(drain.accept_until - started_at)
        self.client_server.close()
        self.listener.close_idle()
        while self.loop.time() < drain.deadline + DRAIN_POLL_INTERVAL_S and self.listener.connections:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            self.listener.close_idle()
        for server in self.servers:
            server.close()
        self.agent.close()
        self.log.info("router_stopped", open_requests=self.engine.unanswered, **asdict(drain.metrics))
