"""The typed configuration, and the route table that matches requests."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec
from msgspec import Struct, field

from firvane.core.digest import digest

DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_MS = 3_000.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0
DEFAULT_HEALTH_PATH = "/health"
TOKEN_UNIT = "token_count"  # value of `unit` if the rate and burst of a tenant count tokens
KEY_DIGEST_BYTES = 16


class RouteKind(enum.Enum):
    """Whether a request may be retried, and whether its response streams; others are `NON_IDEMPOTENT`."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Target(NamedTuple):
    """A target of a route: a service and its relative weight."""

    service: str
    weight: float


class Route(Struct, frozen=True):
    """A route. Times are in milliseconds; `targets` is never empty and contains no weight of 0.

    `target_latency_ms` and `gap_aim_ms` (target for the time between tokens) are 0 if not configured.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    target_latency_ms: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    session_affinity: bool
    stream_resume: bool
    gap_aim_ms: float
    anonymous: bool = False  # whether requests need no key although tenants are configured


class Tenant(Struct, frozen=True):
    """A tenant: digests of its keys, its priority, and its quota, shared by all routers.

    `rate` (per second) and `burst` count tokens if `counts_tokens`, else requests; a `rate` of 0 is no limit.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None  # overrides the priority of the route
    counts_tokens: bool = False
    uncached_tokens: int = 0  # charged for a request that states no number of tokens
    rate: float = 0.0
    burst: float = 0.0


class Engine(Struct, frozen=True):
    """The model server of a backend: batch slots, KV cache size in tokens, tokens per stream event."""

    slots: int
    cache_tokens: int
    cache_token_bytes: float
    link_mbps: float
    stride: int
    models: tuple[str, ...]


class Service(Struct, frozen=True):
    """A service. `connection_limit` bounds all callers' connections to one backend; 0 means unknown."""

    name: str
    health_path: str
    connection_limit: int
    protocol: str
    tls: bool
    engine: Engine | None


class Limits(Struct, frozen=True):
    """Limits of client requests in bytes, and client timeouts in milliseconds."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_ms: float = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: float = DEFAULT_IDLE_TIMEOUT_MS


class Configuration(Struct, frozen=True):
    """One version of the complete configuration; `services` is keyed by name.

    `tenants` is None if the document has no such member; then no request needs a key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    tenants: tuple[Tenant, ...] | None = None


class RouteTable:
    """Finds the route with the longest matching path prefix, with one lookup per path segment."""

    def __init__(self, configuration: Configuration) -> None:
        self.version = configuration.version
        self._hosts: dict[bytes, _HostRoutes] = {}
        for route in configuration.routes:
            host = route.host.lower().encode()
            self._hosts.setdefault(host, _HostRoutes()).add(route)

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Return the matching route, or None. `host` may include a port, `path` a query."""
        routes = self._hosts.get(host) or self._hosts.get(_host_without_port(host))
        return routes.find(path) if routes else None


class _HostRoutes:
    """The routes of one host, by path prefix."""

    __slots__ = ("_by_prefix", "_max_prefix_length")

    def __init__(self) -> None:
        self._by_prefix: dict[bytes, Route] = {}
        self._max_prefix_length = 0

    def add(self, route: Route) -> None:
        prefix = route.path_prefix.encode()
        self._by_prefix[prefix] = route
        self._max_prefix_length = max(self._max_prefix_length, len(prefix))

    def find(self, path: bytes) -> Route | None:
        query = path.find(b"?")
        end = min(len(path) if query < 0 else query, self._max_prefix_length)
        while (end := path.rfind(b"/", 0, end) + 1) > 0:
            if (route := self._by_prefix.get(path[:end])) is not None:
                return route
            end -= 1
        return None


def key_digest(key: bytes) -> bytes:
    """Return the digest of a tenant's key, which is stored instead of the key."""
    return digest(key, KEY_DIGEST_BYTES)


def _host_without_port(host: bytes) -> bytes:
    host = host.strip().lower()
    if host.startswith(b"["):
        return host[: host.find(b"]") + 1]
    return host.partition(b":")[0]


# The document as decoded by msgspec; each optional member may also be null.


class _TargetEntry(msgspec.Struct):
    service: str
    weight: float


class _RouteEntry(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    timeout_ms: float
    kind: str | None = None
    target_latency_ms: float | None = None
    gap_aim_ms: float | None = None
    priority: int | None = None
    max_attempts: int | None = None
    session_affinity: bool | None = None
    stream_resume: bool | None = None
    service: str | None = None
    weighted_split: list[_TargetEntry] | None = None
    anonymous: bool | None = None

    def route(self) -> Route:
        return Route(
            self.name,
            self.host,
            self.path_prefix,
            _KINDS.get(self.kind, RouteKind.NON_IDEMPOTENT),
            self.timeout_ms,
            self.target_latency_ms or 0.0,
            self.priority or 0,
            self.targets(),
            max(1, self.max_attempts or 1),
            bool(self.session_affinity),
            bool(self.stream_resume),
            self.gap_aim_ms or 0.0,
            bool(self.anonymous),
        )

    def targets(self) -> tuple[Target, ...]:
        if self.service is not None:
            return (Target(self.service, 1.0),)
        return tuple(_merge_targets(self.weighted_split or ()))


class _ModelEntry(msgspec.Struct):
    name: str


class _EngineEntry(msgspec.Struct):
    slots: int | None = None
    cache_tokens: int | None = None
    cache_token_bytes: float | None = None
    link_mbps: float | None = None
    stride: int | None = None
    models: list[_ModelEntry] | None = None

    def engine(self) -> Engine:
        return Engine(
            self.slots or 0,
            self.cache_tokens or 0,
            self.cache_token_bytes or 0.0,
            self.link_mbps or 0.0,
            self.stride or 1,
            tuple(model.name for model in self.models or ()),
        )


class _ServiceEntry(msgspec.Struct):
    name: str
    health_path: str | None = None
    connection_limit: int | None = None
    protocol: str | None = None
    tls: bool | None = None
    engine: _EngineEntry | None = None

    def service(self) -> Service:
        return Service(
            self.name,
            self.health_path or DEFAULT_HEALTH_PATH,
            self.connection_limit or 0,
            self.protocol or "h1",
            bool(self.tls),
            self.engine.engine() if self.engine else None,
        )


class _LimitsEntry(msgspec.Struct):
    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None

    def limits(self) -> Limits:
        return Limits(
            self.max_header_bytes or DEFAULT_MAX_HEADER_BYTES,
            self.max_body_bytes or DEFAULT_MAX_BODY_BYTES,
            self.header_timeout_ms or DEFAULT_HEADER_TIMEOUT_MS,
            self.idle_timeout_ms or DEFAULT_IDLE_TIMEOUT_MS,
        )


class _TenantEntry(msgspec.Struct):
    name: str
    api_keys: list[str] | None = None
    priority: int | None = None
    unit: str | None = None
    uncached_tokens: int | None = None
    rate_per_s: float | None = None
    burst_size: float | None = None

    def tenant(self) -> Tenant:
        return Tenant(
            self.name,
            tuple(key_digest(key.encode()) for key in self.api_keys or ()),
            self.priority,
            self.unit == TOKEN_UNIT,
            self.uncached_tokens or 0,
            self.rate_per_s or 0.0,
            self.burst_size or 0.0,
        )


class ConfigurationEntry(msgspec.Struct):
    """A document decoded from JSON; `configuration` converts it to a `Configuration`."""

    routes: list[_RouteEntry] = msgspec.field(default_factory=list)
    services: list[_ServiceEntry] = msgspec.field(default_factory=list)
    limits: _LimitsEntry | None = None
    tenants: list[_TenantEntry] | None = None

    def configuration(self, version: int) -> Configuration:
        """Convert to the typed configuration of this version."""
        return Configuration(
            version,
            tuple(entry.route() for entry in self.routes),
            {entry.name: entry.service() for entry in self.services},
            self.limits.limits() if self.limits else Limits(),
            None if self.tenants is None else tuple(entry.tenant() for entry in self.tenants),
        )


class TenantsEntry(msgspec.Struct):
    """A document of which only the tenants are decoded."""

    tenants: list[_TenantEntry] | None = None

    def to_tenants(self) -> tuple[Tenant, ...]:
        """Convert to typed tenants; empty if the document has no such member."""
        return tuple(entry.tenant() for entry in self.tenants or ())


_KINDS: dict[str | None, RouteKind] = {kind.value: kind for kind in RouteKind}


def _merge_targets(split: Iterable[_TargetEntry]) -> Iterable[Target]:
    """Sum the weights of each service, and omit services with a weight of 0."""
    weights: dict[str, float] = {}
    for entry in split:
        weights[entry.service] = weights.get(entry.service, 0.0) + entry.weight
    return (Target(service, weight) for service, weight in weights.items() if weight > 0)
