"""Parsing of admin calls: split reads, invalid arguments, chunked texts and random data."""

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

DIGEST_HEX = "00112233445566778899aabbccddeeff"
DIGEST = bytes.fromhex(DIGEST_HEX)
EXAMPLES: dict[str, CallArguments | None] = {
    "policy-status": None,
    "policy-history": None,
    f"policy-put {DIGEST_HEX} 9 7 eHk=": PutText(DIGEST, 9, 7, b"xy"),
    f"policy-get {DIGEST_HEX} 12000": GetText(DIGEST, 12000),
    f"policy-propose {DIGEST_HEX}": ProposePolicy(DIGEST, None),
    f"policy-propose {DIGEST_HEX} 0,1,12": ProposePolicy(DIGEST, (0, 1, 12)),
    f"policy-outcome {DIGEST_HEX}": PolicyReference(DIGEST),
    f"policy-abort {DIGEST_HEX}": PolicyReference(DIGEST),
}


@seeded
@given(places)
def test_a_call_may_arrive_in_several_reads(cuts: list[int]) -> None:
    # Guards against a parser that needs the line in one read, or needs a carriage return.
    for call in Call:
        if call not in POLICY_CALLS:
            assert_parsed(call.value, cuts, AdminCall(call))
    for line, arguments in EXAMPLES.items():
        name, *rest = line.split()
        assert_parsed(line, cuts, AdminCall(CALLS[name.encode()], tuple(rest), arguments))


def assert_parsed(call: str, cuts: list[int], expected: AdminCall) -> None:
    for end in (b"\n", b"\r\n", b"\r\ndrain\n"):
        line, found = CallReader(), None
        for part in cut(call.encode() + end, cuts):
            found = found or line.feed(part)
        assert found == expected


@pytest.mark.parametrize("call", EXAMPLES)
def test_an_incomplete_call_is_not_parsed(call: str) -> None:
    # Guards against a partial proposal, such as voters 0 and 1 when 0, 1 and 12 were sent.
    for end in range(len(call) + 1):
        assert CallReader().feed(call[:end].encode()) is None


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("policy-status now", "the call is policy-status"),
        ("policy-stat", "unknown call: of a policy's there are policy-status, policy-history, policy-put"),
        ("policy-get", "the call is policy-get DIGEST OFFSET"),
        (f"policy-get {DIGEST_HEX.upper()} 0", "policy-get: the digest is not 32 digits"),
        (f"policy-get {DIGEST_HEX} -1", "policy-get: the offset is not a whole number below 65536"),
        (f"policy-get {DIGEST_HEX} 65536", "policy-get: the offset is not a whole number below 65536"),
        (f"policy-get {DIGEST_HEX} \u0661", "policy-get: a word is not ASCII"),
        (f"policy-put {DIGEST_HEX} 65537 0 eA==", "policy-put: the length is not a whole number below 65537"),
        (f"policy-put {DIGEST_HEX} 5 0 eA=", "policy-put: the piece is not base64"),
        (f"policy-put {DIGEST_HEX} 5 0 =", "policy-put: the piece is"),
        (f"policy-put {DIGEST_HEX} 5 5 eA==", "policy-put: the piece ends after the text"),
        (f"policy-propose {DIGEST_HEX} 0,1, 2", "the call is policy-propose DIGEST [VOTER,VOTER,...]"),
        (f"policy-propose {DIGEST_HEX} 0,,1", "policy-propose: the voter is not"),
        (f"policy-propose {DIGEST_HEX} 1,1", "policy-propose: the voters are not in ascending order"),
        ("policy-abort", "the call is policy-abort DIGEST"),
    ],
)
def test_invalid_arguments_are_rejected_with_one_line(line: str, reason: str) -> None:
    with pytest.raises(InvalidCallError) as caught:
        CallReader().feed(line.encode() + b"\n")
    assert str(caught.value).startswith(reason) and format_error(str(caught.value)).count(b"\n") == 1


def test_the_error_for_an_unknown_call_lists_the_calls() -> None:
    with pytest.raises(InvalidCallError) as caught:
        CallReader().feed(b"polic\n")
    assert str(caught.value) == "unknown call: there are ready, show-stat, measures, drain, resume, recovery"


@seeded
@given(st.binary(min_size=1, max_size=3 * PUT_CHUNK_BYTES) | st.just(bytes(MAX_TEXT_BYTES)))
def test_a_text_is_uploaded_and_downloaded_in_chunks(text: bytes) -> None:
    digest, uploaded, downloaded = digest_of(text), bytearray(len(text)), b""
    for line in format_put_calls(digest, text):
        found = CallReader().feed(line.encode() + b"\r\n")
        assert found and isinstance(found.arguments, PutText)
        put = found.arguments
        assert (put.digest, put.length) == (digest, len(text))
        uploaded[put.offset : put.offset + len(put.data)] = put.data
    while len(downloaded) < len(text):
        length, chunk = parse_chunk(format_chunk(bytes(uploaded), len(downloaded)).decode())
        assert length == len(text) and 0 < len(chunk) <= GET_CHUNK_BYTES
        downloaded += chunk
    assert downloaded == text and format_chunk(text, len(text)).startswith(b"-ERR")


@pytest.mark.parametrize(
    "response", ["", "-ERR gone", "+OK", "+OK 5", "+OK x eA==", "+OK 5 eA=", "eA==", "+OK 99999 eA=="]
)
def test_a_response_without_a_valid_chunk_is_rejected(response: str) -> None:
    with pytest.raises(ValueError):
        parse_chunk(response + "\n")


@pytest.mark.parametrize("data", [b"\n", b"\r\n", b"stop\n", b"DRAIN\n", b"ready now\n", b"\xff\x00\n"])
def test_an_unknown_call_is_rejected(data: bytes) -> None:
    with pytest.raises(InvalidCallError, match="show-stat"):
        CallReader().feed(data)


def test_the_length_of_a_line_is_limited() -> None:
    # Guards against a caller that exhausts the memory.
    line = CallReader()
    with pytest.raises(InvalidCallError):
        for _ in range(MAX_LINE_BYTES + 1):
            assert line.feed(b"x") is None
    assert len(line.buffer) <= MAX_LINE_BYTES + 1


@seeded
@given(garbage)
def test_random_data_is_parsed_or_rejected(data: bytes) -> None:
    line = CallReader()
    try:
        found = line.feed(data)
    except InvalidCallError:
        return
    assert isinstance(found, AdminCall) or b"\n" not in data


@seeded
@given(st.sampled_from(list(EXAMPLES)), st.integers(0, 200), garbage)
def test_a_call_with_random_data_inserted_is_parsed_or_rejected(call: str, place: int, data: bytes) -> None:
    line = call.encode()[:place] + data + call.encode()[place + len(data) :] + b"\n"
    with contextlib.suppress(InvalidCallError):
        found = CallReader().feed(line)
        assert found and (found.arguments is not None or not found.words)
