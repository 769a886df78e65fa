"""The records that the decisions keep of servers and open requests, and the arithmetic that they share.

Times are in seconds on the decisions' clock, durations in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from firvane.core import interface as api

if TYPE_CHECKING:
    from mypy_extensions import i64  # the machine's own 64 bits, where this is compiled; at run time just int

MIN_WEIGHT = 2.0**-10  # above 0, as shares are divided by weights; not tiny, as estimates outlive a weight
MAX_WEIGHT = 1e15
INITIAL_CAPACITY = 4.0  # attempts


def mix(a: int, b: int) -> int:
    """A stable 32-bit hash of two numbers, the same in every process."""
    # Only 64 bits of a product matter. The large factor is written as the negative number of the same bits,
    # which fits a machine word: compiled the products wrap, interpreted they grow.
    x: i64 = a
    y: i64 = b
    x = (x ^ y * 0x9E3779B1) * -0x2917014799A6026D
    return (x ^ (x >> 32 & 0xFFFFFFFF)) * -0x2917014799A6026D >> 24 & 0xFFFFFFFF


def total(values: Iterable[float]) -> float:
    """The sum of values from left to right: the same bits on every Python, interpreted or compiled.

    The built-in `sum` compensates from Python 3.12 on, and mypyc compiles it for integers.
    """
    result = 0.0
    for value in values:
        result += value
    return result


def clamp_weight(weight: float) -> float:
    """A weight within the bounds that the arithmetic can take, whatever a list says."""
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt that has not ended.

    Attributes:
        sent_at: when it was sent.
        usual_duration: of such an attempt there, as known then.
        overtaken_by: attempts sent to the same server later and answered before it.
        is_lost: no answer is expected any more, and it no longer counts.
    """

    sent_at: float
    usual_duration: float
    overtaken_by: int = 0
    is_lost: bool = False


@dataclass(slots=True, eq=False)
class Backend:
    """What one proxy knows of one server.

    Attributes:
        entry: its entry of the server list.
        id_hash: a stable hash of its id.
        weight: of the list, clamped.
        started_at: its last start, by the list or as observed; None: long ago.
        in_flight: attempts from here.
        capacity: estimate of the attempts from here that it takes without a rejection.
        capacity_cut_at: when that was last lowered.
        announced: `in_flight` as last announced to the peers.
        peers_in_flight: attempts of the peers, by their rows.
        relative_latency: its recent durations, relative to those usual for their classes.
        relative_latency_at: when that was last updated.
        error_rate: the recent part of its responses that were errors.
        failures: attempts that failed since its last response.
        connection_failures: those of them whose connection broke or could not be made.
        failing_since: when the first of these was.
        rejected_first_connections: rejections in a row of a first connection from here.
        failed_extra_connections: recent connections that it did not accept while it had others from here.
        failed_extra_connections_at: when that was last updated.
        last_response_at: when an attempt last ended by the server itself.
        response_gap: mean time between such ends.
        retry_at: no attempt is sent before.
        connections_full_at: when its table of connections was last found full.
        duration_sum: of its recent responses to requests with hinted work.
        work_sum: the work hinted for these, in seconds.
        response_count: how many these are, faded.
        tokens: sends that its slow-start budget allows.
        tokens_at: when that was last refilled.
        owner_count: proxies whose slices hold it.
        owner: the proxy to whose slice it counts.
        stepped_capacity: its capacity as found by steps in a recovery.
        is_stepping: whether that doubles with each round trip (recovery/steps.py).
        stepped_at: when that was last lowered.
        work_pace: seconds that a second of work takes, by its last responses in a recovery.
        attempts: those that `in_flight` counts, in the order sent.
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
        """Take over its entry of a new list.

        Args:
            entry: the new entry.
            live: whether weights follow the server's load.

        Returns:
            Whether its state or zone has changed, and whether its part of the key ring changes.
        """
        old, weight = self.entry, self.weight
        if (entry.up_since or 0.0) > (old.up_since or 0.0):  # restarted
            self.started_at = entry.up_since
            self.failures = 0
            self.retry_at = 0.0
            self.response_count = 0.0
            self.error_rate = 0.0
        # Live weights fall with a server's load: its largest is nearest to its size.
        listed = clamp_weight(entry.weight)
        self.weight = max(weight, listed) if live else listed
        self.entry = entry
        moved = entry.state is not old.state or entry.zone != old.zone
        return moved, self.weight != weight or entry.kind != old.kind


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without a final answer: its attempts, and what they commit it to.

    Attributes:
        deadline: when its final answer is due.
        queue_until: until when it may wait with nothing in flight.
        key_hash: of its key, or drawn where it has none.
        attempts_sent: attempts so far.
        maybe_ran: of these, those that are not known never to have run.
        dedup_group: the servers that drop duplicates of the first of these.
        dedup_until: until when they do.
        body_consumed: its body cannot be sent again.
        attempts: the servers' ids of the attempts in flight, by number.
        tried_servers: hashes of the ids of the servers it was sent to.
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
        """When the first byte of an attempt that starts there now must be sent at the latest.

        A class whose duplicates are dropped for a limited time must not be sent after it, which a connection
        that is established late would do: the server would run the request again.
        """
        if not self.maybe_ran:
            self.dedup_group = entry.dedup_group(self.request_class.dedup_scope)
            self.dedup_until = now + self.request_class.dedup_window
        elif self.request_class.idempotency is api.Idempotency.KEYED:
            return self.dedup_until
        return math.inf
