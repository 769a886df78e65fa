"""Floors (lower bounds) of the levels of tenants' token buckets, stored in a partition's replicated log.

The owner of a partition does not let a bucket fall below its floor before a lower floor is committed, and
observes a higher floor as soon as it has proposed it. So the next owner may start each bucket at its floor,
whatever the previous owner has granted. A tenant without a floor was granted nothing since its bucket was
full.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping

from msgspec import Struct

from firvane.fleet.tenancy.messages import TENANT_ID_BYTES

FLOORS_VERSION = 2  # first byte of a record, different from that of instance records in the same log
MAX_FLOORS = 65_536
REMOVED = -(2**63)  # value instead of a floor: the floor is removed, since the bucket is full

_HEADER = struct.Struct("!BQI")  # version, number of the proposal, number of floors
_FLOOR = struct.Struct(f"!{TENANT_ID_BYTES}sq")


class FloorsError(ValueError):
    """A record of floors cannot be decoded or encoded."""


class FloorsRecord(Struct, frozen=True):
    """New floors by tenant id, in tokens or requests; `number` identifies the proposal of its owner."""

    number: int
    floors: Mapping[bytes, int]

    def pack(self) -> bytes:
        """Return the record as bytes.

        Raises:
            FloorsError: There are too many floors.
        """
        if len(self.floors) > MAX_FLOORS:
            raise FloorsError("too many floors for one record")
        head = _HEADER.pack(FLOORS_VERSION, self.number, len(self.floors))
        return head + b"".join(_FLOOR.pack(tenant, floor) for tenant, floor in self.floors.items())


def unpack_floors(record: bytes) -> FloorsRecord:
    """Return the record that the bytes encode.

    Raises:
        FloorsError: The bytes are not a valid record of this version.
    """
    if len(record) < _HEADER.size:
        raise FloorsError("the record is cut off")
    version, number, count = _HEADER.unpack_from(record)
    if version != FLOORS_VERSION or count > MAX_FLOORS or len(record) != _HEADER.size + count * _FLOOR.size:
        raise FloorsError("the record has a wrong version or length")
    return FloorsRecord(number, dict(_FLOOR.iter_unpack(record[_HEADER.size :])))


class Floors(dict[bytes, int]):
    """The committed floors of one partition, by tenant id."""

    def apply(self, record: FloorsRecord) -> None:
        """Apply a committed record."""
        for tenant, floor in record.floors.items():
            if floor == REMOVED:
                self.pop(tenant, None)
            elif tenant in self or len(self) < MAX_FLOORS:
                self[tenant] = floor
