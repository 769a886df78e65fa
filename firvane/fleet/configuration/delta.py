"""The difference between two documents, for passing a change on without the whole configuration.

A delta names items that were added, replaced or removed, by list and name. It applies to the very text that
it was made from: checksums of both texts are part of it, and whatever does not fit raises `DeltaError`. Where
items cannot describe the change (another order, an item without a name), the delta holds the whole new text.
"""

from __future__ import annotations

import enum
import struct
import zlib
from typing import Any

from firvane.fleet.configuration.document import (
    Document,
    DocumentError,
    alike,
    encode,
    merge_items,
    name_of,
    parse_object,
)
from firvane.fleet.configuration.item import MAX_DOCUMENT_BYTES

DELTA_VERSION = 1
COMPRESSION_LEVEL = 6

_HEAD = struct.Struct("!BBIII")  # record version, kind, checksums of old and new text, length of the body
_SET, _DROP, _LISTS, _UPSERT, _REMOVE = "set", "drop", "lists", "upsert", "remove"


class DeltaError(ValueError):
    """A delta cannot be read or does not belong to the text that it is applied to."""


class _Kind(enum.IntEnum):
    WHOLE = 0  # the body is the new text
    ITEMS = 1  # the body is an object of changes


def make_delta(old: bytes, new: bytes) -> bytes:
    """Encode what turns the canonical document `old` into `new`."""
    kind, body = _Kind.WHOLE, new
    try:
        old_document = parse_object(old)
        changes = _difference(old_document, parse_object(new))
        if encode(_changed(old_document, changes)) == new:
            kind, body = _Kind.ITEMS, encode(changes)
    except DocumentError:
        pass  # no document: the text is sent whole
    if len(body) > MAX_DOCUMENT_BYTES:
        raise DeltaError("the document is too large")
    head = _HEAD.pack(DELTA_VERSION, kind, zlib.crc32(old), zlib.crc32(new), len(body))
    return head + zlib.compress(body, COMPRESSION_LEVEL)


def apply_delta(old: bytes, delta: bytes) -> bytes:
    """The new text; `DeltaError` where the delta is unreadable or was made from another text."""
    kind, old_checksum, new_checksum, body = _read(delta)
    if zlib.crc32(old) != old_checksum:
        raise DeltaError("the delta was made from another text")
    new = body if kind is _Kind.WHOLE else _apply_items(old, body)
    if zlib.crc32(new) != new_checksum:
        raise DeltaError("the delta does not lead to the text that it names")
    return new


def _read(delta: bytes) -> tuple[_Kind, int, int, bytes]:
    if len(delta) < _HEAD.size:
        raise DeltaError("the delta is cut off")
    record_version, kind, old_checksum, new_checksum, length = _HEAD.unpack_from(delta)
    if record_version != DELTA_VERSION:
        raise DeltaError(f"unknown version {record_version} of a delta")
    if length > MAX_DOCUMENT_BYTES:
        raise DeltaError("the delta is too large")
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(delta[_HEAD.size :], length + 1)
        delta_kind = _Kind(kind)
    except (zlib.error, ValueError) as error:
        raise DeltaError(f"the delta cannot be read: {error}") from error
    if len(body) != length or not inflater.eof or inflater.unused_data:
        raise DeltaError("the length of the delta is wrong")
    return delta_kind, old_checksum, new_checksum, body


def _apply_items(old: bytes, body: bytes) -> bytes:
    try:
        return encode(_changed(parse_object(old), parse_object(body)))
    except (DocumentError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise DeltaError(f"the changes cannot be applied: {error}") from error


def _difference(old: Document, new: Document) -> Document:
    whole: Document = {}
    lists: Document = {}
    for key, value in new.items():
        if key in old and alike(old[key], value):
            continue
        before = _by_name(old.get(key))
        after = _by_name(value)
        if before is None or after is None:
            whole[key] = value
        else:
            lists[key] = _list_difference(before, after)
    return {_SET: whole, _DROP: [key for key in old if key not in new], _LISTS: lists}


def _by_name(items: Any) -> dict[str, Any] | None:
    """Items by name, or None where one has no name of its own."""
    if not isinstance(items, list):
        return None
    named = {name: item for item in items if (name := name_of(item)) is not None}
    return named if len(named) == len(items) else None


def _list_difference(before: dict[str, Any], after: dict[str, Any]) -> Document:
    changed = [item for name, item in after.items() if name not in before or not alike(before[name], item)]
    return {_UPSERT: changed, _REMOVE: [name for name in before if name not in after]}


def _changed(old: Document, changes: Document) -> Document:
    new = dict(old)
    for key in changes[_DROP]:
        new.pop(key, None)
    new.update(changes[_SET])
    for key, change in changes[_LISTS].items():
        new[key] = merge_items(new[key], change[_UPSERT], change[_REMOVE])
    return new
