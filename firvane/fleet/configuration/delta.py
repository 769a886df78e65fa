"""The difference between two documents, to disseminate a change without the complete configuration.

A delta lists the added, replaced or removed items, by list and name. It applies only to the old text that it
was made from: it contains checksums of both texts, and a mismatch raises `DeltaError`. If named items cannot
express the change (reordered items, an item without a name), the delta contains the complete new text.
"""

from __future__ import annotations

import enum
import struct
import zlib
from typing import Any, NamedTuple

from firvane.fleet.configuration import ConfigurationError
from firvane.fleet.configuration.document import (
    Document,
    DocumentError,
    encode,
    is_same_json,
    merge_items,
    name_of,
    parse_object,
)
from firvane.fleet.configuration.item import MAX_DOCUMENT_BYTES

DELTA_VERSION = 1
COMPRESSION_LEVEL = 6

_HEADER = struct.Struct("!BBIII")  # record version, kind, checksums of old and new text, length of the body
_SET = "set"
_DROP = "drop"
_LISTS = "lists"
_UPSERT = "upsert"
_REMOVE = "remove"


class DeltaError(ConfigurationError, ValueError):
    """A delta is malformed, or was made from another old text."""


class _Kind(enum.IntEnum):
    FULL = 0  # the body is the new text
    ITEMS = 1  # the body is a JSON object of changes


def make_delta(old: bytes, new: bytes) -> bytes:
    """Encode the difference from the canonical document `old` to `new`."""
    kind, body = _Kind.FULL, new
    try:
        old_document = parse_object(old)
        changes = _difference(old_document, parse_object(new))
        if encode(_apply_changes(old_document, changes)) == new:
            kind, body = _Kind.ITEMS, encode(changes)
    except DocumentError:
        pass  # not a JSON object: the delta contains the complete text
    if len(body) > MAX_DOCUMENT_BYTES:
        raise DeltaError("the document is too large")
    header = _HEADER.pack(DELTA_VERSION, kind, zlib.crc32(old), zlib.crc32(new), len(body))
    return header + zlib.compress(body, COMPRESSION_LEVEL)


def apply_delta(old: bytes, delta: bytes) -> bytes:
    """Return the new text; `DeltaError` if the delta is malformed or was made from another text."""
    kind, old_checksum, new_checksum, body = _read(delta)
    if zlib.crc32(old) != old_checksum:
        raise DeltaError("the delta was made from another old text")
    new = body if kind is _Kind.FULL else _apply_items(old, body)
    if zlib.crc32(new) != new_checksum:
        raise DeltaError("the resulting text does not match the checksum in the delta")
    return new


class _Delta(NamedTuple):
    kind: _Kind
    old_checksum: int
    new_checksum: int
    body: bytes


def _read(delta: bytes) -> _Delta:
    if len(delta) < _HEADER.size:
        raise DeltaError("the header of the delta is truncated")
    record_version, kind, old_checksum, new_checksum, length = _HEADER.unpack_from(delta)
    if record_version != DELTA_VERSION:
        raise DeltaError(f"unknown version {record_version} of a delta")
    if length > MAX_DOCUMENT_BYTES:
        raise DeltaError("the delta is too large")
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(delta[_HEADER.size :], length + 1)
        delta_kind = _Kind(kind)
    except (zlib.error, ValueError) as error:
        raise DeltaError(f"malformed delta: {error}") from error
    if len(body) != length or not inflater.eof or inflater.unused_data:
        raise DeltaError("the length of the delta differs from its header")
    return _Delta(delta_kind, old_checksum, new_checksum, body)


def _apply_items(old: bytes, body: bytes) -> bytes:
    try:
        return encode(_apply_changes(parse_object(old), parse_object(body)))
    except (DocumentError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise DeltaError(f"the changes cannot be applied: {error}") from error


def _difference(old: Document, new: Document) -> Document:
    replaced: Document = {}
    lists: Document = {}
    for key, value in new.items():
        if key in old and is_same_json(old[key], value):
            continue
        before = _by_name(old.get(key))
        after = _by_name(value)
        if before is None or after is None:
            replaced[key] = value
        else:
            lists[key] = _list_difference(before, after)
    return {_SET: replaced, _DROP: [key for key in old if key not in new], _LISTS: lists}


def _by_name(items: Any) -> dict[str, Any] | None:
    """The items by name; None if any item has no unique name."""
    if not isinstance(items, list):
        return None
    named = {name: item for item in items if (name := name_of(item)) is not None}
    return named if len(named) == len(items) else None


def _list_difference(before: dict[str, Any], after: dict[str, Any]) -> Document:
    changed = [
        item for name, item in after.items() if name not in before or not is_same_json(before[name], item)
    ]
    return {_UPSERT: changed, _REMOVE: [name for name in before if name not in after]}


def _apply_changes(old: Document, changes: Document) -> Document:
    new = dict(old)
    for key in changes[_DROP]:
        new.pop(key, None)
    new.update(changes[_SET])
    for key, change in changes[_LISTS].items():
        new[key] = merge_items(new[key], change[_UPSERT], change[_REMOVE])
    return new
