"""The parts of a proxy and how they are connected."""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from firvane import __version__
from firvane.core import interface as api
from firvane.core import logs
from firvane.core.engine import Engine
from firvane.core.net.dialer import Dialer, SocketDialer
from firvane.core.net.http_message import Message
from firvane.core.net.transport_pool import TransportPool
from firvane.proxy.admin_api.calls import AdminCall
from firvane.proxy.admin_api.lifecycle import Lifecycle
from firvane.proxy.admin_api.metrics import Figures, ReloadCounts
from firvane.proxy.admin_api.server import ADMIN_DESCRIPTORS, AdminServer
from firvane.proxy.balancer import Balancer
from firvane.proxy.capacity.excluded_servers import skipped
from firvane.proxy.config.node import Config
from firvane.proxy.extensions import POLICY_DESCRIPTORS, PolicyAgreement, SnapshotStore
from firvane.proxy.limits.discovery_timing import DiscoveryBackoff
from firvane.proxy.limits.memory_account import MemoryUse
from firvane.proxy.limits.memory_costs import BACKEND_BYTES, MB
from firvane.proxy.metrics import ErrorCountingLog, ProxyMeasurements, ResourceUse
from firvane.proxy.net.connection_limiter import ConnectionLimiter
from firvane.proxy.net.endpoint_list import EndpointListReader
from firvane.proxy.net.listening_socket import (
    Acceptor,
    LoopAcceptor,
    SocketAcceptor,
    adopt_listening_socket,
)
from firvane.proxy.net.peer_datagrams import PeerDatagrams
from firvane.proxy.net.resource_monitor import ProcessUsage, ResourceMonitor, Usage
from firvane.proxy.net.target_group import TargetGroup
from firvane.proxy.net.upstream_pool import UpstreamPools

OPEN_DESCRIPTORS = Path("/proc/self/fd")


class ProxyParts:
    """The parts of a proxy, which its start, reload and shutdown work on.

    Attributes:
        limiter: The client connections.
        upstream_pools: The connections to targets.
        target_group: The endpoint list.
        monitor: The use of resources.
        engine: Runs the decisions of `balancer`.
        lifecycle: The state that operators and health checks see.
        classes: The numbers of the request classes that clients may name.
        settings_changed_at: Loop time in s of the last change of the settings.
        drain_started_at: Loop time in s at which operators last asked for a drain.
        reported_rejections: Requests rejected unparsed, and for want of a turn, as of the last report.
        table_bytes: Bytes charged for the list and the estimates of each target.
        is_virtual: It runs in virtual time, with others in one process.
        start_task: The task that is starting the proxy.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        *,
        wall: Callable[[], float],
        dialer: Dialer | None,
        usage: Callable[[], Usage] | None,
        log: logs.Log | None,
        snapshot_store: Callable[[logs.Log], SnapshotStore] | None,
        has_policy: bool,
    ) -> None:
        """Make the parts (see `Proxy`); `has_policy` reserves descriptors for the agreement on one."""
        log = log or logs.make(config.log_level, config.log_format, wall=wall)
        errors = ErrorCountingLog(log) if config.measures else None
        self.log: logs.Log = (errors or log).bind(proxy=config.name)
        self.loop, self.config, self.wall = loop, config, wall
        self.is_virtual = dialer is not None
        self.transports = TransportPool(loop)
        self.dialer = dialer or SocketDialer(loop, self.transports)
        reserved = (ADMIN_DESCRIPTORS if config.ops else 0) + (POLICY_DESCRIPTORS if has_policy else 0)
        self.monitor = ResourceMonitor(
            loop,
            config.settings,
            cores=config.cores,
            memory_mb=config.memory_mb,
            sockets=config.sockets - reserved,
            usage=usage or ProcessUsage(),
            log=self.log,
        )
        self.settings_changed_at = 0.0
        self.drain_started_at = 0.0
        self.classes = tuple(range(len(config.settings.classes)))
        self.reported_rejections = 0, 0
        self.table_bytes = 0
        self.lifecycle, self.reload_counts = Lifecycle(), ReloadCounts()
        self.start_task: asyncio.Task[Any] | None = None
        self.policy_agreement: PolicyAgreement | None = None
        self._make_upstream(config)
        self._make_engine(config)
        self._make_client_side(config, errors)
        self.snapshot_store = snapshot_store(self.log) if snapshot_store else None
        if self.snapshot_store:
            self.target_group.addresses = {}
        self.admin_server, self.admin_transports = AdminServer(loop, self._answer), TransportPool(loop)
        self.admin_acceptor: Acceptor = (
            LoopAcceptor(loop) if dialer else SocketAcceptor(loop, self.admin_transports, self.log)
        )

    def _answer(self, asked: AdminCall) -> bytes:
        """The response to an operators' call."""
        raise NotImplementedError

    def _make_upstream(self, config: Config) -> None:
        """Make the endpoint list and the connections to the targets on it."""
        loop, settings, bounds = self.loop, config.settings, self.monitor.bounds
        self.upstream_pools = UpstreamPools(loop, settings.limits, settings.rules, self.monitor, self.dialer)
        reader = EndpointListReader(config.zones, config.kinds, bounds.boxes, bounds.line)
        backoff = DiscoveryBackoff(settings.proxies if settings.ask else 0, random.Random(config.seed))
        self.target_group = TargetGroup(
            loop, config.discovery, reader, self.upstream_pools.listed, self._listed, self.log, backoff
        )

    def _make_engine(self, config: Config) -> None:
        """Make the decisions, the engine that runs them, and the datagrams between proxies."""
        loop, settings = self.loop, config.settings
        self.peers = PeerDatagrams(
            settings.me, config.peers, config.peers_all, self._receive_datagram, loop.time
        )
        self.balancer = Balancer(settings, config.seed, self.wall())
        self.engine: Engine[Message, Message] = Engine(
            settings,
            self.balancer,
            loop,
            self.upstream_pools,
            self.peers,
            self.target_group,
            self.wall,
            self.log,
        )
        self.monitor.report_pressure = self.engine.dispatch

    def _make_client_side(self, config: Config, errors: ErrorCountingLog | None) -> None:
        """Make the client connections and their listening socket (`OSError` where none is inherited)."""
        loop = self.loop
        self.limiter = ConnectionLimiter(loop, self.engine, config.settings, self.monitor)
        inherited = None if config.inherited is None else adopt_listening_socket(config.inherited)
        self.acceptor: Acceptor = (
            LoopAcceptor(loop)
            if self.is_virtual
            else SocketAcceptor(loop, self.transports, self.log, inherited)
        )
        self.limiter.set_accepting = self.acceptor.set_accepting
        if errors:
            version = config.version or __version__
            # The loop's own clock stands still within a turn, and on uvloop it counts whole milliseconds.
            clock = loop.time if self.is_virtual else time.monotonic
            self.limiter.metrics = ProxyMeasurements(
                clock, self.resource_use, errors.count, version, os.getpid()
            )

    def _listed(self, update: api.ServerList) -> None:
        tables = BACKEND_BYTES * len(self.target_group.servers)
        self.monitor.account.charge(MemoryUse.TABLES, tables - self.table_bytes)
        self.table_bytes = tables
        self.engine.update_server_list(update)

    def _receive_datagram(self, sender: int, payload: bytes) -> None:
        if self.policy_agreement and self.policy_agreement.on_datagram(sender, payload):
            return
        self.engine.dispatch(api.PeerMessage(sender, payload))

    def figures(self) -> Figures:
        """The metrics of the admin API and of the log, as of now."""
        engine, loop_budget = self.engine, self.monitor.loop_budget
        waiting = len(loop_budget.queue) + len(loop_budget.low_priority) + len(loop_budget.rejections)
        return Figures(
            self.lifecycle.state.value,
            engine.request_counters.by_class,
            engine.unanswered + waiting,
            len(engine.known_targets),
            skipped(self.balancer.servers.values(), engine.now()),
            self.reload_counts,
        )

    def resource_use(self) -> ResourceUse:
        """CPU time, memory and descriptors that this process uses."""
        usage, held = self.monitor.usage(), sum(self.monitor.descriptors.open.values())
        opened = held if self.is_virtual else len(list(OPEN_DESCRIPTORS.iterdir()))
        return ResourceUse(usage.cpu, usage.memory / MB, opened)
