"""The keys of `firvane.toml`: their meaning, bounds and defaults.

`_s` is seconds, `_ms` milliseconds, `_mb` mebibytes. `firvane config schema` exports the descriptions, which
editors show. Checks across keys are in `checks.py`; `file.py` converts the result to a `Config`.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct

from firvane.core.address import parse_address
from firvane.proxy.config.proxy_config import MAX_VOTERS, PolicyOptions

OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
PORT = "([0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
ADDRESS_PATTERN = rf"^({OCTET}\.){{3}}{OCTET}:{PORT}$"


def described(text: str, **bounds: Any) -> Meta:
    """Return the description of a key with the bounds of its value."""
    return Meta(description=text, **bounds)


ADDRESS_FORM = "a numeric address with a port, such as 127.0.0.1:8080"
Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN, extra={"form": ADDRESS_FORM})]
PATH_FORM = "a part of a path, such as search: letters, digits, . _ ~ -"
PathPart = Annotated[str, Meta(pattern="^[A-Za-z0-9._~-]{1,100}$", extra={"form": PATH_FORM})]
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Count = Annotated[int, Meta(ge=0)]


class Part(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all tables: frozen, with keyword arguments only, and without unknown keys."""


class Target(Part, frozen=True, kw_only=True):
    """One backend of a static list."""

    address: Annotated[Address, described("where it listens")]
    name: Annotated[str, described("its name in logs and between proxies; its address where empty")] = ""
    zone: Annotated[str, described("one of zones, where there are any")] = ""
    kind: Annotated[str, described("its machine model: targets of one kind have about the same speed")] = ""
    cell: Annotated[int, described("the group of targets that deduplicates requests together", ge=0)] = 0
    weight: Annotated[float, described("its capacity relative to the others", gt=0, le=1e6)] = 1.0
    draining: Annotated[bool, described("it finishes its requests and takes no new ones")] = False


class TargetGroup(Part, frozen=True, kw_only=True):
    """The targets of requests: from discovery, or a static list (reloaded on SIGHUP)."""

    discovery: Annotated[Address | None, described("address of discovery, which is watched for changes")] = (
        None
    )
    targets: Annotated[tuple[Target, ...], described("the static list")] = ()


class RequestClass(Part, frozen=True, kw_only=True):
    """Requests of one kind: those whose path begins with /NAME."""

    name: Annotated[PathPart, described("the first part of a path")]
    aim_ms: Annotated[
        float, described("latency target: a later answer is worth only late_share", gt=0, le=3.6e6)
    ]
    deadline_ms: Annotated[float, described("the longest time that a client waits", gt=0, le=3.6e6)]
    repeat: Annotated[
        Literal["safe", "keyed", "unsafe"],
        described(
            "whether a second run is harmless (GET), harmless where targets deduplicate by key, or harmful"
        ),
    ] = "unsafe"
    repeats_dropped_by: Annotated[
        Literal["all", "zone", "cell"], described("keyed: which targets deduplicate together")
    ] = "all"
    repeats_dropped_for_s: Annotated[float, described("keyed: how long targets remember a key", ge=0)] = 0.0
    worth: Annotated[
        float, described("value of an answer within the aim, relative to other classes", gt=0, le=1e6)
    ] = 1.0
    late_share: Annotated[float, described("part of the worth that a late answer keeps", ge=0, le=1)] = 0.0


class Tenant(Part, frozen=True, kw_only=True):
    """A tenant, which clients name in X-Caller."""

    name: Name
    share: Annotated[float, described("guaranteed share of the service", ge=0, le=1)] = 0.0
    quota_rps: Annotated[float, described("requests a second over all proxies; 0: any", ge=0)] = 0.0


class Rules(Part, frozen=True, kw_only=True):
    """Properties of the targets."""

    answer_slack_ms: Annotated[float, described("time reserved for the answer before a deadline", ge=0)] = (
        20.0
    )
    drain_grace_s: Annotated[float, described("how long a draining target still gets new requests", ge=0)] = (
        1.0
    )
    start_capacity: Annotated[
        float, described("capacity of a cold target as a part of its full capacity", gt=0, le=1)
    ] = 0.13
    cold_s: Annotated[float, described("time from the start until a target is warm", gt=0)] = 22.0
    fall_multiple: Annotated[
        float, described("load, as a multiple of its capacity, at which a cold target fails", gt=0)
    ] = 2.5
    fall_s: Annotated[float, described("how long such a load lasts before the target fails", ge=0)] = 3.0


class Limits(Part, frozen=True, kw_only=True):
    """Resources of the proxy, and limits of its work for a request."""

    cores: Annotated[float, described("CPU limit; one process uses at most one core", gt=0, le=1024)] = 1.0
    memory_mb: Annotated[int, described("memory limit of the process", ge=1, le=1 << 20)] = 192
    sockets: Annotated[int, described("open descriptors in total", ge=1, le=1 << 20)] = 1024
    open_flows: Annotated[int, described("concurrent requests; further ones are refused", ge=1)] = 100_000
    attempts: Annotated[int, described("maximum number for one request", ge=1, le=16)] = 3
    second_copies: Annotated[
        bool, described("hedging: a safe request may run on two targets at the same time")
    ] = False
    cancel: Annotated[bool, described("attempts may be cancelled by closing their connections")] = True
    probes: Annotated[bool, described("targets answer GET /alive")] = False
    retry_after: Annotated[bool, described("refusals carry Retry-After")] = True
    most_retry_after_s: Annotated[float, described("maximum of Retry-After", ge=0)] = 1.0
    connect_ms: Annotated[float, described("timeout for connecting to a target", gt=0, le=60_000)] = 250.0
    target_idle_s: Annotated[float, described("idle time after which targets close a connection", gt=0)] = (
        60.0
    )


class Peers(Part, frozen=True, kw_only=True):
    """The proxies of this tier, which coordinate their decisions by UDP datagrams."""

    listen: Annotated[Address, described("this proxy's own address for datagrams")]
    addresses: Annotated[
        tuple[Address, ...],
        described("of each proxy, in the same order on all of them", min_length=1, max_length=1000),
    ]
    me: Annotated[
        Count | None, described("this proxy's index among them, where listen is not one of addresses")
    ] = None
    everyone: Annotated[Address | None, described("broadcast or multicast address of all proxies")] = None


class Tls(Part, frozen=True, kw_only=True):
    """Certificates and keys in PEM; reloaded when a file changes, for new connections."""

    certificate: Annotated[Name, described("a file: the service's certificate, and intermediate ones")]
    key: Annotated[Name, described("a file: its key")]
    authority: Annotated[
        Name, described("a file: authorities that sign receivers' certificates; several during a rotation")
    ]
    allow: Annotated[
        tuple[Name, ...], described("names in certificates that may use the service; empty: any signed one")
    ] = ()


class Control(Part, frozen=True, kw_only=True):
    """The control service (`firvane control FILE`), which serves xDS to receivers at `listen`."""

    service: Annotated[Name, described("the service name that receivers request")]
    settle_ms: Annotated[float, described("delay in which changes that are not urgent are batched", ge=0)] = (
        50.0
    )
    most_ms: Annotated[float, described("maximum of this delay", ge=0, le=60_000)] = 500.0
    panic: Annotated[
        float,
        described(
            "a list with less than this part of the targets is applied only after confirm_s", ge=0, le=0.9
        ),
    ] = 0.2
    confirm_s: Annotated[float, described("how long such a list must be unchanged", ge=0, le=600)] = 5.0
    report_s: Annotated[float, described("interval of the load reports of a receiver", ge=0.1, le=60)] = 1.0
    keep_s: Annotated[float, described("how long a disconnected receiver keeps its share", ge=0)] = 15.0
    assumed_rps: Annotated[
        float, described("assumed load of a receiver that has not reported yet", gt=0, le=1e6)
    ] = 10.0
    most_rps: Annotated[float, described("the highest load that a receiver may report", gt=0, le=1e9)] = (
        100_000.0
    )
    counts_as: Annotated[
        int, described("number of addresses in peers that the receivers represent", ge=1, le=64)
    ] = 1
    tls: Annotated[
        Tls | None, described("TLS with client certificates; without it connections are not encrypted")
    ] = None


class Recovery(Part, frozen=True, kw_only=True):
    """Recovery from a loss of power (docs/recovery.md). Either all proxies of a tier have this, or none."""

    trials: Annotated[bool, described("only one proxy, its home, first tries a target that may be cold")] = (
        True
    )
    steps: Annotated[
        bool, described("its concurrency limit starts low and doubles while answers are fast")
    ] = True
    first_tries: Annotated[bool, described("first tries have priority over retries by clients")] = True
    ask: Annotated[bool, described("request the state of a few peers")] = True
    snapshot: Annotated[
        str | None, described("path of the snapshot file, in a folder that survives restarts")
    ] = None
    snapshot_every_s: Annotated[float, described("interval of the snapshots", ge=0.1, le=3600)] = 5.0


Voters = Annotated[
    tuple[Count, ...],
    described("numbers of the proxies that vote, ascending", min_length=1, max_length=MAX_VOTERS),
]


class PolicyTable(Part, frozen=True, kw_only=True):
    """One policy for the whole tier, in force on all proxies or none. All of them must have this table."""

    folder: Annotated[
        Name, described("stores the votes of a voter and the texts of policies; must survive restarts")
    ]
    doors: Annotated[
        tuple[Address, ...],
        described("ops of each proxy, in the order of peers.addresses", min_length=1, max_length=1000),
    ]
    voters: Voters = (0, 1, 2)
    without_lease: Annotated[
        Literal["refuse", "serve"],
        described(
            "without contact to a majority of the voters: refuse requests, or serve by the last policy"
        ),
    ] = "refuse"
    lease_s: Annotated[float, described("duration of the lease that a majority grants", ge=0.5, le=60)] = 3.0
    trip_ms: Annotated[
        float, described("maximum round trip; slower answers are ignored", gt=0, le=15_000)
    ] = 200.0
    tell: Annotated[bool, described("responses carry X-Policy-Epoch")] = False

    def options(self) -> PolicyOptions:
        return PolicyOptions(
            folder=self.folder,
            voters=self.voters,
            admin_addresses=tuple(map(parse_address, self.doors)),
            serve_without_lease=self.without_lease == "serve",
            lease_duration_s=self.lease_s,
            max_round_trip_s=self.trip_ms / 1000,
            sends_epoch=self.tell,
        )


class Log(Part, frozen=True, kw_only=True):
    """The log, on standard error."""

    level: Annotated[Literal["debug", "info", "warning", "error"], described("debug: each attempt")] = "info"
    format: Annotated[Literal["logfmt", "json"], described("key=value lines, or JSON lines")] = "logfmt"


class File(Part, frozen=True, kw_only=True):
    """The configuration file of one proxy that runs without the platform."""

    listen: Annotated[Address, described("address for clients; port 0 selects a free one")]
    target_group: TargetGroup
    classes: Annotated[
        tuple[RequestClass, ...], described("classes of requests; others get 404", min_length=1)
    ]
    ops: Annotated[
        Address | None, described("address of the admin API: ready, show-stat, drain and more")
    ] = None
    measures: Annotated[
        bool, described("ops answers the call measures: counts by class and tenant, for a rollout")
    ] = False
    name: Annotated[Name, described("name of this proxy in the log")] = "firvane"
    seed: Annotated[Count | None, described("of random choices; random where missing")] = None
    zone: Annotated[str, described("zone of this proxy, one of zones")] = ""
    zones: Annotated[
        tuple[Name, ...],
        described("all zones, in the same order on each proxy; default: those of the targets"),
    ] = ()
    kinds: Annotated[
        tuple[Name, ...], described("machine models of targets; default: those of the targets")
    ] = ()
    remembers_keys: Annotated[
        bool, described("targets are faster with keys that they have already served")
    ] = True
    tenants: Annotated[
        tuple[Tenant, ...], described("tenants; if there are any, X-Caller must name one")
    ] = ()
    over_share_worth: Annotated[float, described("value of requests beyond a tenant's quota", ge=0, le=1)] = (
        1.0
    )
    rules: Rules = Rules()
    limits: Limits = Limits()
    peers: Peers | None = None
    control: Control | None = None
    recovery: Annotated[Recovery | None, described("off where missing")] = None
    policy: Annotated[PolicyTable | None, described("off where missing: only this file applies")] = None
    log: Log = Log()
