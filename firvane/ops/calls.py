"""The operators' calls as bytes: one line to a connection, whatever it is cut into.

Rules that hold here and nowhere else:

1. A call ends with a line feed, with or without a carriage return before it. What follows it is not read.
2. A line is `LONGEST` bytes at the most; one that is longer is answered at once.
3. A call that was cut off is no call: nothing is done for half of one.
"""

from __future__ import annotations

from enum import Enum

LONGEST = 256


class Call(Enum):
    """What can be asked for."""

    READY = "ready"
    SHOW_STAT = "show-stat"
    DRAIN = "drain"
    RESUME = "resume"
    RECOVERY = "recovery"


class Useless(Exception):  # noqa: N818 - the caller's fault, and an ordinary event here
    """No call can be made of it; the reason is what its caller is told."""


CALLS = {call.value.encode(): call for call in Call}


class Line:
    """Gathers one call."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> Call | None:
        """The call, once it is whole; `Useless` where it never will be."""
        end = data.find(b"\n")
        self.held += data if end < 0 else data[:end]
        if len(self.held) > LONGEST:
            raise Useless(f"a call has {LONGEST} bytes at the most")
        if end < 0:
            return None
        call = CALLS.get(bytes(self.held.strip()))
        if call is None:
            raise Useless("unknown call: there are " + ", ".join(call.value for call in Call))
        return call


def yes(text: str = "") -> bytes:
    return f"+OK {text}".rstrip().encode() + b"\n"


def no(why: str) -> bytes:
    return f"-ERR {why}\n".encode()


def lines(text: str) -> bytes:
    """A longer answer: it stands alone, and a line ends it."""
    return text.encode() + b"\n.\n"
