"""Rows of large fleets: encoding and decoding, and the choice of the servers that the next row names.

Invariants:

1. A row has 256 bytes at the most. Version 1 is that of `core/balancing/rows.py`. Version 2 names servers by
   32 bits in place of 16, and gives the total of its slice. A reader accepts both and rejects anything else.
2. A writer of version 1 that reads version 2 sets `FLAG_READS_V2`, which old readers ignore. Version 2 is
   sent to peers that have shown that they read it, and to all at once if all live ones have
   (`send_schedule.py`).
3. Two servers of a proxy's list with the same 32-bit name are distinguished by a second hash (long names).
   Where several servers of a reader's list share a name, the count is divided among them, so that it is never
   all attributed to the wrong one.
4. A full row names all servers with attempts in flight, a delta row those whose count differs from the last
   one sent, with 0 for none. A delta row is sent where it takes fewer bytes, or where a full row does not
   fit; then the largest change goes first, and then the servers not named for longest. What fits in one row
   is sent in full at least every `FULL_ROW_INTERVAL` rows, and to new receivers, so that lost rows are made
   up for. `peer_load.py` keeps the received counts.
"""

from __future__ import annotations

import struct
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from firvane.core.balancing.records import Backend
from firvane.core.balancing.rows import ENTRY, ROW
from firvane.proxy.routing.server_names import ServerNames, long_name

MAX_ROW_BYTES = 256
HEADER = struct.Struct("<BBBIHHHffffB")  # version to rates, and the number of entries with long names
SHORT_ENTRY, LONG_ENTRY = struct.Struct("<IB"), struct.Struct("<QB")  # name of a server, attempts in flight
# Flags; the first two have the same meaning in both versions.
FLAG_ASK_ROWS, FLAG_UNEXPECTED_OFFLOAD, FLAG_READS_V2, FLAG_FULL = 1, 2, 4, 8
VERSION_1, VERSION_2 = 1, 2
FULL_ROW_INTERVAL = 8  # rows
MAX_V1_ENTRIES = 70


class ReceivedRow(NamedTuple):
    """A received row. Rates as in `core.balancing.rows.Row`."""

    version: int
    flags: int
    zone: int
    sequence: int  # ms
    phi: int  # requests in flight
    mu: float
    arrivals: float
    forecast: float
    served: float
    at: float  # when it was received, s
    slice_in_flight: (
        int  # attempts of all proxies in flight at its slice, as known to the sender; -1 if not given
    )
    is_full: bool  # it names all servers with attempts in flight
    in_flight: list[tuple[int, int]]  # short names or tags, with attempts in flight
    long: list[tuple[int, int]]  # long names, likewise

    @property
    def reads_v2(self) -> bool:
        """Return whether the sender reads version 2."""
        return self.version >= VERSION_2 or bool(self.flags & FLAG_READS_V2)


def unpack(payload: bytes, now: float) -> ReceivedRow:
    """Return the row in a datagram.

    Raises:
        ValueError, struct.error: the payload is not a row.
    """
    if not payload or len(payload) > MAX_ROW_BYTES:
        raise ValueError("not a row")
    if payload[0] == VERSION_1:
        version, flags, zone, sequence, phi, mu, arrivals, forecast, served, count = ROW.unpack_from(payload)
        in_flight = list(ENTRY.iter_unpack(payload[ROW.size :]))
        slice_in_flight, is_full, long = -1, True, list[tuple[int, int]]()
    elif payload[0] == VERSION_2:
        version, flags, zone, sequence_high, sequence_low, *rest = HEADER.unpack_from(payload)
        phi, slice_in_flight, mu, arrivals, forecast, served, long_count = rest
        sequence, is_full, middle = (
            sequence_high << 16 | sequence_low,
            bool(flags & FLAG_FULL),
            len(payload) - long_count * LONG_ENTRY.size,
        )
        if middle < HEADER.size:
            raise ValueError("not a row")
        in_flight = list(SHORT_ENTRY.iter_unpack(payload[HEADER.size : middle]))
        long = list(LONG_ENTRY.iter_unpack(payload[middle:]))
        count = len(in_flight)
    else:
        raise ValueError("not a row of a known version")
    if len(in_flight) != count or not all(0 <= x < 1e9 for x in (mu, arrivals, forecast, served)):
        raise ValueError("not a row")
    return ReceivedRow(
        version,
        flags,
        zone,
        sequence,
        phi,
        mu,
        arrivals,
        forecast,
        served,
        now,
        slice_in_flight,
        is_full,
        in_flight,
        long,
    )


class RowHeader(NamedTuple):
    """The fields of a row beside its entries, as in `ReceivedRow`."""

    flags: int
    zone: int
    sequence: int
    phi: int
    mu: float
    arrivals: float
    forecast: float
    served: float
    slice_in_flight: int


def pack_v1(head: RowHeader, in_flight: Sequence[tuple[int, int]]) -> bytes:
    """Return a row of version 1.

    Args:
        head: the fields beside the entries.
        in_flight: salts of servers and attempts in flight, largest first; those with the same tag are summed.
    """
    count_by_tag: dict[int, int] = {}
    for salt, count in in_flight:
        tag = salt & 0xFFFF
        if tag in count_by_tag or len(count_by_tag) < MAX_V1_ENTRIES:
            count_by_tag[tag] = count_by_tag.get(tag, 0) + count
    row = ROW.pack(VERSION_1, head.flags & 3 | FLAG_READS_V2, head.zone, head.sequence, min(0xFFFF, head.phi),
                   head.mu, head.arrivals, head.forecast, head.served, len(count_by_tag))  # fmt: skip
    return row + b"".join([ENTRY.pack(tag, min(255, count)) for tag, count in count_by_tag.items()])


def pack_v2(
    head: RowHeader, is_full: bool, in_flight: Sequence[tuple[int, int]], long: Sequence[tuple[int, int]]
) -> bytes:
    """Return a row of version 2.

    Raises:
        ValueError: the entries do not fit.
    """
    if len(in_flight) * SHORT_ENTRY.size + len(long) * LONG_ENTRY.size > MAX_ROW_BYTES - HEADER.size:
        raise ValueError("too many entries for a row")
    flags = head.flags & 3 | (FLAG_FULL if is_full else 0)
    sequence_high, sequence_low = head.sequence >> 16 & 0xFFFFFFFF, head.sequence & 0xFFFF
    phi, slice_in_flight = min(0xFFFF, head.phi), min(0xFFFF, head.slice_in_flight)
    row = HEADER.pack(VERSION_2, flags, head.zone, sequence_high, sequence_low, phi, slice_in_flight, head.mu,
                      head.arrivals, head.forecast, head.served, len(long))  # fmt: skip
    entries = [SHORT_ENTRY.pack(name, min(255, count)) for name, count in in_flight]
    entries += [LONG_ENTRY.pack(name, min(255, count)) for name, count in long]
    return row + b"".join(entries)


class RowEncoder:
    """Chooses the entries of consecutive rows to the same peers, by the counts that were sent last."""

    def __init__(self) -> None:
        self.sent: dict[Backend, int] = {}  # counts above 0, as last sent
        self.row_of: dict[Backend, int] = {}  # the number of the last row that named a server of `sent`
        self.receivers: set[int] = set()
        self.rows = 0
        self.full_at = 0  # the number of the last full row

    def row(
        self, head: RowHeader, servers: Iterable[Backend], names: ServerNames, receivers: Collection[int]
    ) -> bytes:
        """Return the next row of version 2 for these receivers, from the servers with attempts in flight."""
        is_full = not self.receivers.issuperset(receivers)
        self.receivers = set(receivers)
        self.rows += 1
        counts = {server: min(255, server.in_flight) for server in servers if server.in_flight}
        changed = [s for s in self.sent if s not in counts]
        changed += [s for s, count in counts.items() if self.sent.get(s) != count]
        fits = entries_size(counts, names) <= MAX_ROW_BYTES - HEADER.size
        due = is_full or self.rows - self.full_at >= FULL_ROW_INTERVAL
        if fits and (due or entries_size(counts, names) <= entries_size(changed, names)):
            to_send, is_full = list(counts), True
            self.sent, self.row_of, self.full_at = {}, {}, self.rows
        else:
            # A full row does not fit, or little has changed: largest changes first, then longest not named.
            changed.sort(key=lambda s: (-abs(counts.get(s, 0) - self.sent.get(s, 0)), s.entry.id))
            to_send, is_full = changed, False
            if not fits:
                same = [s for s in counts if self.sent.get(s) == counts[s]]
                to_send += sorted(same, key=lambda s: (self.row_of[s], s.entry.id))
        short, long, room = list[tuple[int, int]](), list[tuple[int, int]](), MAX_ROW_BYTES - HEADER.size
        for server in to_send:
            is_unique, count = names.is_unique(server), counts.get(server, 0)
            room -= SHORT_ENTRY.size if is_unique else LONG_ENTRY.size
            if room < 0:
                break
            if is_unique:
                short.append((server.id_hash, count))
            else:
                long.append((long_name(server), count))
            if count:
                self.sent[server], self.row_of[server] = count, self.rows
            else:
                del self.sent[server], self.row_of[server]
        return pack_v2(head, is_full, short, long)


def entries_size(servers: Iterable[Backend], names: ServerNames) -> int:
    """Return the bytes of the entries of these servers."""
    size = 0
    for server in servers:
        size += SHORT_ENTRY.size if names.is_unique(server) else LONG_ENTRY.size
    return size
