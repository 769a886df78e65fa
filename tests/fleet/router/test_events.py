"""Events are forwarded completely, in order and once, however their bytes are split."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.fleet.router.events import EventFramer

EVENTS = [b"id: %d\ndata: %s\n\n" % (number, b"x" * number) for number in range(1, 9)]
BODY = b"".join(EVENTS)


def feed_split(framer: EventFramer, data: bytes, cuts: list[int]) -> bytes:
    offsets = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return b"".join(framer.feed(data[start:end]) for start, end in itertools.pairwise(offsets))


@given(st.lists(st.integers(min_value=0)))
def test_all_events_are_forwarded_however_they_are_split(cuts: list[int]) -> None:
    framer = EventFramer()
    assert feed_split(framer, BODY, cuts) == BODY
    assert framer.last_id == 8 and framer.forwarded_events == 8 and framer.finish() == b""


@given(st.integers(min_value=0, max_value=len(BODY)), st.lists(st.integers(min_value=0)))
def test_a_resumed_stream_has_every_event_exactly_once(broken_at: int, cuts: list[int]) -> None:
    first = EventFramer()
    forwarded = feed_split(first, BODY[:broken_at], cuts)
    second = EventFramer(first.last_id)
    # The backend that resumes the stream may repeat events that have already been forwarded.
    assert forwarded + feed_split(second, BODY, cuts) == BODY


def test_only_complete_events_are_forwarded_before_the_end_of_the_stream() -> None:
    framer = EventFramer()
    assert framer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert framer.last_id == 1
    assert framer.finish() == b"id: 2\nda"


def test_a_versions_line_before_the_id_does_not_hide_the_id() -> None:
    framer = EventFramer()
    event = b"versions: 7\nid: 4\ndata: a\n\n"
    assert framer.feed(event) == event
    assert framer.last_id == 4


@pytest.mark.parametrize("ids", ((1, 2, 2, 3), (5, 4, 6), (10**18, 10**18 + 1), (10**30, 10**31)))
def test_no_event_is_dropped_from_a_stream_that_is_not_resumed(ids: tuple[int, ...]) -> None:
    # Guards against: events with long or non-increasing ids were dropped as if the client already had them.
    body = b"".join(b"id: %d\ndata: %d\n\n" % (number, place) for place, number in enumerate(ids))
    framer = EventFramer()
    assert framer.feed(body) == body
    assert framer.forwarded_events == len(ids)


def test_the_position_is_unknown_after_an_id_that_does_not_increase() -> None:
    framer = EventFramer()
    framer.feed(b"id: 2\ndata: a\n\nid: 2\ndata: b\n\n")
    assert not framer.is_position_known
    framer.feed(b"id: 3\ndata: c\n\n")
    assert framer.is_position_known and framer.last_id == 3


def test_events_without_ids_are_forwarded_unchanged() -> None:
    framer = EventFramer()
    assert framer.feed(b"data: a\r\n\r\ndata: b\n\n") == b"data: a\r\n\r\ndata: b\n\n"
    assert framer.last_id is None and framer.forwarded_events == 2
