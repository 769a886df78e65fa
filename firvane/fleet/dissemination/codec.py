"""The messages of dissemination and their codec.

A message is a version byte, a kind byte and fields; all integers are big-endian.
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
    """What a message carries."""

    SUMMARY = 1
    """The checksum of the sender's versions: answer with DIGEST if yours differs."""
    DIGEST = 2
    """All versions of the sender: send what it lacks, ask for what you lack."""
    PUSH = 3
    """Items with their payloads."""
    ANNOUNCE = 4
    """Versions whose payload can be requested."""
    REQUEST = 5
    """Versions wanted, or newer ones."""
    REPAIR = 6
    """Items with their payloads, in answer to a digest; not to be forwarded."""
    ACCEPT = 7
    """Requested versions that are sent now, or as soon as they have come."""
    REJECT = 8
    """Requested versions that are neither stored nor being fetched: ask another peer."""


_WITH_PAYLOADS = frozenset({Kind.PUSH, Kind.REPAIR})


class Version(Struct, frozen=True):
    """A version of a key, and the size of its payload in bytes where it is announced."""

    key: bytes
    version: int
    size: int = 0


class Message(Struct, frozen=True):
    """One message; which fields are used depends on its kind."""

    kind: Kind
    versions: tuple[Version, ...] = ()
    items: tuple[Item, ...] = ()
    summary: int = 0


def encode_message(message: Message) -> bytes:
    """The wire form of a message."""
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
    """Bytes that an item takes in a message."""
    return _KEY.size + len(item.key) + _ENTRY.size + len(item.payload)


def decode_message(data: bytes) -> Message:
    """Return the message in `data`.

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
        key, number, size, offset = _decode_entry(data, offset)
        if kind not in _WITH_PAYLOADS:
            versions.append(Version(key, number, size))
            continue
        end = offset + size
        if end > len(data):
            raise MessageError("payload is cut short")
        items.append(Item(key, number, data[offset:end]))
        offset = end
    if offset != len(data):
        raise MessageError("bytes after the last entry")
    return Message(kind, tuple(versions), tuple(items))


def _decode_entry(data: bytes, offset: int) -> tuple[bytes, int, int, int]:
    """Key, version, size, and the offset behind them."""
    (key_length,) = _KEY.unpack_from(data, offset)
    start = offset + _KEY.size
    key = data[start : start + key_length]
    if len(key) != key_length or key_length > MAX_KEY_BYTES:
        raise MessageError("key is cut short")
    version, size = _ENTRY.unpack_from(data, start + key_length)
    return key, version, size, start + key_length + _ENTRY.size
