"""Rows at size: what a proxy tells its peers, in bytes, and what these make of it.

Rules that hold here and nowhere else:

1. A row has 256 bytes at the most. Version 1 is as before. Version 2 names servers by 32 bits, not 16, and
   says what its slice holds in all. A reader takes both and refuses what is neither.
2. Who writes version 1 sets `KNOWS`, which old readers ignore. Version 2 goes to peers who have shown that
   they read it, and to all at once where all live ones have; `send_schedule.py` knows.
3. Two servers of a proxy's list with one name of 32 bits are told apart by a hash of another kind (`LONG`).
   Where a reader's list leaves a name to several it divides the count among them: never all to the wrong one.
4. A whole row tells of all servers with attempts out there, a row of changes of those whose count is not what
   was last told, 0 for none. Changes are told where that takes fewer bytes, or where not all fits; then the
   largest change goes first, and of what is left the longest not told. What all fits in one row is told whole
   at every `WHOLE_EVERY`th at the least, and to new hearers, so that a lost row is made good.
   `heard.py` keeps what comes in.
"""

from __future__ import annotations

import struct
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from firvane.core.balancing.records import Backend
from firvane.core.balancing.rows import ENTRY, ROW
from firvane.proxy.routing.server_names import Names, long_name

LARGEST = 256  # bytes of a row
HEAD = struct.Struct("<BBBIHHHffffB")  # version to the rates, and the number of long entries
SHORT, LONG = struct.Struct("<IB"), struct.Struct("<QB")  # name of a server, attempts out there
ASK, RISK, KNOWS, WHOLE = 1, 2, 4, 8  # flags; the first two as before
OLD, NEW = 1, 2  # versions
WHOLE_EVERY = 8  # rows
OLD_ENTRIES = 70


class News(NamedTuple):
    """A row as heard. Rates as in `state.Row`."""

    version: int
    flags: int
    zone: int
    sequence: int  # ms
    phi: int  # requests held
    mu: float
    arrivals: float
    forecast: float
    served: float
    at: float  # when it was heard, s
    held: int  # attempts out at its slice, of all proxies, as it sees them; -1 where it does not say
    whole: bool  # it names all servers with attempts out there
    out: list[tuple[int, int]]  # attempts out by name
    long: list[tuple[int, int]]  # and by long name

    @property
    def knows(self) -> bool:
        """Whether its sender reads version 2."""
        return self.version >= NEW or bool(self.flags & KNOWS)


def unpack(payload: bytes, now: float) -> News:
    """A row from bytes; `ValueError` or `struct.error` where they are not one."""
    if not payload or len(payload) > LARGEST:
        raise ValueError("not a row")
    if payload[0] == OLD:
        version, flags, zone, sequence, phi, mu, arrivals, forecast, served, count = ROW.unpack_from(payload)
        out = list(ENTRY.iter_unpack(payload[ROW.size :]))
        held, whole, long = -1, True, list[tuple[int, int]]()
    elif payload[0] == NEW:
        version, flags, zone, late, early, *rest = HEAD.unpack_from(payload)
        phi, held, mu, arrivals, forecast, served, longs = rest
        sequence, whole, middle = late << 16 | early, bool(flags & WHOLE), len(payload) - longs * LONG.size
        if middle < HEAD.size:
            raise ValueError("not a row")
        out = list(SHORT.iter_unpack(payload[HEAD.size : middle]))
        long = list(LONG.iter_unpack(payload[middle:]))
        count = len(out)
    else:
        raise ValueError("not a row that is known")
    if len(out) != count or not all(0 <= x < 1e9 for x in (mu, arrivals, forecast, served)):
        raise ValueError("not a row")
    return News(
        version, flags, zone, sequence, phi, mu, arrivals, forecast, served, now, held, whole, out, long
    )


class Head(NamedTuple):
    """What a row says beside its entries; fields as in `News`."""

    flags: int
    zone: int
    sequence: int
    phi: int
    mu: float
    arrivals: float
    forecast: float
    served: float
    held: int


def pack_old(head: Head, out: Sequence[tuple[int, int]]) -> bytes:
    """A row of version 1. `out`: salts and attempts, the most first; names that two share are told once."""
    told: dict[int, int] = {}
    for salt, count in out:
        tag = salt & 0xFFFF
        if tag in told or len(told) < OLD_ENTRIES:
            told[tag] = told.get(tag, 0) + count
    row = ROW.pack(OLD, head.flags & 3 | KNOWS, head.zone, head.sequence, min(0xFFFF, head.phi), head.mu,
                   head.arrivals, head.forecast, head.served, len(told))  # fmt: skip
    return row + b"".join([ENTRY.pack(tag, min(255, count)) for tag, count in told.items()])


def pack_new(
    head: Head, whole: bool, out: Sequence[tuple[int, int]], long: Sequence[tuple[int, int]]
) -> bytes:
    """A row of version 2; `ValueError` where the entries do not fit."""
    if len(out) * SHORT.size + len(long) * LONG.size > LARGEST - HEAD.size:
        raise ValueError("too much for a row")
    flags = head.flags & 3 | (WHOLE if whole else 0)
    late, early = head.sequence >> 16 & 0xFFFFFFFF, head.sequence & 0xFFFF
    phi, held = min(0xFFFF, head.phi), min(0xFFFF, head.held)
    row = HEAD.pack(NEW, flags, head.zone, late, early, phi, held, head.mu, head.arrivals, head.forecast,
                    head.served, len(long))  # fmt: skip
    entries = [SHORT.pack(name, min(255, count)) for name, count in out]
    entries += [LONG.pack(name, min(255, count)) for name, count in long]
    return row + b"".join(entries)


class Teller:
    """What was told of the servers, and what is to be told next, in rows that all go to the same peers."""

    def __init__(self) -> None:
        self.told: dict[Backend, int] = {}  # counts above 0, as last told
        self.row_of: dict[Backend, int] = {}  # the row that last told of a server in `told`
        self.hearers: set[int] = set()
        self.rows = 0
        self.whole_at = 0  # the row that was last whole

    def row(self, head: Head, servers: Iterable[Backend], names: Names, hearers: Collection[int]) -> bytes:
        """The next row of version 2 for those hearers, from `own` of the servers that have any."""
        whole = not self.hearers.issuperset(hearers)
        self.hearers = set(hearers)
        self.rows += 1
        out = {server: min(255, server.in_flight) for server in servers if server.in_flight}
        changed = [s for s in self.told if s not in out]
        changed += [s for s, count in out.items() if self.told.get(s) != count]
        fits = entries_size(out, names) <= LARGEST - HEAD.size
        due = whole or self.rows - self.whole_at >= WHOLE_EVERY
        if fits and (due or entries_size(out, names) <= entries_size(changed, names)):
            tell, whole = list(out), True
            self.told, self.row_of, self.whole_at = {}, {}, self.rows
        else:
            # Not all fits, or little has changed: the largest changes, then what was told longest ago.
            changed.sort(key=lambda s: (-abs(out.get(s, 0) - self.told.get(s, 0)), s.entry.id))
            tell, whole = changed, False
            if not fits:
                same = [s for s in out if self.told.get(s) == out[s]]
                tell += sorted(same, key=lambda s: (self.row_of[s], s.entry.id))
        short, long, room = list[tuple[int, int]](), list[tuple[int, int]](), LARGEST - HEAD.size
        for server in tell:
            alone, count = names.alone(server), out.get(server, 0)
            room -= SHORT.size if alone else LONG.size
            if room < 0:
                break
            if alone:
                short.append((server.id_hash, count))
            else:
                long.append((long_name(server), count))
            if count:
                self.told[server], self.row_of[server] = count, self.rows
            else:
                del self.told[server], self.row_of[server]
        return pack_new(head, whole, short, long)


def entries_size(servers: Iterable[Backend], names: Names) -> int:
    """Bytes of the entries of these servers."""
    size = 0
    for server in servers:
        size += SHORT.size if names.alone(server) else LONG.size
    return size
