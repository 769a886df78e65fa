"""An event stream without a length ends with its connection, and is complete only between two events."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.fleet.router.events import MAX_EVENT_BYTES, EventFramer
from tests.fleet.router.ending_backends import (
    CHUNKED,
    CLOSING,
    CUT_EVENT,
    EVENTS,
    FIRST_EVENTS,
    HTTP_1_0,
    LARGE,
    LINE_ENDS,
    UNTIL_CLOSE,
    WITH_LENGTH,
    event,
    events,
    exchange,
    respond,
    resume,
)
from tests.fleet.router.loop_fixtures import Scenario, run

__all__ = ["run"]

# A stream that ends inside an event

CUT_OFF = [
    pytest.param(name, cut, id=f"{name}-{cut}")
    for name, line_end in LINE_ENDS.items()
    for cut in range(1, len(event(CUT_EVENT, line_end)))
]


@pytest.mark.parametrize(("line_end", "cut"), CUT_OFF)
def test_a_stream_that_ends_inside_an_event_is_resumed(line_end: str, cut: int) -> None:
    # Guards against: a backend was killed inside an event, and its stream ended as complete (ORDER).
    ending = LINE_ENDS[line_end]
    first = FIRST_EVENTS[line_end] + event(CUT_EVENT, ending)[:cut]

    async def scenario() -> None:
        for framing in (CHUNKED, UNTIL_CLOSE):
            _, body, is_complete = await exchange(
                CLOSING, respond(first), resume(ending, framing), resumable=True
            )
            assert is_complete and body == events(1, EVENTS, ending)

    asyncio.run(asyncio.wait_for(scenario(), 20))


@pytest.mark.parametrize(("line_end", "cut"), CUT_OFF)
def test_a_stream_that_ends_inside_an_event_and_is_not_resumed_is_truncated(line_end: str, cut: int) -> None:
    # Guards against: a backend was killed inside an event, and its stream ended as complete (ORDER).
    ending = LINE_ENDS[line_end]
    first = FIRST_EVENTS[line_end] + event(CUT_EVENT, ending)[:cut]

    async def scenario() -> None:
        result = await exchange(CLOSING, respond(first), resume(ending), resumable=False)
        assert result == (b"HTTP/1.1 200 OK", FIRST_EVENTS[line_end], False)

    asyncio.run(asyncio.wait_for(scenario(), 20))


NOT_RESUMABLE = {
    "no ids": (b"data: a\n\n", b"data: b\nda"),
    "an id that is not a number": (b"id: a\ndata: a\n\n", b"id: b\ndata: b\n"),
    "an id of 19 digits": (b"id: %d\ndata: a\n\n" % 10**18, b"id: 1"),
    "a large event": (event(1), b"id: 2\ndata: " + b"x" * (MAX_EVENT_BYTES + 1)),
    "a large event at its last line end": (event(1), event(2, padding=LARGE)[:-1]),
    "a large event of CRLF at its last LF": (event(1), event(2, b"\r\n", LARGE)[:-1]),
    "comments alone": (b": ready\n\n", b""),
    "comments alone and a part of an event": (b": ready\n\n", b"data"),
}


@pytest.mark.parametrize("case", NOT_RESUMABLE)
def test_a_stream_that_ends_inside_an_event_of_unknown_position_is_truncated(case: str) -> None:
    # Guards against: a backend was killed inside an event, and its stream ended as complete (ORDER).
    whole, partial = NOT_RESUMABLE[case]

    async def scenario() -> None:
        _, body, is_complete = await exchange(CLOSING, respond(whole + partial), resume(), resumable=True)
        assert not is_complete and body.startswith(whole) and (whole + partial).startswith(body)

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_a_client_of_http_1_0_sees_that_a_stream_is_cut_off(run: Callable[[Scenario], None]) -> None:
    # Guards against: a backend was killed inside an event, and its stream ended as complete (ORDER).
    async def scenario() -> None:
        first = events(1, 2) + b"id: 3\nda"
        _, body, is_complete = await exchange(HTTP_1_0, respond(first), resume(), resumable=False)
        assert not is_complete and events(1, 2).startswith(body)

    run(scenario())


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("sent", [b"", b"id: 1\ndata", b"\n", b": rea"])
def test_a_stream_that_ends_before_its_first_event_is_no_answer(sent: bytes, resumable: bool) -> None:
    # Guards against: a backend was killed between the head and the first event, and its stream was complete.
    async def scenario() -> None:
        result = await exchange(CLOSING, respond(sent), resume(), resumable=resumable)
        assert result == (b"HTTP/1.1 200 OK", events(1, EVENTS), True)
        status, _, _ = await exchange(CLOSING, respond(sent), resumable=resumable)
        assert status == b"HTTP/1.1 502 Bad Gateway"

    asyncio.run(asyncio.wait_for(scenario(), 20))


@pytest.mark.parametrize("cut", range(1, len(event(CUT_EVENT))))
def test_a_second_run_that_ends_inside_an_event_is_resumed_by_a_third(cut: int) -> None:
    # Guards against: only the first of several killed backends was noticed.
    async def scenario() -> None:
        first, second = respond(events(1, 1) + b"id"), respond(event(2) + event(3)[:cut])
        _, body, is_complete = await exchange(CLOSING, first, second, resume(), resumable=True)
        assert is_complete and body == events(1, EVENTS)
        _, body, is_complete = await exchange(CLOSING, first, second, resumable=True)
        assert not is_complete and body == events(1, 2)

    asyncio.run(asyncio.wait_for(scenario(), 20))


# A stream that ends between events

COMPLETE = {
    "events": events(1, EVENTS),
    "events with CRLF": events(1, EVENTS, b"\r\n"),
    "events with CR": events(1, EVENTS, b"\r"),
    "no ids": b"data: a\n\ndata: b\n\n",
    "empty lines behind the last event": events(1, 2) + b"\n",
    "empty lines of CRLF behind the last event": events(1, 2, b"\r\n") + b"\r\n\r\n\r\n",
    "a line of comment behind the last event": events(1, 2) + b": done\n",
    "comments between events": event(1) + b": ping\n\n" + event(2) + b": ping\n\n",
    "a large event": event(1) + event(2, padding=MAX_EVENT_BYTES),
    "a large event of CRLF": event(1, b"\r\n") + event(2, b"\r\n", MAX_EVENT_BYTES),
    "one large event": event(1, padding=MAX_EVENT_BYTES),
    "more than one turn of the loop": b"".join(event(number) for number in range(1, 20_000)),
}


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("case", COMPLETE)
def test_a_stream_that_ends_between_events_is_complete(
    case: str, resumable: bool, run: Callable[[Scenario], None]
) -> None:
    async def scenario() -> None:
        result = await exchange(CLOSING, respond(COMPLETE[case]), resume(), resumable=resumable)
        assert result == (b"HTTP/1.1 200 OK", COMPLETE[case], True)

    run(scenario())


@pytest.mark.parametrize("rest", [b"\n", b": done\n", b"\n\n", b": done\n\n"])
@pytest.mark.parametrize("framing", [CHUNKED, UNTIL_CLOSE, WITH_LENGTH])
def test_a_second_run_may_end_with_comments_and_empty_lines(framing: str, rest: bytes) -> None:
    # Guards against: a resumed stream was truncated, since empty lines followed its last event.
    async def scenario() -> None:
        second = respond(events(2, EVENTS) + rest, framing)
        _, body, is_complete = await exchange(CLOSING, respond(event(1) + b"i"), second, resumable=True)
        assert is_complete and body == events(1, EVENTS) + rest

    asyncio.run(asyncio.wait_for(scenario(), 20))


@pytest.mark.parametrize("framing", [CHUNKED, WITH_LENGTH])
@pytest.mark.parametrize("rest", [b"", b"id: 3\ndata: 3\n", b"id: 3\r\ndata: 3\r\n\r", b"data"])
def test_a_body_whose_framing_says_that_it_is_whole_is_forwarded_whole(framing: str, rest: bytes) -> None:
    # A body with a length or in chunks that reached its end was not cut off, whatever its last line is.
    async def scenario() -> None:
        result = await exchange(CLOSING, respond(events(1, 2) + rest, framing), resume(), resumable=True)
        assert result == (b"HTTP/1.1 200 OK", events(1, 2) + rest, True)

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_the_answer_to_a_head_request_has_no_events() -> None:
    async def scenario() -> None:
        request = CLOSING.replace(b"POST", b"HEAD", 1)
        result = await exchange(request, respond(b""), resume(), resumable=True)
        assert result == (b"HTTP/1.1 200 OK", b"", True)

    asyncio.run(asyncio.wait_for(scenario(), 20))


@pytest.mark.parametrize("framing", [CHUNKED, UNTIL_CLOSE])
@pytest.mark.parametrize("body", [events(1, EVENTS), events(1, 50_000)], ids=["short", "long"])
def test_a_complete_stream_to_a_client_of_http_1_0_ends_in_order(
    body: bytes, framing: str, run: Callable[[Scenario], None]
) -> None:
    # Guards against: the connection was reset at the end, and a complete stream looked cut off.
    async def scenario() -> None:
        result = await exchange(HTTP_1_0, respond(body, framing), resumable=True)
        assert result == (b"HTTP/1.1 200 OK", body, True)

    run(scenario())


# All prefixes of random streams, checked against a parser of whole lines

LINES = st.lists(
    st.sampled_from([b"id: 1", b"id", b"data: x", b"data", b"retry: 9", b": ping", b":", b"", b""]),
    max_size=12,
)


def is_complete_stream(body: bytes, line_end: bytes) -> bool:
    """Return whether a body has an event and ends between events; all of its line ends are alike."""
    *lines, rest = body.split(line_end)
    has_event = is_inside_event = False
    for line in lines:
        if not line:
            has_event, is_inside_event = has_event or is_inside_event, False
        elif not line.startswith(b":"):
            is_inside_event = True
    return has_event and not is_inside_event and not rest


@given(LINES, st.sampled_from(list(LINE_ENDS.values())), st.lists(st.integers(0, 100), max_size=8))
def test_each_prefix_of_a_stream_is_complete_only_between_events(
    lines: list[bytes], line_end: bytes, cuts: list[int]
) -> None:
    # Guards against: a backend was killed inside an event, and its stream ended as complete (ORDER).
    body = b"".join(line + line_end for line in lines)
    for end in range(len(body) + 1):
        framer, prefix = EventFramer(), body[:end]
        offsets = sorted({0, end, *(cut for cut in cuts if cut < end)})
        for start, stop in itertools.pairwise(offsets):
            framer.feed(prefix[start:stop])
        if is_half_a_line_end(prefix, line_end):
            continue
        assert framer.may_end(is_framed=False) == is_complete_stream(prefix, line_end), prefix
        assert framer.may_end(is_framed=True)


def is_half_a_line_end(prefix: bytes, line_end: bytes) -> bool:
    """Return whether only the LF of a comment or of a further empty line is missing."""
    if len(line_end) == 1 or not prefix.endswith(b"\r"):
        return False
    lines = (prefix + b"\n").split(line_end)[:-1]
    is_last_of_event = len(lines) > 1 and not lines[-1] and lines[-2] and not lines[-2].startswith(b":")
    return not is_last_of_event and (not lines[-1] or lines[-1].startswith(b":"))
