"""The row that a proxy announces to its peers, and its binary encoding."""

from __future__ import annotations

import struct
from typing import NamedTuple

from firvane.core.balancing.records import Backend

ROW = struct.Struct("<BBBQHffffB")  # the fields of Row up to `entries`
ENTRY = struct.Struct("<HB")  # tag of a server, attempts in flight there
VERSION = 1
RATE_BOUND = 1e9  # received rates must be below
MAX_RATE = 0.99 * RATE_BOUND  # limit of announced rates, with a margin for the rounding to 32 bits
TAG_MASK = 0xFFFF  # the bits of a server's hash that form its tag
MAX_ENTRY_ATTEMPTS = 255


class InvalidRowError(ValueError):
    """The version, entry count or rates of a received row are invalid."""


class Row(NamedTuple):
    """A proxy's announced state.

    Attributes:
        sequence: the sender's clock in milliseconds.
        phi: open requests.
        mu: capacity of its slice.
        arrivals: requests received in the last window.
        forecast: requests that the sender expects in the next window.
        served: successful responses a second.
        entries: length of `in_flight`, as sent.
        received_at: time of arrival in seconds.
        in_flight: (tag of a server, attempts in flight there) for own and offloaded requests.
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
    flags: int, zone: int, now: float, values: tuple[int, float, float, float, float], busy: list[Backend]
) -> bytes:
    """Return a row as bytes.

    Args:
        flags: flags of the row.
        zone: zone of the proxy.
        now: current time in seconds.
        values: the fields from `phi` to `served`, in their order.
        busy: the servers with attempts in flight from this proxy.
    """
    phi, *rates = values
    # A proxy decodes its own row: an invalid one would raise at the end of each window.
    rates = [min(rate, MAX_RATE) for rate in rates]
    head = ROW.pack(VERSION, flags, zone, int(now * 1000), phi, *rates, len(busy))
    entries = (ENTRY.pack(s.id_hash & TAG_MASK, min(MAX_ENTRY_ATTEMPTS, s.in_flight)) for s in busy)
    return head + b"".join(entries)


def decode_row(payload: bytes, now: float) -> Row:
    """Return the row in a datagram received at `now`.

    Raises:
        InvalidRowError: its version, count of entries or rates are invalid.
        struct.error: it is too short, or truncated within an entry.
    """
    entries = list(ENTRY.iter_unpack(payload[ROW.size :]))
    row = Row._make([*ROW.unpack_from(payload), now, entries])
    rates = (row.mu, row.arrivals, row.forecast, row.served)
    is_complete = row.version == VERSION and len(row.in_flight) == row.entries
    if not is_complete or not all(0 <= rate < RATE_BOUND for rate in rates):
        raise InvalidRowError("invalid row: wrong version, entry count or rate")
    return row
