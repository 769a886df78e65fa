"""The components of a proxy and their connections."""

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
from firvane.proxy.admin_api.metrics import ProxyMetrics, ReloadCounts
from firvane.proxy.admin_api.server import ADMIN_DESCRIPTORS, AdminServer
from firvane.proxy.balancer import Balancer
from firvane.proxy.capacity.excluded_servers import count_excluded
from firvane.proxy.config.proxy_config import Config
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
    """Creates and connects the components of a proxy.

    Attributes:
        limiter: Accepts and limits client connections.
        upstream_pools: The connections to the targets.
        target_group: The endpoint list.
        monitor: Measures the use of resources.
        engine: Executes the decisions of `balancer`.
        lifecycle: The state shown to operators and health checks.
        classes: The indices of the request classes that clients may name.
        settings_changed_at: Time of the last change of the settings, in s on the loop's clock.
        drain_started_at: Time at which an operator last started a drain, in s on the loop's clock.
        reported_rejections: Requests rejected unparsed by shedding and by a full queue, at the last report.
        table_bytes: Bytes charged to the memory account for the list and the estimates of all targets.
        is_virtual: Whether the proxy runs in virtual time, with others in one process.
        start_task: The task that is starting the proxy, if any.
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
        """Create the components (see `Proxy`); `has_policy` reserves descriptors for the policy agreement."""
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
        self._create_upstream(config)
        self._create_engine(config)
        self._create_client_side(config, errors)
        self.snapshot_store = snapshot_store(self.log) if snapshot_store else None
        if self.snapshot_store:
            self.target_group.addresses = {}
        self.admin_server, self.admin_transports = AdminServer(loop, self._handle_call), TransportPool(loop)
        self.admin_acceptor: Acceptor = (
            LoopAcceptor(loop) if dialer else SocketAcceptor(loop, self.admin_transports, self.log)
        )

    def _handle_call(self, request: AdminCall) -> bytes:
        """Return the response to an admin API call."""
        raise NotImplementedError

    def _create_upstream(self, config: Config) -> None:
        """Create the endpoint list and the connection pools of its targets."""
        loop, settings, bounds = self.loop, config.settings, self.monitor.bounds
        self.upstream_pools = UpstreamPools(loop, settings.limits, settings.rules, self.monitor, self.dialer)
        reader = EndpointListReader(config.zones, config.kinds, bounds.backends, bounds.list_line_bytes)
        backoff = DiscoveryBackoff(settings.proxies if settings.ask else 0, random.Random(config.seed))
        self.target_group = TargetGroup(
            loop,
            config.discovery,
            reader,
            self.upstream_pools.update_target,
            self._on_server_list,
            self.log,
            backoff,
        )

    def _create_engine(self, config: Config) -> None:
        """Create the balancer, its engine, and the datagram channel to the peers."""
        loop, settings = self.loop, config.settings
        self.peers = PeerDatagrams(settings.me, config.peers, config.peers_all, self._on_datagram, loop.time)
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

    def _create_client_side(self, config: Config, errors: ErrorCountingLog | None) -> None:
        """Create the client side and its listening socket.

        Raises:
            OSError: the socket that should be inherited does not exist.
        """
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
            # The loop's clock does not advance within a turn, and on uvloop it has a resolution of 1 ms.
            clock = loop.time if self.is_virtual else time.monotonic
            self.limiter.metrics = ProxyMeasurements(
                clock, self.resource_use, errors.count, version, os.getpid()
            )

    def _on_server_list(self, update: api.ServerList) -> None:
        tables = BACKEND_BYTES * len(self.target_group.servers)
        self.monitor.account.charge(MemoryUse.TABLES, tables - self.table_bytes)
        self.table_bytes = tables
        self.engine.update_server_list(update)

    def _on_datagram(self, sender: int, payload: bytes) -> None:
        if self.policy_agreement and self.policy_agreement.on_datagram(sender, payload):
            return
        self.engine.dispatch(api.PeerMessage(sender, payload))

    def collect_metrics(self) -> ProxyMetrics:
        """Return the current metrics for the admin API and the log."""
        engine, loop_budget = self.engine, self.monitor.loop_budget
        waiting = len(loop_budget.queue) + len(loop_budget.low_priority) + len(loop_budget.rejections)
        return ProxyMetrics(
            self.lifecycle.state.value,
            engine.request_counters.by_class,
            engine.unanswered + waiting,
            len(engine.known_targets),
            count_excluded(self.balancer.servers.values(), engine.now()),
            self.reload_counts,
        )

    def resource_use(self) -> ResourceUse:
        """Return the CPU time, memory and descriptors that this process uses."""
        usage, counted = self.monitor.usage(), sum(self.monitor.descriptors.open.values())
        open_descriptors = counted if self.is_virtual else len(list(OPEN_DESCRIPTORS.iterdir()))
        return ResourceUse(usage.cpu, usage.memory / MB, open_descriptors)
