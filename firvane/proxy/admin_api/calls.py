"""The operators' calls on the wire: one line to a connection, however it is cut into reads.

Invariants:

1. A call ends with a line feed, with or without a carriage return before it. What follows it is not read.
2. A line is `MAX_LINE_BYTES` bytes at the most; one that is longer is answered at once.
3. A call without its line feed is no call: nothing is done for a partial one.
4. Arguments are validated here: the handlers get valid records, and a caller with invalid arguments gets an
   error that repeats nothing of them.
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
PUT_CHUNK_BYTES = 144  # of a text in one `policy-put`, whose line is as long as a line may be
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
    """A line that is no valid call; the text is the reason that its caller gets."""


class PutText(NamedTuple):
    """A chunk of a policy's text is uploaded.

    Attributes:
        digest: The digest of the text.
        length: Bytes of the text.
        offset: Of the chunk in the text.
        data: The chunk, of at least one byte and within the length.
    """

    digest: bytes
    length: int
    offset: int
    data: bytes


class GetText(NamedTuple):
    """A chunk of a policy's text is asked for, from an offset on."""

    digest: bytes
    offset: int


class ProposePolicy(NamedTuple):
    """A policy whose text was uploaded is proposed.

    Attributes:
        digest: The digest of its text.
        voters: The voters from then on, ascending, or None for the current ones.
    """

    digest: bytes
    voters: tuple[int, ...] | None


class PolicyReference(NamedTuple):
    """A policy that was proposed here is referred to."""

    digest: bytes


CallArguments = PutText | GetText | ProposePolicy | PolicyReference


class AdminCall(NamedTuple):
    """A complete call: its arguments as they came, and parsed."""

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
        """The call, or None until it is complete; raises `InvalidCallError` where it is none."""
        end = data.find(b"\n")
        self.buffer += data if end < 0 else data[:end]
        if len(self.buffer) > MAX_LINE_BYTES:
            raise InvalidCallError(f"a call has {MAX_LINE_BYTES} bytes at the most")
        if end < 0:
            return None
        return parse_call(bytes(self.buffer.strip()))


def parse_call(line: bytes) -> AdminCall:
    """The call in a line; raises `InvalidCallError` where it is none."""
    if line.startswith(b"policy-"):
        return _policy(line)
    call = CALLS.get(line)
    if call is None:
        raise InvalidCallError(
            "unknown call: there are " + ", ".join(one.value for one in Call if one not in POLICY_CALLS)
        )
    return AdminCall(call)


def _policy(line: bytes) -> AdminCall:
    name, *rest = line.split()
    call = CALLS.get(name)
    if call is None:
        known = ", ".join(one.value for one in Call if one in POLICY_CALLS)
        raise InvalidCallError(f"unknown call: of a policy's there are {known}")
    if not line.isascii():
        raise InvalidCallError(f"{call.value}: a word is not ASCII")
    words = tuple(word.decode() for word in rest)
    form, numbers, read = ARGUMENT_FORMS[call]
    if len(words) not in numbers:
        raise InvalidCallError(f"the call is {call.value} {form}".rstrip())
    try:
        return AdminCall(call, words, read(*words) if read else None)
    except ValueError as error:
        raise InvalidCallError(f"{call.value}: {error}") from None


# Arguments


def _digest(word: str) -> bytes:
    if not re.fullmatch("[0-9a-f]{32}", word):
        raise ValueError("the digest is not 32 digits of 0-9 and a-f")
    return bytes.fromhex(word)


def _number(word: str, what: str, below: int) -> int:
    if not re.fullmatch("[0-9]{1,7}", word) or int(word) >= below:
        raise ValueError(f"the {what} is not a whole number below {below}")
    return int(word)


def _piece(word: str) -> bytes:
    try:
        data = a2b_base64(word, strict_mode=True)
    except Error:
        raise ValueError("the piece is not base64") from None
    if not data:
        raise ValueError("the piece is empty")
    return data


def _put(digest: str, length: str, offset: str, piece: str) -> PutText:
    total = _number(length, "length", MAX_TEXT_BYTES + 1)
    start = _number(offset, "offset", MAX_TEXT_BYTES)
    data = _piece(piece)
    if start + len(data) > total:
        raise ValueError("the piece ends after the text")
    return PutText(_digest(digest), total, start, data)


def _get(digest: str, offset: str) -> GetText:
    return GetText(_digest(digest), _number(offset, "offset", MAX_TEXT_BYTES))


def _propose(digest: str, voters: str | None = None) -> ProposePolicy:
    if voters is None:
        return ProposePolicy(_digest(digest), None)
    numbers = tuple(_number(word, "voter", 1000) for word in voters.split(","))
    if any(a >= b for a, b in pairwise(numbers)):
        raise ValueError("the voters are not in ascending order, each of them once")
    return ProposePolicy(_digest(digest), numbers)


def _named(digest: str) -> PolicyReference:
    return PolicyReference(_digest(digest))


# The usage of the arguments of a call, how many there may be, and their parser.
ARGUMENT_FORMS: dict[Call, tuple[str, tuple[int, ...], Callable[..., CallArguments] | None]] = {
    Call.POLICY_STATUS: ("", (0,), None),
    Call.POLICY_HISTORY: ("", (0,), None),
    Call.POLICY_PUT: ("DIGEST LENGTH OFFSET BASE64", (4,), _put),
    Call.POLICY_GET: ("DIGEST OFFSET", (2,), _get),
    Call.POLICY_PROPOSE: ("DIGEST [VOTER,VOTER,...]", (1, 2), _propose),
    Call.POLICY_OUTCOME: ("DIGEST", (1,), _named),
    Call.POLICY_ABORT: ("DIGEST", (1,), _named),
}


# Texts of policies in chunks


def format_put_calls(digest: bytes, text: bytes) -> Iterator[str]:
    """Yield the calls that upload a text, chunk by chunk."""
    for offset in range(0, len(text), PUT_CHUNK_BYTES):
        piece = b2a_base64(text[offset : offset + PUT_CHUNK_BYTES], newline=False).decode()
        yield f"{Call.POLICY_PUT.value} {digest.hex()} {len(text)} {offset} {piece}"


def format_chunk(text: bytes, offset: int) -> bytes:
    """The response to `policy-get`: the length of the text, and a chunk of it from an offset."""
    if offset >= len(text):
        return format_error(f"the text has {len(text)} bytes")
    return format_ok(
        f"{len(text)} {b2a_base64(text[offset : offset + GET_CHUNK_BYTES], newline=False).decode()}"
    )


def parse_chunk(answer: str) -> tuple[int, bytes]:
    """The length of the text and the chunk in a response to `policy-get`, or `ValueError`."""
    head, length, data, *_ = [*answer.split(), "", "", ""]
    if head != "+OK":
        raise ValueError(answer.strip().removeprefix("-ERR ") or "nothing")
    return _number(length, "length", MAX_TEXT_BYTES + 1), _piece(data)


def format_ok(text: str = "") -> bytes:
    """A response of success, on one line."""
    return f"+OK {text}".rstrip().encode() + b"\n"


def format_error(why: str) -> bytes:
    """A response of failure, on one line."""
    return f"-ERR {why}\n".encode()


def format_block(text: str) -> bytes:
    """A response of several lines, which a line with a dot ends."""
    return text.encode() + b"\n.\n"
