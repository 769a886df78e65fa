"""The format of scenarios: backends, load, network, proxies, and a timeline of troubles that may overlap.

Defaults are the operators' own figures. Pairs are ranges from which the value of each backend, client or
delay is drawn uniformly. `_s` is seconds, `_ms` milliseconds; `share` and `part` are parts of one. Scenarios
are read from TOML by `firvane.core.validation`, which rejects unknown keys, wrong types and invalid values.
"""

from __future__ import annotations

from typing import Literal

from msgspec import Struct

Range = tuple[float, float]


class Part(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all parts of a scenario: frozen, with keyword fields, rejecting unknown keys."""


class Kind(Part, frozen=True, kw_only=True):
    """A model of backend."""

    name: str
    share: float
    cores: int
    speed: Range  # of a core, the standard core being 1


class Boxes(Part, frozen=True, kw_only=True):
    """The backends behind the proxies."""

    count: int = 14
    kinds: tuple[Kind, ...] = (
        Kind(name="big-box", share=0.53, cores=4, speed=(0.85, 1.1)),
        Kind(name="small-box", share=0.47, cores=2, speed=(0.51, 0.69)),
    )
    slots_per_core: int = 2  # requests running at once; others are queued
    waiting_per_core: int = 6  # queue length; requests beyond it are rejected
    crowded_from: float = 0.5  # part of slots and queue in use above which a backend loses efficiency
    crowded_loss: float = 0.25  # loss of efficiency when full
    cold_share: float = 0.13  # part of its capacity when it has just started
    warm_s: float = 22.0
    fall_multiple: float = 2.5  # a cold backend that is sent more than this multiple of its throughput
    fall_s: float = 3.0  # within this time crashes and stays down
    fall_chance: float = 1.0  # standard deviations of random excess that are allowed above that multiple
    remembers_s: Range = (3.3, 11.0)  # how long a key stays cached
    remembers_keys: int = 400
    remembered_saves: Range = (0.33, 0.69)  # part of the work that a cached key saves
    connections: int = 400
    connect_work_ms: float = 0.5
    connect_s: float = 0.002
    probe_work_ms: Range = (0.25, 0.5)
    idle_s: float = 30.0  # idle time-out of connections
    stops_on_cancel: bool = True


class Community(Part, frozen=True, kw_only=True):
    """A group of clients that share a quota."""

    name: str
    share: float


class Retries(Part, frozen=True, kw_only=True):
    """How clients retry after a rejection, a failure or a time-out."""

    most: int = 2
    how: Literal["none", "at-once", "wait", "lockstep"] = "wait"
    wait_s: Range = (0.1, 0.6)
    beat_s: float = 1.0  # lockstep: retries are sent together, at multiples of this time
    heeds_retry_after: bool = True
    marked: bool = True


class Load(Part, frozen=True, kw_only=True):
    """The requests of the clients."""

    rate: float = 710.0  # first tries per second, over all proxies
    request_class: str = "profile-view"
    may_repeat: bool = True  # whether requests are safe to repeat
    aim_s: float = 0.5
    deadline_s: float = 2.5
    work_ms: Range = (30.0, 54.0)
    hint_error: float = 0.2  # the hint lies within this part of the true work
    keys: int = 2000
    popularity: float = 0.9  # exponent of Zipf's law over the keys
    popular: int = 4  # number of keys far more popular than the rest
    popular_share: float = 0.06  # part of all requests that go to these together
    communities: tuple[Community, ...] = (
        Community(name="lagos", share=0.28),
        Community(name="abuja", share=0.16),
        Community(name="port-harcourt", share=0.14),
        Community(name="ibadan", share=0.09),
        Community(name="enugu", share=0.09),
        Community(name="kano", share=0.08),
        Community(name="benin-city", share=0.06),
        Community(name="calabar", share=0.05),
        Community(name="diaspora-uk", share=0.05),
    )
    over_share_worth: float = 0.1
    quota: float = 1.25  # of a community, as a multiple of its share of `rate`
    quota_s: float = 1.0  # how many seconds' worth of the quota may be used at once
    burst_rise_s: float = 1.0  # duration of a burst's ramp up, and of its ramp down
    retries: Retries = Retries()
    abandon: Range = (0.34, 1.0)  # part of the deadline after which the client abandons a try
    connections: int = 40  # kept open by the clients of each proxy
    vanishing: float = 0.0  # part of the tries whose client disconnects long before its deadline
    leaving: float = 0.0  # part of the tries whose client closes its connection `leave_s` after it was sent
    leave_s: Range = (0.02, 0.6)
    leave_beat_s: float = 0.0  # such closes wait for the next multiple of this time, so that they burst
    leave_reset: float = 0.5  # part of them that reset the connection; the others close it in order
    at_once: int = 1  # requests that such a client pipelines in one write before it disconnects
    slow_readers: float = 0.0  # part of the tries whose client waits 0.1 s before it reads the answer
    body_bytes: int = 2000  # of an answer


class Network(Part, frozen=True, kw_only=True):
    """The network between clients, proxies and backends."""

    zones: tuple[str, ...] = ("ikeja", "lekki", "yaba")
    delay_ms: Range = (0.42, 0.78)  # one way between two zones
    within_ms: float = 0.05
    peers: bool = True
    peer_delay_ms: Range = (1.7, 39.0)
    peer_loss: float = 0.02
    discovery_late_s: Range = (1.0, 4.0)


class Proxies(Part, frozen=True, kw_only=True):
    """The proxies under test, and the limits of their processes."""

    count: int = 3
    cores: float = 0.7
    memory_mb: int = 64
    sockets: int = 512
    back_s: float = 1.0  # from a proxy's end to its next start
    cancel: bool = True  # whether they may cancel an attempt in progress
    recovery: bool = False  # whether proxies use the staged recovery after a power loss
    without: Literal["", "trials", "steps", "first-tries", "ask"] = ""  # a part of the recovery to disable
    snapshots: bool = False  # whether each proxy stores its learned state on a disk of its own
    voters: int = 0  # the first proxies, which vote on one policy for all; 0: each uses its own file
    lease_s: float = 3.0  # for which a proxy may serve on a grant by a majority of the voters
    change_by: Literal["agreement", "files"] = "agreement"  # how the policy is changed


TroubleKind = Literal[
    "silent",  # part of a zone's backends is unreachable for `for_s` and restarts cold
    "burst",  # a community sends `times` its usual rate
    "cut",  # a zone is cut off from the others
    "deploy",  # part of the fleet is replaced within `for_s`, `batch` of the fleet at a time, by cold ones
    "pause",  # backends are suspended for `for_s` and then resume
    "drain",  # backends drain and are removed
    "crash",  # backends' processes end, and start again cold after `for_s`
    "kill",  # a proxy is killed, and started again
    "herd",  # part of the proxies are killed at once, and started again
    "restart",  # a proxy is ordered to end, and started again
    "churn",  # every `every_s` one backend is replaced by a cold one with a new name
    "lockstep",  # clients synchronize their retries
    "slow",  # backends run at `part_speed` of their speed
    "reset",  # backends reset their connections
    "power",  # all in `strikes` lose power at once: backends return cold after `for_s`, proxies by `back_s`
    "stall",  # a proxy is suspended for `for_s` and then resumes
    "link",  # datagrams of a proxy, to `other` or all, are lost for `for_s`, or late by `late_s`
    "away",  # discovery sends nothing for `for_s`; with `older` it then sends the list from its begin first
    "clock",  # a proxy's wall clock steps by `step_s`
    "change",  # operators change the policy to those of the trouble's fields that are not 0
]


class Trouble(Part, frozen=True, kw_only=True):
    """A fault or load change of the timeline. The backends that it affects are drawn from the seed."""

    kind: TroubleKind
    at_s: float
    for_s: float = 0.0
    zone: str = ""  # "" means a drawn zone, or all zones for kinds that affect the whole fleet
    part: float = 0.2  # part of the eligible backends that it affects
    community: str = ""  # "" means a drawn one
    times: float = 4.0
    batch: float = 0.2
    drain_s: float = 3.0
    proxy: int = -1  # -1 means a drawn one
    every_s: float = 5.0
    part_speed: float = 0.3
    strikes: Literal["both", "proxies", "boxes"] = "both"
    memory: Literal["kept", "lost", "old", "torn"] = "kept"  # the state of killed proxies' disks
    never: float = 0.0  # part of the affected proxies that never return
    late: float = 0.0  # part of the affected proxies that return `late_s` after the others
    late_s: float = 0.0
    other: int = -1  # the other end of a link; -1 means all proxies
    way: Literal["both", "out", "in"] = "both"  # direction of a link, seen from its proxy
    older: bool = False
    step_s: float = 0.0
    aim_s: float = 0.0  # of a change, as in the load
    deadline_s: float = 0.0
    quota: float = 0.0
    attempts: int = 0


class Roll(Part, frozen=True, kw_only=True):
    """A rollout of a new proxy version, in virtual time. Versions: `simulation/runner/versions.py`."""

    version: Literal[
        "same", "cold", "better", "refuses", "slow", "repeats", "tenant", "leaks", "dies", "misread",
        "no-drains",
    ] = "same"  # fmt: skip
    size: float = 1.0  # factor of the version's fault; 1 is the named fault
    at_s: float = 5.0
    stages: tuple[float, ...] = (0.0, 0.1, 0.5, 1.0)  # parts of the proxies; 0 is one of them
    soak_s: float = 40.0
    longest_s: float = 240.0
    before_s: float = 10.0
    prove_s: float = 2.0
    block_s: float = 2.0
    settle_s: float = 10.0
    least_requests: int = 40
    judged_by: Literal["comparison", "errors", "nothing"] = "comparison"
    most_errors: float = 0.02  # for "errors": largest allowed increase, as a part of the requests
    then_s: float = 5.0  # time from the rollout's end to the scenario's end


class Scenario(Part, frozen=True, kw_only=True):
    """A whole scenario."""

    name: str
    about: str = ""
    seconds: float = 60.0
    warm_up_s: float = 3.0  # not counted: proxies learn concurrency limits and rates
    seed: int = 1
    boxes: Boxes = Boxes()
    load: Load = Load()
    network: Network = Network()
    proxies: Proxies = Proxies()
    troubles: tuple[Trouble, ...] = ()
    roll: Roll | None = None
