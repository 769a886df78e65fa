"""The common context of the client connections: shared state, request parsing and load shedding."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Sequence
from typing import Final, Protocol

import httptools

from firvane.core import interface as api
from firvane.core.engine import Engine
from firvane.core.flows import Flow
from firvane.core.net.http_message import HttpError, Message
from firvane.core.net.http_writer import make_rejections
from firvane.core.net.request_scan import percent_decode
from firvane.core.request_counters import ClassCounters
from firvane.proxy.limits.admission_gate import AdmissionGate
from firvane.proxy.net.managed_connection import ManagedConnection
from firvane.proxy.net.resource_monitor import ResourceMonitor

# Fields that may not be repeated: the proxy and a target could use different values.
SINGLE_FIELDS = frozenset(
    (b"host", b"x-call-id", b"x-caller", b"x-budget-ms", b"x-route-hash", b"x-call-cost")
)
# Successive Retry-After values without a policy lease, spread: the next lease may come soon.
LEASE_BACKOFFS_S = tuple(0.25 + step / 16 for step in (3, 11, 7, 15, 1, 9, 5, 13, 0, 8, 4, 12, 2, 10, 6, 14))
EXCESSIVE_RATE_FACTOR = 4.0  # times the mean rate of active connections
MAX_BUDGET_DIGITS: Final = 9
MAX_COST_DIGITS: Final = 12


class PolicyLease(Protocol):
    """A lease that permits requests to be accepted under a policy."""

    epoch_header: bytes  # a header line for each response that names the policy, or b""

    def may_accept(self) -> bool:
        """Return whether a new request may be accepted now."""


class RequestMetrics(Protocol):
    """Counts of requests by class and tenant."""

    def on_request(self, flow: Flow[Message, Message], request: api.Request, settings: api.Settings) -> None:
        """Count an accepted request."""

    def on_disconnect(self, flow: Flow[Message, Message]) -> None:
        """Count a request whose client has disconnected."""

    def on_unparsed_rejection(self, cls: str, tenant: str | None) -> None:
        """Count a request that was rejected before it was parsed."""


def request_method(cls: api.RequestClass) -> bytes:
    """Return the HTTP method of the requests of a class."""
    return b"GET" if cls.idempotency is api.Idempotency.SAFE else b"POST"


class ClientContext:
    """The state that all client connections of a proxy share.

    Attributes:
        classes: The current request classes and their numbers, by the first segment of the path.
        previous_classes: The classes before the last change of the settings, kept for a time, by path and
            method.
        counts: Counters of the current classes.
        tenants: The numbers of the tenants, by name.
        connections: All client connections, in order of arrival (the order of a set would not be
            reproducible).
        policy_lease: The lease on the policy that all proxies agree on, if configured.
        metrics: Counts by class and tenant, if configured.
        set_accepting: Pauses or resumes the acceptance of connections.
        accepting_paused: The acceptance of connections is paused.
        over_capacity: There are more connections than descriptors for them.
        rate_second: The current second of loop time.
        active_connections: Connections that have sent requests in the current second.
        request_count: Requests in the current second.
        mean_requests: Mean requests of an active connection in the previous second.
        open_ids: The ids of the requests that are in flight.
        ready: New requests are accepted.
        draining: The proxy is no longer ready for new clients.
        closing: Each response is the last one of its connection.
        drain_deadline: Loop time in s by which all requests must have ended.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine[Message, Message],
        settings: api.Settings,
        monitor: ResourceMonitor,
    ) -> None:
        self.loop, self.engine, self.settings, self.monitor = loop, engine, settings, monitor
        engine.load_shedder = self
        self.classes: dict[bytes, tuple[int, api.RequestClass]] = {}
        self.previous_classes: dict[tuple[bytes, bytes], tuple[int, api.RequestClass]] = {}
        self.counts: dict[bytes, ClassCounters] = {}
        self.tenants: dict[bytes, int] = {}
        self.connections: dict[ManagedConnection, None] = {}
        self.loop_budget, self.account = monitor.loop_budget, monitor.account
        self.gate = AdmissionGate((), monitor.loop_budget.full)
        self.apply_settings(settings, tuple(range(len(settings.classes))))
        monitor.counts = lambda: (self.gate.shed, self.gate.overflowed, self.gate.take_rejections())
        self.rejections = itertools.cycle(make_rejections(0.0, 0.0))
        self.policy_lease: PolicyLease | None = None
        self.metrics: RequestMetrics | None = None
        self.lease_backoffs = itertools.cycle(LEASE_BACKOFFS_S)
        self.set_accepting: Callable[[bool], None] = lambda accepting: None
        self.accepting_paused = False
        self.over_capacity = False
        self.rate_second = 0
        self.active_connections = 0
        self.request_count = 0
        self.mean_requests = 0.0
        self.open_ids: set[bytes] = set()
        self.ready = False
        self.draining = False
        self.closing = False
        self.drain_deadline = float("inf")

    def apply_settings(self, settings: api.Settings, current: Sequence[int]) -> None:
        """Replace the settings; clients may use the classes with the numbers in `current`."""
        known = self.classes.items()
        self.previous_classes = {(name, request_method(cls)): (number, cls) for name, (number, cls) in known}
        self.settings = settings
        self.classes = {settings.classes[i].name.encode(): (i, settings.classes[i]) for i in current}
        self.counts = {
            name: self.engine.request_counters.for_class(cls.name) for name, (_, cls) in self.classes.items()
        }
        self.tenants = {tenant.name.encode(): i for i, tenant in enumerate(settings.tenants)}
        self.gate.set_tenants(tuple(self.tenants))

    def forget_previous_settings(self) -> None:
        """Stop accepting requests of the classes before the last change of the settings."""
        self.previous_classes.clear()

    def parse_request(self, message: Message) -> tuple[api.Request, float]:
        """Return the request in a message, and its deadline in s; raises `HttpError` if it is invalid."""
        number, cls = self._find_class(message)
        fields = message.fields
        if not SINGLE_FIELDS.isdisjoint(message.repeated_fields) or (
            message.size and message.method == b"GET"
        ):
            raise HttpError(400)
        if fields.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            raise HttpError(400)  # data in another coding would be taken for the body itself
        if fields.get(b"x-call-id") in self.open_ids:
            raise HttpError(409)  # a response of a target must match exactly one request
        budget, tenant = fields.get(b"x-budget-ms", b""), None
        if not fields.get(b"x-call-id") or not budget.isdigit() or len(budget) > MAX_BUDGET_DIGITS:
            raise HttpError(400)
        if self.tenants:
            tenant = self.tenants.get(fields.get(b"x-caller", b""))
            if tenant is None:
                raise HttpError(400)
        cost, key = fields.get(b"x-call-cost", b""), fields.get(b"x-route-hash")
        request = api.Request(
            id=-1,
            class_id=number,
            time_left=0.0,
            key=key.decode("latin-1") if key else None,
            tenant=tenant,
            work=int(cost) / 1e6 if cost.isdigit() and len(cost) <= MAX_COST_DIGITS else None,
            is_retry=fields.get(b"x-again") == b"1",
            is_write=cls.idempotency is not api.Idempotency.SAFE,
        )
        return request, min(int(budget) / 1000, cls.deadline)

    def _find_class(self, message: Message) -> tuple[int, api.RequestClass]:
        """Return the number and the class for the path and method of a request."""
        path = message.url.split(b"?", 1)[0]
        if not path.startswith(b"/"):  # the absolute form (RFC 9112, 3.2.2)
            try:
                path = httptools.parse_url(message.url).path or b"/"
            except httptools.HttpParserInvalidURLError:
                raise HttpError(400) from None
        name = path.split(b"/", 2)[1]
        known = self.classes.get(name)
        if known is None and b"%" in name:
            name = percent_decode(name)
            known = self.classes.get(name)
        if known is None or message.method != request_method(known[1]):
            known = self.previous_classes.get((name, message.method), known)
        if known is None:
            raise HttpError(404)
        if message.method != request_method(known[1]):
            raise HttpError(405)
        return known

    def count_request(self, connection: ManagedConnection) -> None:
        """Count a request in the per-second rates of its connection and of all connections."""
        second = int(self.loop.time())
        if second != self.rate_second:
            active = self.active_connections
            self.mean_requests = self.request_count / active if active else 0.0
            self.rate_second, self.active_connections, self.request_count = second, 0, 0
        if connection.rate_second != second:
            connection.rate_second, connection.rate_count = second, 0
            self.active_connections += 1
        connection.rate_count += 1
        self.request_count += 1

    def exceeds_fair_rate(self, connection: ManagedConnection) -> bool:
        """Return whether a connection has sent far more requests in this second than the mean in the last."""
        if connection.rate_second != self.rate_second:
            return False
        return connection.rate_count > EXCESSIVE_RATE_FACTOR * (1.0 + self.mean_requests)

    def shed(self, parts: Sequence[float], retry_after: float, again: bool = False) -> None:
        """Set the fraction of each tenant's requests that is rejected unparsed (called by the engine).

        Args:
            parts: The fraction to reject, from 0 to 1, for each tenant.
            retry_after: Mean Retry-After of rejections in seconds; 0 for none.
            again: Whether retries are rejected first.
        """
        self.gate.set_fractions(parts, again)
        limits = self.settings.limits
        pause = retry_after if limits.retry_after else 0.0
        self.rejections = itertools.cycle(make_rejections(pause, limits.max_retry_after))

    def count_rejected(self, message: Message) -> float:
        """Count a request that is rejected without a policy lease; return its Retry-After in s."""
        name = message.url.split(b"?", 1)[0].split(b"/", 2)[1:2]
        if counts := self.counts.get(name[0] if name else b""):
            counts.dropped += 1
            if self.metrics is not None:
                self.count_unparsed(name[0], message.fields.get(b"x-caller", b""))
        self.engine.event_counts["no lease on the policy"] += 1
        limits = self.settings.limits
        return min(limits.max_retry_after, next(self.lease_backoffs)) if limits.retry_after else 0.0

    def count_unparsed(self, cls: bytes, tenant: bytes) -> None:
        """Count a request that is rejected unparsed, by its class and tenant on the wire."""
        if self.metrics is not None:
            known = tenant.decode("latin-1") if tenant in self.tenants else None
            self.metrics.on_unparsed_rejection(cls.decode("latin-1"), known)

    def pause_accepting(self) -> None:
        """Stop accepting connections, because all descriptors for them are in use."""
        raise NotImplementedError
