"""Bytes with a checksum, as files on disk are kept: a head with magic, version, length and CRC-32C.

Rules that hold here and nowhere else:

1. A version that is newer than the program's is refused; what older ones mean is their reader's to say.
2. What is cut, longer than it says, or of another checksum is refused whole: nothing of it is read.
3. Every refusal is one `Damaged` with a reason in plain words.
"""

from __future__ import annotations

import struct

import google_crc32c

HEAD = struct.Struct("<4sHIxxI")  # magic, version, bytes that follow, their CRC-32C


class Damaged(ValueError):  # noqa: N818 - says what it is
    """Nothing can be read from it; the reason is one line."""


def with_header(magic: bytes, version: int, body: bytes) -> bytes:
    """The body with its head before it."""
    return HEAD.pack(magic, version, len(body), google_crc32c.value(body)) + body


def verify(data: bytes, magic: bytes, newest: int, name: str) -> tuple[int, bytes]:
    """The version and the body; `Damaged` where the head does not fit. `name` says what it should be."""
    if len(data) < HEAD.size or data[:4] != magic:
        raise Damaged(f"it is no {name}")
    _, version, length, checksum = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if not 1 <= version <= newest:
        raise Damaged(f"it is of format {version}, and this program reads up to {newest}")
    if len(body) != length:
        raise Damaged(f"it has {len(body)} bytes of {length}")
    if google_crc32c.value(body) != checksum:
        raise Damaged("its checksum does not match")
    return version, body
