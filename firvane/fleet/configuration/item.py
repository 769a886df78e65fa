"""The configuration as it is passed on to routers: a versioned, compressed document.

Routers load this file and `routes`, and none of the checks.
"""

from __future__ import annotations

import struct
import zlib

import msgspec

from firvane.fleet.configuration.routes import Configuration, ConfigurationEntry, Tenant, TenantsEntry

ITEM_VERSION = 1
COMPRESSION_LEVEL = 6
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024

_HEAD = struct.Struct("!BQI")  # record version, configuration version, length of the document

_decoder = msgspec.json.Decoder(ConfigurationEntry)
_tenants_decoder = msgspec.json.Decoder(TenantsEntry)


class ItemError(ValueError):
    """A payload is cut off, oversized, of an unknown version or otherwise unreadable."""


def pack_item(version: int, document: bytes) -> bytes:
    """Compress a document for dissemination; `ItemError` where it is too large."""
    if len(document) > MAX_DOCUMENT_BYTES:
        raise ItemError("the document is too large")
    return _HEAD.pack(ITEM_VERSION, version, len(document)) + zlib.compress(document, COMPRESSION_LEVEL)


def unpack_document(payload: bytes) -> tuple[int, bytes]:
    """The version and the JSON text of a payload; `ItemError` where it is none."""
    if len(payload) < _HEAD.size:
        raise ItemError("the item is cut off")
    record_version, version, length = _HEAD.unpack_from(payload)
    if record_version != ITEM_VERSION:
        raise ItemError(f"unknown version {record_version} of an item")
    if length > MAX_DOCUMENT_BYTES:
        raise ItemError("the document is too large")
    inflater = zlib.decompressobj()
    try:
        document = inflater.decompress(payload[_HEAD.size :], length + 1)
    except zlib.error as error:
        raise ItemError(f"the document cannot be decompressed: {error}") from error
    if len(document) != length or not inflater.eof or inflater.unused_data:
        raise ItemError("the length of the document is wrong")
    return version, document


def read_item(payload: bytes) -> Configuration:
    """The typed configuration of a payload; `ItemError` where it is none."""
    version, document = unpack_document(payload)
    return read_document(document, version)


def read_document(document: bytes, version: int) -> Configuration:
    """The typed configuration of a JSON text; `ItemError` where it is none."""
    return read_entry(document).configuration(version)


def read_entry(document: bytes) -> ConfigurationEntry:
    """The entries of a JSON text, not yet in the types of routers; `ItemError` where it is none."""
    try:
        return _decoder.decode(document)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ItemError(f"the document cannot be read: {error}") from error


def read_tenants(document: bytes) -> tuple[Tenant, ...]:
    """The tenants of a JSON text, without its routes; `ItemError` where it is none."""
    try:
        return _tenants_decoder.decode(document).typed()
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ItemError(f"the tenants cannot be read: {error}") from error
