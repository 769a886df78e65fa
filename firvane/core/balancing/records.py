"""The records that the decisions keep: servers, open requests, and the rows that proxies announce."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from firvane.core import interface as api

if TYPE_CHECKING:
    from mypy_extensions import i64  # the machine's own 64 bits, where this is compiled; at run time just int

ROW = struct.Struct("<BBBQHffffB")  # the fields of Row up to the count of entries
ENTRY = struct.Struct("<HB")  # tag of a server, attempts out there
VERSION = 1
# Of a weight. None is 0, by which shares would be divided: the least counts as a thousandth part, not as less
# than any figure, as what was learnt by it outlives it.
LEAST, MOST = 2.0**-10, 1e15
TOLD = 1e9  # a row's rates are below


def mix(a: int, b: int) -> int:
    """A stable 32-bit hash of two numbers, the same in every process."""
    # Only 64 bits of any product count. So the large factor stands here as the negative number of the same
    # bits, which fits a machine word, and compiled the products wrap; interpreted they just grow.
    x: i64 = a
    y: i64 = b
    x = (x ^ y * 0x9E3779B1) * -0x2917014799A6026D
    return (x ^ (x >> 32 & 0xFFFFFFFF)) * -0x2917014799A6026D >> 24 & 0xFFFFFFFF


def total(values: Iterable[float]) -> float:
    """Their sum, added up from the left: the same bits on every Python, and in its compiled form.

    The built-in sum minds the last bits from Python 3.12 on, and mypyc takes it for one of integers.
    """
    result = 0.0
    for value in values:
        result += value
    return result


def clamp_weight(weight: float) -> float:
    """A weight as it counts, whatever a list says: nobody can be put out of action by what he is sent."""
    return min(MOST, max(LEAST, weight))


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt that is out."""

    sent_at: float  # when it was sent
    usual_duration: float  # s that such a one usually takes there, as known then
    overtaken_by: int = 0  # attempts sent to the same server later and answered before it
    is_lost: bool = False  # it is not expected to be answered any more, and counts no more


@dataclass(slots=True, eq=False)
class Backend:
    """What one proxy knows of one server."""

    entry: api.Server
    id_hash: int  # a stable hash of its id
    weight: float
    started_at: float | None  # its last start, by the list or as seen
    in_flight: int = 0  # attempts out from here
    capacity: float = 4.0  # attempts from here that it takes without turning any away, as learnt
    capacity_cut_at: float = 0.0  # when that was last lowered
    announced: int = 0  # the same as last announced
    peers_in_flight: int = 0  # and from the peers, by their rows
    relative_latency: float = (
        1.0  # how its answers' times compare with those of their classes, as of `slow_at`
    )
    relative_latency_at: float = 0.0
    error_rate: float = 0.0  # part of its answers of late that said it failed
    failures: int = 0  # failures since its last answer
    connection_failures: int = 0  # of those, connections that ended or were not made
    failing_since: float = 0.0  # when the first of them was
    rejected_first_connections: int = 0  # times in a row that it had no place for a first connection of ours
    failed_extra_connections: float = (
        0.0  # connections that it lately did not take while it held others, as of `unmade_at`
    )
    failed_extra_connections_at: float = 0.0
    last_response_at: float = 0.0  # when an attempt there last came to any end of the server's own
    response_gap: float = 0.0  # mean time between those of late
    retry_at: float = 0.0  # nothing is sent before
    connections_full_at: float = -1e9  # when it last turned a connection away
    duration_sum: float = 0.0  # s that its answers of late have taken, and the work that was hinted for them
    work_sum: float = 0.0
    response_count: float = 0.0  # how many those are
    tokens: float = 0.0  # sends that its budget allows while it is cold, as of `tokens_at`
    tokens_at: float = 0.0
    owner_count: int = 0  # proxies whose slices hold it
    owner: int = -1  # the proxy whose slice it counts to
    stepped_capacity: float = 1.0  # its room as found by steps, in a recovery
    is_stepping: bool = False  # that room doubles with each round trip (recovery/steps.py)
    stepped_at: float = 0.0  # when that was last cut there
    work_pace: float = 0.0  # s that a second of work takes there, as of its last answers in a recovery
    attempts: list[InFlightAttempt] = field(default_factory=list)  # the attempts that `own` counts, as sent

    def update(self, entry: api.Server, live: bool) -> tuple[bool, bool]:
        """The list says this of it now; whether it has moved, and whether its part of the ring changes."""
        old, weight = self.entry, self.weight
        if (entry.up_since or 0.0) > (old.up_since or 0.0):  # restarted
            self.started_at, self.failures, self.retry_at, self.response_count = entry.up_since, 0, 0.0, 0.0
            self.error_rate = 0.0
        # Live weights fall with what a server holds: its largest is nearest to its size.
        told = clamp_weight(entry.weight)
        self.weight = max(weight, told) if live else told
        self.entry = entry
        moved = entry.state is not old.state or entry.zone != old.zone
        return moved, self.weight != weight or entry.kind != old.kind


@dataclass(slots=True, eq=False)
class OpenRequest:
    """An open request: its attempts, and what they commit it to."""

    request: api.Request
    request_class: api.RequestClass
    deadline: float
    queue_until: float  # until when it may be held with nothing sent
    key_hash: int
    attempts_sent: int = 0
    maybe_ran: int = 0  # attempts out, or not known to have kept from running
    dedup_group: int = 0  # the servers that drop repeats of the first of these
    dedup_until: float = 0.0  # and for how long
    body_consumed: bool = False  # its body cannot be sent again: what is out is its last attempt
    attempts: dict[int, str] = field(default_factory=dict)
    tried_servers: set[int] = field(default_factory=set)

    def start_before(self, entry: api.Server, now: float) -> float:
        """When an attempt that sets out there now has to be on its way at the latest.

        Guards a class whose repeats are dropped for a time alone against one that comes after it, since its
        connection came up late: the box would run it again.
        """
        if not self.maybe_ran:
            self.dedup_group, self.dedup_until = (
                entry.dedup_group(self.request_class.dedup_scope),
                now + self.request_class.dedup_window,
            )
        elif self.request_class.idempotency is api.Idempotency.KEYED:
            return self.dedup_until
        return math.inf


class Row(NamedTuple):
    """A proxy's announced state."""

    version: int
    flags: int
    zone: int
    sequence: int
    phi: int  # requests held
    mu: float  # what its slice can do
    arrivals: float  # requests of the last window
    forecast: float  # and of the next, as it expects them
    served: float  # answers a second
    entries: int
    received_at: float  # when it was heard
    in_flight: list[tuple[int, int]]  # attempts out by server, own slice and offload alike


def encode_row(
    flags: int, zone: int, now: float, figures: tuple[int, float, float, float, float], out: list[Backend]
) -> bytes:
    """A row as bytes: the `figures` from `phi` to `served`, and the attempts that are `out` from here."""
    phi, *rates = figures
    # Guards the windows, which read their own row: one that cannot be read would end each of them.
    rates = [min(rate, 0.99 * TOLD) for rate in rates]
    head = ROW.pack(VERSION, flags, zone, int(now * 1000), phi, *rates, len(out))
    return head + b"".join(ENTRY.pack(s.id_hash & 0xFFFF, min(255, s.in_flight)) for s in out)


def decode_row(payload: bytes, now: float) -> Row:
    """A row from bytes; `ValueError` or `struct.error` where they are not one."""
    row = Row._make([*ROW.unpack_from(payload), now, list(ENTRY.iter_unpack(payload[ROW.size :]))])
    rates = (row.mu, row.arrivals, row.forecast, row.served)
    if row.version != VERSION or len(row.in_flight) != row.entries or not all(0 <= x < TOLD for x in rates):
        raise ValueError("not a row")
    return row
