"""What proxies say to one another about the policy, on the peers' datagrams.

Rules that hold here and nowhere else:

1. Each begins with `MARK`, which readers of rows and of recoveries do not know and leave alone.
2. No message holds a time of day. Moments go as what is left until them, or on the receiver's own clock.
3. What does not fit is one `Unread` and changes nothing. None is longer than a datagram of the tier.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from firvane.proxy.policy_text import DIGEST
from firvane.proxy.quorum.types import MOST_VOTERS, Ballot, Value

VERSION = 5
MARK = bytes((VERSION,))
LONGEST = 256
WHY = 120  # bytes of a reason

Number = Annotated[int, Meta(ge=0, le=0xFFFFFFFF)]
Digest = Annotated[bytes, Meta(min_length=DIGEST, max_length=DIGEST)]
_Value = tuple[Number, Digest, Annotated[tuple[Number, ...], Meta(max_length=MOST_VOTERS)]]
_Ballot = tuple[Number, Number, Number]
Vote = tuple[_Ballot, _Value]
# Voters and their incarnations: the newest that are known to have come after a loss of memory.
Lives = Annotated[tuple[tuple[Number, Number], ...], Meta(max_length=MOST_VOTERS)]


class Unread(ValueError):  # noqa: N818 - says what it is
    """No message can be read from it."""


class _Said(Struct, frozen=True, array_like=True, kw_only=True):
    """Compact: fields go by their order."""


class Ask(_Said, tag=1, frozen=True, array_like=True, kw_only=True):
    """What is in force, as far as you know?"""

    nonce: Number
    incarnation: Number = 0  # above 0: of a voter that has lost its memory, its new life
    deaf: bool = False  # it has no lease, nobody has answered for as long


class Told(_Said, tag=2, frozen=True, array_like=True, kw_only=True):
    """A voter's answer."""

    nonce: Number
    age: float  # s since the voter's own read of a majority; below 0: it has none
    votes: bool  # it has its memory
    decided: _Value | None
    settled: bool  # the moment of that swap has passed
    ends: float | None  # s left until the epoch before `slot` is over; None: no end is known
    begins: float | None  # s left until `decided` begins; None: it has, or nobody here knows
    promised: _Ballot
    accepted: Vote | None
    incarnation: Number
    lives: Lives
    candidate: tuple[Digest, Number] | None  # a proposal that is being prepared, and who holds its text


class Prepare(_Said, tag=3, frozen=True, array_like=True, kw_only=True):
    """The first phase of a ballot for the epoch after `decided`, which is settled."""

    nonce: Number
    ballot: _Ballot
    decided: _Value


class Promise(_Said, tag=4, frozen=True, array_like=True, kw_only=True):
    """Its answer: yes, or the higher ballot that was promised before."""

    nonce: Number
    ballot: _Ballot
    yes: bool
    promised: _Ballot
    accepted: Vote | None
    incarnation: Number
    lives: Lives
    clock: float  # the voter's monotonic clock, s


class Accept(_Said, tag=5, frozen=True, array_like=True, kw_only=True):
    """The second phase."""

    ballot: _Ballot
    value: _Value
    at: float  # the swap, on the voter's clock


class Accepted(_Said, tag=6, frozen=True, array_like=True, kw_only=True):
    """Its answer."""

    ballot: _Ballot
    yes: bool
    late: bool  # the swap is too near
    incarnation: Number
    lives: Lives


class Decided(_Said, tag=7, frozen=True, array_like=True, kw_only=True):
    """A majority has accepted it."""

    ballot: _Ballot
    value: _Value
    at: float | None  # the swap, on the voter's clock, where that is known


class Candidate(_Said, tag=8, frozen=True, array_like=True, kw_only=True):
    """A proposal that all are to prepare for; its holder says so again while it goes on."""

    digest: Digest
    on: bool


class Verdict(_Said, tag=9, frozen=True, array_like=True, kw_only=True):
    """A proxy's word on a candidate: "" is yes."""

    digest: Digest
    why: Annotated[str, Meta(max_length=WHY)]


class Who(_Said, tag=10, frozen=True, array_like=True, kw_only=True):
    """Which proxies have asked you within a lease?"""

    nonce: Number


class Here(_Said, tag=11, frozen=True, array_like=True, kw_only=True):
    """Its answer."""

    nonce: Number
    since: float  # s for which it has been counting
    bits: Annotated[bytes, Meta(max_length=125)]  # a bit for each proxy, the lowest first


Message = Ask | Told | Prepare | Promise | Accept | Accepted | Decided | Candidate | Verdict | Who | Here
_decode: Callable[[bytes], Message] = msgspec.msgpack.Decoder(Message).decode
_encode: Callable[[Message], bytes] = msgspec.msgpack.Encoder().encode


def pack(message: Message) -> bytes:
    return MARK + _encode(message)


def unpack(payload: bytes) -> Message:
    """The message, `Unread` where there is none."""
    if payload[:1] != MARK or len(payload) > LONGEST:
        raise Unread("no message about policies")
    try:
        message = _decode(payload[1:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise Unread(str(error)) from None
    for number in _floats(message):
        if number is not None and not (isfinite(number) and abs(number) < 1e12):
            raise Unread("a number that is none")
    return message


def _floats(message: Message) -> tuple[float | None, ...]:
    match message:
        case Told():
            return message.age, message.ends, message.begins
        case Promise():
            return (message.clock,)
        case Accept() | Decided():
            return (message.at,)
        case Here():
            return (message.since,)
    return ()


def value_of(raw: _Value) -> Value:
    epoch, digest, voters = raw
    return Value(epoch, digest, voters)


def ballot_of(raw: _Ballot) -> Ballot:
    return Ballot(*raw)


def vote_of(raw: Vote | None) -> tuple[Ballot, Value] | None:
    return None if raw is None else (ballot_of(raw[0]), value_of(raw[1]))
