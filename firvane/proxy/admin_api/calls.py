"""The wire format of the admin API: one call a connection, as one line that may arrive in several reads.

Invariants:

1. A call ends with a line feed, with or without a carriage return before it. Data after it is ignored.
2. A line has at most `MAX_LINE_BYTES` bytes; a longer line gets an error at once.
3. A call without its line feed is incomplete and has no effect.
4. Arguments are validated here: the handlers get valid records. The error for invalid arguments does not
   repeat them.
"""

from __future__ import annotations

import re
from binascii import Error, a2b_base64, b2a_base64
from collections.abc import Callable, Iterator
from enum import Enum
from itertools import pairwise
from typing import NamedTuple

from firvane.proxy.policy_text import MAX_TEXT_BYTES

MAX_LINE_BYTES = 256  # of a call
PUT_CHUNK_BYTES = 144  # of a text in one `policy-put`; its line then has the maximum length
GET_CHUNK_BYTES = 12_000  # of a text in one response to `policy-get`


class Call(Enum):
    """The calls, by their names on the wire."""

    READY = "ready"
    SHOW_STAT = "show-stat"
    MEASURES = "measures"
    DRAIN = "drain"
    RESUME = "resume"
    RECOVERY = "recovery"
    POLICY_STATUS = "policy-status"
    POLICY_HISTORY = "policy-history"
    POLICY_PUT = "policy-put"
    POLICY_GET = "policy-get"
    POLICY_PROPOSE = "policy-propose"
    POLICY_OUTCOME = "policy-outcome"
    POLICY_ABORT = "policy-abort"


class InvalidCallError(Exception):
    """A line is not a valid call; the text is the reason that the caller gets."""


class PutText(NamedTuple):
    """The arguments of `policy-put`, which uploads a chunk of a policy's text.

    Attributes:
        digest: The digest of the text.
        length: Bytes of the text.
        offset: Byte offset of the chunk in the text.
        data: The chunk, of at least one byte and within the length.
    """

    digest: bytes
    length: int
    offset: int
    data: bytes


class GetText(NamedTuple):
    """The arguments of `policy-get`, which requests a chunk of a policy's text from an offset on."""

    digest: bytes
    offset: int


class ProposePolicy(NamedTuple):
    """The arguments of `policy-propose`, which proposes a policy whose text was uploaded.

    Attributes:
        digest: The digest of its text.
        voters: The voters under the policy, ascending, or None for the current ones.
    """

    digest: bytes
    voters: tuple[int, ...] | None


class PolicyReference(NamedTuple):
    """The arguments of calls that refer to a policy that was proposed at this proxy."""

    digest: bytes


CallArguments = PutText | GetText | ProposePolicy | PolicyReference


class AdminCall(NamedTuple):
    """A complete call, with its arguments as received (`words`) and parsed (`arguments`)."""

    call: Call
    words: tuple[str, ...] = ()
    arguments: CallArguments | None = None


POLICY_CALLS = frozenset(call for call in Call if call.value.startswith("policy-"))
CALLS = {call.value.encode(): call for call in Call}


class CallReader:
    """Reads one call from a connection."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> AdminCall | None:
        """Return the call, or None until it is complete; raises `InvalidCallError` if the line is invalid."""
        end = data.find(b"\n")
        self.buffer += data if end < 0 else data[:end]
        if len(self.buffer) > MAX_LINE_BYTES:
            raise InvalidCallError(f"a call has {MAX_LINE_BYTES} bytes at the most")
        if end < 0:
            return None
        return parse_call(bytes(self.buffer.strip()))


def parse_call(line: bytes) -> AdminCall:
    """Return the call in a line; raises `InvalidCallError` if the line is invalid."""
    if line.startswith(b"policy-"):
        return _policy(line)
    call = CALLS.get(line)
    if call is None:
        raise InvalidCallError(
            "unknown call: there are "
            + ", ".join(known_call.value for known_call in Call if known_call not in POLICY_CALLS)
        )
    return AdminCall(call)


def _policy(line: bytes) -> AdminCall:
    name, *rest = line.split()
    call = CALLS.get(name)
    if call is None:
        policy_names = ", ".join(policy_call.value for policy_call in Call if policy_call in POLICY_CALLS)
        raise InvalidCallError(f"unknown call: of a policy's there are {policy_names}")
    if not line.isascii():
        raise InvalidCallError(f"{call.value}: a word is not ASCII")
    words = tuple(word.decode() for word in rest)
    usage, argument_counts, parser = ARGUMENT_FORMS[call]
    if len(words) not in argument_counts:
        raise InvalidCallError(f"the call is {call.value} {usage}".rstrip())
    try:
        return AdminCall(call, words, parser(*words) if parser else None)
    except ValueError as error:
        raise InvalidCallError(f"{call.value}: {error}") from None


# Arguments


def _digest(word: str) -> bytes:
    if not re.fullmatch("[0-9a-f]{32}", word):
        raise ValueError("the digest is not 32 digits of 0-9 and a-f")
    return bytes.fromhex(word)


def _number(word: str, field: str, below: int) -> int:
    if not re.fullmatch("[0-9]{1,7}", word) or int(word) >= below:
        raise ValueError(f"the {field} is not a whole number below {below}")
    return int(word)


def _chunk(word: str) -> bytes:
    try:
        data = a2b_base64(word, strict_mode=True)
    except Error:
        raise ValueError("the piece is not base64") from None
    if not data:
        raise ValueError("the piece is empty")
    return data


def _put(digest: str, length: str, offset: str, chunk: str) -> PutText:
    text_length = _number(length, "length", MAX_TEXT_BYTES + 1)
    start = _number(offset, "offset", MAX_TEXT_BYTES)
    data = _chunk(chunk)
    if start + len(data) > text_length:
        raise ValueError("the piece ends after the text")
    return PutText(_digest(digest), text_length, start, data)


def _get(digest: str, offset: str) -> GetText:
    return GetText(_digest(digest), _number(offset, "offset", MAX_TEXT_BYTES))


def _propose(digest: str, voters: str | None = None) -> ProposePolicy:
    if voters is None:
        return ProposePolicy(_digest(digest), None)
    voter_ids = tuple(_number(word, "voter", 1000) for word in voters.split(","))
    if any(previous >= following for previous, following in pairwise(voter_ids)):
        raise ValueError("the voters are not in ascending order, each of them once")
    return ProposePolicy(_digest(digest), voter_ids)


def _reference(digest: str) -> PolicyReference:
    return PolicyReference(_digest(digest))


# For each call with arguments: their usage text, the allowed numbers of arguments, and the parser.
ARGUMENT_FORMS: dict[Call, tuple[str, tuple[int, ...], Callable[..., CallArguments] | None]] = {
    Call.POLICY_STATUS: ("", (0,), None),
    Call.POLICY_HISTORY: ("", (0,), None),
    Call.POLICY_PUT: ("DIGEST LENGTH OFFSET BASE64", (4,), _put),
    Call.POLICY_GET: ("DIGEST OFFSET", (2,), _get),
    Call.POLICY_PROPOSE: ("DIGEST [VOTER,VOTER,...]", (1, 2), _propose),
    Call.POLICY_OUTCOME: ("DIGEST", (1,), _reference),
    Call.POLICY_ABORT: ("DIGEST", (1,), _reference),
}


# Texts of policies in chunks


def format_put_calls(digest: bytes, text: bytes) -> Iterator[str]:
    """Yield the calls that upload a text, chunk by chunk."""
    for offset in range(0, len(text), PUT_CHUNK_BYTES):
        chunk = b2a_base64(text[offset : offset + PUT_CHUNK_BYTES], newline=False).decode()
        yield f"{Call.POLICY_PUT.value} {digest.hex()} {len(text)} {offset} {chunk}"


def format_chunk(text: bytes, offset: int) -> bytes:
    """Return the response to `policy-get`: the length of the text, and its chunk from an offset on."""
    if offset >= len(text):
        return format_error(f"the text has {len(text)} bytes")
    return format_ok(
        f"{len(text)} {b2a_base64(text[offset : offset + GET_CHUNK_BYTES], newline=False).decode()}"
    )


def parse_chunk(response: str) -> tuple[int, bytes]:
    """Return the text's length and the chunk from a `policy-get` response; raises `ValueError` if invalid."""
    head, length, data, *_ = [*response.split(), "", "", ""]
    if head != "+OK":
        raise ValueError(response.strip().removeprefix("-ERR ") or "nothing")
    return _number(length, "length", MAX_TEXT_BYTES + 1), _chunk(data)


def format_ok(text: str = "") -> bytes:
    """Return a success response, on one line."""
    return f"+OK {text}".rstrip().encode() + b"\n"


def format_error(reason: str) -> bytes:
    """Return an error response, on one line."""
    return f"-ERR {reason}\n".encode()


def format_block(text: str) -> bytes:
    """Return a response of several lines, terminated by a line with a dot."""
    return text.encode() + b"\n.\n"
