"""Envelopes: payloads with sections of several planes, so that these share a datagram to a peer.

An envelope is a version byte and sections: plane (1 byte), length (4 bytes, big-endian), content.
"""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterable

from msgspec import Struct

VERSION = 1
MAX_SECTIONS = 64
_SECTION = struct.Struct(">BI")
SECTION_OVERHEAD = _SECTION.size
ENVELOPE_OVERHEAD = 1


class EnvelopeError(ValueError):
    """The bytes are not an envelope; the text gives the reason."""


class Plane(enum.IntEnum):
    """The component that handles a section."""

    MEMBERSHIP = 1
    """A membership message."""
    SUMMARY = 2
    """The checksum of the sender's table of members, 4 bytes."""
    DISSEMINATION = 3
    """A dissemination message."""
    APPLIED = 4
    """The version of the configuration that the sender applies."""


class Section(Struct, frozen=True):
    """The content of an envelope for one plane."""

    plane: Plane
    content: bytes


def encode_envelope(sections: Iterable[Section]) -> bytes:
    """Return the envelope with the sections."""
    parts = [bytes((VERSION,))]
    for section in sections:
        parts += (_SECTION.pack(section.plane, len(section.content)), section.content)
    return b"".join(parts)


def decode_envelope(data: bytes) -> list[Section]:
    """Decode the sections in the envelope `data`.

    Raises:
        EnvelopeError: `data` is not an envelope of this version.
    """
    if not data or data[0] != VERSION:
        raise EnvelopeError("version is unknown")
    sections: list[Section] = []
    offset = 1
    while offset < len(data):
        if len(data) - offset < _SECTION.size or len(sections) >= MAX_SECTIONS:
            raise EnvelopeError("section is cut short, or too many sections")
        plane_number, length = _SECTION.unpack_from(data, offset)
        start = offset + _SECTION.size
        offset = start + length
        if offset > len(data):
            raise EnvelopeError("section is cut short")
        try:
            plane = Plane(plane_number)
        except ValueError:
            raise EnvelopeError(f"plane {plane_number} is unknown") from None
        sections.append(Section(plane, data[start:offset]))
    return sections
