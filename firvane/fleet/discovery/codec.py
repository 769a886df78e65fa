"""Codec of the record of instances: a version byte, bounded lengths, compressed with zlib.

Texts are UTF-8 with a length of one byte. Addresses are IPv4: four bytes and a port.
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

_HEAD = struct.Struct("!BHI")  # record version, number of instances, bytes before compression
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
    return _HEAD.pack(RECORD_VERSION, len(encoded), len(body)) + zlib.compress(body, COMPRESSION_LEVEL)


def decode_instances(payload: bytes) -> tuple[Instance, ...]:
    """Decode a record; `InstanceRecordError` if it is malformed."""
    count, body = _inflate(payload)
    reader = _Reader(body)
    try:
        instances = tuple(reader.instance() for _ in range(count))
    except (struct.error, ValueError, IndexError) as error:
        raise InstanceRecordError(f"an instance cannot be read: {error}") from error
    if reader.offset != len(body):
        raise InstanceRecordError("bytes follow the last instance")
    return instances


class _Body(NamedTuple):
    instance_count: int
    data: bytes


def _inflate(payload: bytes) -> _Body:
    if len(payload) < _HEAD.size:
        raise InstanceRecordError("the record is cut off")
    record_version, count, length = _HEAD.unpack_from(payload)
    if record_version != RECORD_VERSION:
        raise InstanceRecordError(f"unknown version {record_version} of a record")
    if length > MAX_RECORD_BYTES:
        raise InstanceRecordError("the record is too large")
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(payload[_HEAD.size :], length + 1)
    except zlib.error as error:
        raise InstanceRecordError(f"the record cannot be decompressed: {error}") from error
    if len(body) != length or not inflater.eof or inflater.unused_data:
        raise InstanceRecordError("the length of the record is wrong")
    return _Body(count, body)


def _encode(instance: Instance) -> bytes:
    host, port = instance.address
    octets = [int(part) for part in host.split(".")]
    if len(octets) != IPV4_OCTETS:
        raise InstanceRecordError(f"{host!r} is not an IPv4 address")
    if len(instance.models) > MAX_MODELS:
        raise InstanceRecordError("an instance has too many models")
    head = _INSTANCE.pack(
        *octets, port, instance.slots, instance.state, instance.cold_remaining_ms, len(instance.models)
    )
    parts = [head]
    texts = (instance.id, instance.service, instance.zone, instance.software, instance.stage)
    parts.extend(_text(text) for text in texts)
    for model in instance.models:
        parts.append(_MODEL.pack(model.version, len(model.adapters)))
        parts.extend(_text(text) for text in (model.name, *model.adapters))
    return b"".join(parts)


def _text(text: str) -> bytes:
    encoded = text.encode()
    if len(encoded) > MAX_TEXT_BYTES:
        raise InstanceRecordError("a text is too long")
    return bytes((len(encoded),)) + encoded


class _Reader:
    """Decodes fields in order; the caller translates the errors of malformed ones."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.offset = 0

    def instance(self) -> Instance:
        *octets, port, slots, state, cold, models = self._fields(_INSTANCE)
        address: Address = (".".join(map(str, octets)), port)
        name, service, zone, software, stage = (self._text() for _ in range(5))
        versions = tuple(self._model() for _ in range(models))
        return Instance(
            name, service, address, zone, slots, InstanceState(state), software, cold, versions, stage
        )

    def _model(self) -> ModelVersion:
        version, adapters = self._fields(_MODEL)
        name = self._text()
        return ModelVersion(name, version, tuple(self._text() for _ in range(adapters)))

    def _fields(self, layout: struct.Struct) -> tuple[int, ...]:
        fields = layout.unpack_from(self._body, self.offset)
        self.offset += layout.size
        return fields

    def _text(self) -> str:
        start = self.offset + 1
        end = start + self._body[self.offset]
        if end > len(self._body):
            raise ValueError("a text is cut off")
        self.offset = end
        return self._body[start:end].decode()
