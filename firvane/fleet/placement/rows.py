"""Binary format of rows. A row is the load report that a router announces to its peers.

A row has a header, a section per service (capacity and rates of the sender's slice), an entry per server with
work in flight from the sender, and the large shared blocks that the sender has sent to servers, so that all
routers know where they are cached. A row fits one datagram (`MAX_ROW_BYTES`). Malformed bytes raise
`RowError`.
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
HEADER = struct.Struct("<BBBxQIBBB")  # version, flags, zone, sequence, queued, counts of the three lists
SECTION = struct.Struct("<IffffffH")  # service, mu, arrivals, forecast, served, throughput, samples
ENTRY = struct.Struct("<IHIBBB")  # server, in flight, tokens, flags, age of the last response, failures
BLOCK = struct.Struct("<IIH")  # server, key, tokens in units of `BLOCK_UNIT_TOKENS`
BLOCK_UNIT_TOKENS = 16
MAX_RATE = 1e9
SUSPECT_FLAG = 1  # flag of an entry; a receiver ignores flags that it does not know
FAILED_TRIAL_FLAG = 2
AGE_UNIT_S = 0.01
AGE_DECIMALS = 6  # rounding to these prevents floating-point errors from adding one unit to an age
FAILURE_UNIT = 0.1
NO_RECENT_RESPONSE = 255  # value of the age field if there is no recent response
MAX_UINT8 = 0xFF
MAX_UINT16 = 0xFFFF
MAX_UINT32 = 0xFFFFFFFF
MAX_UINT64 = 0xFFFFFFFFFFFFFFFF


class RowError(ValueError):
    """The bytes are not a valid row."""


class RowFlags(enum.IntFlag):
    """Requests to the receiver of a row."""

    NONE = 0
    ASK = 1  # the receiver shall send its own row
    RISK = 2  # the receiver offloads more to the sender than the sender expects, and shall stop


ALL_FLAGS = RowFlags.ASK | RowFlags.RISK


class Section(NamedTuple):
    """A router's rates for one service; work is in units of `slices.WORK_UNIT_TOKENS`."""

    service: int  # CRC-32 of the service's name
    mu: float  # capacity of the sender's slice, relative to others
    arrivals: float  # work that arrived in the last window
    forecast: float  # work expected to arrive in the next window
    served: float  # completed work per second
    prefill_rate: float  # estimated prompt tokens per second
    first_event: float  # estimated seconds to the first event of a short prompt at an idle server
    samples: int  # number of samples of these estimates


class ServerEntry(NamedTuple):
    """A router's load on one server, and the health of the server as seen by the router."""

    server: int  # CRC-32 of the server's id
    in_flight: int  # open attempts
    tokens: int  # tokens of prompts that are not prefilled yet
    suspect: bool  # whether the sender's own attempts found the server unresponsive
    response_age: float | None  # seconds since the server's last response to the sender; None if too old
    failures: float  # decayed count of failed attempts
    failed_trial: bool = False  # whether a request of the sender recently failed in the server's trial


class CachedBlock(NamedTuple):
    """A large shared block that was sent to a server."""

    server: int  # CRC-32 of the server's id
    key: int  # key of the block, which covers all blocks before it
    tokens: int  # rounded up to a multiple of `BLOCK_UNIT_TOKENS`


class Row(NamedTuple):
    """The load report of one router."""

    flags: RowFlags
    zone: int
    sequence: int  # milliseconds on the sender's clock
    queued: int  # number of requests in the sender's queue
    sections: tuple[Section, ...]
    entries: tuple[ServerEntry, ...]
    cached_blocks: tuple[CachedBlock, ...]


def max_cached_blocks(sections: int, entries: int) -> int:
    """Return how many cached blocks fit into a row with the given numbers of sections and entries."""
    sections, entries = min(sections, MAX_SECTIONS), min(entries, MAX_ENTRIES)
    remaining = MAX_ROW_BYTES - HEADER.size - sections * SECTION.size - entries * ENTRY.size
    return min(MAX_UINT8, remaining // BLOCK.size)


def encode_row(row: Row) -> bytes:
    """Return a row as bytes; sections, entries and blocks beyond the limits are omitted."""
    sections, entries = row.sections[:MAX_SECTIONS], row.entries[:MAX_ENTRIES]
    blocks = row.cached_blocks[: max_cached_blocks(len(sections), len(entries))]
    sequence, queued = row.sequence & MAX_UINT64, min(row.queued, MAX_UINT32)
    counts = len(sections), len(entries), len(blocks)
    chunks = [HEADER.pack(VERSION, int(row.flags), row.zone & MAX_UINT8, sequence, queued, *counts)]
    chunks += [SECTION.pack(each.service, *_rates(each), min(MAX_UINT16, each.samples)) for each in sections]
    chunks += [_encode_entry(each) for each in entries]
    chunks += [_encode_block(each) for each in blocks]
    return b"".join(chunks)


def decode_row(payload: bytes) -> Row:
    """Return the row that the bytes encode.

    Raises:
        RowError: The bytes are not a valid row of this version.
    """
    if not HEADER.size <= len(payload) <= MAX_ROW_BYTES or payload[0] != VERSION:
        raise RowError("row header is truncated or has an unsupported version")
    _, flags, zone, sequence, queued, section_count, entry_count, block_count = HEADER.unpack_from(payload)
    first_entry = HEADER.size + section_count * SECTION.size
    first_block = first_entry + entry_count * ENTRY.size
    if section_count > MAX_SECTIONS or len(payload) != first_block + block_count * BLOCK.size:
        raise RowError("length of the row does not match its counts of sections, entries and blocks")
    sections = tuple(map(Section._make, SECTION.iter_unpack(payload[HEADER.size : first_entry])))
    if not all(0 <= rate < MAX_RATE for section in sections for rate in section[1:-1]):
        raise RowError("rate in the row is not a number or out of range")
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
    """Return an age in units of `AGE_UNIT_S`, rounded up so that no response seems more recent than it is."""
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
