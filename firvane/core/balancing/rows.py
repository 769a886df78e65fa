"""The row that a proxy announces to its peers, and its bytes."""

from __future__ import annotations

import struct
from typing import NamedTuple

from firvane.core.balancing.records import Backend

ROW = struct.Struct("<BBBQHffffB")  # the fields of Row up to the count of entries
ENTRY = struct.Struct("<HB")  # tag of a server, attempts in flight there
VERSION = 1
RATE_BOUND = 1e9  # a row's rates are below
MAX_RATE = 0.99 * RATE_BOUND  # as announced; with room for the rounding to 32 bits
TAG_MASK = 0xFFFF  # of a server's hash, which makes its tag
MAX_ENTRY_ATTEMPTS = 255


class InvalidRowError(ValueError):
    """The bytes have the length of a row, but are not one."""


class Row(NamedTuple):
    """A proxy's announced state.

    Attributes:
        sequence: the sender's clock in milliseconds.
        phi: requests in flight.
        mu: what its slice can do.
        arrivals: requests of the last window.
        forecast: requests of the next window, as it expects them.
        served: answers a second.
        received_at: when it arrived, in seconds.
        in_flight: tags of servers with the attempts there, own slice and offload alike.
    """

    version: int
    flags: int
    zone: int
    sequence: int
    phi: int
    mu: float
    arrivals: float
    forecast: float
    served: float
    entries: int
    received_at: float
    in_flight: list[tuple[int, int]]


def encode_row(
    flags: int, zone: int, now: float, figures: tuple[int, float, float, float, float], busy: list[Backend]
) -> bytes:
    """Return a row as bytes.

    Args:
        flags: of the row.
        zone: of the proxy.
        now: the present time in seconds.
        figures: the fields from `phi` to `served`.
        busy: the servers with attempts in flight from here.
    """
    phi, *rates = figures
    # A proxy reads its own row: one that cannot be read would end each window with a fault.
    rates = [min(rate, MAX_RATE) for rate in rates]
    head = ROW.pack(VERSION, flags, zone, int(now * 1000), phi, *rates, len(busy))
    entries = (ENTRY.pack(s.id_hash & TAG_MASK, min(MAX_ENTRY_ATTEMPTS, s.in_flight)) for s in busy)
    return head + b"".join(entries)


def decode_row(payload: bytes, now: float) -> Row:
    """Return the row in a datagram received at `now`.

    Raises:
        InvalidRowError: its version, count of entries or rates are invalid.
        struct.error: it is too short, or cut within an entry.
    """
    entries = list(ENTRY.iter_unpack(payload[ROW.size :]))
    row = Row._make([*ROW.unpack_from(payload), now, entries])
    rates = (row.mu, row.arrivals, row.forecast, row.served)
    is_counted = row.version == VERSION and len(row.in_flight) == row.entries
    if not is_counted or not all(0 <= rate < RATE_BOUND for rate in rates):
        raise InvalidRowError("not a row")
    return row
