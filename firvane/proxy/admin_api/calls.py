"""The operators' calls as bytes: one line to a connection, whatever it is cut into.

Rules that hold here and nowhere else:

1. A call ends with a line feed, with or without a carriage return before it. What follows it is not read.
2. A line is `LONGEST` bytes at the most; one that is longer is answered at once.
3. A call that was cut off is no call: nothing is done for half of one.
4. Words that a call has are read here: whoever answers gets a record that is well in itself, and a caller
   whose words are not gets a reason that repeats nothing of them.
"""

from __future__ import annotations

import re
from binascii import Error, a2b_base64, b2a_base64
from collections.abc import Callable, Iterator
from enum import Enum
from itertools import pairwise
from typing import NamedTuple

from firvane.proxy.policy_text import MAX_TEXT_BYTES

LONGEST = 256
PUT = 144  # bytes of a text in one `policy-put`: its line is as long as a line may be
GOT = 12_000  # bytes of a text in one answer to `policy-get`, at the most


class Call(Enum):
    """What can be asked for."""

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


class Useless(Exception):  # noqa: N818 - the caller's fault, and an ordinary event here
    """No call can be made of it; the reason is what its caller is told."""


class Put(NamedTuple):
    """A piece of a policy's text."""

    digest: bytes
    length: int  # of the whole text
    offset: int  # of the piece in it
    data: bytes  # at least one byte, and none beyond the length


class Get(NamedTuple):
    """A piece of a policy's text is wanted, from this offset on."""

    digest: bytes
    offset: int


class Propose(NamedTuple):
    """A policy whose text was put here is to be in force."""

    digest: bytes
    voters: tuple[int, ...] | None  # from then on, ascending; None: those that there are


class Named(NamedTuple):
    """A policy that was proposed here."""

    digest: bytes


Given = Put | Get | Propose | Named


class Asked(NamedTuple):
    """A call that is whole: its words as they came, and what they say."""

    call: Call
    words: tuple[str, ...] = ()
    given: Given | None = None


POLICY = frozenset(call for call in Call if call.value.startswith("policy-"))
CALLS = {call.value.encode(): call for call in Call}


class Line:
    """Gathers one call."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> Asked | None:
        """The call, once it is whole; `Useless` where it never will be."""
        end = data.find(b"\n")
        self.held += data if end < 0 else data[:end]
        if len(self.held) > LONGEST:
            raise Useless(f"a call has {LONGEST} bytes at the most")
        if end < 0:
            return None
        return asked(bytes(self.held.strip()))


def asked(line: bytes) -> Asked:
    """The call that a line is; `Useless` where it is none."""
    if line.startswith(b"policy-"):
        return _policy(line)
    call = CALLS.get(line)
    if call is None:
        raise Useless("unknown call: there are " + ", ".join(one.value for one in Call if one not in POLICY))
    return Asked(call)


def _policy(line: bytes) -> Asked:
    name, *rest = line.split()
    call = CALLS.get(name)
    if call is None:
        known = ", ".join(one.value for one in Call if one in POLICY)
        raise Useless(f"unknown call: of a policy's there are {known}")
    if not line.isascii():
        raise Useless(f"{call.value}: a word is not ASCII")
    words = tuple(word.decode() for word in rest)
    form, numbers, read = FORMS[call]
    if len(words) not in numbers:
        raise Useless(f"the call is {call.value} {form}".rstrip())
    try:
        return Asked(call, words, read(*words) if read else None)
    except ValueError as error:
        raise Useless(f"{call.value}: {error}") from None


# What is read of the words


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


def _put(digest: str, length: str, offset: str, piece: str) -> Put:
    whole = _number(length, "length", MAX_TEXT_BYTES + 1)
    start = _number(offset, "offset", MAX_TEXT_BYTES)
    data = _piece(piece)
    if start + len(data) > whole:
        raise ValueError("the piece ends after the text")
    return Put(_digest(digest), whole, start, data)


def _get(digest: str, offset: str) -> Get:
    return Get(_digest(digest), _number(offset, "offset", MAX_TEXT_BYTES))


def _propose(digest: str, voters: str | None = None) -> Propose:
    if voters is None:
        return Propose(_digest(digest), None)
    numbers = tuple(_number(word, "voter", 1000) for word in voters.split(","))
    if any(a >= b for a, b in pairwise(numbers)):
        raise ValueError("the voters are not in ascending order, each of them once")
    return Propose(_digest(digest), numbers)


def _named(digest: str) -> Named:
    return Named(_digest(digest))


# The words of a call, how many there may be, and what reads them.
FORMS: dict[Call, tuple[str, tuple[int, ...], Callable[..., Given] | None]] = {
    Call.POLICY_STATUS: ("", (0,), None),
    Call.POLICY_HISTORY: ("", (0,), None),
    Call.POLICY_PUT: ("DIGEST LENGTH OFFSET BASE64", (4,), _put),
    Call.POLICY_GET: ("DIGEST OFFSET", (2,), _get),
    Call.POLICY_PROPOSE: ("DIGEST [VOTER,VOTER,...]", (1, 2), _propose),
    Call.POLICY_OUTCOME: ("DIGEST", (1,), _named),
    Call.POLICY_ABORT: ("DIGEST", (1,), _named),
}


# What is said of a text


def puts(digest: bytes, text: bytes) -> Iterator[str]:
    """The lines that put a text at a door, one after the other."""
    for offset in range(0, len(text), PUT):
        piece = b2a_base64(text[offset : offset + PUT], newline=False).decode()
        yield f"{Call.POLICY_PUT.value} {digest.hex()} {len(text)} {offset} {piece}"


def piece(text: bytes, offset: int) -> bytes:
    """The answer to `policy-get`: the length of the whole text, and up to `GOT` bytes of it."""
    if offset >= len(text):
        return no(f"the text has {len(text)} bytes")
    return yes(f"{len(text)} {b2a_base64(text[offset : offset + GOT], newline=False).decode()}")


def got(answer: str) -> tuple[int, bytes]:
    """The length of the whole text, and the piece that such an answer holds; `ValueError` for any other."""
    head, length, data, *_ = [*answer.split(), "", "", ""]
    if head != "+OK":
        raise ValueError(answer.strip().removeprefix("-ERR ") or "nothing")
    return _number(length, "length", MAX_TEXT_BYTES + 1), _piece(data)


def yes(text: str = "") -> bytes:
    return f"+OK {text}".rstrip().encode() + b"\n"


def no(why: str) -> bytes:
    return f"-ERR {why}\n".encode()


def lines(text: str) -> bytes:
    """A longer answer: it stands alone, and a line ends it."""
    return text.encode() + b"\n.\n"
