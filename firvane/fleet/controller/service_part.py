"""The replicated state of one part: the newest instance record of each service, and the floors of tenants.

A record is what the poll duty's holder has published: the service's name, the version and the payload. The
part keeps it, so that it outlives the end of every process at once. Floors bound what a new owner of the part
may grant to its tenants (`tenancy.floors`).
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator, Mapping

from msgspec import Struct

from firvane.fleet.tenancy.floors import FLOORS_VERSION, Floors, FloorsError, FloorsRecord, unpack_floors

RECORD_VERSION = 1
SNAPSHOT_WITHOUT_FLOORS, SNAPSHOT_VERSION = 1, 2
MAX_NAME_BYTES = 255
MAX_PAYLOAD_BYTES = 1024 * 1024
MAX_SERVICES = 4096

_RECORD_HEAD = struct.Struct("!BQHI")  # record version, version, lengths of the name and of the payload
_SNAPSHOT_HEAD = struct.Struct("!BI")  # record version, number of records

FLOORS_BYTE = bytes((FLOORS_VERSION,))
KEPT = b"\x01"
SUPERSEDED = b"\x00"


class PartError(ValueError):
    """A record or a snapshot of a part cannot be read or written."""


class ServiceRecord(Struct, frozen=True):
    """The instances of one service as published under `version`."""

    service: str
    version: int
    payload: bytes

    def pack(self) -> bytes:
        """Encode as a record; `PartError` where it is out of bounds."""
        name = self.service.encode()
        if (
            len(name) > MAX_NAME_BYTES
            or len(self.payload) > MAX_PAYLOAD_BYTES
            or not 0 <= self.version < 2**64
        ):
            raise PartError("the record is out of bounds")
        return (
            _RECORD_HEAD.pack(RECORD_VERSION, self.version, len(name), len(self.payload))
            + name
            + self.payload
        )


def unpack_record(record: bytes) -> ServiceRecord:
    """Decode one record; `PartError` where it is none."""
    found, end = _unpack_at(record, 0)
    if end != len(record):
        raise PartError("bytes follow the record")
    return found


def _unpack_at(data: bytes, start: int) -> tuple[ServiceRecord, int]:
    if len(data) - start < _RECORD_HEAD.size:
        raise PartError("the record is cut off")
    record_version, version, name_length, payload_length = _RECORD_HEAD.unpack_from(data, start)
    if record_version != RECORD_VERSION:
        raise PartError(f"unknown version {record_version} of a record")
    if name_length > MAX_NAME_BYTES or payload_length > MAX_PAYLOAD_BYTES:
        raise PartError("the record is too long")
    name_start = start + _RECORD_HEAD.size
    payload_start = name_start + name_length
    end = payload_start + payload_length
    if end > len(data):
        raise PartError("the record is cut off")
    try:
        name = data[name_start:payload_start].decode()
    except UnicodeDecodeError as error:
        raise PartError("the name of the service cannot be read") from error
    return ServiceRecord(name, version, bytes(data[payload_start:end])), end


class ServicePart:
    """A replicated state machine: for each service the record with the highest version, and floors."""

    def __init__(
        self,
        on_change: Callable[[ServiceRecord], None] | None = None,
        on_floors: Callable[[FloorsRecord], None] | None = None,
    ) -> None:
        """`on_change` is called with each record that has been taken, by `apply` or `load`.

        `on_floors` is called with each record of floors that was applied.
        """
        self._records: dict[str, ServiceRecord] = {}
        self._on_change, self._on_floors = on_change, on_floors
        self.floors = Floors()

    def __iter__(self) -> Iterator[ServiceRecord]:
        return iter(self._records.values())

    def version_of(self, service: str) -> int:
        """The version that is kept of a service; 0 where there is none."""
        record = self._records.get(service)
        return record.version if record else 0

    def newest_version(self) -> int:
        """The highest version of all records; 0 where there is none."""
        return max((record.version for record in self), default=0)

    def apply(self, index: int, payload: bytes) -> bytes:
        """Take a packed record unless a newer one is kept; `KEPT` or `SUPERSEDED`."""
        if payload[:1] == FLOORS_BYTE:
            return self._apply_floors(payload)
        try:
            record = unpack_record(payload)
        except PartError:
            return SUPERSEDED
        return KEPT if self._take(record) else SUPERSEDED

    def _apply_floors(self, payload: bytes) -> bytes:
        try:
            record = unpack_floors(payload)
        except FloorsError:
            return SUPERSEDED
        self.floors.apply(record)
        if self._on_floors:
            self._on_floors(record)
        return KEPT

    def _take(self, record: ServiceRecord) -> bool:
        is_new = record.service not in self._records
        if record.version <= self.version_of(record.service) or (
            is_new and len(self._records) >= MAX_SERVICES
        ):
            return False
        self._records[record.service] = record
        if self._on_change:
            self._on_change(record)
        return True

    def save(self) -> bytes:
        """A snapshot of all records and floors."""
        parts = [_SNAPSHOT_HEAD.pack(SNAPSHOT_VERSION, len(self._records))]
        parts.extend(record.pack() for record in self._records.values())
        parts.append(FloorsRecord(0, self.floors).pack())
        return b"".join(parts)

    def load(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot; `PartError` leaves it as it was."""
        records, floors = _unpack_snapshot(snapshot)
        self._records.clear()
        self.floors.clear()
        self.floors.update(floors)
        for record in records:
            self._take(record)


def _unpack_snapshot(snapshot: bytes) -> tuple[list[ServiceRecord], Mapping[bytes, int]]:
    if len(snapshot) < _SNAPSHOT_HEAD.size:
        raise PartError("the snapshot is cut off")
    version, count = _SNAPSHOT_HEAD.unpack_from(snapshot)
    if version not in (SNAPSHOT_WITHOUT_FLOORS, SNAPSHOT_VERSION) or count > MAX_SERVICES:
        raise PartError("the head of the snapshot is wrong")
    records = []
    end = _SNAPSHOT_HEAD.size
    for _ in range(count):
        record, end = _unpack_at(snapshot, end)
        records.append(record)
    return records, _unpack_snapshot_floors(snapshot[end:], version)


def _unpack_snapshot_floors(rest: bytes, version: int) -> Mapping[bytes, int]:
    if version == SNAPSHOT_VERSION:
        try:
            return unpack_floors(rest).floors
        except FloorsError as error:
            raise PartError(f"the floors of the snapshot cannot be read: {error}") from error
    if rest:
        raise PartError("bytes follow the snapshot")
    return {}
