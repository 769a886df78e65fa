"""Fixed bytes of an instance record, as stored by partitions, which every later version must read."""

from __future__ import annotations

from firvane.fleet.discovery.codec import decode_instances, encode_instances
from firvane.fleet.discovery.instances import Instance, InstanceState, ModelVersion

INSTANCES = (
    Instance(
        "i-1",
        "chat",
        ("10.0.0.2", 8080),
        "a",
        64,
        InstanceState.DRAINING,
        "7",
        250,
        (ModelVersion("m", 3, ("x",)),),
        "canary",
    ),
)
RECORD_HEX = (
    "01000100000031"
    "789ce3626060929fc0c0c0e0c008247e313267ea1ab2246724963026329ab32527e62516553240003323632e630500c9d4086f"
)


def test_the_fixed_record_is_read() -> None:
    assert decode_instances(bytes.fromhex(RECORD_HEX)) == INSTANCES
    assert decode_instances(encode_instances(INSTANCES)) == INSTANCES
