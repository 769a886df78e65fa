"""The row that a router announces to its peers, as bytes.

A row has a head, a section per service (capacity and rates of the own slice), an entry per server with work
in flight from the sender, and the large shared blocks that were sent to servers, so that all routers know
where they are cached. It fits one datagram (`MAX_ROW_BYTES`). Bytes that are no row raise `RowError`.
"""

from __future__ import annotations

import enum
import math
import struct
from collections.abc import Sequence
from typing import NamedTuple

VERSION = 2
MAX_ROW_BYTES = 1200
MAX_SECTIONS = 16
MAX_ENTRIES = 60
HEAD = struct.Struct("<BBBxQIBBB")  # version, flags, zone, sequence, queued, counts of the three lists
SECTION = struct.Struct("<IffffffH")  # service, mu, arrivals, forecast, served, throughput, samples
ENTRY = struct.Struct("<IHIBBB")  # server, in flight, tokens, flags, age of the last response, failures
BLOCK = struct.Struct("<IIH")  # server, key, tokens in units of `BLOCK_UNIT_TOKENS`
BLOCK_UNIT_TOKENS = 16
MAX_RATE = 1e9
SUSPECT_FLAG = 1  # of an entry; flags that a receiver does not know are ignored
FAILED_TRIAL_FLAG = 2
AGE_UNIT_S = 0.01
AGE_DECIMALS = 6  # keeps rounding errors from raising an age by one unit
FAILURE_UNIT = 0.1
NO_RECENT_RESPONSE = 255  # in place of an age
MAX_UINT8 = 0xFF
MAX_UINT16 = 0xFFFF
MAX_UINT32 = 0xFFFFFFFF
MAX_UINT64 = 0xFFFFFFFFFFFFFFFF


class RowError(ValueError):
    """The bytes are no row."""


class RowFlags(enum.IntFlag):
    """What a row asks of its receiver."""

    NONE = 0
    ASK = 1  # send your row
    RISK = 2  # your offload was not expected here


ALL_FLAGS = RowFlags.ASK | RowFlags.RISK


class Section(NamedTuple):
    """A router's rates for one service; work is in units of `slices.WORK_UNIT_TOKENS`."""

    service: int  # CRC-32 of its name
    mu: float  # capacity of the own slice, relative to others
    arrivals: float  # work of the last window
    forecast: float  # work of the next window
    served: float  # work per second
    prefill_rate: float  # prompt tokens per second, as estimated
    first_event: float  # seconds to the first event of a short prompt at an idle server, as estimated
    samples: int  # behind these estimates


class ServerEntry(NamedTuple):
    """What a router has in flight at one server."""

    server: int  # CRC-32 of its id
    in_flight: int
    tokens: int  # of prompts that are not prefilled yet
    suspect: bool  # the sender found it unresponsive
    response_age: float | None  # seconds since it responded to the sender; None where that is long ago
    failures: float  # decayed
    failed_trial: bool = False  # a request of the sender has just failed in the server's trial


class CachedBlock(NamedTuple):
    """A large shared block that was sent to a server."""

    server: int  # CRC-32 of its id
    key: int  # of the block and all before it
    tokens: int  # rounded up to `BLOCK_UNIT_TOKENS`


class Row(NamedTuple):
    """The announced state of one router."""

    flags: RowFlags
    zone: int
    sequence: int  # milliseconds on the sender's clock
    queued: int  # requests without an answer that are not sent
    sections: tuple[Section, ...]
    entries: tuple[ServerEntry, ...]
    cached_blocks: tuple[CachedBlock, ...]


def max_cached_blocks(sections: int, entries: int) -> int:
    """Return how many cached blocks fit a row beside so many sections and entries."""
    sections, entries = min(sections, MAX_SECTIONS), min(entries, MAX_ENTRIES)
    left = MAX_ROW_BYTES - HEAD.size - sections * SECTION.size - entries * ENTRY.size
    return min(MAX_UINT8, left // BLOCK.size)


def encode_row(row: Row) -> bytes:
    """Return a row as bytes; sections, entries and blocks beyond the bounds are left out."""
    sections, entries = row.sections[:MAX_SECTIONS], row.entries[:MAX_ENTRIES]
    blocks = row.cached_blocks[: max_cached_blocks(len(sections), len(entries))]
    sequence, queued = row.sequence & MAX_UINT64, min(row.queued, MAX_UINT32)
    counts = len(sections), len(entries), len(blocks)
    chunks = [HEAD.pack(VERSION, int(row.flags), row.zone & MAX_UINT8, sequence, queued, *counts)]
    chunks += [SECTION.pack(each.service, *_rates(each), min(MAX_UINT16, each.samples)) for each in sections]
    chunks += [_encode_entry(each) for each in entries]
    chunks += [_encode_block(each) for each in blocks]
    return b"".join(chunks)


def decode_row(payload: bytes) -> Row:
    """Return the row that the bytes encode.

    Raises:
        RowError: The bytes are no row of this version.
    """
    if not HEAD.size <= len(payload) <= MAX_ROW_BYTES or payload[0] != VERSION:
        raise RowError("no head of a row")
    _, flags, zone, sequence, queued, section_count, entry_count, block_count = HEAD.unpack_from(payload)
    first_entry = HEAD.size + section_count * SECTION.size
    first_block = first_entry + entry_count * ENTRY.size
    if section_count > MAX_SECTIONS or len(payload) != first_block + block_count * BLOCK.size:
        raise RowError("length of a row")
    sections = tuple(map(Section._make, SECTION.iter_unpack(payload[HEAD.size : first_entry])))
    if not all(0 <= rate < MAX_RATE for section in sections for rate in section[1:-1]):
        raise RowError("rates of a row")
    entries = tuple(_decode_entry(*fields) for fields in ENTRY.iter_unpack(payload[first_entry:first_block]))
    blocks = tuple(_decode_block(*fields) for fields in BLOCK.iter_unpack(payload[first_block:]))
    return Row(RowFlags(flags & ALL_FLAGS), zone, sequence, queued, sections, entries, blocks)


def _rates(section: Section) -> Sequence[float]:
    return [min(rate, MAX_RATE / 2) if math.isfinite(rate) else 0.0 for rate in section[1:-1]]


def _encode_entry(entry: ServerEntry) -> bytes:
    in_flight, tokens = min(entry.in_flight, MAX_UINT16), min(entry.tokens, MAX_UINT32)
    flags = (SUSPECT_FLAG if entry.suspect else 0) | (FAILED_TRIAL_FLAG if entry.failed_trial else 0)
    failures = min(MAX_UINT8, round(entry.failures / FAILURE_UNIT))
    return ENTRY.pack(entry.server, in_flight, tokens, flags, _encode_age(entry.response_age), failures)


def _encode_age(age: float | None) -> int:
    """Return an age in units, rounded up, so that no response seems later than it was."""
    if age is None:
        return NO_RECENT_RESPONSE
    return min(NO_RECENT_RESPONSE, math.ceil(round(max(0.0, age) / AGE_UNIT_S, AGE_DECIMALS)))


def _decode_entry(
    server: int, in_flight: int, tokens: int, flags: int, age: int, failures: int
) -> ServerEntry:
    response_age = None if age == NO_RECENT_RESPONSE else age * AGE_UNIT_S
    suspect, failed_trial = bool(flags & SUSPECT_FLAG), bool(flags & FAILED_TRIAL_FLAG)
    return ServerEntry(
        server, in_flight, tokens, suspect, response_age, failures * FAILURE_UNIT, failed_trial
    )


def _encode_block(block: CachedBlock) -> bytes:
    return BLOCK.pack(block.server, block.key, min(MAX_UINT16, -(-block.tokens // BLOCK_UNIT_TOKENS)))


def _decode_block(server: int, key: int, units: int) -> CachedBlock:
    return CachedBlock(server, key, units * BLOCK_UNIT_TOKENS)
