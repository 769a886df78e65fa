"""Codec of instance records: a version byte, bounded lengths, compressed with zlib.

Strings are UTF-8, prefixed with a length of one byte. Addresses are IPv4: four bytes and a port.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from typing import NamedTuple

from firvane.core.address import Address
from firvane.fleet.discovery import DiscoveryError
from firvane.fleet.discovery.instances import Instance, InstanceState, ModelVersion

RECORD_VERSION = 1
COMPRESSION_LEVEL = 6
MAX_INSTANCES = 65_535
MAX_RECORD_BYTES = 16 * 1024 * 1024
MAX_TEXT_BYTES = 255
MAX_MODELS = 255
IPV4_OCTETS = 4

_HEADER = struct.Struct("!BHI")  # record version, number of instances, bytes before compression
_INSTANCE = struct.Struct("!4BHIBIB")  # address, port, slots, state, cold remaining (ms), number of models
_MODEL = struct.Struct("!QB")  # version, number of adapters


class InstanceRecordError(DiscoveryError, ValueError):
    """A record of instances is cut off, oversized, of an unknown version or otherwise malformed."""


def encode_instances(instances: Iterable[Instance]) -> bytes:
    """Encode instances in order; `InstanceRecordError` if one is out of bounds."""
    encoded = []
    try:
        for instance in instances:
            encoded.append(_encode(instance))
    except (struct.error, ValueError) as error:
        raise InstanceRecordError(f"an instance is out of bounds: {error}") from error
    body = b"".join(encoded)
    if len(encoded) > MAX_INSTANCES or len(body) > MAX_RECORD_BYTES:
        raise InstanceRecordError("there are too many instances for one record")
    return _HEADER.pack(RECORD_VERSION, len(encoded), len(body)) + zlib.compress(body, COMPRESSION_LEVEL)


def decode_instances(payload: bytes) -> tuple[Instance, ...]:
    """Decode a record; `InstanceRecordError` if it is malformed."""
    count, body = _inflate(payload)
    reader = _Reader(body)
    try:
        instances = tuple(reader.instance() for _ in range(count))
    except (struct.error, ValueError, IndexError) as error:
        raise InstanceRecordError(f"malformed instance: {error}") from error
    if reader.offset != len(body):
        raise InstanceRecordError("bytes follow the last instance")
    return instances


class _Body(NamedTuple):
    instance_count: int
    data: bytes


def _inflate(payload: bytes) -> _Body:
    if len(payload) < _HEADER.size:
        raise InstanceRecordError("the header of the record is truncated")
    record_version, count, length = _HEADER.unpack_from(payload)
    if record_version != RECORD_VERSION:
        raise InstanceRecordError(f"unknown version {record_version} of a record")
    if length > MAX_RECORD_BYTES:
        raise InstanceRecordError("the record is too large")
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(payload[_HEADER.size :], length + 1)
    except zlib.error as error:
        raise InstanceRecordError(f"the record cannot be decompressed: {error}") from error
    if len(body) != length or not inflater.eof or inflater.unused_data:
        raise InstanceRecordError("the length of the record differs from its header")
    return _Body(count, body)


def _encode(instance: Instance) -> bytes:
    host, port = instance.address
    octets = [int(part) for part in host.split(".")]
    if len(octets) != IPV4_OCTETS:
        raise InstanceRecordError(f"{host!r} is not an IPv4 address")
    if len(instance.models) > MAX_MODELS:
        raise InstanceRecordError("an instance has too many models")
    header = _INSTANCE.pack(
        *octets, port, instance.slots, instance.state, instance.cold_remaining_ms, len(instance.models)
    )
    parts = [header]
    texts = (instance.id, instance.service, instance.zone, instance.software, instance.stage)
    parts.extend(_encode_string(text) for text in texts)
    for model in instance.models:
        parts.append(_MODEL.pack(model.version, len(model.adapters)))
        parts.extend(_encode_string(text) for text in (model.name, *model.adapters))
    return b"".join(parts)


def _encode_string(text: str) -> bytes:
    encoded = text.encode()
    if len(encoded) > MAX_TEXT_BYTES:
        raise InstanceRecordError("a string is too long")
    return bytes((len(encoded),)) + encoded


class _Reader:
    """Decodes fields in order; the caller converts the errors that malformed fields raise."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.offset = 0

    def instance(self) -> Instance:
        *octets, port, slots, state, cold_remaining_ms, models = self._fields(_INSTANCE)
        address: Address = (".".join(map(str, octets)), port)
        instance_id, service, zone, software, stage = (self._string() for _ in range(5))
        versions = tuple(self._model() for _ in range(models))
        return Instance(
            instance_id,
            service,
            address,
            zone,
            slots,
            InstanceState(state),
            software,
            cold_remaining_ms,
            versions,
            stage,
        )

    def _model(self) -> ModelVersion:
        version, adapters = self._fields(_MODEL)
        name = self._string()
        return ModelVersion(name, version, tuple(self._string() for _ in range(adapters)))

    def _fields(self, layout: struct.Struct) -> tuple[int, ...]:
        fields = layout.unpack_from(self._body, self.offset)
        self.offset += layout.size
        return fields

    def _string(self) -> str:
        start = self.offset + 1
        end = start + self._body[self.offset]
        if end > len(self._body):
            raise ValueError("a string is truncated")
        self.offset = end
        return self._body[start:end].decode()
