"""The encoding of snapshots is fixed, so that proxies of other versions can read them."""

from __future__ import annotations

from firvane.proxy.snapshots import format
from firvane.proxy.snapshots.types import Snapshot, StoredBackend

SNAPSHOT = Snapshot(
    saved_at=1.8e9,
    proxy="edge",
    listed={"index": 7, "snapshot": True, "endpoints": [{"name": "a", "status": "up"}]},
    scale=20.5,
    kinds={"big": 30.0},
    boxes={"a": StoredBackend(room=12.0, start=1.7e9), "b": StoredBackend(room=1.0)},
)
FORMAT_2 = (
    "4656534e0200b600000000005c622be186a873617665645f6174cb41dad27480000000a570726f7879a465646765a66c69"
    "7374656483a5696e64657807a8736e617073686f74c3a9656e64706f696e74739182a46e616d65a161a6737461747573a2"
    "7570a57363616c65cb4034800000000000a56b696e647381a3626967cb403e000000000000a5626f78657382a16182a472"
    "6f6f6dcb4028000000000000a57374617274cb41d954fc40000000a16282a4726f6f6dcb3ff0000000000000a573746172"
    "74c0"
)
FORMAT_1 = (
    "4656534e0100650000000000a31b402786a873617665645f6174cb41dad27480000000a570726f7879a465646765a66c69"
    "73746564c0a57363616c65cb4034800000000000a5726f6f6d7382a161cb4028000000000000a162cb3ff0000000000000"
    "a673746172747381a161cb41d954fc40000000"
)


def test_the_encoding_of_a_snapshot_is_unchanged() -> None:
    assert format.encode(SNAPSHOT).hex() == FORMAT_2
    assert format.decode(bytes.fromhex(FORMAT_2)) == SNAPSHOT


def test_a_snapshot_of_the_first_format_is_read() -> None:
    boxes = SNAPSHOT.boxes
    older = Snapshot(saved_at=1.8e9, proxy="edge", listed=None, scale=20.5, kinds={}, boxes=boxes)
    assert format.decode(bytes.fromhex(FORMAT_1)) == older
