"""The replicated state of a service partition: the newest instance record of each service, and quota floors.

The owner of the poll role publishes the records: the service's name, the version and the payload. The
partition stores them durably, so that they survive a shutdown of all processes. Floors bound the quota that a
new owner of the partition may grant to its tenants (`tenancy.floors`).
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from msgspec import Struct

from firvane.fleet.controller import ControllerError
from firvane.fleet.tenancy.floors import FLOORS_VERSION, Floors, FloorsError, FloorsRecord, unpack_floors

RECORD_VERSION = 1
SNAPSHOT_WITHOUT_FLOORS = 1
SNAPSHOT_VERSION = 2
MAX_NAME_BYTES = 255
MAX_PAYLOAD_BYTES = 1024 * 1024
MAX_SERVICES = 4096

_RECORD_HEADER = struct.Struct("!BQHI")  # record version, version, lengths of the name and of the payload
_SNAPSHOT_HEADER = struct.Struct("!BI")  # record version, number of records

FLOORS_BYTE = bytes((FLOORS_VERSION,))
STORED = b"\x01"  # result of `apply`
SUPERSEDED = b"\x00"  # result of `apply`: a newer record is stored, or the command is invalid


class PartitionError(ControllerError, ValueError):
    """A record or a snapshot of a partition cannot be decoded or encoded."""


class ServiceRecord(Struct, frozen=True):
    """The instances of one service, as published under `version`."""

    service: str
    version: int
    payload: bytes

    def pack(self) -> bytes:
        """Encode; `PartitionError` if the name, the payload or the version is out of bounds."""
        name = self.service.encode()
        if (
            len(name) > MAX_NAME_BYTES
            or len(self.payload) > MAX_PAYLOAD_BYTES
            or not 0 <= self.version < 2**64
        ):
            raise PartitionError("the name, payload or version of the record is out of bounds")
        return (
            _RECORD_HEADER.pack(RECORD_VERSION, self.version, len(name), len(self.payload))
            + name
            + self.payload
        )


def unpack_record(record: bytes) -> ServiceRecord:
    """Decode one record; `PartitionError` if it is malformed."""
    decoded = _unpack_at(record, 0)
    if decoded.end != len(record):
        raise PartitionError("bytes follow the record")
    return decoded.record


class _DecodedRecord(NamedTuple):
    record: ServiceRecord
    end: int  # offset of the byte after the record


def _unpack_at(data: bytes, start: int) -> _DecodedRecord:
    if len(data) - start < _RECORD_HEADER.size:
        raise PartitionError("the header of the record is truncated")
    record_version, version, name_length, payload_length = _RECORD_HEADER.unpack_from(data, start)
    if record_version != RECORD_VERSION:
        raise PartitionError(f"unknown version {record_version} of a record")
    if name_length > MAX_NAME_BYTES or payload_length > MAX_PAYLOAD_BYTES:
        raise PartitionError("the name or payload of the record is too long")
    name_start = start + _RECORD_HEADER.size
    payload_start = name_start + name_length
    end = payload_start + payload_length
    if end > len(data):
        raise PartitionError("the record is truncated")
    try:
        name = data[name_start:payload_start].decode()
    except UnicodeDecodeError as error:
        raise PartitionError("the name of the service is not UTF-8") from error
    return _DecodedRecord(ServiceRecord(name, version, bytes(data[payload_start:end])), end)


class ServicePartition:
    """A replicated state machine with the record of highest version of each service, and quota floors."""

    def __init__(
        self,
        on_change: Callable[[ServiceRecord], None] | None = None,
        on_floors: Callable[[FloorsRecord], None] | None = None,
    ) -> None:
        """Create an empty partition.

        Args:
            on_change: Called with each record that `apply` or `load` has stored.
            on_floors: Called with each record of floors that `apply` has applied.
        """
        self._records: dict[str, ServiceRecord] = {}
        self._on_change = on_change
        self._on_floors = on_floors
        self.floors = Floors()

    def __iter__(self) -> Iterator[ServiceRecord]:
        return iter(self._records.values())

    def version_of(self, service: str) -> int:
        """The stored version of a service; 0 if there is none."""
        record = self._records.get(service)
        return record.version if record else 0

    def newest_version(self) -> int:
        """The highest stored version of all services; 0 if there is none."""
        return max((record.version for record in self), default=0)

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a record, unless its version is not newer, or floors; returns `STORED` or `SUPERSEDED`."""
        if payload[:1] == FLOORS_BYTE:
            return self._apply_floors(payload)
        try:
            record = unpack_record(payload)
        except PartitionError:
            return SUPERSEDED
        return STORED if self._store(record) else SUPERSEDED

    def _apply_floors(self, payload: bytes) -> bytes:
        try:
            record = unpack_floors(payload)
        except FloorsError:
            return SUPERSEDED
        self.floors.apply(record)
        if self._on_floors:
            self._on_floors(record)
        return STORED

    def _store(self, record: ServiceRecord) -> bool:
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
        """Encode a snapshot of all records and floors."""
        chunks = [_SNAPSHOT_HEADER.pack(SNAPSHOT_VERSION, len(self._records))]
        chunks.extend(record.pack() for record in self._records.values())
        chunks.append(FloorsRecord(0, self.floors).pack())
        return b"".join(chunks)

    def load(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot; `PartitionError` if it is malformed, with the state unchanged."""
        records, floors = _unpack_snapshot(snapshot)
        self._records.clear()
        self.floors.clear()
        self.floors.update(floors)
        for record in records:
            self._store(record)


class _Snapshot(NamedTuple):
    records: list[ServiceRecord]
    floors: Mapping[bytes, int]


def _unpack_snapshot(snapshot: bytes) -> _Snapshot:
    if len(snapshot) < _SNAPSHOT_HEADER.size:
        raise PartitionError("the header of the snapshot is truncated")
    version, count = _SNAPSHOT_HEADER.unpack_from(snapshot)
    if version not in (SNAPSHOT_WITHOUT_FLOORS, SNAPSHOT_VERSION) or count > MAX_SERVICES:
        raise PartitionError("the snapshot has an unknown version or too many records")
    records = []
    end = _SNAPSHOT_HEADER.size
    for _ in range(count):
        record, end = _unpack_at(snapshot, end)
        records.append(record)
    return _Snapshot(records, _unpack_snapshot_floors(snapshot[end:], version))


def _unpack_snapshot_floors(rest: bytes, version: int) -> Mapping[bytes, int]:
    if version == SNAPSHOT_VERSION:
        try:
            return unpack_floors(rest).floors
        except FloorsError as error:
            raise PartitionError(f"malformed floors in the snapshot: {error}") from error
    if rest:
        raise PartitionError("bytes follow the snapshot")
    return {}
