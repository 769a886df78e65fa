"""A snapshot as bytes: a head with version, length and checksum, and the words as MessagePack.

Rules that hold here and nowhere else:

1. A version that is newer than `words.FORMAT` is refused; older ones are read, each by its own step.
2. What is cut, longer than it says, or of another checksum is refused whole: no field of it is read.
3. Every refusal is one `Damaged` with a reason in plain words.
"""

from __future__ import annotations

import struct
from math import isfinite
from typing import Any

import google_crc32c
import msgspec

from firvane.snapshots.words import FORMAT, Snapshot

MAGIC = b"FVSN"
HEAD = struct.Struct("<4sHIxxI")  # magic, version, bytes that follow, their CRC-32C
MOST = 16 << 20  # bytes that are read


class Damaged(ValueError):  # noqa: N818 - says what it is
    """No snapshot can be read from it; the reason is one line."""


def pack(snapshot: Snapshot) -> bytes:
    body = msgspec.msgpack.encode(snapshot)
    return HEAD.pack(MAGIC, FORMAT, len(body), google_crc32c.value(body)) + body


def unpack(data: bytes) -> Snapshot:
    """The snapshot; `Damaged` where there is none."""
    if len(data) < HEAD.size or data[:4] != MAGIC:
        raise Damaged("it is no snapshot")
    _, version, length, checksum = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if not 1 <= version <= FORMAT:
        raise Damaged(f"it is of format {version}, and this program reads up to {FORMAT}")
    if len(body) != length:
        raise Damaged(f"it has {len(body)} bytes of {length}")
    if google_crc32c.value(body) != checksum:
        raise Damaged("its checksum does not match")
    try:
        raw: Any = msgspec.msgpack.decode(body)
        if version == 1:
            raw = from_1(raw)
        snapshot = msgspec.convert(raw, Snapshot)
    except (msgspec.MsgspecError, TypeError, KeyError, ValueError, RecursionError) as error:
        raise Damaged(f"its words do not fit: {error}") from None
    numbers = [snapshot.saved_at, snapshot.scale, *snapshot.kinds.values()]
    numbers += [number for box in snapshot.boxes.values() for number in (box.room, box.start or 0.0)]
    if not all(isfinite(number) and number >= 0.0 for number in numbers):
        raise Damaged("it holds a number that is below 0 or none")
    return snapshot


def from_1(raw: dict[str, Any]) -> dict[str, Any]:
    """Format 1 kept rooms and starts in two tables, and no kinds."""
    rooms, starts = raw.pop("rooms"), raw.pop("starts")
    return {**raw, "boxes": {name: {"room": room, "start": starts.get(name)} for name, room in rooms.items()}}


def aged(data: bytes, seconds: float) -> bytes:
    """The same snapshot as if it were that much older: for rehearsals."""
    snapshot = unpack(data)
    return pack(msgspec.structs.replace(snapshot, saved_at=max(0.0, snapshot.saved_at - seconds)))
