"""A snapshot as bytes: behind a head with a checksum (`checksum`), its fields as MessagePack.

Rules that hold here and nowhere else:

1. A version that is newer than `types.FORMAT` is refused; older ones are read, each by its own step.
2. Every refusal is one `Damaged` with a reason in plain words.
"""

from __future__ import annotations

from math import isfinite
from typing import Any

import msgspec

from firvane.core.checksum import HEAD as HEAD
from firvane.core.checksum import Damaged as Damaged
from firvane.core.checksum import verify, with_header
from firvane.proxy.snapshots.types import FORMAT, Snapshot

MAGIC = b"FVSN"
MOST = 16 << 20  # bytes that are read


def pack(snapshot: Snapshot) -> bytes:
    return with_header(MAGIC, FORMAT, msgspec.msgpack.encode(snapshot))


def unpack(data: bytes) -> Snapshot:
    """The snapshot; `Damaged` where there is none."""
    version, body = verify(data, MAGIC, FORMAT, "snapshot")
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
