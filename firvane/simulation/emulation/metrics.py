"""What a run's figures are called. Times are s, work s of a standard core, unless a name says otherwise.

Series hold one value for each `step_s` from the start of the run; None where there is nothing to tell.
"""

from __future__ import annotations

from msgspec import Struct

Series = list[float | None]


class Weights(Struct, frozen=True, kw_only=True):
    """How the operators weigh service, and the points in one that they take off."""

    whole: float = 0.60
    worst_10_s: float = 0.15
    worst_community: float = 0.25
    failed_late: float = 0.08  # all worth failing only after the wanted time
    waste: float = 0.04  # work wasted, as much as was asked for
    crossings: float = 0.02  # each request crossing data centres once
    probes: float = 0.01  # one probe a request
    messages: float = 0.01  # one full message a request


WEIGHTS = Weights()
MESSAGE = 256  # bytes of a full one


class Requests(Struct, kw_only=True):
    """First tries by how they ended, with all that their clients tried again; warm-up left out."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0


class Tries(Struct, kw_only=True):
    """Tries by how they ended, those of the warm-up too."""

    asked: int = 0
    again: int = 0  # of them, by clients themselves
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    unreached: int = 0  # no connection came up


class Attempts(Struct, kw_only=True):
    """What the proxies sent for the requests; warm-up left out."""

    sent: int = 0
    turned_away: int = 0
    unheard: int = 0  # written to boxes that did not hear
    crossings: int = 0  # from one data centre to another
    probes: int = 0
    per_request: float = 0.0
    spread: list[int] = []  # requests that took 0, 1, 2 ... attempts; the last also what took more


class Leavers(Struct, kw_only=True):
    """Requests whose clients left before their time, those of the warm-up too."""

    left: int = 0
    waiting: int = 0  # of them, with no attempt out at a box when the client left
    sent_on: int = 0  # of those that waited, with an attempt that came whole to a box over 0.3 s later

    @property
    def share(self) -> float:
        """The part of those that waited that was sent on."""
        return self.sent_on / self.waiting if self.waiting else 0.0


class Waste(Struct, kw_only=True):
    """Work that the boxes did, and what of it made no answer that a client got; warm-up left out."""

    spent: float = 0.0
    wasted: float = 0.0
    part: float = 0.0  # of what was spent


class BoxUse(Struct, kw_only=True):
    """One box, over all of its starts."""

    kind: str
    zone: str
    arrived: int = 0
    turned_away: int = 0
    work: float = 0.0
    load: float = 0.0  # work done, as a part of what it could have done while it was up
    worked: Series = []
    capacity: Series = []  # standard cores; None while it is not up


class ProxyUse(Struct, kw_only=True):
    """One proxy, over all of its lives. CPU and memory are 0 where nothing measures them."""

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
    """The run second by second. Service is of what was meant to be sent then; the rest is of then."""

    step_s: float = 1.0
    asked: list[float] = []  # worth
    earned: list[float] = []  # worth of these that was answered in time
    service: Series = []
    communities: dict[str, Series] = {}
    zones: dict[str, Series] = {}
    p50_ms: Series = []
    p99_ms: Series = []
    first_tries: list[int] = []
    again: list[int] = []
    refused: list[int] = []
    failed: list[int] = []  # or cut off
    unanswered: list[int] = []
    attempts: list[int] = []


class ServiceResult(Struct, kw_only=True):
    """All of a run's figures. Service is the worth answered in time over the worth asked for."""

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
    latency_ms: dict[str, float]  # p50, p90, p99, p99.9 and max of what was served, from the intended send
    latency_curve: list[tuple[float, float]]  # percentile, ms
    boxes: dict[str, BoxUse]
    proxies: dict[str, ProxyUse]
    over_time: OverTime
