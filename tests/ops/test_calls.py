"""The operators' calls, however they are cut."""

from __future__ import annotations

import pytest
from hypothesis import given

from firvane.ops.calls import LONGEST, Call, Line, Useless
from tests.net_helpers import cut, garbage, places, seeded


@seeded
@given(places)
def test_a_call_is_the_same_however_it_is_cut(where: list[int]) -> None:
    # Guards against a line that only works when it comes in one piece, and one that needs a carriage return.
    for call in Call:
        for end in (b"\n", b"\r\n", b"\r\ndrain\n"):
            line, found = Line(), None
            for piece in cut(call.value.encode() + end, where):
                found = found or line.feed(piece)
            assert found is call


@pytest.mark.parametrize("data", [b"\n", b"\r\n", b"stop\n", b"DRAIN\n", b"ready now\n", b"\xff\x00\n"])
def test_what_is_no_call_is_said_to_be_none(data: bytes) -> None:
    with pytest.raises(Useless, match="show-stat"):
        Line().feed(data)


def test_a_line_without_an_end_is_bounded() -> None:
    # Guards against a caller that fills the memory.
    line = Line()
    with pytest.raises(Useless):
        for _ in range(LONGEST + 1):
            assert line.feed(b"x") is None
    assert len(line.held) <= LONGEST + 1


@seeded
@given(garbage)
def test_garbage_is_a_call_or_useless_or_waits(data: bytes) -> None:
    line = Line()
    try:
        found = line.feed(data)
    except Useless:
        return
    assert isinstance(found, Call) or b"\n" not in data
