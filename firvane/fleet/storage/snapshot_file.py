"""Codec of snapshot files: magic, length, checksum, identity of the journal, content."""

from __future__ import annotations

import struct
import zlib

from firvane.fleet.storage.errors import CorruptJournalError

MAGIC = b"FvS\x01"
_HEAD = struct.Struct("<4sIIQ")  # magic, length, checksum, identity


def encode_snapshot_file(identity: int, content: bytes) -> bytes:
    """Encode a snapshot file."""
    return _HEAD.pack(MAGIC, len(content), zlib.crc32(content), identity) + content


def decode_snapshot_file(identity: int, data: bytes) -> bytes:
    """Decode a snapshot file; `CorruptJournalError` if it is damaged or belongs to another journal."""
    if len(data) < _HEAD.size:
        raise CorruptJournalError("a snapshot file is truncated")
    magic, length, checksum, stored_identity = _HEAD.unpack_from(data)
    content = data[_HEAD.size :]
    if (
        magic != MAGIC
        or stored_identity != identity
        or length != len(content)
        or zlib.crc32(content) != checksum
    ):
        raise CorruptJournalError("a snapshot file is damaged or belongs to another journal")
    return content
