"""`EventFramer` agrees with a reference implementation, and its work is linear in the number of bytes."""

from __future__ import annotations

import itertools
from typing import Any, SupportsIndex

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.fleet.router import events
from firvane.fleet.router.events import EventFramer, UnknownPositionError
from tests.fleet.router.regex_framer import RegexFramer

MAX_VISITS_PER_BYTE = 12  # searches for three empty lines and two line starts, with one or two copies each
IDS = [b"id: 1", b"id: 2", b"id:3", b"id: 40", b"id", b"idle: 5", b"id: 2b"]
LINES = st.sampled_from([*IDS, b"5", b"data: x", b": comment", b""])
CUTS = st.lists(st.integers(0, 400), max_size=60)


@st.composite
def bodies(draw: st.DrawFn) -> bytes:
    """Draw lines with a mix of the two line ends that the oracle supports."""
    ends = st.sampled_from([b"\n", b"\r\n"])
    lines = draw(st.lists(LINES, max_size=40))
    return b"".join(line + draw(ends) for line in lines) + draw(st.sampled_from([b"", b"data: rest"]))


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    offsets = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    return [data[start:end] for start, end in itertools.pairwise(offsets)]


@settings(max_examples=400)
@given(bodies(), CUTS, st.sampled_from([None, 1, 3]))
def test_results_agree_with_the_reference_implementation(
    body: bytes, cuts: list[int], last_id: int | None
) -> None:
    framer, oracle, forwarded = EventFramer(last_id), RegexFramer(last_id), b""
    pieces = split(body, cuts)
    for piece in pieces:
        oracle.feed(piece)
    try:
        forwarded = b"".join([framer.feed(piece) for piece in pieces])
    except UnknownPositionError:
        assert oracle.is_unknown
        return
    assert not oracle.is_unknown and forwarded == oracle.forwarded
    assert (framer.last_id, framer.is_position_known) == (oracle.last_id, oracle.is_position_known)
    assert framer.forwarded_events == oracle.forwarded_events and framer.finish() == oracle.partial


@given(st.lists(LINES, max_size=30), CUTS)
@pytest.mark.parametrize("line_end", [b"\r", b"\n", b"\r\n"])
def test_all_line_ends_are_equivalent_however_they_are_split(
    line_end: bytes, lines: list[bytes], cuts: list[int]
) -> None:
    # Guards against: events with CR line ends were buffered until the end of the stream.
    framer, reference = EventFramer(), EventFramer()
    body = b"".join(line + line_end for line in lines)
    forwarded = b"".join(framer.feed(piece) for piece in split(body, cuts))
    expected = reference.feed(b"".join(line + b"\n" for line in lines))
    assert forwarded.replace(b"\r\n", b"\n").replace(b"\r", b"\n") == expected
    assert (framer.last_id, framer.forwarded_events) == (reference.last_id, reference.forwarded_events)
    assert framer.is_position_known == reference.is_position_known


def test_an_event_with_a_split_crlf_is_forwarded_with_its_lf() -> None:
    # Guards against: a stream that broke between CR and LF was resumed after half of a line end.
    framer = EventFramer(4)
    assert framer.feed(b"id: 4\r\ndata: a\r\n\r") == b""
    assert framer.feed(b"\nid: 5\r\ndata: b\r\n\r") == b""
    assert framer.last_id == 4
    assert framer.feed(b"\n") == b"id: 5\r\ndata: b\r\n\r\n"
    assert framer.last_id == 5 and framer.finish() == b""


def test_an_event_that_ends_with_cr_after_lf_is_forwarded_when_the_next_byte_is_no_lf() -> None:
    framer = EventFramer()
    assert framer.feed(b"id: 4\ndata: a\n\r") == b""
    assert framer.feed(b"id: 5") == b"id: 4\ndata: a\n\r"
    assert framer.last_id == 4 and framer.finish() == b"id: 5"


def test_an_lf_after_a_forwarded_cr_belongs_to_the_event_before() -> None:
    framer = EventFramer(4)
    assert framer.feed(b"id: 4\rdata: a\r\r") == b""
    assert framer.feed(b"\nid: 5\rdata: b\r\r") == b"id: 5\rdata: b\r\r"
    assert framer.feed(b"\n") == b"\n"
    assert framer.finish() == b""


def test_an_id_field_without_a_value_does_not_take_the_next_line_as_its_value() -> None:
    # Guards against: the line after a bare `id` was parsed as its value, and the position counted as known.
    framer = EventFramer()
    framer.feed(b"id: 1\ndata: a\n\nid\n5\ndata: b\n\n")
    assert framer.last_id == 1 and not framer.is_position_known


def test_a_large_event_may_end_right_after_its_forwarded_part(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: the end of a large event was missed if it was forwarded amid its empty line.
    monkeypatch.setattr(events, "MAX_EVENT_BYTES", 10)
    framer = EventFramer()
    assert framer.feed(b"data: 0123456789\n") == b"data: 0123456789\n"
    assert framer.feed(b"\nid: 7\ndata: b\n\n") == b"\nid: 7\ndata: b\n\n"
    assert framer.last_id == 7 and framer.is_position_known


def test_the_rest_of_a_large_event_is_held_back_until_its_lf_has_come(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against: a large event that was cut off between CR and LF counted as complete.
    monkeypatch.setattr(events, "MAX_EVENT_BYTES", 10)
    framer = EventFramer()
    assert framer.feed(b"data: 0123456789\r\n") == b"data: 0123456789\r\n"
    assert framer.feed(b"\r") == b"" and not framer.may_end(is_framed=False)
    assert framer.feed(b"\n") == b"\r\n" and framer.may_end(is_framed=False)


# Amount of work


class CountedBytes(bytes):
    """Bytes that count how many bytes are searched and copied."""

    visits = 0

    def _count(self, start: int, found: int) -> int:
        CountedBytes.visits += (found if found >= 0 else len(self)) - start
        return found

    def find(self, *arguments: Any) -> int:
        start = arguments[1] if len(arguments) > 1 else 0
        return self._count(start, super().find(*arguments))

    def rfind(self, *arguments: Any) -> int:
        end = arguments[2] if len(arguments) > 2 else len(self)
        found = super().rfind(*arguments)
        CountedBytes.visits += end - max(found, 0)
        return found

    def __contains__(self, part: Any) -> bool:
        return self._count(0, super().find(part)) >= 0

    def splitlines(self, keepends: bool = False) -> list[bytes]:
        CountedBytes.visits += len(self)
        return super().splitlines(keepends)

    def __getitem__(self, key: SupportsIndex | slice) -> Any:
        part = super().__getitem__(key)
        if not isinstance(part, bytes):
            return part
        CountedBytes.visits += len(part)
        return CountedBytes(part)


class CountedFramer(EventFramer):
    """A framer that also counts the bytes of joined events."""

    def finish(self) -> bytes:
        joined = super().finish()
        CountedBytes.visits += len(joined)
        return CountedBytes(joined)


def count_visits(pieces: list[bytes]) -> int:
    """Return the number of byte visits needed to frame the pieces."""
    CountedBytes.visits = 0
    framer = CountedFramer()
    for piece in pieces:
        framer.feed(CountedBytes(piece))
    return CountedBytes.visits


BODIES = {
    "one long event": b"id: 1\ndata: " + b"x" * 20_000 + b"\n\n",
    "an event that never ends": b"data: " + b"x" * 20_000,
    "many short events": b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1000)),
    "many lines": b"id: 1\n" + b"data: x\r\n" * 2_000 + b"\n",
    "lines that begin like an id": b"idle\n" * 3_000 + b"\n",
    "lines that begin like an id after CR": b"idle\r" * 3_000 + b"\r",
    "line ends of all kinds": b"id: 1\r\rid: 2\n\nid: 3\r\n\r\n\n\r" * 600,
    "comments": b":\n" * 8_000 + b"\n",
}


@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
@pytest.mark.parametrize("size", [1, 7, 1400, 100_000])
def test_each_byte_is_visited_a_bounded_number_of_times(body: bytes, size: int) -> None:
    # Guards against: each piece caused a search of the whole event, and one stream used up a router's CPU.
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    assert count_visits(pieces) <= MAX_VISITS_PER_BYTE * len(body)


@given(st.lists(st.sampled_from([b"id: 7", b"idle", b"data: xyz", b"", b":"]), max_size=200), CUTS, st.data())
def test_visits_are_bounded_for_random_splittings(
    lines: list[bytes], cuts: list[int], data: st.DataObject
) -> None:
    ends = data.draw(st.lists(st.sampled_from([b"\n", b"\r", b"\r\n"]), min_size=1, max_size=5))
    body = b"".join(line + ends[number % len(ends)] for number, line in enumerate(lines))
    assert count_visits(split(body, cuts)) <= MAX_VISITS_PER_BYTE * len(body)
