"""A snapshot in a file of its own: magic, version, length, checksum, content."""

from __future__ import annotations

import struct
import zlib

from firvane.fleet.storage.errors import DamagedJournalError

MAGIC = b"FvS\x01"
_HEAD = struct.Struct("<4sIIQ")  # magic, length, checksum, identity


def encode_snapshot_file(identity: int, content: bytes) -> bytes:
    """The bytes of the file."""
    return _HEAD.pack(MAGIC, len(content), zlib.crc32(content), identity) + content


def decode_snapshot_file(identity: int, data: bytes) -> bytes:
    """The content; `DamagedJournalError` where the file is not whole or another journal's."""
    if len(data) < _HEAD.size:
        raise DamagedJournalError("a snapshot is cut off")
    magic, length, checksum, owner = _HEAD.unpack_from(data)
    content = data[_HEAD.size :]
    if magic != MAGIC or owner != identity or length != len(content) or zlib.crc32(content) != checksum:
        raise DamagedJournalError("a snapshot cannot be read")
    return content
