"""Membership messages and their codec.

A message consists of a header (format version, kind, summary of the sender's table, numbers of buckets and
records), the nonce and the probed address in probes and their answers, the checksums of the sender's buckets
in comparisons, and records; the first record is the sender's own.
"""

from __future__ import annotations

import enum
import functools
import struct
from collections.abc import Sequence

from msgspec import Struct

from firvane.core.address import Address, pack_host, unpack_host
from firvane.fleet.membership.members import Member, Record, Role, Status

VERSION = 1
MAX_ZONE_BYTES = 63
MAX_BUCKETS = 64
MAX_RECORDS = 64
MAX_INCARNATION = 2**64 - 2**16
MAX_COUNTER = 2**32 - 2
_AGE_UNIT_S = 0.01
_HEAD = struct.Struct(">BBIBH")
_PROBE = struct.Struct(">I4sH")
_RECORD = struct.Struct(">4sHBBQIB4sHB")
_NO_CONTROL = b"\0\0\0\0"


class MessageError(ValueError):
    """The bytes are not a membership message; the text gives the reason."""


class Kind(enum.IntEnum):
    """The purpose of a message."""

    HEARTBEAT = 1
    """Shows that the sender is alive, and carries the summary of its table."""
    UPDATE = 2
    """New records, which each receiver forwards once."""
    PROBE = 3
    """Direct probe, to be answered with ACK."""
    ACK = 4
    """Answer of the target to PROBE; the answer to PROBE_REQUEST once the target has answered."""
    PROBE_REQUEST = 5
    """Request to probe the target on behalf of the sender (indirect probe)."""
    COMPARE = 6
    """Checksums of the sender's buckets; the receiver answers with its records of those that differ."""
    RECORDS = 7
    """Records of buckets that differ; if it has checksums, the receiver answers with its own records."""
    CORRECTION = 8
    """The receiver's record in the sender's table: newer than the one it sent, or not alive."""


_PROBE_KINDS = frozenset({Kind.PROBE, Kind.ACK, Kind.PROBE_REQUEST})


class Message(Struct, frozen=True):
    """A message; only probes and their answers use `nonce` and `target`."""

    kind: Kind
    records: tuple[Record, ...] = ()
    summary: int = 0
    nonce: int = 0
    target: Address = ("0.0.0.0", 0)
    buckets: tuple[int, ...] = ()


def encode_record(record: Record) -> bytes:
    """Return the wire form of a record."""
    member = record.member
    zone = member.zone.encode()[:MAX_ZONE_BYTES]
    control = member.control
    return (
        _RECORD.pack(
            pack_host(member.address[0]),
            member.address[1],
            member.role,
            record.status,
            member.incarnation,
            record.counter,
            min(255, round(record.age / _AGE_UNIT_S)),
            pack_host(control[0]) if control else _NO_CONTROL,
            control[1] if control else 0,
            len(zone),
        )
        + zone
    )


def encode_message(message: Message, encoded: Sequence[bytes] = ()) -> bytes:
    """Return the wire form of a message; `encoded` are further records that are already encoded."""
    records = [*(encode_record(record) for record in message.records), *encoded]
    parts = [_HEAD.pack(VERSION, message.kind, message.summary, len(message.buckets), len(records))]
    if message.kind in _PROBE_KINDS:
        host, port = message.target
        parts.append(_PROBE.pack(message.nonce, pack_host(host), port))
    if message.buckets:
        parts.append(struct.pack(f">{len(message.buckets)}I", *message.buckets))
    parts += records
    return b"".join(parts)


def decode_message(data: bytes) -> Message:
    """Decode the message in `data`.

    Raises:
        MessageError: `data` is not a message of this version.
    """
    try:
        return _decode(data)
    except (struct.error, ValueError) as error:
        raise MessageError(str(error)) from None


def _decode(data: bytes) -> Message:
    version, kind_number, summary, bucket_count, record_count = _HEAD.unpack_from(data)
    if version != VERSION:
        raise MessageError(f"version {version} is unknown")
    if bucket_count > MAX_BUCKETS or not 1 <= record_count <= MAX_RECORDS:
        raise MessageError("too many buckets, or no or too many records")
    kind = Kind(kind_number)
    offset = _HEAD.size
    nonce, target = 0, ("0.0.0.0", 0)
    if kind in _PROBE_KINDS:
        nonce, host, port = _PROBE.unpack_from(data, offset)
        target = (unpack_host(host), port)
        offset += _PROBE.size
    buckets: tuple[int, ...] = struct.unpack_from(f">{bucket_count}I", data, offset)
    offset += 4 * bucket_count
    records = []
    for _ in range(record_count):
        record, offset = _decode_record(data, offset)
        records.append(record)
    if offset != len(data):
        raise MessageError("bytes after the last record")
    return Message(kind, tuple(records), summary, nonce, target, buckets)


def _decode_record(data: bytes, offset: int) -> tuple[Record, int]:
    """Return the record at `offset`, and the offset after it."""
    zone_length_offset = offset + _RECORD.size - 1
    end = (
        zone_length_offset + 1 + data[zone_length_offset] if zone_length_offset < len(data) else len(data) + 1
    )
    if end > len(data):
        raise MessageError("record is cut short")
    return _parse_record(data[offset:end]), end


@functools.lru_cache(maxsize=1024)  # the same records arrive repeatedly
def _parse_record(data: bytes) -> Record:
    host, port, role, status, incarnation, counter, age, control_host, control_port, zone_length = (
        _RECORD.unpack_from(data)
    )
    if zone_length > MAX_ZONE_BYTES:
        raise MessageError("zone is too long")
    if incarnation > MAX_INCARNATION or counter > MAX_COUNTER or not port:
        raise MessageError("incarnation, counter or port out of range")
    control = (unpack_host(control_host), control_port) if control_port else None
    address = (unpack_host(host), port)
    zone = data[_RECORD.size :].decode()
    member = Member(address, Role(role), zone, control, incarnation)
    return Record(member, counter, Status(status), age * _AGE_UNIT_S)
