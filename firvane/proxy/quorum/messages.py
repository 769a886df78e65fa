"""Messages of the policy consensus, carried in the datagrams between proxies.

Invariants:

1. Each datagram begins with `MESSAGE_PREFIX`, which receivers of other kinds of datagrams ignore.
2. No message contains a time of day. Times are durations, or readings of a monotonic clock.
3. An invalid message raises `MessageError` and changes nothing. No message exceeds `MAX_MESSAGE_BYTES`.
4. Messages are MessagePack arrays: the order of the fields and the tags are the wire format.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from firvane.proxy.policy_text import DIGEST_BYTES
from firvane.proxy.quorum.errors import MessageError
from firvane.proxy.quorum.types import MAX_VOTERS, ProposalNumber, Value

WIRE_VERSION = 5
MESSAGE_PREFIX = bytes((WIRE_VERSION,))
MAX_MESSAGE_BYTES = 256
MAX_REASON_BYTES = 120
MAX_BITMAP_BYTES = 125
MAX_TIME_S = 1e12  # far above every valid clock reading and duration

Uint32 = Annotated[int, Meta(ge=0, le=0xFFFFFFFF)]
Digest = Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
WireValue = tuple[Uint32, Digest, Annotated[tuple[Uint32, ...], Meta(max_length=MAX_VOTERS)]]
WireNumber = tuple[Uint32, Uint32, Uint32]
WireVote = tuple[WireNumber, WireValue]
# Voters that have lost their state, each with its latest known incarnation.
Incarnations = Annotated[tuple[tuple[Uint32, Uint32], ...], Meta(max_length=MAX_VOTERS)]


class _Message(Struct, frozen=True, array_like=True, kw_only=True):
    """Base of all messages: encoded as an array, by the order of the fields."""


class LeaseRequest(_Message, tag=1, frozen=True, array_like=True, kw_only=True):
    """Requests the state of a voter, to renew a lease."""

    nonce: Uint32
    incarnation: Uint32 = 0  # above 0: the new incarnation of a voter that has lost its state
    isolated: bool = False  # the sender has had no reply for the duration of a lease


class LeaseReply(_Message, tag=2, frozen=True, array_like=True, kw_only=True):
    """A voter's state, in reply to a `LeaseRequest`."""

    nonce: Uint32
    age_s: float  # age of the voter's own read from a majority; negative: no read
    has_state: bool  # False: the voter has lost its state and does not vote
    decided: WireValue | None
    activated: bool  # the activation time of `decided` has passed
    previous_end_s: float | None  # time left until the epoch in force ends; None: unknown
    start_s: float | None  # time left until `decided` begins; None: it has begun, or unknown
    promised: WireNumber
    accepted: WireVote | None
    incarnation: Uint32
    known_incarnations: Incarnations
    candidate: tuple[Digest, Uint32] | None  # digest and proposer of the candidate


class Prepare(_Message, tag=3, frozen=True, array_like=True, kw_only=True):
    """Phase 1 of a proposal for the epoch after `decided`, which has been activated."""

    nonce: Uint32
    number: WireNumber
    decided: WireValue


class Promise(_Message, tag=4, frozen=True, array_like=True, kw_only=True):
    """A voter's reply to `Prepare`: granted, or rejected because of a higher promised number."""

    nonce: Uint32
    number: WireNumber
    granted: bool
    promised: WireNumber
    accepted: WireVote | None
    incarnation: Uint32
    known_incarnations: Incarnations
    clock_s: float  # the voter's monotonic clock


class Accept(_Message, tag=5, frozen=True, array_like=True, kw_only=True):
    """Phase 2 of a proposal."""

    number: WireNumber
    value: WireValue
    activate_at: float  # seconds on the receiver's clock


class Accepted(_Message, tag=6, frozen=True, array_like=True, kw_only=True):
    """A voter's reply to `Accept`."""

    number: WireNumber
    granted: bool
    too_late: bool  # the activation is not within the allowed notice
    incarnation: Uint32
    known_incarnations: Incarnations


class Learn(_Message, tag=7, frozen=True, array_like=True, kw_only=True):
    """Reports that a majority has accepted the value."""

    number: WireNumber
    value: WireValue
    activate_at: float | None  # seconds on the receiver's clock; None: unknown


class CandidateOffer(_Message, tag=8, frozen=True, array_like=True, kw_only=True):
    """Offers a proposal that proxies prepare for; repeated by its proposer during the readiness check."""

    digest: Digest
    active: bool  # False: the proposal is withdrawn


class CandidateReply(_Message, tag=9, frozen=True, array_like=True, kw_only=True):
    """Reports whether a proxy is ready for a candidate: `reason` is "" if it is, otherwise why not."""

    digest: Digest
    reason: Annotated[str, Meta(max_length=MAX_REASON_BYTES)]


class ActiveProxiesRequest(_Message, tag=10, frozen=True, array_like=True, kw_only=True):
    """Asks a voter which proxies have sent it a `LeaseRequest` within `lease_s`."""

    nonce: Uint32


class ActiveProxiesReply(_Message, tag=11, frozen=True, array_like=True, kw_only=True):
    """The reply to `ActiveProxiesRequest`."""

    nonce: Uint32
    observed_s: float  # time since the start of the voter
    bitmap: Annotated[bytes, Meta(max_length=MAX_BITMAP_BYTES)]  # one bit per proxy, the lowest number first


Message = (
    LeaseRequest
    | LeaseReply
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Learn
    | CandidateOffer
    | CandidateReply
    | ActiveProxiesRequest
    | ActiveProxiesReply
)
_decode: Callable[[bytes], Message] = msgspec.msgpack.Decoder(Message).decode
_encode: Callable[[Message], bytes] = msgspec.msgpack.Encoder().encode


def encode(message: Message) -> bytes:
    """Return the payload of a datagram."""
    return MESSAGE_PREFIX + _encode(message)


def decode(payload: bytes) -> Message:
    """Return the message of a datagram's payload.

    Raises:
        MessageError: The payload is not a valid message, or a time in it is not finite or too large.
    """
    if payload[:1] != MESSAGE_PREFIX or len(payload) > MAX_MESSAGE_BYTES:
        raise MessageError("not a message of the policy consensus")
    try:
        message = _decode(payload[1:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MessageError(str(error)) from None
    for number in _times(message):
        if number is not None and not (isfinite(number) and abs(number) < MAX_TIME_S):
            raise MessageError("a time is not finite or too large")
    return message


def _times(message: Message) -> tuple[float | None, ...]:
    match message:
        case LeaseReply():
            return message.age_s, message.previous_end_s, message.start_s
        case Promise():
            return (message.clock_s,)
        case Accept() | Learn():
            return (message.activate_at,)
        case ActiveProxiesReply():
            return (message.observed_s,)
    return ()


def value_of(raw: WireValue) -> Value:
    """Convert a decoded value to a `Value`."""
    epoch, digest, voters = raw
    return Value(epoch, digest, voters)


def number_of(raw: WireNumber) -> ProposalNumber:
    """Convert a decoded proposal number to a `ProposalNumber`."""
    return ProposalNumber(*raw)


def vote_of(raw: WireVote | None) -> tuple[ProposalNumber, Value] | None:
    """Convert a decoded acceptance to its number and value; None stays None."""
    return None if raw is None else (number_of(raw[0]), value_of(raw[1]))
