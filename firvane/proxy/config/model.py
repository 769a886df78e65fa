"""The words of `firvane.toml`: what each key means, its bounds and its default.

`_s` is seconds, `_ms` milliseconds, `_mb` mebibytes. The descriptions are what `firvane config schema` hands
to editors. What must fit together across keys is in `checks.py`, what becomes of it all in `file.py`.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct

from firvane.core.address import parse_address
from firvane.proxy.config.node import MAX_VOTERS, PolicyOptions

OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
PORT = "([0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
NUMERIC = rf"^({OCTET}\.){{3}}{OCTET}:{PORT}$"


def says(text: str, **bounds: Any) -> Meta:
    """A key's description, and what its value must keep to."""
    return Meta(description=text, **bounds)


FORM = "a numeric address with a port, such as 127.0.0.1:8080"
Address = Annotated[str, Meta(pattern=NUMERIC, extra={"form": FORM})]
PATH_FORM = "a part of a path, such as search: letters, digits, . _ ~ -"
PathPart = Annotated[str, Meta(pattern="^[A-Za-z0-9._~-]{1,100}$", extra={"form": PATH_FORM})]
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Count = Annotated[int, Meta(ge=0)]


class Part(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Frozen, named, and closed against keys that nobody reads."""


class Target(Part, frozen=True, kw_only=True):
    """One backend of a static list."""

    address: Annotated[Address, says("where it listens")]
    name: Annotated[str, says("how logs and proxies call it; its address where empty")] = ""
    zone: Annotated[str, says("one of zones, where there are any")] = ""
    kind: Annotated[str, says("its model: targets of one kind are about equally quick")] = ""
    cell: Annotated[int, says("the group that drops repeats together", ge=0)] = 0
    weight: Annotated[float, says("its size beside the others", gt=0, le=1e6)] = 1.0
    draining: Annotated[bool, says("it finishes what it has and wants nothing new")] = False


class TargetGroup(Part, frozen=True, kw_only=True):
    """Where requests go: either what discovery tells of, or a static list (read anew on SIGHUP)."""

    discovery: Annotated[Address | None, says("discovery's address: the list is watched")] = None
    targets: Annotated[tuple[Target, ...], says("the static list")] = ()


class RequestClass(Part, frozen=True, kw_only=True):
    """Requests of one kind: those whose path begins with /NAME."""

    name: Annotated[PathPart, says("the first part of a path")]
    aim_ms: Annotated[float, says("an answer after that is worth little", gt=0, le=3.6e6)]
    deadline_ms: Annotated[float, says("the client waits no longer than that", gt=0, le=3.6e6)]
    repeat: Annotated[
        Literal["safe", "keyed", "unsafe"],
        says(
            "a second run does no harm (GET), none where targets drop repeats by key (POST), or harm (POST)"
        ),
    ] = "unsafe"
    repeats_dropped_by: Annotated[
        Literal["all", "zone", "cell"], says("keyed: targets that drop them together")
    ] = "all"
    repeats_dropped_for_s: Annotated[float, says("keyed: how long they remember a key", ge=0)] = 0.0
    worth: Annotated[float, says("of an answer within the aim, beside others'", gt=0, le=1e6)] = 1.0
    late_share: Annotated[float, says("part of the worth that a late one keeps", ge=0, le=1)] = 0.0


class Tenant(Part, frozen=True, kw_only=True):
    """Whoever clients name in X-Caller."""

    name: Name
    share: Annotated[float, says("of the service", ge=0, le=1)] = 0.0
    quota_rps: Annotated[float, says("requests a second over all proxies; 0: any", ge=0)] = 0.0


class Rules(Part, frozen=True, kw_only=True):
    """What the targets need."""

    answer_slack_ms: Annotated[float, says("kept free before a deadline", ge=0)] = 20.0
    drain_grace_s: Annotated[float, says("new work may still go to a draining target", ge=0)] = 1.0
    start_capacity: Annotated[float, says("part that a cold target can do", gt=0, le=1)] = 0.13
    cold_s: Annotated[float, says("after which a target is warm", gt=0)] = 22.0
    fall_multiple: Annotated[
        float, says("sent more than this multiple of what it can do, a cold target falls", gt=0)
    ] = 2.5
    fall_s: Annotated[float, says("when that lasts for so long", ge=0)] = 3.0


class Limits(Part, frozen=True, kw_only=True):
    """What the proxy may use and do."""

    cores: Annotated[float, says("of a processor; one process uses one", gt=0, le=1024)] = 1.0
    memory_mb: Annotated[int, says("that the process may hold", ge=1, le=1 << 20)] = 192
    sockets: Annotated[int, says("descriptors in all", ge=1, le=1 << 20)] = 1024
    open_flows: Annotated[int, says("requests at once; further ones are refused", ge=1)] = 100_000
    attempts: Annotated[int, says("of one request, at the most", ge=1, le=16)] = 3
    second_copies: Annotated[bool, says("a safe request may run twice at once")] = False
    cancel: Annotated[bool, says("an attempt may be broken off by closing its connection")] = True
    probes: Annotated[bool, says("targets answer GET /alive")] = False
    retry_after: Annotated[bool, says("refusals say when to come again")] = True
    most_retry_after_s: Annotated[float, says("the longest such wait", ge=0)] = 1.0
    connect_ms: Annotated[float, says("for a connection to a target", gt=0, le=60_000)] = 250.0
    target_idle_s: Annotated[float, says("idle for so long, a target closes a connection", gt=0)] = 60.0


class Peers(Part, frozen=True, kw_only=True):
    """The proxies of this tier, which keep their decisions in step by UDP datagrams."""

    listen: Annotated[Address, says("this proxy's own address for datagrams")]
    addresses: Annotated[
        tuple[Address, ...],
        says("of each proxy, in the same order on all of them", min_length=1, max_length=1000),
    ]
    me: Annotated[
        Count | None, says("this proxy's place among them, where listen is not the address there")
    ] = None
    everyone: Annotated[Address | None, says("where a datagram for all of them goes")] = None


class Tls(Part, frozen=True, kw_only=True):
    """Certificates and keys in PEM; read anew when a file changes, for connections that come after that."""

    certificate: Annotated[Name, says("a file: the service's own certificate, and those between")]
    key: Annotated[Name, says("a file: its key")]
    authority: Annotated[Name, says("a file: who signs receivers' certificates; several at a rotation")]
    allow: Annotated[
        tuple[Name, ...], says("names in certificates that may see the service; empty: any that is signed")
    ] = ()


class Control(Part, frozen=True, kw_only=True):
    """The control service (`firvane control FILE`): listen is then where receivers ask by xDS."""

    service: Annotated[Name, says("the name under which receivers ask for it")]
    settle_ms: Annotated[float, says("a change that is not urgent waits for others for so long", ge=0)] = 50.0
    most_ms: Annotated[float, says("and no longer than that", ge=0, le=60_000)] = 500.0
    panic: Annotated[
        float, says("a whole list that leaves less than that part of the boxes is doubted", ge=0, le=0.9)
    ] = 0.2
    confirm_s: Annotated[float, says("until it has stood for so long", ge=0, le=600)] = 5.0
    report_s: Annotated[float, says("between load reports of a receiver", ge=0.1, le=60)] = 1.0
    keep_s: Annotated[float, says("a receiver that has left is left its part for so long", ge=0)] = 15.0
    assumed_rps: Annotated[float, says("of a receiver that has not reported yet", gt=0, le=1e6)] = 10.0
    most_rps: Annotated[float, says("that one receiver may report", gt=0, le=1e9)] = 100_000.0
    counts_as: Annotated[
        int, says("proxies that receivers stand for in the tier: so many of its addresses", ge=1, le=64)
    ] = 1
    tls: Annotated[Tls | None, says("receivers must show a certificate; without it nothing is hidden")] = None


class Recovery(Part, frozen=True, kw_only=True):
    """Coming back from a loss of power (docs/recovery.md). All proxies of a tier have it, or none."""

    trials: Annotated[bool, says("a target that may be cold is tried by its home first, not by all")] = True
    steps: Annotated[bool, says("its room is found by steps, which double while answers are quick")] = True
    first_tries: Annotated[bool, says("they go before requests that come again")] = True
    ask: Annotated[bool, says("a few peers are asked what they hold")] = True
    snapshot: Annotated[str | None, says("the file that keeps what was learnt; its folder must last")] = None
    snapshot_every_s: Annotated[float, says("from one writing to the next", ge=0.1, le=3600)] = 5.0


Voters = Annotated[
    tuple[Count, ...],
    says("numbers of the proxies that decide, ascending", min_length=1, max_length=MAX_VOTERS),
]


class PolicyTable(Part, frozen=True, kw_only=True):
    """One policy for the whole tier, in force everywhere or nowhere. All its proxies have this, or none."""

    folder: Annotated[Name, says("keeps a voter's votes and the policies' texts; it must last")]
    doors: Annotated[
        tuple[Address, ...],
        says("ops of each proxy, in the order of peers.addresses", min_length=1, max_length=1000),
    ]
    voters: Voters = (0, 1, 2)
    without_lease: Annotated[
        Literal["refuse", "serve"],
        says("while no majority of the voters is heard: refuse requests, or serve by the policy it had"),
    ] = "refuse"
    lease_s: Annotated[float, says("a majority's word may be acted on for so long", ge=0.5, le=60)] = 3.0
    trip_ms: Annotated[float, says("the longest way there and back that counts", gt=0, le=15_000)] = 200.0
    tell: Annotated[bool, says("answers carry X-Policy-Epoch")] = False

    def options(self) -> PolicyOptions:
        return PolicyOptions(
            folder=self.folder,
            voters=self.voters,
            admin_addresses=tuple(map(parse_address, self.doors)),
            serve_without_lease=self.without_lease == "serve",
            lease_s=self.lease_s,
            round_trip_s=self.trip_ms / 1000,
            sends_epoch=self.tell,
        )


class Log(Part, frozen=True, kw_only=True):
    """What is told on standard error."""

    level: Annotated[Literal["debug", "info", "warning", "error"], says("debug: each attempt")] = "info"
    format: Annotated[Literal["logfmt", "json"], says("key=value lines, or JSON lines")] = "logfmt"


class File(Part, frozen=True, kw_only=True):
    """One proxy without a platform."""

    listen: Annotated[Address, says("where clients connect; port 0 takes any that is free")]
    target_group: TargetGroup
    classes: Annotated[tuple[RequestClass, ...], says("of requests; others get 404", min_length=1)]
    ops: Annotated[Address | None, says("where operators call: ready, show-stat, drain and more")] = None
    measures: Annotated[bool, says("ops answers measures: counts by class and tenant, for a roll")] = False
    name: Annotated[Name, says("of this proxy, in the log")] = "firvane"
    seed: Annotated[Count | None, says("for random choices; the system's where missing")] = None
    zone: Annotated[str, says("where this proxy stands; one of zones")] = ""
    zones: Annotated[
        tuple[Name, ...], says("all, in the same order on each proxy; else the targets' own")
    ] = ()
    kinds: Annotated[tuple[Name, ...], says("models of target; else the targets' own")] = ()
    remembers_keys: Annotated[bool, says("a target is quicker at a key that it has met")] = True
    tenants: Annotated[tuple[Tenant, ...], says("where there are any, X-Caller must name one")] = ()
    over_share_worth: Annotated[float, says("worth of what goes beyond a tenant's quota", ge=0, le=1)] = 1.0
    rules: Rules = Rules()
    limits: Limits = Limits()
    peers: Peers | None = None
    control: Control | None = None
    recovery: Annotated[Recovery | None, says("off where missing")] = None
    policy: Annotated[PolicyTable | None, says("off where missing: this file alone decides")] = None
    log: Log = Log()
