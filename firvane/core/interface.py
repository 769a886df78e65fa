"""Settings, events and actions of the balancer. Times and durations are seconds on the caller's clock.

Settings are frozen. Events and actions are slotted dataclasses that are not frozen, as many are created.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request may run twice: always, only if deduplicated by a key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The group of servers that deduplicates a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class LoadReportSource(Enum):
    """Which responses carry load reports: those to requests, those to health checks, or none."""

    RESPONSES = "answers"
    PROBES = "probes"
    NONE = "none"


class ListKind(Enum):
    """The content of a server list event: changes, the complete list, a cached list, or a failed fetch."""

    INCREMENTAL = "changes"
    COMPLETE = "complete"
    CACHED = "cached"
    FAILED = "lost"


class ServerState(Enum):
    """The state of a listed server."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How an attempt ended; UNKNOWN if it is not known whether the request ran."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    CONNECTIONS_FULL = "no_place"  # the server rejected a new connection: its connection table is full
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    UNKNOWN = "unknown"

    @property
    def never_ran(self) -> bool:
        """Whether the server certainly did not start the request."""
        return self in (Result.OVERLOADED, Result.CONNECTIONS_FULL, Result.CONNECT_FAILED, Result.NOT_SENT)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests.

    Attributes:
        latency_target: seconds within which a response has its full value.
        deadline: seconds after which the client gives up.
        value: priority weight of a response.
        late_value_fraction: fraction of the value that a late response keeps.
        idempotency: whether a request may run twice.
        dedup_scope: the group of servers that drops duplicates.
        dedup_window: seconds for which it does.
        stream: whether responses are streamed.
        latency_target_stretch: read from the settings; unused.
    """

    name: str
    latency_target: float
    deadline: float
    value: float = 1.0
    late_value_fraction: float = 0.0
    idempotency: Idempotency = Idempotency.UNSAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: float = 0.0
    stream: bool = False
    latency_target_stretch: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota: a share of the service, and requests a second over all proxies; 0: no quota."""

    name: str
    quota_share: float = 0.0
    quota_rps: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules:
    """The parameters of the four rules; durations in seconds.

    Attributes:
        answer_slack: time kept free before a deadline.
        drain_grace: time after which nothing is sent to a draining server.
        start_capacity: fraction of its capacity that a server has when it starts.
        slow_start: time from the start of a server until it has its full capacity.
        fall_multiple: a server in slow start breaks down when it receives more than this multiple of its
            capacity within `fall_window`.
        fall_window: duration over which `fall_multiple` is measured.
        ask_within: read from the settings; unused.
    """

    answer_slack: float
    drain_grace: float
    start_capacity: float
    slow_start: float
    fall_multiple: float
    fall_window: float
    ask_within: float = 0.0


@dataclass(slots=True, frozen=True)
class Limits:
    """Features and limits of the deployment; durations in seconds."""

    max_attempts: int
    cancel: bool = False
    hedging: bool = False
    peers: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    max_open_requests: int = 1 << 30
    connect_timeout: float = 0.25
    connection_idle_timeout: float = 60.0
    requests_per_connection: int = 1


@dataclass(slots=True, frozen=True)
class RecoveryOptions:
    """Parts of the recovery from a power loss; each can be disabled."""

    trials: bool = True  # only the owner of a server's slice sends trial requests to it first
    steps: bool = True  # a server's capacity is probed in steps
    first_tries: bool = True  # first attempts have priority over retries
    ask: bool = True  # the state of peers is requested


@dataclass(slots=True, frozen=True)
class RestoredEstimates:
    """Estimates of an earlier process, adjusted for their age."""

    age: float  # s since they were saved
    scale: float = 0.0  # responses a second per unit of weight of a warm server; 0: unknown
    kinds: Mapping[str, float] = field(default_factory=dict)  # `scale` by the name of the kind of server
    capacities: Mapping[str, float] = field(default_factory=dict)  # by server id
    start_times: Mapping[str, float] = field(default_factory=dict)  # last starts, by server id


@dataclass(slots=True, frozen=True)
class Settings:
    """The configuration of one balancer.

    Attributes:
        me: index of this proxy, from 0.
        proxies: number of proxies.
        tick: seconds by which events may be delivered late.
        ask: whether the server list must be requested.
        weighted: whether the weights in the list are used.
        live_weights: whether these weights follow the servers' load.
        over_quota_value: factor on the value of requests beyond a tenant's quota.
        key_affinity: whether requests of a key are cheaper on a server that served the key recently.
        recovery: options of the recovery from a power loss; None: disabled.
    """

    me: int
    proxies: int
    tick: float
    classes: tuple[RequestClass, ...]
    rules: Rules
    limits: Limits
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0
    zones: int = 1
    ask: bool = False
    weighted: bool = True
    live_weights: bool = False
    load_report_source: LoadReportSource = LoadReportSource.NONE
    report_fields: tuple[str, ...] = ()
    counted_by_work: bool = False
    over_quota_value: float = 1.0
    key_affinity: bool = False
    costs: Mapping[str, float] = field(default_factory=dict)
    recovery: RecoveryOptions | None = None


@dataclass(slots=True)
class Server:
    """One entry of the server list."""

    id: str
    kind: int = 0
    cell: int = 0
    state: ServerState = ServerState.UP
    up_since: float | None = None
    weight: float = 1.0
    zone: int = 0

    def dedup_group(self, scope: DedupScope) -> int:
        """Return the id of the group that deduplicates keyed requests together with this server."""
        return 0 if scope is DedupScope.ALL else self.zone if scope is DedupScope.ZONE else self.cell


@dataclass(slots=True)
class ServerList:
    """An update of the server list."""

    kind: ListKind
    version: int
    servers: tuple[Server, ...] = ()


@dataclass(slots=True)
class Request:
    """A client's request; its final answer is due in `time_left` seconds. `work` is a hint in seconds."""

    id: int
    class_id: int
    time_left: float
    key: str | None = None
    tenant: int | None = None
    work: float | None = None
    is_retry: bool = False
    is_write: bool = False


@dataclass(slots=True)
class Outcome:
    """The end of an attempt; `finished` if the client has received its final answer."""

    id: int
    attempt: int
    server: str
    result: Result
    duration: float
    finished: bool
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class StreamStarted:
    """A streamed response has started; from now on it is passed to the client."""

    id: int
    attempt: int
    server: str
    duration: float


@dataclass(slots=True)
class BodyConsumed:
    """Part of a request body was forwarded and released: the request cannot be sent again."""

    id: int


@dataclass(slots=True)
class DeadlineShortened:
    """The proxy shuts down before a request's deadline: its answer is due within `time_left` seconds."""

    id: int
    time_left: float


@dataclass(slots=True)
class ClientGone:
    """The client has disconnected; no answer is due any more."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """A timer has expired."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """A datagram from another proxy."""

    sender: int
    payload: bytes


@dataclass(slots=True)
class ProbeResult:
    """The end of a health check."""

    server: str
    result: Result
    duration: float
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class OverloadSignal:
    """Overload of the proxy itself; sent when it changes, and periodically while it lasts."""

    excess_fraction: float  # of the arriving requests, beyond the capacity of the event loop
    shed_over_quota: bool  # requests beyond a tenant's quota are shed in any case
    hedging_allowed: bool  # the load permits hedged attempts
    rejected_unseen: tuple[int, ...] = ()  # requests rejected unparsed since the last signal, by tenant


Event = (
    ServerList
    | Request
    | Outcome
    | StreamStarted
    | BodyConsumed
    | DeadlineShortened
    | ClientGone
    | TimerFired
    | PeerMessage
    | ProbeResult
    | OverloadSignal
)


@dataclass(slots=True)
class Send:
    """Start the next attempt of a request; it times out after `timeout` seconds if that is above 0.

    Its first byte must be sent before `start_before` on the decisions' clock, else the attempt is not sent.
    """

    id: int
    server: str
    timeout: float = 0.0
    start_before: float = math.inf


@dataclass(slots=True)
class Reject:
    """Final answer: rejected; the client may retry, after `retry_after` seconds if that is above 0."""

    id: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: an error; the request may have run."""

    id: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class SendToPeer:
    """Send a datagram to one proxy, or to all if `peer` is None."""

    peer: int | None
    payload: bytes


@dataclass(slots=True)
class SetTimer:
    """Schedule a TimerFired after `delay` seconds; cancelled when its `request`, if any, has ended."""

    delay: float
    token: int
    request: int | None = None


@dataclass(slots=True)
class Probe:
    """Check a server's health."""

    server: str


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True)
class Watch:
    """Subscribe to the server list, or end the subscription."""

    on: bool = True


@dataclass(slots=True)
class Fetch:
    """Fetch the complete server list once."""


@dataclass(slots=True)
class Log:
    """Write a log line: an event and its fields."""

    text: str = ""
    event: str = "decisions"
    fields: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class ShedLoad:
    """Reject fractions of the arriving requests until the next such action: one a tenant, or one for all."""

    fractions: tuple[float, ...]
    retry_after: float = 0.0
    include_retries: bool = False  # reject all requests marked as retries too: their responses would be late


Action = (
    Send | Reject | Fail | Cancel | SendToPeer | SetTimer | Probe | CloseIdle | Watch | Fetch | Log | ShedLoad
)
