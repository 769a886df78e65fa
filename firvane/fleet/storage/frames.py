"""Frames: the unit of a segment, written at once and synced before the next one is begun.

A frame is a magic number, a length, a checksum, its number in the segment, and records with a length each.
Since no frame is begun before the one before it is synced, a frame that cannot be read is

- a torn tail where no later frame of the segment can be read: it was never synced, and is dropped;
- damage where a later frame can be read: something that was synced is gone.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

from msgspec import Struct

from firvane.fleet.storage.errors import DamagedJournalError

MAGIC = b"FvJ\x01"
MAXIMUM_FRAME = 128_000_000  # bytes of the records of one frame
_HEAD = struct.Struct("<4sIIQ")  # magic, length of what follows, checksum, number
_LENGTH = struct.Struct("<I")
_SEED = struct.Struct("<QQQ")


class Frames(Struct, frozen=True):
    """What a segment holds. `end` is the offset after the last frame that can be read."""

    records: list[list[bytes]]  # of each frame
    end: int
    torn: bool


def encode_frame(identity: int, generation: int, number: int, records: Iterable[bytes]) -> bytes:
    """One frame; the checksum also covers whose segment it belongs to, so that stale bytes never fit."""
    body = b"".join(_LENGTH.pack(len(record)) + record for record in records)
    checksum = _checksum(identity, generation, number, body)
    return _HEAD.pack(MAGIC, len(body), checksum, number) + body


def read_frames(data: bytes, identity: int, generation: int) -> Frames:
    """All frames of a segment; `DamagedJournalError` where one in the middle cannot be read."""
    frames: list[list[bytes]] = []
    position = 0
    while position < len(data):
        body = _frame_at(data, position, identity, generation, len(frames))
        if body is None:
            if _is_later_frame(data, position + 1, identity, generation, len(frames)):
                raise DamagedJournalError(f"frame {len(frames)} cannot be read, and a later one can")
            return Frames(frames, position, torn=True)
        frames.append(_split(body))
        position += _HEAD.size + len(body)
    return Frames(frames, position, torn=False)


def _checksum(identity: int, generation: int, number: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(_SEED.pack(identity, generation, number)))


def _frame_at(data: bytes, position: int, identity: int, generation: int, number: int | None) -> bytes | None:
    """The body of the frame at an offset; None where there is none, or not of this number."""
    if len(data) - position < _HEAD.size:
        return None
    magic, length, checksum, found = _HEAD.unpack_from(data, position)
    start = position + _HEAD.size
    if magic != MAGIC or length > MAXIMUM_FRAME or start + length > len(data):
        return None
    if number is not None and found != number:
        return None
    body = data[start : start + length]
    return body if _checksum(identity, generation, found, body) == checksum else None


def _is_later_frame(data: bytes, position: int, identity: int, generation: int, number: int) -> bool:
    while (position := data.find(MAGIC, position)) >= 0:
        if _frame_at(data, position, identity, generation, None) is not None:
            found = _HEAD.unpack_from(data, position)[3]
            if found > number:
                return True
        position += 1
    return False


def _split(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        if len(body) - position < _LENGTH.size:
            raise DamagedJournalError("a record's length is cut off in a whole frame")
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if length > len(body) - position:
            raise DamagedJournalError("a record is cut off in a whole frame")
        records.append(body[position : position + length])
        position += length
    return records
