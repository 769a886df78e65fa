"""The operators' calls, however they are cut."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.proxy.admin_api.calls import (
    CALLS,
    GET_CHUNK_BYTES,
    MAX_LINE_BYTES,
    POLICY_CALLS,
    PUT_CHUNK_BYTES,
    AdminCall,
    Call,
    CallArguments,
    CallReader,
    GetText,
    InvalidCallError,
    PolicyReference,
    ProposePolicy,
    PutText,
    format_chunk,
    format_error,
    format_put_calls,
    parse_chunk,
)
from firvane.proxy.policy_text import MAX_TEXT_BYTES, digest_of
from tests.proxy.net.helpers import cut, garbage, places, seeded

D = "00112233445566778899aabbccddeeff"
DIGEST = bytes.fromhex(D)
EXAMPLES: dict[str, CallArguments | None] = {
    "policy-status": None,
    "policy-history": None,
    f"policy-put {D} 9 7 eHk=": PutText(DIGEST, 9, 7, b"xy"),
    f"policy-get {D} 12000": GetText(DIGEST, 12000),
    f"policy-propose {D}": ProposePolicy(DIGEST, None),
    f"policy-propose {D} 0,1,12": ProposePolicy(DIGEST, (0, 1, 12)),
    f"policy-outcome {D}": PolicyReference(DIGEST),
    f"policy-abort {D}": PolicyReference(DIGEST),
}


@seeded
@given(places)
def test_a_call_is_the_same_however_it_is_cut(where: list[int]) -> None:
    # Guards against a line that only works when it comes in one piece, and one that needs a carriage return.
    for call in Call:
        if call not in POLICY_CALLS:
            assert_found(call.value, where, AdminCall(call))
    for line, said in EXAMPLES.items():
        name, *rest = line.split()
        assert_found(line, where, AdminCall(CALLS[name.encode()], tuple(rest), said))


def assert_found(call: str, where: list[int], wanted: AdminCall) -> None:
    for end in (b"\n", b"\r\n", b"\r\ndrain\n"):
        line, found = CallReader(), None
        for part in cut(call.encode() + end, where):
            found = found or line.feed(part)
        assert found == wanted


@pytest.mark.parametrize("call", EXAMPLES)
def test_a_call_that_was_cut_off_is_none(call: str) -> None:
    # Guards against half of a proposal, or the voters 0 and 1 where 0, 1 and 12 were said.
    for end in range(len(call) + 1):
        assert CallReader().feed(call[:end].encode()) is None


@pytest.mark.parametrize(
    ("line", "why"),
    [
        ("policy-status now", "the call is policy-status"),
        ("policy-stat", "unknown call: of a policy's there are policy-status, policy-history, policy-put"),
        ("policy-get", "the call is policy-get DIGEST OFFSET"),
        (f"policy-get {D.upper()} 0", "policy-get: the digest is not 32 digits"),
        (f"policy-get {D} -1", "policy-get: the offset is not a whole number below 65536"),
        (f"policy-get {D} 65536", "policy-get: the offset is not a whole number below 65536"),
        (f"policy-get {D} \u0661", "policy-get: a word is not ASCII"),
        (f"policy-put {D} 65537 0 eA==", "policy-put: the length is not a whole number below 65537"),
        (f"policy-put {D} 5 0 eA=", "policy-put: the piece is not base64"),
        (f"policy-put {D} 5 0 =", "policy-put: the piece is"),
        (f"policy-put {D} 5 5 eA==", "policy-put: the piece ends after the text"),
        (f"policy-propose {D} 0,1, 2", "the call is policy-propose DIGEST [VOTER,VOTER,...]"),
        (f"policy-propose {D} 0,,1", "policy-propose: the voter is not"),
        (f"policy-propose {D} 1,1", "policy-propose: the voters are not in ascending order"),
        ("policy-abort", "the call is policy-abort DIGEST"),
    ],
)
def test_bad_words_are_turned_down_in_one_line(line: str, why: str) -> None:
    with pytest.raises(InvalidCallError) as caught:
        CallReader().feed(line.encode() + b"\n")
    assert str(caught.value).startswith(why) and format_error(str(caught.value)).count(b"\n") == 1


def test_the_answer_to_an_unknown_call_is_the_one_that_it_was() -> None:
    with pytest.raises(InvalidCallError) as caught:
        CallReader().feed(b"polic\n")
    assert str(caught.value) == "unknown call: there are ready, show-stat, measures, drain, resume, recovery"


@seeded
@given(st.binary(min_size=1, max_size=3 * PUT_CHUNK_BYTES) | st.just(bytes(MAX_TEXT_BYTES)))
def test_a_text_goes_through_the_door_in_pieces_and_comes_out_the_same(text: bytes) -> None:
    digest, there, back = digest_of(text), bytearray(len(text)), b""
    for line in format_put_calls(digest, text):
        found = CallReader().feed(line.encode() + b"\r\n")
        assert found and isinstance(found.arguments, PutText)
        put = found.arguments
        assert (put.digest, put.length) == (digest, len(text))
        there[put.offset : put.offset + len(put.data)] = put.data
    while len(back) < len(text):
        length, more = parse_chunk(format_chunk(bytes(there), len(back)).decode())
        assert length == len(text) and 0 < len(more) <= GET_CHUNK_BYTES
        back += more
    assert back == text and format_chunk(text, len(text)).startswith(b"-ERR")


@pytest.mark.parametrize(
    "answer", ["", "-ERR gone", "+OK", "+OK 5", "+OK x eA==", "+OK 5 eA=", "eA==", "+OK 99999 eA=="]
)
def test_what_holds_no_piece_gives_none(answer: str) -> None:
    with pytest.raises(ValueError):
        parse_chunk(answer + "\n")


@pytest.mark.parametrize("data", [b"\n", b"\r\n", b"stop\n", b"DRAIN\n", b"ready now\n", b"\xff\x00\n"])
def test_what_is_no_call_is_said_to_be_none(data: bytes) -> None:
    with pytest.raises(InvalidCallError, match="show-stat"):
        CallReader().feed(data)


def test_a_line_without_an_end_is_bounded() -> None:
    # Guards against a caller that fills the memory.
    line = CallReader()
    with pytest.raises(InvalidCallError):
        for _ in range(MAX_LINE_BYTES + 1):
            assert line.feed(b"x") is None
    assert len(line.buffer) <= MAX_LINE_BYTES + 1


@seeded
@given(garbage)
def test_garbage_is_a_call_or_useless_or_waits(data: bytes) -> None:
    line = CallReader()
    try:
        found = line.feed(data)
    except InvalidCallError:
        return
    assert isinstance(found, AdminCall) or b"\n" not in data


@seeded
@given(st.sampled_from(list(EXAMPLES)), st.integers(0, 200), garbage)
def test_garbage_in_the_middle_of_a_call_is_a_call_or_useless(call: str, place: int, data: bytes) -> None:
    line = call.encode()[:place] + data + call.encode()[place + len(data) :] + b"\n"
    with contextlib.suppress(InvalidCallError):
        found = CallReader().feed(line)
        assert found and (found.arguments is not None or not found.words)
