"""Codec of the configuration that is disseminated to routers: a versioned, compressed document.

Routers import this module and `routes`, but not the validation.
"""

from __future__ import annotations

import struct
import zlib
from typing import NamedTuple

import msgspec

from firvane.fleet.configuration import ConfigurationError
from firvane.fleet.configuration.routes import Configuration, ConfigurationEntry, Tenant, TenantsEntry

ITEM_VERSION = 1
COMPRESSION_LEVEL = 6
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024

_HEADER = struct.Struct("!BQI")  # record version, configuration version, length of the document

_decoder = msgspec.json.Decoder(ConfigurationEntry)
_tenants_decoder = msgspec.json.Decoder(TenantsEntry)


class ItemError(ConfigurationError, ValueError):
    """A payload is cut off, oversized, of an unknown version or otherwise malformed."""


def pack_item(version: int, document: bytes) -> bytes:
    """Encode a document for dissemination; `ItemError` if it is too large."""
    if len(document) > MAX_DOCUMENT_BYTES:
        raise ItemError("the document is too large")
    return _HEADER.pack(ITEM_VERSION, version, len(document)) + zlib.compress(document, COMPRESSION_LEVEL)


class VersionedDocument(NamedTuple):
    """The version and the JSON text of a configuration."""

    version: int
    text: bytes


def unpack_document(payload: bytes) -> VersionedDocument:
    """Decode the version and the JSON text of a payload; `ItemError` if it is malformed."""
    if len(payload) < _HEADER.size:
        raise ItemError("the header of the item is truncated")
    record_version, version, length = _HEADER.unpack_from(payload)
    if record_version != ITEM_VERSION:
        raise ItemError(f"unknown version {record_version} of an item")
    if length > MAX_DOCUMENT_BYTES:
        raise ItemError("the document is too large")
    inflater = zlib.decompressobj()
    try:
        document = inflater.decompress(payload[_HEADER.size :], length + 1)
    except zlib.error as error:
        raise ItemError(f"the document cannot be decompressed: {error}") from error
    if len(document) != length or not inflater.eof or inflater.unused_data:
        raise ItemError("the length of the document differs from the header")
    return VersionedDocument(version, document)


def read_item(payload: bytes) -> Configuration:
    """Decode the configuration of a payload; `ItemError` if it is malformed."""
    version, document = unpack_document(payload)
    return read_document(document, version)


def read_document(document: bytes, version: int) -> Configuration:
    """Decode the configuration of a JSON text; `ItemError` if it is malformed."""
    return read_entry(document).configuration(version)


def read_entry(document: bytes) -> ConfigurationEntry:
    """Decode a JSON text without converting it to `Configuration`; `ItemError` if it is malformed."""
    try:
        return _decoder.decode(document)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ItemError(f"the document cannot be read: {error}") from error


def read_tenants(document: bytes) -> tuple[Tenant, ...]:
    """Decode only the tenants of a JSON text; `ItemError` if it is malformed."""
    try:
        return _tenants_decoder.decode(document).to_tenants()
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ItemError(f"the tenants cannot be read: {error}") from error
