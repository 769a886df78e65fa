"""Event streams: encoded by servers, checked by clients for any split of the bytes."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.simulation.localfleet.event_stream import StreamCheck, StreamError, StreamEvent, parse_event

DIGEST = 0xC0FFEE


def stream(first: int, last: int, digest: int = DIGEST) -> bytes:
    """The encoded events of a stream whose last event has the number `last`."""
    numbers = range(first, last + 1)
    return b"".join(StreamEvent(number, digest, number == last).encode() for number in numbers)


@given(st.integers(1, 8), st.lists(st.integers(0, 300), max_size=8))
def test_a_stream_is_parsed_for_any_split_of_the_bytes(last: int, cuts: list[int]) -> None:
    data = stream(1, last)
    edges = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    check = StreamCheck(DIGEST)
    count = sum(check.feed(data[a:b]) for a, b in pairwise(edges))
    check.end_response()
    assert count == last == check.last_number


def test_a_stream_continues_in_another_response() -> None:
    check = StreamCheck(DIGEST)
    check.feed(stream(1, 9)[:-70])  # some events, the last of them truncated
    check.begin_response()
    check.feed(stream(check.last_number + 1, 9))
    check.end_response()
    assert check.last_number == 9


@pytest.mark.parametrize(
    "data",
    [
        stream(2, 3),
        stream(1, 3) + stream(4, 4),
        stream(1, 1, digest=1),
        StreamEvent(1, DIGEST, False).encode() * 2,
        b"id: x\ndata: 00c0ffee 1\n\n",
        b"data: 00c0ffee 1\n\n",
        b"id: 1\nretry: 5\ndata: 00c0ffee 1\n\n",
        b"x" * 70_000,
    ],
    ids=[
        "gap",
        "beyond its end",
        "another request",
        "twice",
        "no id",
        "no number",
        "another line",
        "endless",
    ],
)
def test_a_wrong_stream_is_detected(data: bytes) -> None:
    with pytest.raises(StreamError):
        StreamCheck(DIGEST).feed(data)


def test_a_premature_end_is_detected() -> None:
    check = StreamCheck(DIGEST)
    check.feed(stream(1, 3)[:-5])
    with pytest.raises(StreamError):
        check.end_response()


@given(st.binary(max_size=60))
def test_any_bytes_are_an_event_or_a_stream_error(data: bytes) -> None:
    try:
        event = parse_event(data)
    except StreamError:
        return
    assert event.encode() == data + b"\n\n"
