"""Codec of a snapshot file: magic, length, checksum and identity of the journal, then the content."""

from __future__ import annotations

import struct
import zlib

from firvane.fleet.storage.errors import CorruptJournalError

MAGIC = b"FvS\x01"
_HEAD = struct.Struct("<4sIIQ")  # magic, length, checksum, identity


def encode_snapshot_file(identity: int, content: bytes) -> bytes:
    """Encode the bytes of the file."""
    return _HEAD.pack(MAGIC, len(content), zlib.crc32(content), identity) + content


def decode_snapshot_file(identity: int, data: bytes) -> bytes:
    """Decode the content; `CorruptJournalError` if the file is damaged or of another journal."""
    if len(data) < _HEAD.size:
        raise CorruptJournalError("a snapshot is cut off")
    magic, length, checksum, owner = _HEAD.unpack_from(data)
    content = data[_HEAD.size :]
    if magic != MAGIC or owner != identity or length != len(content) or zlib.crc32(content) != checksum:
        raise CorruptJournalError("a snapshot cannot be read")
    return content
