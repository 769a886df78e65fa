"""Floors of tenants' buckets in a partition's replicated log: what a new owner may rely on.

An owner never lets a bucket fall below its floor before a lower one is committed, and keeps to a higher one
from its proposal on. So the next owner may start each bucket at its floor, whatever was granted before. A
tenant without a floor was granted nothing since its bucket was full.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping

from msgspec import Struct

from firvane.fleet.tenancy.messages import TENANT_ID_BYTES

FLOORS_VERSION = 2  # the first byte of a record; records of instances have another one
MAX_FLOORS = 65_536
REMOVED = -(2**63)  # in place of a floor: the bucket is full and has none any more

_HEAD = struct.Struct("!BQI")  # version, number of the proposal, count
_FLOOR = struct.Struct(f"!{TENANT_ID_BYTES}sq")


class FloorsError(ValueError):
    """A record of floors cannot be read or written."""


class FloorsRecord(Struct, frozen=True):
    """New floors of some tenants, in tokens or requests; `number` distinguishes an owner's proposals."""

    number: int
    floors: Mapping[bytes, int]

    def pack(self) -> bytes:
        """Return the record as bytes.

        Raises:
            FloorsError: There are too many floors.
        """
        if len(self.floors) > MAX_FLOORS:
            raise FloorsError("too many floors for one record")
        head = _HEAD.pack(FLOORS_VERSION, self.number, len(self.floors))
        return head + b"".join(_FLOOR.pack(tenant, floor) for tenant, floor in self.floors.items())


def unpack_floors(record: bytes) -> FloorsRecord:
    """Return the record that the bytes encode.

    Raises:
        FloorsError: The bytes are no record of this version.
    """
    if len(record) < _HEAD.size:
        raise FloorsError("the record is cut off")
    version, number, count = _HEAD.unpack_from(record)
    if version != FLOORS_VERSION or count > MAX_FLOORS or len(record) != _HEAD.size + count * _FLOOR.size:
        raise FloorsError("the record has a wrong version or length")
    return FloorsRecord(number, dict(_FLOOR.iter_unpack(record[_HEAD.size :])))


class Floors(dict[bytes, int]):
    """The committed floors of one partition, by tenant id."""

    def apply(self, record: FloorsRecord) -> None:
        """Apply a committed record."""
        for tenant, floor in record.floors.items():
            if floor == REMOVED:
                self.pop(tenant, None)
            elif tenant in self or len(self) < MAX_FLOORS:
                self[tenant] = floor
