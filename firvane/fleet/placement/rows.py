"""The row that a router announces to its peers, in bytes.

A row has a head, a section for each service (capacity and rates of the own slice), an entry for each server
with work out from here, and names the large shared parts that were sent to servers, so that all routers know
where these are kept. It has at most `LARGEST` bytes, so that it fits one datagram. Whatever is not a row
raises `RowError`.
"""

from __future__ import annotations

import enum
import math
import struct
from collections.abc import Sequence
from typing import NamedTuple

VERSION = 2
LARGEST = 1200  # bytes
MOST_SERVICES = 16
MOST_ENTRIES = 60
HEAD = struct.Struct("<BBBxQIBBB")  # version, flags, zone, sequence, held, services, entries, reads
SECTION = struct.Struct("<IffffffH")  # service, mu, arrivals, forecast, served, speeds and their samples
ENTRY = struct.Struct("<IHIBBB")  # server, running, tokens, flags, age of the last sign of life, failures
READ = struct.Struct("<IIH")  # server, key, tokens in units of READ_UNIT
READ_UNIT = 16  # tokens
MOST_RATE = 1e9
SUSPECT, FAILED_TRIAL = 1, 2  # flags of an entry; those that a reader does not know tell it nothing
AGE_UNIT = 0.01  # s
FAILURE_UNIT = 0.1
UNHEARD = 255  # age of a server from which nothing came lately


class RowError(ValueError):
    """The bytes are no row."""


class RowFlags(enum.IntFlag):
    """What a row asks of its receiver."""

    NONE = 0
    ASK = 1  # send yours
    RISK = 2  # your offload was not expected here


class Section(NamedTuple):
    """A router's figures for one service, in units of work (`slices.UNIT`)."""

    service: int  # crc32 of its name
    mu: float  # what the own slice can do, relative to others
    arrivals: float  # of the last window
    forecast: float  # of the next window
    served: float  # a second
    reading: float  # prompt tokens a second, as learnt
    first_event: float  # s of a short prompt at an idle server, as learnt
    samples: int  # that these were learnt from


class Entry(NamedTuple):
    """What a router has out at one server."""

    server: int  # crc32 of its id
    running: int
    tokens: int  # of prompts that are not read yet
    suspect: bool  # nothing comes from it
    heard: float | None  # s since something came from it to this router; None where that is long ago
    failures: float  # of late, faded
    failed_trial: bool = False  # a request of its sender has just failed in the server's trial


class Read(NamedTuple):
    """A large shared part that was sent to a server."""

    server: int  # crc32 of its id
    key: int  # of the part and all before it
    tokens: int  # in steps of `READ_UNIT`


class Row(NamedTuple):
    """One router's announced state."""

    flags: RowFlags
    zone: int
    sequence: int  # ms on the sender's clock
    held: int  # requests without an answer that have not been sent
    sections: tuple[Section, ...]
    entries: tuple[Entry, ...]
    reads: tuple[Read, ...]


def room_for_reads(sections: int, entries: int) -> int:
    """How many reads a row has room for beside so many sections and entries."""
    sections, entries = min(sections, MOST_SERVICES), min(entries, MOST_ENTRIES)
    left = LARGEST - HEAD.size - sections * SECTION.size - entries * ENTRY.size
    return min(255, left // READ.size)


def encode_row(row: Row) -> bytes:
    """A row as bytes; sections and entries beyond the bounds are left out."""
    sections, entries = row.sections[:MOST_SERVICES], row.entries[:MOST_ENTRIES]
    reads = row.reads[: room_for_reads(len(sections), len(entries))]
    sequence, held = row.sequence & 0xFFFFFFFFFFFFFFFF, min(row.held, 0xFFFFFFFF)
    counts = len(sections), len(entries), len(reads)
    parts = [HEAD.pack(VERSION, int(row.flags), row.zone & 0xFF, sequence, held, *counts)]
    parts += [SECTION.pack(each.service, *_rates(each), min(0xFFFF, each.samples)) for each in sections]
    parts += [_encode_entry(each) for each in entries]
    parts += [_encode_read(each) for each in reads]
    return b"".join(parts)


def decode_row(payload: bytes) -> Row:
    """A row from bytes; `RowError` where they are none."""
    if not HEAD.size <= len(payload) <= LARGEST or payload[0] != VERSION:
        raise RowError("no head of a row")
    _, flags, zone, sequence, held, sections, entries, reads = HEAD.unpack_from(payload)
    first_entry = HEAD.size + sections * SECTION.size
    first_read = first_entry + entries * ENTRY.size
    if sections > MOST_SERVICES or len(payload) != first_read + reads * READ.size:
        raise RowError("length of a row")
    told = tuple(map(Section._make, SECTION.iter_unpack(payload[HEAD.size : first_entry])))
    if not all(0 <= rate < MOST_RATE for section in told for rate in section[1:-1]):
        raise RowError("rates of a row")
    listed = tuple(_decode_entry(*fields) for fields in ENTRY.iter_unpack(payload[first_entry:first_read]))
    read = tuple(_decode_read(*fields) for fields in READ.iter_unpack(payload[first_read:]))
    return Row(RowFlags(flags & 3), zone, sequence, held, told, listed, read)


def _rates(section: Section) -> Sequence[float]:
    return [min(rate, MOST_RATE / 2) if math.isfinite(rate) else 0.0 for rate in section[1:-1]]


def _encode_entry(entry: Entry) -> bytes:
    running, tokens = min(entry.running, 0xFFFF), min(entry.tokens, 0xFFFFFFFF)
    flags = (SUSPECT if entry.suspect else 0) | (FAILED_TRIAL if entry.failed_trial else 0)
    failures = min(0xFF, round(entry.failures / FAILURE_UNIT))
    return ENTRY.pack(entry.server, running, tokens, flags, _encode_age(entry.heard), failures)


def _encode_age(heard: float | None) -> int:
    """Rounded up, so that nothing seems heard later than it was."""
    if heard is None:
        return UNHEARD
    return min(UNHEARD, math.ceil(round(max(0.0, heard) / AGE_UNIT, 6)))


def _decode_entry(server: int, running: int, tokens: int, flags: int, age: int, failures: int) -> Entry:
    heard = None if age == UNHEARD else age * AGE_UNIT
    suspect, failed = bool(flags & SUSPECT), bool(flags & FAILED_TRIAL)
    return Entry(server, running, tokens, suspect, heard, failures * FAILURE_UNIT, failed)


def _encode_read(read: Read) -> bytes:
    return READ.pack(read.server, read.key, min(0xFFFF, -(-read.tokens // READ_UNIT)))


def _decode_read(server: int, key: int, units: int) -> Read:
    return Read(server, key, units * READ_UNIT)
