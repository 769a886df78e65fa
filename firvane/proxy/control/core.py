"""The control service without sockets: server lists and load reports in, snapshots out.

1. Server lists go to the decision module first; assignments are made from the module's estimates.
2. A change that removes a backend is published in the call that reports it.
3. Nothing is published before there is a server list; without a backend the last snapshot stands.
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

MAX_ENDPOINTS_PER_S = 400_000.0  # sent to all receivers, without urgent changes
MAX_PUSH_INTERVAL_S = 5.0
MILLISECONDS_PER_S = 1e3
MIN_UPDATE_INTERVAL_S = 0.25
UPDATE_INTERVAL_PER_BACKEND_S = 0.0005


class NoTargets:
    """A target group without targets: the service forwards no requests itself."""

    def forward(self, request: Any, target: str, exchange: Exchange[Any]) -> Handle:
        """Must not be called."""
        raise AssertionError("the control service has no flows")

    def probe(self, target: str, exchange: Exchange[Any]) -> Handle:
        """Must not be called."""
        raise AssertionError("the control service does not probe")

    def close_idle(self, target: str) -> None:
        """Do nothing."""


class SnapshotObserver(Protocol):
    """Gets notified of new snapshots."""

    def on_published(self, zones: list[int]) -> None:
        """There are new snapshots for the receivers in these zones."""


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
    """One or several proxies of the tier, for which the receivers' requests count as their own."""

    def __init__(
        self,
        settings: Sequence[api.Settings],
        control_settings: ControlSettings,
        seed: int,
        zones: tuple[str, ...],
        clock: Clock,
        posts: Sequence[PeerChannel],
        directory: ServerDiscovery,
        observer: SnapshotObserver,
        wall: Callable[[], float],
        log: Log = QUIET,
    ) -> None:
        """Create the core; `settings` and `posts` are by place in the tier, `wall` returns Unix time."""
        self.control_settings = control_settings
        self.zones = zones
        self.clock = clock
        self.observer = observer
        self.wall = wall
        self.log = log
        self.number = 0  # version of the server list
        self.addresses: dict[str, Address] = {}
        self.names: dict[Address, str] = {}  # by address, as reports name backends
        self.balancers = [Balancer(own, seed + place, wall()) for place, own in enumerate(settings)]
        self.engines: list[Engine[Any, Any]] = [
            Engine(own, balancer, clock, NoTargets(), post, directory, wall, log)
            for own, balancer, post in zip(settings, self.balancers, posts, strict=True)
        ]
        self.engine = self.engines[0]
        self.feedbacks = [LoadFeedback(balancer) for balancer in self.balancers]
        self.updates = 0
        self.registry = _make_registry(control_settings)
        self.debouncer = _make_debouncer(control_settings)
        self.panic = PanicGuard(control_settings.panic, control_settings.confirm_s)
        self.catalog = Catalog(control_settings.service, zones, settings[0])
        self.published_at: dict[int, float] = {}  # on the clock, by group
        self._last_estimates: dict[str, BackendEstimate] = {}
        self._up: set[str] = set()
        self._timer: Any = None

    def start(self) -> None:
        """Start the engines and the periodic updates."""
        for engine in self.engines:
            engine.start()
        self.update()

    def apply_settings(self, settings: Sequence[api.Settings], control_settings: ControlSettings) -> None:
        """Apply other settings; the service's name, TLS files and intervals stay unchanged."""
        self.control_settings = control_settings
        for engine, own in zip(self.engines, settings, strict=True):
            engine.apply_settings(own)
        self.catalog.apply_settings(settings[0])
        self.debouncer = _make_debouncer(control_settings)
        self.panic.threshold = control_settings.panic
        self.panic.confirm_s = control_settings.confirm_s
        self.debouncer.on_changed(self.clock.time(), urgent=True)
        self.publish()

    # Server list

    def set_backend_address(self, name: str, address: Address | None, up: bool) -> None:
        """Set the address of a backend; None: it is removed."""
        old = self.addresses.pop(name, None)
        if old is not None and self.names.get(old) == name:
            del self.names[old]
        if address is not None:
            self.addresses[name], self.names[address] = address, name

    def on_server_list(self, update: api.ServerList) -> None:
        """Apply a server list or a change of it."""
        now = self.clock.time()
        before = set(self._up)
        named = {server.id for server in update.servers if server.state is not api.ServerState.UP}
        self.number = update.version
        for engine in self.engines:
            engine.update_server_list(update)
        self._up = {server.entry.id for server in self.balancers[0].up}
        left_out = before - {server.id for server in update.servers}
        self.panic.on_named(named)
        if update.kind is api.ListKind.COMPLETE and self.panic.on_list(before, self._up, left_out, now):
            self.log.error(
                "list_held_back",
                text="a whole list leaves out most boxes: receivers keep what they have until it stands",
                was=len(before), now=len(self._up), for_s=self.control_settings.confirm_s,
            )  # fmt: skip
            self._schedule(self.panic.until)
        self.debouncer.on_changed(now, urgent=bool(before - self._up) or not self.catalog.has_assignments)
        self.publish()

    # Snapshots

    def snapshot(self, zone: int) -> Snapshot | None:
        """The current snapshot for a zone; None until there is a server list."""
        return self.catalog.snapshot(zone)

    def decided_at(self, zone: int) -> float:
        """When that snapshot was decided, on the clock."""
        return self.published_at.get(zone, 0.0)

    def _backends(self) -> list[BackendEstimate]:
        """The module's estimates, and the last ones of backends that a suspicious list omits."""
        places = [
            estimates.read(feedback.balancer, self.addresses, feedback.took, engine.now())
            for engine, feedback in zip(self.engines, self.feedbacks, strict=True)
        ]
        backends = {backend.name: backend for backend in estimates.combine_places(places)}
        for name in self.panic.retained_backends(self.clock.time()):
            if name not in backends and name in self._last_estimates:
                backends[name] = self._last_estimates[name]
        self._last_estimates = backends
        return [backends[name] for name in sorted(backends)]

    def publish(self) -> None:
        """Publish changes that are due, and schedule the others."""
        now = self.clock.time()
        if not self.debouncer.take(now):
            self._schedule(self.debouncer.due)
            return
        backends = self._backends()
        if not backends and self.catalog.has_assignments:
            self.log.error("list_empty", text="no box may be sent to: receivers keep what they have")
        demand, largest = self.registry.demand(), self.registry.largest()
        zones = self.catalog.make(backends, demand, largest, self.number, self.wall())
        if not zones:
            return
        self.published_at.update(dict.fromkeys(zones, now))
        self.observer.on_published(zones)
        causes = self.catalog.causes
        self.log.info(
            "assignments_published", serial=self.catalog.serial, list=self.number,
            groups=len(zones), backends=len(backends),
            receivers=len(self.registry.receivers), urgent=self.catalog.urgent, causes=len(causes),
            why="; ".join(causes[:5]),
        )  # fmt: skip

    def _schedule(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due < float("inf"):
            self._timer = self.clock.call_at(due, self._due)

    def _due(self) -> None:
        self._timer = None
        self.publish()

    def update(self) -> None:
        """Feed reports into the module and publish its estimates; reschedules itself."""
        now = self.clock.time()
        for name in self.registry.sweep(self.engine.known_targets, now):
            self.log.info("receiver_expired", receiver=name, text="its part of the demand is free")
        if sums := self.registry.take(now):
            self.updates += 1
            parts = split(sums, len(self.engines), self.updates)
            for engine, part in zip(self.engines, parts, strict=True):
                engine.dispatch(part)  # an event type of the control service
        if self.catalog.has_assignments or self._up:
            work = len(self.registry.receivers) * len(self.addresses)
            self.debouncer.min_interval_s = min(MAX_PUSH_INTERVAL_S, work / MAX_ENDPOINTS_PER_S)
            self.debouncer.on_changed(now)
            self.publish()
        self.clock.call_at(
            now + max(MIN_UPDATE_INTERVAL_S, UPDATE_INTERVAL_PER_BACKEND_S * len(self.addresses)), self.update
        )

    # Load reports

    def on_report(self, name: str, reports: Mapping[str, Report], span: float, dropped: int) -> None:
        """Take a receiver's report over `span` seconds; `dropped`: requests dropped by assignment."""
        span = span or self.control_settings.report_s
        self.registry.report(name, reports, self.engine.known_targets, span, self.clock.time(), dropped)

    def zone_name(self, number: int) -> str:
        """The name of a zone; empty if it is unknown."""
        return self.zones[number] if 0 <= number < len(self.zones) else ""

    def shares(self, zone: int) -> dict[tuple[str, str], float]:
        """The share of each endpoint in its zone's requests, by zone and backend, as last assigned."""
        return {
            (self.zone_name(locality.zone), place.backend): place.weight / ENDPOINT_WEIGHT_SUM
            for locality in self.catalog.localities(zone)
            for place in locality.endpoints
            if place.health is Health.HEALTHY
        }
