"""The frame that carries every payload between the fleet's processes, and its codec.

A frame consists of a fixed header and a payload. All integers are big-endian:

====== ======= ====================================================
offset size    field
====== ======= ====================================================
0      2       magic, ``FV``
2      1       version of the frame format
3      1       channel; the caller defines its meaning
4      4       length of the payload in bytes, at most `MAX_PAYLOAD_BYTES`
8      4       IPv4 address of the sender's internal address
12     2       port of the sender's internal address
14     length  payload
====== ======= ====================================================

A datagram contains exactly one frame; a TCP link carries a sequence of frames.
"""

from __future__ import annotations

import struct

from msgspec import Struct

from firvane.core.address import Address, pack_host, unpack_host

MAGIC = b"FV"
VERSION = 1
MAX_PAYLOAD_BYTES = 8 * 1024 * 1024
"""Largest payload of a frame, in bytes."""

_HEADER = struct.Struct(">2sBBI4sH")
HEADER_BYTES = _HEADER.size
"""Size of the header, in bytes."""


class FrameError(ValueError):
    """The bytes are not a frame; the text gives the reason."""


class Frame(Struct, frozen=True):
    """One payload on a channel, with the internal address of its sender."""

    sender: Address
    channel: int
    payload: bytes


class _Header(Struct, frozen=True):
    channel: int
    length: int
    sender: Address


def encode_header(sender: Address, channel: int, length: int) -> bytes:
    """Encode the header of a frame.

    Raises:
        FrameError: A field is out of its range.
    """
    if length > MAX_PAYLOAD_BYTES:
        raise FrameError(f"payload of {length} bytes is too long")
    try:
        return _HEADER.pack(MAGIC, VERSION, channel, length, pack_host(sender[0]), sender[1])
    except (struct.error, ValueError) as error:
        raise FrameError(f"header field out of range: {error}") from None


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame.

    Raises:
        FrameError: A field is out of its range.
    """
    return encode_header(frame.sender, frame.channel, len(frame.payload)) + frame.payload


def _decode_header(data: bytes | bytearray | memoryview, offset: int = 0) -> _Header:
    magic, version, channel, length, host, port = _HEADER.unpack_from(data, offset)
    if magic != MAGIC:
        raise FrameError("magic is wrong")
    if version != VERSION:
        raise FrameError(f"version {version} is unknown")
    if length > MAX_PAYLOAD_BYTES:
        raise FrameError(f"payload of {length} bytes is too long")
    return _Header(channel, length, (unpack_host(host), port))


def decode_datagram(data: bytes) -> Frame:
    """Decode the frame in `data`.

    Raises:
        FrameError: `data` is not exactly one frame.
    """
    if len(data) < HEADER_BYTES:
        raise FrameError("header is cut short")
    header = _decode_header(data)
    if header.length != len(data) - HEADER_BYTES:
        raise FrameError("length of the datagram differs from its header")
    return Frame(header.sender, header.channel, data[HEADER_BYTES:])


class FrameReader:
    """Splits a byte stream into frames, and buffers the incomplete last frame."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def buffered(self) -> int:
        """The bytes buffered for an incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Append received bytes, which may end at any point, and return the frames that are complete now.

        Raises:
            FrameError: The stream is corrupt; the reader must not be used afterwards.
        """
        self._buffer += data
        frames: list[Frame] = []
        offset = 0
        while len(self._buffer) - offset >= HEADER_BYTES:
            header = _decode_header(self._buffer, offset)
            start = offset + HEADER_BYTES
            end = start + header.length
            if end > len(self._buffer):
                break
            frames.append(Frame(header.sender, header.channel, bytes(self._buffer[start:end])))
            offset = end
        if offset:
            del self._buffer[:offset]
        return frames
