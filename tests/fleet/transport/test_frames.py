"""The codec of frames: round trips for any split of the stream, and invalid bytes."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.fleet.transport.frames import (
    HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
    Frame,
    FrameError,
    FrameReader,
    decode_datagram,
    encode_frame,
    encode_header,
)

addresses = st.tuples(st.ip_addresses(v=4).map(str), st.integers(0, 65535))
frames = st.builds(Frame, addresses, st.integers(0, 255), st.binary(max_size=300))


@settings(derandomize=True, deadline=None)
@given(frames)
def test_a_datagram_is_decoded_as_it_was_encoded(frame: Frame) -> None:
    assert decode_datagram(encode_frame(frame)) == frame


@settings(derandomize=True, deadline=None)
@given(st.lists(frames, max_size=6), st.lists(st.integers(1, 400), max_size=30))
def test_a_stream_is_decoded_for_any_split(sent: list[Frame], cuts: list[int]) -> None:
    stream = b"".join(encode_frame(frame) for frame in sent)
    reader, received = FrameReader(), []
    for cut in [*cuts, len(stream)]:
        part, stream = stream[:cut], stream[cut:]
        received += reader.feed(part)
    assert received == sent
    assert reader.buffered == 0


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200), st.booleans())
def test_invalid_bytes_raise_only_frame_errors_or_are_buffered(data: bytes, has_magic: bool) -> None:
    data = b"FV\x01" + data if has_magic else data
    reader = FrameReader()
    try:
        reader.feed(data)
    except FrameError:
        pass
    else:
        assert reader.buffered <= len(data)
    with contextlib.suppress(FrameError):
        decode_datagram(data)


@settings(derandomize=True, deadline=None)
@given(frames, st.data())
def test_a_damaged_datagram_is_rejected_or_is_another_frame(frame: Frame, data: st.DataObject) -> None:
    encoded = bytearray(encode_frame(frame))
    position = data.draw(st.integers(0, len(encoded) - 1))
    encoded[position] ^= data.draw(st.integers(1, 255))
    with contextlib.suppress(FrameError):
        assert decode_datagram(bytes(encoded)) != frame


def test_a_length_above_the_limit_is_rejected_when_the_header_is_read() -> None:
    header = bytearray(encode_header(("10.0.0.1", 7300), 1, 0))
    header[4:8] = (MAX_PAYLOAD_BYTES + 1).to_bytes(4, "big")
    with pytest.raises(FrameError, match="too long"):
        FrameReader().feed(bytes(header))
    with pytest.raises(FrameError, match="too long"):
        encode_header(("10.0.0.1", 7300), 1, MAX_PAYLOAD_BYTES + 1)


@pytest.mark.parametrize("sender", [("nowhere", 1), ("10.0.0.1", 70000), ("10.0.0.1", -1)])
def test_an_address_that_does_not_fit_is_rejected(sender: tuple[str, int]) -> None:
    with pytest.raises(FrameError):
        encode_header(sender, 1, 0)


def test_a_datagram_must_contain_exactly_one_frame() -> None:
    encoded = encode_frame(Frame(("10.0.0.1", 7300), 1, b"abc"))
    for wrong in (encoded[:-1], encoded + b"x", encoded[: HEADER_BYTES - 1], b""):
        with pytest.raises(FrameError):
            decode_datagram(wrong)
