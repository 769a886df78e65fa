"""Frames, the units of a segment: each is written in one call and synced before the next one is written.

A frame consists of a magic number, a length, a checksum, its number in the segment, and length-prefixed
records. Since no frame is written before the previous one is synced, an unreadable frame is

- a torn tail if no later frame of the segment is readable: it was never synced, and is dropped;
- corruption if a later frame is readable: synced data is lost.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

from msgspec import Struct

from firvane.fleet.storage.errors import CorruptJournalError

MAGIC = b"FvJ\x01"
MAX_FRAME_BYTES = 128_000_000  # of all records in one frame
_HEAD = struct.Struct("<4sIIQ")  # magic, length of what follows, checksum, number
_LENGTH = struct.Struct("<I")
_SEED = struct.Struct("<QQQ")


class Frames(Struct, frozen=True):
    """The frames of a segment; `end` is the offset after the last readable frame."""

    records: list[list[bytes]]  # the records of each frame
    end: int
    torn: bool


def encode_frame(identity: int, generation: int, number: int, records: Iterable[bytes]) -> bytes:
    """Encode one frame; its checksum covers journal and segment, so that stale bytes never match."""
    body = b"".join(_LENGTH.pack(len(record)) + record for record in records)
    checksum = _checksum(identity, generation, number, body)
    return _HEAD.pack(MAGIC, len(body), checksum, number) + body


def read_frames(data: bytes, identity: int, generation: int) -> Frames:
    """Decode a segment's frames; `CorruptJournalError` if an unreadable frame precedes a readable one."""
    frames: list[list[bytes]] = []
    position = 0
    while position < len(data):
        body = _frame_at(data, position, identity, generation, len(frames))
        if body is None:
            if _has_later_frame(data, position + 1, identity, generation, len(frames)):
                raise CorruptJournalError(f"frame {len(frames)} is unreadable, but a later frame is readable")
            return Frames(frames, position, torn=True)
        frames.append(_split_records(body))
        position += _HEAD.size + len(body)
    return Frames(frames, position, torn=False)


def _checksum(identity: int, generation: int, number: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(_SEED.pack(identity, generation, number)))


def _frame_at(data: bytes, position: int, identity: int, generation: int, number: int | None) -> bytes | None:
    """Return the body of the valid frame of this number (None: any number) at `position`, or None."""
    if len(data) - position < _HEAD.size:
        return None
    magic, length, checksum, stored_number = _HEAD.unpack_from(data, position)
    start = position + _HEAD.size
    if magic != MAGIC or length > MAX_FRAME_BYTES or start + length > len(data):
        return None
    if number is not None and stored_number != number:
        return None
    body = data[start : start + length]
    return body if _checksum(identity, generation, stored_number, body) == checksum else None


def _has_later_frame(data: bytes, position: int, identity: int, generation: int, number: int) -> bool:
    while (position := data.find(MAGIC, position)) >= 0:
        if _frame_at(data, position, identity, generation, None) is not None:
            stored_number = _HEAD.unpack_from(data, position)[3]
            if stored_number > number:
                return True
        position += 1
    return False


def _split_records(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        if len(body) - position < _LENGTH.size:
            raise CorruptJournalError("a record's length is truncated in a frame with a valid checksum")
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if length > len(body) - position:
            raise CorruptJournalError("a record is truncated in a frame with a valid checksum")
        records.append(body[position : position + length])
        position += length
    return records
