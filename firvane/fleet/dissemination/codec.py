"""Dissemination messages and their codec.

A message consists of a format version (1 byte), a kind (1 byte), the number of entries, and fields that
depend on the kind. All integers are big-endian.
"""

from __future__ import annotations

import enum
import struct

from msgspec import Struct

from firvane.fleet.dissemination.items import MAX_ITEMS, MAX_KEY_BYTES, Item

VERSION = 1
_HEAD = struct.Struct(">BBH")
_SUMMARY = struct.Struct(">I")
_KEY = struct.Struct(">B")
_ENTRY = struct.Struct(">QI")


class MessageError(ValueError):
    """The bytes are not a dissemination message; the text gives the reason."""


class Kind(enum.IntEnum):
    """The purpose of a message."""

    SUMMARY = 1
    """The checksum of the sender's versions; the receiver answers with DIGEST if its own differs."""
    DIGEST = 2
    """All versions of the sender; the receiver sends newer items and requests items that it lacks."""
    PUSH = 3
    """Items with their payloads."""
    ANNOUNCE = 4
    """Versions whose payloads can be requested from the sender."""
    REQUEST = 5
    """Request for the payloads of these versions, or of newer ones."""
    REPAIR = 6
    """Items with their payloads, in answer to a digest; forwarded only if an older version was known."""
    ACCEPT = 7
    """Requested versions whose payloads are sent now, or as soon as the sender has fetched them."""
    REJECT = 8
    """Requested versions that the sender does not provide; the receiver requests them from another peer."""


_WITH_PAYLOADS = frozenset({Kind.PUSH, Kind.REPAIR})


class Version(Struct, frozen=True):
    """A version of a key; announcements also state the size of its payload in bytes."""

    key: bytes
    version: int
    size: int = 0


class Message(Struct, frozen=True):
    """A message; its kind determines which fields are used."""

    kind: Kind
    versions: tuple[Version, ...] = ()
    items: tuple[Item, ...] = ()
    summary: int = 0


def encode_message(message: Message) -> bytes:
    """Return the wire form of a message."""
    entries = message.items if message.kind in _WITH_PAYLOADS else message.versions
    parts = [_HEAD.pack(VERSION, message.kind, len(entries))]
    if message.kind is Kind.SUMMARY:
        parts.append(_SUMMARY.pack(message.summary))
    for version in message.versions:
        parts += (_KEY.pack(len(version.key)), version.key, _ENTRY.pack(version.version, version.size))
    for item in message.items:
        parts += (_KEY.pack(len(item.key)), item.key, _ENTRY.pack(item.version, len(item.payload)))
        parts.append(item.payload)
    return b"".join(parts)


def item_size(item: Item) -> int:
    """Return the bytes that an item takes in a message."""
    return _KEY.size + len(item.key) + _ENTRY.size + len(item.payload)


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
    version, kind_number, count = _HEAD.unpack_from(data)
    if version != VERSION:
        raise MessageError(f"version {version} is unknown")
    kind = Kind(kind_number)
    if count > MAX_ITEMS:
        raise MessageError("too many entries")
    offset = _HEAD.size
    if kind is Kind.SUMMARY:
        (summary,) = _SUMMARY.unpack_from(data, offset)
        if count or len(data) != offset + _SUMMARY.size:
            raise MessageError("summary has a wrong length")
        return Message(kind, summary=summary)
    versions: list[Version] = []
    items: list[Item] = []
    for _ in range(count):
        key, version_number, size, offset = _decode_entry(data, offset)
        if kind not in _WITH_PAYLOADS:
            versions.append(Version(key, version_number, size))
            continue
        end = offset + size
        if end > len(data):
            raise MessageError("payload is cut short")
        items.append(Item(key, version_number, data[offset:end]))
        offset = end
    if offset != len(data):
        raise MessageError("bytes after the last entry")
    return Message(kind, tuple(versions), tuple(items))


def _decode_entry(data: bytes, offset: int) -> tuple[bytes, int, int, int]:
    """Return key, version and payload size of the entry at `offset`, and the offset after them."""
    (key_length,) = _KEY.unpack_from(data, offset)
    start = offset + _KEY.size
    key = data[start : start + key_length]
    if len(key) != key_length or key_length > MAX_KEY_BYTES:
        raise MessageError("key is cut short")
    version, size = _ENTRY.unpack_from(data, start + key_length)
    return key, version, size, start + key_length + _ENTRY.size
