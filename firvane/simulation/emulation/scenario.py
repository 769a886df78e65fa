"""A scenario: a fleet, a load, a network, and a timeline of troubles that may overlap.

Plain values with the operators' own figures as defaults. Pairs are ranges from which each box, person or
delay draws evenly. `_s` is seconds, `_ms` milliseconds, `share` and `part` are parts of one. Read from TOML
by `firvane.core.validation`, which refuses what is unknown, of the wrong type or impossible.
"""

from __future__ import annotations

from typing import Literal

from msgspec import Struct

Range = tuple[float, float]


class Part(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What all of them are: frozen, named, and closed against keys that nobody reads."""


class Kind(Part, frozen=True, kw_only=True):
    """A model of box."""

    name: str
    share: float
    cores: int
    speed: Range  # of a core, the standard core being 1


class Boxes(Part, frozen=True, kw_only=True):
    """What stands behind the proxies."""

    count: int = 14
    kinds: tuple[Kind, ...] = (
        Kind(name="big-box", share=0.53, cores=4, speed=(0.85, 1.1)),
        Kind(name="small-box", share=0.47, cores=2, speed=(0.51, 0.69)),
    )
    slots_per_core: int = 2  # requests in work at once; what is beyond waits
    waiting_per_core: int = 6  # and beyond that is turned away
    crowded_from: float = 0.5  # part of slots and waiting room beyond which a box loses efficiency
    crowded_loss: float = 0.25  # the most of it that it loses, when full
    cold_share: float = 0.13  # of its capacity, when it has just started
    warm_s: float = 22.0
    fall_multiple: float = 2.5  # sent more than this multiple of what it can do
    fall_s: float = 3.0  # for this long, a cold box falls over and stays down
    fall_chance: float = 1.0  # standard deviations by which chance may swell what was sent before it counts
    remembers_s: Range = (3.3, 11.0)  # how long a key stays warm
    remembers_keys: int = 400
    remembered_saves: Range = (0.33, 0.69)  # part of the work that a warm key saves
    connections: int = 400
    connect_work_ms: float = 0.5
    connect_s: float = 0.002
    probe_work_ms: Range = (0.25, 0.5)
    idle_s: float = 30.0  # an idle connection is closed at the latest then
    stops_on_cancel: bool = True


class Community(Part, frozen=True, kw_only=True):
    """Members who share a quota."""

    name: str
    share: float


class Retries(Part, frozen=True, kw_only=True):
    """What clients do by themselves after a refusal, a failure or a wait in vain."""

    most: int = 2
    how: Literal["none", "at-once", "wait", "lockstep"] = "wait"
    wait_s: Range = (0.1, 0.6)
    beat_s: float = 1.0  # lockstep: all retries of a beat leave together, at its end
    heeds_retry_after: bool = True
    marked: bool = True


class Load(Part, frozen=True, kw_only=True):
    """What members ask."""

    rate: float = 710.0  # first tries a second, over all proxies
    request_class: str = "profile-view"
    may_repeat: bool = True  # whether a second run of a request does no harm
    aim_s: float = 0.5
    deadline_s: float = 2.5
    work_ms: Range = (30.0, 54.0)
    hint_error: float = 0.2  # the hint lies within this part of the true work
    keys: int = 2000
    popularity: float = 0.9  # exponent of Zipf's law over the keys
    popular: int = 4  # members far more popular than the rest
    popular_share: float = 0.06  # of all requests, for these together
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
    quota_s: float = 1.0  # and how many seconds' worth of it may come at once
    burst_rise_s: float = 1.0  # in which a burst rises, and in which it falls
    retries: Retries = Retries()
    abandon: Range = (0.34, 1.0)  # part of the deadline after which a try is given up
    connections: int = 40  # kept by the clients of each proxy
    vanishing: float = 0.0  # part of the tries whose client goes away long before its time
    leaving: float = 0.0  # part of the tries whose client closes its connection `leave_s` after it was sent
    leave_s: Range = (0.02, 0.6)
    leave_beat_s: float = 0.0  # and waits for the next beat of that length, so that they leave in a burst
    leave_reset: float = 0.5  # part of them that leave by a reset, the others by the end of their connection
    at_once: int = 1  # requests that such a client sends in one write, one behind the other, before it goes
    slow_readers: float = 0.0  # part of the tries whose client lets its answer lie for 0.1 s
    body_bytes: int = 2000  # of an answer


class Network(Part, frozen=True, kw_only=True):
    """What lies between."""

    zones: tuple[str, ...] = ("ikeja", "lekki", "yaba")
    delay_ms: Range = (0.42, 0.78)  # one way between two zones
    within_ms: float = 0.05
    peers: bool = True
    peer_delay_ms: Range = (1.7, 39.0)
    peer_loss: float = 0.02
    discovery_late_s: Range = (1.0, 4.0)


class Proxies(Part, frozen=True, kw_only=True):
    """The proxies under test, and their limits where they are processes."""

    count: int = 3
    cores: float = 0.7
    memory_mb: int = 64
    sockets: int = 512
    back_s: float = 1.0  # from a kill or an end to the next start
    cancel: bool = True  # whether they may give an attempt up that is out
    recovery: bool = False  # the proxies come back from a power loss by their order of service
    without: Literal["", "trials", "steps", "first-tries", "ask"] = ""  # with one part of that switched off
    snapshots: bool = False  # each keeps what it has learnt on a disk of its own
    voters: int = 0  # the first proxies, which vote on one policy for all; 0: each decides by its own file
    lease_s: float = 3.0  # for which a proxy serves on what a majority of the voters has told
    change_by: Literal["agreement", "files"] = "agreement"  # how the policy is changed


TroubleKind = Literal[
    "silent",  # part of a zone's boxes says nothing for `for_s` and comes back cold
    "burst",  # a community asks `times` its usual rate
    "cut",  # a zone is cut off from the others
    "deploy",  # part of the fleet is replaced within `for_s`, `batch` of the fleet at a time, by cold ones
    "pause",  # boxes stand still for `for_s` and go on where they were
    "drain",  # boxes drain and leave
    "crash",  # boxes' processes end, and start again cold after `for_s`
    "kill",  # a proxy is killed, and started again
    "herd",  # part of the proxies are killed at once, and started again
    "restart",  # a proxy is told to end, and started again
    "churn",  # every `every_s` one box is replaced by a cold one with a new name
    "lockstep",  # clients retry at once, all on one beat
    "slow",  # boxes do `part_speed` of what they did
    "reset",  # boxes break the connections that they have
    "power",  # what `strikes` names is off at once: boxes are back cold after `for_s`, proxies by `back_s`
    "stall",  # a proxy stands still for `for_s` and goes on where it was
    "link",  # datagrams of a proxy, to `other` or all, are lost for `for_s`, or late by `late_s`
    "away",  # discovery says nothing for `for_s`, and where `older` then tells the list of then once more
    "clock",  # a proxy's wall clock steps by `step_s`
    "change",  # operators change the policy: what is said of it here and is not 0
]


class Trouble(Part, frozen=True, kw_only=True):
    """One line of the timeline. Which boxes it strikes is drawn from the seed."""

    kind: TroubleKind
    at_s: float
    for_s: float = 0.0
    zone: str = ""  # "" is drawn, or all where the kind strikes the whole fleet
    part: float = 0.2  # of the boxes that it may strike
    community: str = ""  # "" is drawn
    times: float = 4.0
    batch: float = 0.2
    drain_s: float = 3.0
    proxy: int = -1  # -1 is drawn
    every_s: float = 5.0
    part_speed: float = 0.3
    strikes: Literal["both", "proxies", "boxes"] = "both"
    memory: Literal["kept", "lost", "old", "torn"] = "kept"  # what becomes of the disks of proxies killed
    never: float = 0.0  # part of the proxies struck that never return
    late: float = 0.0  # part of them that returns `late_s` after the others
    late_s: float = 0.0
    other: int = -1  # the other end of a link; -1 is all
    way: Literal["both", "out", "in"] = "both"  # of a link, as its proxy sees it
    older: bool = False
    step_s: float = 0.0
    aim_s: float = 0.0  # of a change, as in the load
    deadline_s: float = 0.0
    quota: float = 0.0
    attempts: int = 0


class Roll(Part, frozen=True, kw_only=True):
    """A rolling change of the proxies' version, in virtual time. Versions: rehearsal/versions.py."""

    version: Literal[
        "same", "cold", "better", "refuses", "slow", "repeats", "tenant", "leaks", "dies", "misread",
        "no-drains",
    ] = "same"  # fmt: skip
    size: float = 1.0  # of its fault, 1 as it is named
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
    most_errors: float = 0.02  # by errors: more than before by that part of the requests is too much
    then_s: float = 5.0  # the scenario ends so long after the roll has


class Scenario(Part, frozen=True, kw_only=True):
    """All of it."""

    name: str
    about: str = ""
    seconds: float = 60.0
    warm_up_s: float = 3.0  # not counted: rooms and rates are learnt
    seed: int = 1
    boxes: Boxes = Boxes()
    load: Load = Load()
    network: Network = Network()
    proxies: Proxies = Proxies()
    troubles: tuple[Trouble, ...] = ()
    roll: Roll | None = None
