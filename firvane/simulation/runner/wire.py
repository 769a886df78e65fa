"""What stand-ins say to one another through a proxy, so that whatever it changes on the way is noticed.

1. A path tells the box what the request costs and is sealed together with the call id: a box takes no call
   that no client made, nor a path that belongs to another.
2. A body names the call that it was made for, sealed, and is of a known length and filling.

The seal is a checksum: it guards against mistakes, not against malice.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol
from zlib import crc32

END_OF_HEAD = b"\r\n\r\n"
CALL_ID = b"\r\nX-Call-Id: "
LENGTH = b"\r\nContent-Length: "


class Ask(NamedTuple):
    """One request as a box reads it."""

    path: bytes
    call: bytes  # b"" where there is none
    head: bytes  # whole, with the end of its last line


class Job(NamedTuple):
    """What a path asks of a box."""

    key: str
    work: float  # s of a standard core


class Jobs(Protocol):
    """What boxes make of requests."""

    def job(self, ask: Ask) -> Job | None:
        """What is asked for; None where no client can have asked for it so."""

    def body(self, call: bytes) -> bytes:
        """The body of an answer."""


class AnyJobs:
    """Boxes that stand alone serve whatever they are asked, with or without an id, from whatever client.

    Work is what `X-Call-Cost` says (us), or else drawn by the path between `low` and `high` (s).
    """

    def __init__(self, low: float, high: float, body_bytes: int) -> None:
        self.low, self.high, self.filling = low, high, b"." * body_bytes

    def job(self, ask: Ask) -> Job:
        cost = field(ask.head, b"x-call-cost")
        drawn = self.low + (self.high - self.low) * crc32(ask.path) / 2**32
        work = int(cost) / 1e6 if cost.isdigit() and len(cost) < 10 else drawn
        return Job(field(ask.head, b"x-route-hash").decode("latin-1"), work)

    def body(self, call: bytes) -> bytes:
        return (b"%s served\n%s" % (call, self.filling))[: len(self.filling)]


class Seals:
    """Seals of one rehearsal; all its stand-ins share the seed."""

    def __init__(self, seed: int, request_class: str, body_bytes: int) -> None:
        self.prefix = b"/" + request_class.encode() + b"/"
        self.start = crc32(b"%d" % seed)
        self.filling = b"." * max(0, body_bytes - 26)

    def path(self, call: bytes, key: str, work: float) -> bytes:
        open_part = b"%s%s?w=%d" % (self.prefix, key.encode(), round(work * 1e6))
        return b"%s&s=%08x" % (open_part, crc32(call, crc32(open_part, self.start)))

    def job(self, ask: Ask) -> Job | None:
        """What the path asks for; None where no client made this call in this form."""
        open_part, _, seal = ask.path.rpartition(b"&s=")
        if seal != b"%08x" % crc32(ask.call, crc32(open_part, self.start)):
            return None
        key, _, work = open_part[len(self.prefix) :].rpartition(b"?w=")
        return Job(key.decode(), int(work) / 1e6)

    def body(self, call: bytes) -> bytes:
        return b"%s %08x\n%s" % (call, crc32(call, ~self.start & 0xFFFFFFFF), self.filling)

    def made_for(self, body: bytes) -> str:
        """The call id that a body was made for; "" where no box made it so."""
        head, _, filling = body.partition(b"\n")
        call, _, seal = head.partition(b" ")
        if filling != self.filling or seal != b"%08x" % crc32(call, ~self.start & 0xFFFFFFFF):
            return ""
        return call.decode()


def quick_ask(data: bytes) -> Ask | None:
    """A whole bodyless GET in the one form that most proxies send; None where it takes a parser to tell."""
    if not data.startswith(b"GET /") or data.find(END_OF_HEAD) != len(data) - 4:
        return None
    end = data.find(b" HTTP/1.1\r\n")
    at = data.find(CALL_ID)
    if end < 0 or at < 0 or b"\r\nContent-" in data or b"\r\nTransfer-" in data:
        return None
    at += 13
    return Ask(data[4:end], data[at : data.find(b"\r\n", at)], data)


def quick_answer(data: bytes) -> tuple[int, bytes] | None:
    """Status and body of a whole, framed answer that nothing follows; None where it takes a parser."""
    end = data.find(END_OF_HEAD)
    at = data.find(LENGTH, 0, end + 2)
    if end < 0 or at < 0 or not data.startswith(b"HTTP/1.1 "):
        return None
    length = data[at + 18 : data.find(b"\r\n", at + 18)]
    if not length.isdigit() or len(data) != end + 4 + int(length):
        return None
    status = data[9:12]
    if not status.isdigit() or status[0] == 49:  # an interim answer
        return None
    return int(status), data[end + 4 :]


def head_of(data: bytes) -> bytes:
    """The head of a message that holds one whole, with the end of its last line."""
    return data[: data.find(END_OF_HEAD) + 2]


def field(head: bytes, name: bytes) -> bytes:
    """A field of a head, whatever its case; `name` is in lower case. b"" where there is none."""
    at = head.lower().find(b"\r\n" + name + b":")
    return head[at + len(name) + 3 : head.find(b"\r\n", at + 2)].strip() if at >= 0 else b""
