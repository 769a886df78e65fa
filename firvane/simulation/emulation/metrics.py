"""The result figures of a run. Times are s, work is s of a standard core, unless a name says otherwise.

Series hold one value for each `step_s` from the start of the run; None where there is no data.
"""

from __future__ import annotations

from msgspec import Struct

Series = list[float | None]


class Weights(Struct, frozen=True, kw_only=True):
    """The operators' weights for service, and the penalties that they subtract (1 is the whole score)."""

    whole: float = 0.60
    worst_10_s: float = 0.15
    worst_community: float = 0.25
    failed_late: float = 0.08  # all worth failing only after the wanted time
    waste: float = 0.04  # for as much wasted as requested work
    crossings: float = 0.02  # for one crossing between zones per request
    probes: float = 0.01  # for one probe per request
    messages: float = 0.01  # for one full message per request


WEIGHTS = Weights()
MESSAGE = 256  # bytes of a full message


class Requests(Struct, kw_only=True):
    """Requests by outcome, retries by their clients included; warm-up left out."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0


class Tries(Struct, kw_only=True):
    """Tries by outcome, those of the warm-up included."""

    asked: int = 0
    again: int = 0  # retries by clients
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    unreached: int = 0  # no connection was established


class Attempts(Struct, kw_only=True):
    """The attempts that proxies sent for requests; warm-up left out."""

    sent: int = 0
    turned_away: int = 0
    unheard: int = 0  # sent to unreachable backends
    crossings: int = 0  # from one zone to another
    probes: int = 0
    per_request: float = 0.0
    spread: list[int] = []  # requests by number of attempts: 0, 1, 2 ...; the last with any more


class Leavers(Struct, kw_only=True):
    """Requests whose clients disconnected before their deadline, those of the warm-up included."""

    left: int = 0
    waiting: int = 0  # of these: queued, with no attempt in progress at the disconnect
    sent_on: int = 0  # of the queued: an attempt arrived at a backend over 0.3 s later

    @property
    def share(self) -> float:
        """The part of the queued requests that was forwarded late."""
        return self.sent_on / self.waiting if self.waiting else 0.0


class Waste(Struct, kw_only=True):
    """Work done by backends, and the part that produced no answer for a client; warm-up left out."""

    spent: float = 0.0
    wasted: float = 0.0
    part: float = 0.0  # wasted part of the work spent


class BoxUse(Struct, kw_only=True):
    """One backend, over all its starts."""

    kind: str
    zone: str
    arrived: int = 0
    turned_away: int = 0
    work: float = 0.0
    load: float = 0.0  # work done as a part of its capacity while it was up
    worked: Series = []
    capacity: Series = []  # standard cores; None while it is not up


class ProxyUse(Struct, kw_only=True):
    """One proxy, over all its incarnations. CPU and memory are 0 where they are not measured."""

    cpu_s: float = 0.0
    cores_most: float = 0.0  # over any step
    memory_most: int = 0  # bytes
    sockets_most: int = 0
    datagrams: int = 0
    datagram_bytes: int = 0
    datagrams_lost: int = 0
    cores: Series = []
    memory: Series = []  # bytes
    sockets: Series = []


class OverTime(Struct, kw_only=True):
    """The run over time. Service is by the planned send time of requests, the other series by event time."""

    step_s: float = 1.0
    asked: list[float] = []  # worth
    earned: list[float] = []  # part of this worth that was answered in time
    service: Series = []
    communities: dict[str, Series] = {}
    zones: dict[str, Series] = {}
    p50_ms: Series = []
    p99_ms: Series = []
    first_tries: list[int] = []
    again: list[int] = []
    refused: list[int] = []
    failed: list[int] = []  # or connection ended
    unanswered: list[int] = []
    attempts: list[int] = []


class ServiceResult(Struct, kw_only=True):
    """All figures of a run. Service is the worth answered in time over the worth requested."""

    score: float  # service by the operators' weights, less their penalties
    service: float
    worst_10_s: float
    worst_10_s_at: float
    worst_community: float  # within its share
    worst_community_name: str
    communities: dict[str, float]  # within their shares
    penalties: dict[str, float]
    requests: Requests
    tries: Tries
    attempts: Attempts
    waste: Waste
    latency_ms: dict[str, float]  # p50, p90, p99, p99.9 and max of served requests, from the planned send
    latency_curve: list[tuple[float, float]]  # percentile, ms
    boxes: dict[str, BoxUse]
    proxies: dict[str, ProxyUse]
    over_time: OverTime
