"""State of servers, attempts and open requests in the balancers, and shared arithmetic.

Times are in seconds on the decisions' clock, durations in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from firvane.core import interface as api

if TYPE_CHECKING:
    from mypy_extensions import i64  # a 64-bit machine integer when compiled; a plain int when interpreted

MIN_WEIGHT = 2.0**-10  # above 0, as weights are divisors; not tiny, as estimates outlive a weight change
MAX_WEIGHT = 1e15
INITIAL_CAPACITY = 4.0  # attempts


def mix(a: int, b: int) -> int:
    """Return a 32-bit hash of two integers that is the same in every process."""
    # Only the low 64 bits of a product matter: compiled products wrap, interpreted ones grow. The large
    # factor is written as the negative number with the same bits, as that fits a signed machine word.
    x: i64 = a
    y: i64 = b
    x = (x ^ y * 0x9E3779B1) * -0x2917014799A6026D
    return (x ^ (x >> 32 & 0xFFFFFFFF)) * -0x2917014799A6026D >> 24 & 0xFFFFFFFF


def total(values: Iterable[float]) -> float:
    """Return the sum from left to right: bit-identical on every Python, interpreted or compiled.

    The built-in `sum` uses compensated summation from Python 3.12 on, and mypyc compiles it for integers.
    """
    result = 0.0
    for value in values:
        result += value
    return result


def clamp_weight(weight: float) -> float:
    """Return a listed weight limited to `MIN_WEIGHT` and `MAX_WEIGHT`."""
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt that has not ended.

    Attributes:
        sent_at: time of the send.
        usual_duration: duration of such an attempt at its server, as estimated at the send.
        overtaken_by: number of attempts that were sent to its server later but answered earlier.
        is_lost: no response is expected any more; excluded from `Backend.in_flight`.
    """

    sent_at: float
    usual_duration: float
    overtaken_by: int = 0
    is_lost: bool = False


@dataclass(slots=True, eq=False)
class Backend:
    """The state that one proxy keeps of one server.

    Attributes:
        entry: its entry in the server list.
        id_hash: stable hash of its id.
        weight: listed weight, clamped.
        started_at: time of its last start, as listed or observed; None: long ago.
        in_flight: attempts in flight from this proxy.
        capacity: estimated number of attempts from this proxy that it accepts at a time.
        capacity_cut_at: when `capacity` was last lowered.
        announced: `in_flight` as last announced to the peers.
        peers_in_flight: attempts in flight from the peers, by their rows.
        relative_latency: its recent durations, relative to the usual ones of their classes.
        relative_latency_at: when `relative_latency` was last updated.
        error_rate: fraction of errors in its recent responses.
        failures: failed attempts since its last response.
        connection_failures: the part of `failures` where the connection broke or was not established.
        failing_since: time of the first of `connection_failures`.
        rejected_first_connections: consecutive rejections of this proxy's first connection.
        failed_extra_connections: recent connections that failed while this proxy had others to it.
        failed_extra_connections_at: when `failed_extra_connections` was last updated.
        last_response_at: when the server last ended an attempt.
        response_gap: mean time between these ends.
        retry_at: no attempt is sent before this time.
        connections_full_at: when it last rejected a connection because its connection table was full.
        duration_sum: total duration of recent responses to requests with hinted work.
        work_sum: total hinted work of these requests, in seconds.
        response_count: number of these responses, decaying.
        tokens: sends that its slow-start budget permits.
        tokens_at: when `tokens` was last refilled.
        owner_count: number of proxies whose slices contain it.
        owner: the proxy whose slice its keys belong to.
        stepped_capacity: its capacity as probed in steps during a recovery.
        is_stepping: whether `stepped_capacity` doubles each round trip (recovery/steps.py).
        stepped_at: when `stepped_capacity` was last lowered.
        work_pace: seconds per second of work, by its latest responses in a recovery.
        attempts: the attempts counted by `in_flight`, in the order sent.
    """

    entry: api.Server
    id_hash: int
    weight: float
    started_at: float | None
    in_flight: int = 0
    capacity: float = INITIAL_CAPACITY
    capacity_cut_at: float = 0.0
    announced: int = 0
    peers_in_flight: int = 0
    relative_latency: float = 1.0
    relative_latency_at: float = 0.0
    error_rate: float = 0.0
    failures: int = 0
    connection_failures: int = 0
    failing_since: float = 0.0
    rejected_first_connections: int = 0
    failed_extra_connections: float = 0.0
    failed_extra_connections_at: float = 0.0
    last_response_at: float = 0.0
    response_gap: float = 0.0
    retry_at: float = 0.0
    connections_full_at: float = -1e9
    duration_sum: float = 0.0
    work_sum: float = 0.0
    response_count: float = 0.0
    tokens: float = 0.0
    tokens_at: float = 0.0
    owner_count: int = 0
    owner: int = -1
    stepped_capacity: float = 1.0
    is_stepping: bool = False
    stepped_at: float = 0.0
    work_pace: float = 0.0
    attempts: list[InFlightAttempt] = field(default_factory=list)

    def update(self, entry: api.Server, live: bool) -> tuple[bool, bool]:
        """Apply the server's entry of a new list.

        Args:
            entry: the new entry.
            live: whether listed weights follow the server's load.

        Returns:
            Whether its state or zone has changed, and whether its part of the hash ring changes.
        """
        old, weight = self.entry, self.weight
        if (entry.up_since or 0.0) > (old.up_since or 0.0):  # restarted
            self.started_at = entry.up_since
            self.failures = 0
            self.retry_at = 0.0
            self.response_count = 0.0
            self.error_rate = 0.0
        # Live weights fall with a server's load: the largest one is closest to its size.
        listed = clamp_weight(entry.weight)
        self.weight = max(weight, listed) if live else listed
        self.entry = entry
        moved = entry.state is not old.state or entry.zone != old.zone
        return moved, self.weight != weight or entry.kind != old.kind


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without a final answer, its attempts and its deduplication state.

    Attributes:
        deadline: when its final answer is due.
        queue_until: end of its time in the queue.
        key_hash: hash of its key, or random if it has none.
        attempts_sent: number of attempts so far.
        maybe_ran: number of these that the server may have run.
        dedup_group: group of servers that drop duplicates of the first attempt that may have run.
        dedup_until: end of the deduplication.
        body_consumed: whether part of its body was released, so that it cannot be sent again.
        attempts: server ids of the attempts in flight, by attempt number.
        tried_servers: id hashes of the servers it was sent to.
    """

    request: api.Request
    request_class: api.RequestClass
    deadline: float
    queue_until: float
    key_hash: int
    attempts_sent: int = 0
    maybe_ran: int = 0
    dedup_group: int = 0
    dedup_until: float = 0.0
    body_consumed: bool = False
    attempts: dict[int, str] = field(default_factory=dict)
    tried_servers: set[int] = field(default_factory=set)

    def start_before(self, entry: api.Server, now: float) -> float:
        """Return the latest time for the first byte of an attempt that starts now; `inf` if not limited.

        A keyed request must not be sent after its deduplication has ended, as could happen when a connection
        is established late: the server would run the request again.
        """
        if not self.maybe_ran:
            self.dedup_group = entry.dedup_group(self.request_class.dedup_scope)
            self.dedup_until = now + self.request_class.dedup_window
        elif self.request_class.idempotency is api.Idempotency.KEYED:
            return self.dedup_until
        return math.inf
