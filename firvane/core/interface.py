"""Settings, events and actions of the balancer. Times and spans are seconds on the caller's clock.

Settings are frozen. Events and actions are plain slotted records, since they are made by the thousand.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a second run of a request does harm: never, not within its deduplication, or always."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The servers that together drop the duplicates of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class LoadReportSource(Enum):
    """Where servers' load reports are found: in their responses or in those to health checks."""

    RESPONSES = "answers"
    PROBES = "probes"
    NONE = "none"


class ListKind(Enum):
    """What a server list event holds: changes, the complete list, a cached copy, or a failed call."""

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
    """How an attempt ended; UNKNOWN where nothing tells whether it ran."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    CONNECTIONS_FULL = "no_place"  # the server's table of connections is full: it rejected a new one
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
        latency_target: seconds within which an answer has its full value.
        deadline: seconds after which its client gives up.
        value: priority weight of an answer.
        late_value_fraction: of the value, that a late answer keeps.
        idempotency: whether a second run does harm.
        dedup_scope: the servers that together drop duplicates.
        dedup_window: seconds for which they do.
        stream: whether answers are streamed.
        latency_target_stretch: as the settings give it; unused.
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
    """A tenant: its quota share of the service, and that in requests a second over all proxies; 0: any."""

    name: str
    quota_share: float = 0.0
    quota_rps: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures of the four rules; durations in seconds.

    Attributes:
        answer_slack: kept free before a deadline.
        drain_grace: after which a draining server is sent nothing.
        start_capacity: part of its capacity that a server has at its start.
        slow_start: after a start, until a server has all of it.
        fall_multiple: of what it can do, that overloads a server in slow start within `fall_window`.
        fall_window: see there.
        ask_within: as the settings give it; unused.
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
    """What the deployment allows; durations in seconds."""

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
    """The parts of the recovery from a power loss, each of which may be switched off."""

    trials: bool = True  # a server is tried by the owner of its slice first
    steps: bool = True  # a server's capacity is found by steps
    first_tries: bool = True  # first attempts go before retries
    ask: bool = True  # peers are asked for their state


@dataclass(slots=True, frozen=True)
class RestoredEstimates:
    """Estimates of an earlier incarnation, aged as they apply now."""

    age: float  # s since they were saved
    scale: float = 0.0  # answers a second and weight of a warm server; 0: unknown
    kinds: Mapping[str, float] = field(default_factory=dict)  # the same by kind, by its name
    capacities: Mapping[str, float] = field(default_factory=dict)  # of servers, by id
    start_times: Mapping[str, float] = field(default_factory=dict)  # their last starts, by id


@dataclass(slots=True, frozen=True)
class Settings:
    """The configuration of one balancer.

    Attributes:
        me: index of this proxy, from 0.
        proxies: number of proxies.
        tick: seconds by which a batch of events may be late.
        ask: whether the server list has to be asked for.
        weighted: whether the list's weights count.
        live_weights: whether these follow the servers' load.
        over_quota_value: factor of the value of requests beyond a tenant's quota share.
        key_affinity: whether servers answer a key they met lately with less work.
        recovery: None: off.
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
        """The group of servers that drop a keyed request's duplicates together with this one."""
        return 0 if scope is DedupScope.ALL else self.zone if scope is DedupScope.ZONE else self.cell


@dataclass(slots=True)
class ServerList:
    """An update of the server list."""

    kind: ListKind
    version: int
    servers: tuple[Server, ...] = ()


@dataclass(slots=True)
class Request:
    """A client's request; its final answer is due within `time_left` seconds. `work` is a hint in seconds."""

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
    """The end of one attempt; `finished` when the client has its final answer."""

    id: int
    attempt: int
    server: str
    result: Result
    duration: float
    finished: bool
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class StreamStarted:
    """The answer of a streamed request has begun; it belongs to the client from here on."""

    id: int
    attempt: int
    server: str
    duration: float


@dataclass(slots=True)
class BodyConsumed:
    """Part of a request's body was forwarded and released: it cannot be sent again."""

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
    """A timer fell due."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """Bytes from another proxy."""

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
    """What the proxy itself cannot carry; sent whenever that changes, and each period while it lasts."""

    excess_fraction: float  # of the requests that arrive, beyond what the event loop can serve
    shed_over_quota: bool  # what exceeds a tenant's quota share is shed in any case
    hedging_allowed: bool  # second attempts are affordable
    rejected_unseen: tuple[int, ...] = ()  # requests shed unparsed since the last signal, by tenant


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
    """Start the next attempt of a request; given up after `timeout` where that is above 0.

    Its first byte is sent before `start_before`, on the clock of the decisions, or never.
    """

    id: int
    server: str
    timeout: float = 0.0
    start_before: float = math.inf


@dataclass(slots=True)
class Reject:
    """Final answer: rejected, a retry is harmless, after `retry_after` seconds where above 0."""

    id: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: an error; the request may have run."""

    id: int


@dataclass(slots=True)
class Cancel:
    """End the wait for one attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class SendToPeer:
    """Send bytes to one proxy, or to all where `peer` is None."""

    peer: int | None
    payload: bytes


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired after `delay` seconds; void once the request it is for has ended."""

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
    """Ask for the complete server list once."""


@dataclass(slots=True)
class Log:
    """A log line for the operators: an event and its fields."""

    text: str = ""
    event: str = "decisions"
    fields: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class ShedLoad:
    """Reject these fractions of what arrives, until the next such action: by tenant, or one for all."""

    fractions: tuple[float, ...]
    retry_after: float = 0.0
    include_retries: bool = False  # all marked retries as well: they would return too late


Action = (
    Send | Reject | Fail | Cancel | SendToPeer | SetTimer | Probe | CloseIdle | Watch | Fetch | Log | ShedLoad
)
