"""The control service without its sockets: turns server lists and load reports into snapshots.

1. The decision module receives each server list first; assignments are computed from its estimates.
2. A change that removes a backend is published in the call that reports it.
3. Nothing is published before the first server list. Without any backend the last snapshot stays in force.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from firvane.core import interface as api
from firvane.core.address import Address
from firvane.core.engine import Engine
from firvane.core.engine_protocols import Clock, Exchange, Handle, PeerChannel, ServerDiscovery
from firvane.core.logs import QUIET, Log
from firvane.proxy.balancer import Balancer
from firvane.proxy.config.model import Control as ControlSettings
from firvane.proxy.control import estimates
from firvane.proxy.control.catalog import Catalog
from firvane.proxy.control.debounce import Debouncer
from firvane.proxy.control.load_feedback import LoadFeedback, split
from firvane.proxy.control.panic_threshold import PanicGuard
from firvane.proxy.control.receivers import ReceiverRegistry
from firvane.proxy.control.types import BackendEstimate, Health, Report, Snapshot
from firvane.proxy.control.weights import ENDPOINT_WEIGHT_SUM

MAX_ENDPOINTS_PER_S = 400_000.0  # sent to all receivers together; urgent changes are exempt
MAX_PUSH_INTERVAL_S = 5.0
MILLISECONDS_PER_S = 1e3
MIN_UPDATE_INTERVAL_S = 0.25
UPDATE_INTERVAL_PER_BACKEND_S = 0.0005


class NoTargets:
    """A target group without targets: the control service forwards no requests."""

    def forward(self, request: Any, target: str, exchange: Exchange[Any]) -> Handle:
        """Must not be called."""
        raise AssertionError("the control service forwards no requests")

    def probe(self, target: str, exchange: Exchange[Any]) -> Handle:
        """Must not be called."""
        raise AssertionError("the control service sends no probes")

    def close_idle(self, target: str) -> None:
        """Do nothing."""


class SnapshotObserver(Protocol):
    """Is notified of new snapshots."""

    def on_published(self, zones: list[int]) -> None:
        """Handle new snapshots for the receivers in these zones."""


def _make_registry(control_settings: ControlSettings) -> ReceiverRegistry:
    return ReceiverRegistry(
        control_settings.report_s,
        control_settings.keep_s,
        control_settings.assumed_rps,
        control_settings.most_rps,
    )


def _make_debouncer(control_settings: ControlSettings) -> Debouncer:
    return Debouncer(
        control_settings.settle_ms / MILLISECONDS_PER_S, control_settings.most_ms / MILLISECONDS_PER_S
    )


class Core:
    """One or more members of the proxy tier; the receivers' requests count as the members' own."""

    def __init__(
        self,
        settings: Sequence[api.Settings],
        control_settings: ControlSettings,
        seed: int,
        zones: tuple[str, ...],
        clock: Clock,
        peer_channels: Sequence[PeerChannel],
        discovery: ServerDiscovery,
        observer: SnapshotObserver,
        wall: Callable[[], float],
        log: Log = QUIET,
    ) -> None:
        """Create the core.

        `settings` and `peer_channels` have one item per member; `wall` returns Unix time.
        """
        self.control_settings = control_settings
        self.zones = zones
        self.clock = clock
        self.observer = observer
        self.wall = wall
        self.log = log
        self.list_version = 0
        self.addresses: dict[str, Address] = {}
        self.names: dict[Address, str] = {}  # by address: load reports identify backends by it
        self.balancers = [
            Balancer(member_settings, seed + member, wall())
            for member, member_settings in enumerate(settings)
        ]
        self.engines: list[Engine[Any, Any]] = [
            Engine(member_settings, balancer, clock, NoTargets(), peer_channel, discovery, wall, log)
            for member_settings, balancer, peer_channel in zip(
                settings, self.balancers, peer_channels, strict=True
            )
        ]
        self.engine = self.engines[0]
        self.feedbacks = [LoadFeedback(balancer) for balancer in self.balancers]
        self.updates = 0
        self.registry = _make_registry(control_settings)
        self.debouncer = _make_debouncer(control_settings)
        self.panic = PanicGuard(control_settings.panic, control_settings.confirm_s)
        self.catalog = Catalog(control_settings.service, zones, settings[0])
        self.published_at: dict[int, float] = {}  # time on `clock`, by zone
        self._last_estimates: dict[str, BackendEstimate] = {}
        self._up_backends: set[str] = set()
        self._timer: Any = None

    def start(self) -> None:
        """Start the engines and the periodic updates."""
        for engine in self.engines:
            engine.start()
        self.update()

    def apply_settings(self, settings: Sequence[api.Settings], control_settings: ControlSettings) -> None:
        """Apply reloaded settings; the service's name, TLS files and intervals stay unchanged."""
        self.control_settings = control_settings
        for engine, member_settings in zip(self.engines, settings, strict=True):
            engine.apply_settings(member_settings)
        self.catalog.apply_settings(settings[0])
        self.debouncer = _make_debouncer(control_settings)
        self.panic.threshold = control_settings.panic
        self.panic.confirm_s = control_settings.confirm_s
        self.debouncer.on_changed(self.clock.time(), urgent=True)
        self.publish()

    # Server list

    def set_backend_address(self, name: str, address: Address | None, up: bool) -> None:
        """Set the address of a backend, or remove the backend if the address is None."""
        old = self.addresses.pop(name, None)
        if old is not None and self.names.get(old) == name:
            del self.names[old]
        if address is not None:
            self.addresses[name], self.names[address] = address, name

    def on_server_list(self, update: api.ServerList) -> None:
        """Apply a complete server list or an incremental change."""
        now = self.clock.time()
        previously_up = set(self._up_backends)
        removed_by_name = {server.id for server in update.servers if server.state is not api.ServerState.UP}
        self.list_version = update.version
        for engine in self.engines:
            engine.update_server_list(update)
        self._up_backends = {server.entry.id for server in self.balancers[0].up}
        omitted = previously_up - {server.id for server in update.servers}
        self.panic.on_removed_by_name(removed_by_name)
        if update.kind is api.ListKind.COMPLETE and self.panic.on_list(
            previously_up, self._up_backends, omitted, now
        ):
            self.log.error(
                "list_held_back",
                text="a complete list omits most backends: receivers keep them until the list is confirmed",
                was=len(previously_up), now=len(self._up_backends), for_s=self.control_settings.confirm_s,
            )  # fmt: skip
            self._schedule(self.panic.retained_until)
        self.debouncer.on_changed(
            now, urgent=bool(previously_up - self._up_backends) or not self.catalog.has_assignments
        )
        self.publish()

    # Snapshots

    def snapshot(self, zone: int) -> Snapshot | None:
        """Return the current snapshot for a zone; None until there is a server list."""
        return self.catalog.snapshot(zone)

    def snapshot_computed_at(self, zone: int) -> float:
        """Return the time, on `clock`, at which the current snapshot of a zone was computed."""
        return self.published_at.get(zone, 0.0)

    def _backends(self) -> list[BackendEstimate]:
        """Return the module's estimates, and the last ones of backends that the panic guard retains."""
        member_estimates = [
            estimates.read(feedback.balancer, self.addresses, feedback.response_times, engine.now())
            for engine, feedback in zip(self.engines, self.feedbacks, strict=True)
        ]
        backends = {backend.name: backend for backend in estimates.combine_members(member_estimates)}
        for name in self.panic.retained_backends(self.clock.time()):
            if name not in backends and name in self._last_estimates:
                backends[name] = self._last_estimates[name]
        self._last_estimates = backends
        return [backends[name] for name in sorted(backends)]

    def publish(self) -> None:
        """Publish the changes that are due, and schedule the others."""
        now = self.clock.time()
        if not self.debouncer.take(now):
            self._schedule(self.debouncer.due)
            return
        backends = self._backends()
        if not backends and self.catalog.has_assignments:
            self.log.error("list_empty", text="no backend is available: receivers keep their last endpoints")
        demand, largest_shares = self.registry.demand(), self.registry.largest_shares()
        zones = self.catalog.recompute(backends, demand, largest_shares, self.list_version, self.wall())
        if not zones:
            return
        self.published_at.update(dict.fromkeys(zones, now))
        self.observer.on_published(zones)
        causes = self.catalog.causes
        self.log.info(
            "assignments_published", serial=self.catalog.serial, list=self.list_version,
            groups=len(zones), backends=len(backends),
            receivers=len(self.registry.receivers), urgent=self.catalog.urgent, causes=len(causes),
            why="; ".join(causes[:5]),
        )  # fmt: skip

    def _schedule(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due < float("inf"):
            self._timer = self.clock.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.publish()

    def update(self) -> None:
        """Feed load reports into the module, publish its estimates, and schedule the next update."""
        now = self.clock.time()
        for name in self.registry.sweep(self.engine.known_targets, now):
            self.log.info("receiver_expired", receiver=name, text="its share of the demand is released")
        if summaries := self.registry.take(now):
            self.updates += 1
            member_summaries = split(summaries, len(self.engines), self.updates)
            for engine, member_summary in zip(self.engines, member_summaries, strict=True):
                engine.dispatch(member_summary)  # `LoadReported`, which only the control service dispatches
        if self.catalog.has_assignments or self._up_backends:
            endpoints_to_send = len(self.registry.receivers) * len(self.addresses)
            self.debouncer.min_interval_s = min(MAX_PUSH_INTERVAL_S, endpoints_to_send / MAX_ENDPOINTS_PER_S)
            self.debouncer.on_changed(now)
            self.publish()
        self.clock.call_at(
            now + max(MIN_UPDATE_INTERVAL_S, UPDATE_INTERVAL_PER_BACKEND_S * len(self.addresses)), self.update
        )

    # Load reports

    def on_report(self, name: str, reports: Mapping[str, Report], span_s: float, dropped: int) -> None:
        """Record a load report over `span_s` seconds; `dropped` requests were dropped as assigned."""
        span_s = span_s or self.control_settings.report_s
        self.registry.report(name, reports, self.engine.known_targets, span_s, self.clock.time(), dropped)

    def zone_name(self, number: int) -> str:
        """Return the name of a zone; empty if it is unknown."""
        return self.zones[number] if 0 <= number < len(self.zones) else ""

    def shares(self, zone: int) -> dict[tuple[str, str], float]:
        """Return each endpoint's last assigned share of its zone's requests, by zone and backend."""
        return {
            (self.zone_name(locality.zone), endpoint.backend): endpoint.weight / ENDPOINT_WEIGHT_SUM
            for locality in self.catalog.localities(zone)
            for endpoint in locality.endpoints
            if endpoint.health is Health.HEALTHY
        }
