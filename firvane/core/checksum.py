"""The header of files on disk: magic, format version, length and CRC-32C of the body.

Invariants:

1. A version above the program's is rejected; the reader of the body handles older versions.
2. Data with another length than its header states, or with another checksum, is rejected as a whole.
3. Every rejection raises one `DamagedDataError` with a reason of one line.
"""

from __future__ import annotations

import struct

import google_crc32c

HEADER = struct.Struct("<4sHIxxI")  # magic, version, length of the body in bytes, its CRC-32C
MAGIC_BYTES = 4


class DamagedDataError(ValueError):
    """The data is damaged or of an unknown format; the text is one line."""


def add_header(magic: bytes, version: int, body: bytes) -> bytes:
    """Return the body with its header before it.

    Args:
        magic: Four bytes that identify the kind of file.
        version: The version of the body's format.
        body: The content.
    """
    return HEADER.pack(magic, version, len(body), google_crc32c.value(body)) + body


def verify(data: bytes, magic: bytes, newest: int, name: str) -> tuple[int, bytes]:
    """Check the header of a file.

    Args:
        data: The whole content.
        magic: The expected kind of file.
        newest: The newest version that the program supports.
        name: The kind of file in words, for the reason of a rejection.

    Returns:
        The version and the body.

    Raises:
        DamagedDataError: The header is missing or does not match the body.
    """
    if len(data) < HEADER.size or data[:MAGIC_BYTES] != magic:
        raise DamagedDataError(f"it is not a {name}")
    _, version, length, checksum = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if not 1 <= version <= newest:
        raise DamagedDataError(f"it is of format {version}, and this program reads up to {newest}")
    if len(body) != length:
        raise DamagedDataError(f"it has {len(body)} bytes of {length}")
    if google_crc32c.value(body) != checksum:
        raise DamagedDataError("its checksum does not match")
    return version, body
