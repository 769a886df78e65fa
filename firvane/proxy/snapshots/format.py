"""The encoding of snapshots: a header with a checksum (`core.checksum`), then the fields as MessagePack.

Invariants:

1. A version above `types.FORMAT_VERSION` is rejected; older ones are converted when they are read.
2. Every rejection raises one `DamagedDataError` with a reason of one line.
"""

from __future__ import annotations

from math import isfinite
from typing import Any

import msgspec

from firvane.core.checksum import DamagedDataError, add_header, verify
from firvane.proxy.snapshots.types import FORMAT_VERSION, Snapshot

MAGIC = b"FVSN"
MAX_SNAPSHOT_BYTES = 16 << 20


def encode(snapshot: Snapshot) -> bytes:
    """Return the content of a snapshot file."""
    return add_header(MAGIC, FORMAT_VERSION, msgspec.msgpack.encode(snapshot))


def decode(data: bytes) -> Snapshot:
    """Return the snapshot in the content of a file.

    Raises:
        DamagedDataError: The content is not a valid snapshot.
    """
    version, body = verify(data, MAGIC, FORMAT_VERSION, "snapshot")
    try:
        raw: Any = msgspec.msgpack.decode(body)
        if version == 1:
            raw = convert_format_1(raw)
        snapshot = msgspec.convert(raw, Snapshot)
    except (msgspec.MsgspecError, TypeError, KeyError, ValueError, RecursionError) as error:
        raise DamagedDataError(f"its fields are invalid: {error}") from None
    numbers = [snapshot.saved_at, snapshot.scale, *snapshot.kinds.values()]
    numbers += [number for box in snapshot.boxes.values() for number in (box.room, box.start or 0.0)]
    if not all(isfinite(number) and number >= 0.0 for number in numbers):
        raise DamagedDataError("it contains a number that is negative or not finite")
    return snapshot


def convert_format_1(raw: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of format 1, which has capacities and starts in two tables, in the current format."""
    capacities, starts = raw.pop("rooms"), raw.pop("starts")
    boxes = {name: {"room": capacity, "start": starts.get(name)} for name, capacity in capacities.items()}
    return {**raw, "boxes": boxes}


def make_older(data: bytes, seconds: float) -> bytes:
    """Return a snapshot that is older by a number of seconds, for simulations."""
    snapshot = decode(data)
    saved_at = max(0.0, snapshot.saved_at - seconds)
    return encode(msgspec.structs.replace(snapshot, saved_at=saved_at))
