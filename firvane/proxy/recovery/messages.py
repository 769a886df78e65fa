"""Messages of a recovery in the datagrams between proxies: a request, a reply, a loan of capacity.

Invariants:

1. Each message begins with `MESSAGE_PREFIX`. Readers of other datagrams ignore this prefix, so that proxies
   without a recovery, or of an older version, are not affected.
2. Backends are identified by their tag, the 16 bits that rows use. Messages contain ages, never times: clocks
   of proxies need not agree.
3. A message whose length does not match its counts is rejected, and changes nothing. No message exceeds a
   datagram.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

WIRE_VERSION = 4
MESSAGE_PREFIX = bytes((WIRE_VERSION,))
HEADER = struct.Struct("<BBQ")  # version, kind, time in ms: later messages of a sender supersede earlier ones
REPLY = struct.Struct("<IffBB")  # list version, scale, s since a response, warm, number of cold backends
COLD_BACKEND = struct.Struct("<HH")  # tag, age in tenths of a second
LOAN = struct.Struct("<HB")  # tag, attempts that may be in flight
MAX_COLD_BACKENDS = 55  # in one message
REQUEST_KIND = 1
REPLY_KIND = 2
LOAN_KIND = 3
NEVER_S = 1e6  # time since the last response, if there was none
MAX_SCALE = 1e9
MAX_AGE = 0xFFFF  # in tenths of a second
MAX_LOAN = 255
AGES_PER_S = 10


class StateRequest(NamedTuple):
    """A request for the state of a peer."""


class StateReply(NamedTuple):
    """The state of a proxy."""

    list_version: int  # of the endpoint list; 0: not received from discovery yet
    scale: float  # responses per second and unit of weight of a warm backend; 0: unknown
    idle_s: float  # since the last response of any backend
    is_warm: bool  # the proxy is in no recovery
    cold_ages_s: dict[int, float]  # time since the start of backends that are cold, by tag


class CapacityLoan(NamedTuple):
    """Capacity of a backend that its owner lends to a peer."""

    tag: int
    max_attempts: int  # that may be in flight; 0 ends the loan


Message = StateRequest | StateReply | CapacityLoan


class ReceivedMessage(NamedTuple):
    """A message, and its send time on the sender's clock."""

    sent_at_ms: int
    message: Message


def encode(message: Message, now: float) -> bytes:
    """Return the payload of a message that is sent at `now`, in seconds.

    A reply contains the youngest cold backends if not all fit.
    """
    at_ms = int(now * 1000)
    if isinstance(message, StateRequest):
        return HEADER.pack(WIRE_VERSION, REQUEST_KIND, at_ms)
    if isinstance(message, CapacityLoan):
        loan = LOAN.pack(message.tag, min(MAX_LOAN, message.max_attempts))
        return HEADER.pack(WIRE_VERSION, LOAN_KIND, at_ms) + loan
    by_age = sorted(message.cold_ages_s.items(), key=lambda entry: (entry[1], entry[0]))
    cold = by_age[:MAX_COLD_BACKENDS]
    idle_s = min(NEVER_S, message.idle_s)
    version = message.list_version & 0xFFFFFFFF
    reply = REPLY.pack(version, message.scale, idle_s, message.is_warm, len(cold))
    ages = b"".join(COLD_BACKEND.pack(tag, min(MAX_AGE, int(AGES_PER_S * age_s))) for tag, age_s in cold)
    return HEADER.pack(WIRE_VERSION, REPLY_KIND, at_ms) + reply + ages


def decode(payload: bytes) -> ReceivedMessage:
    """Return the message of a payload.

    Raises:
        ValueError: The payload is not a recovery message.
        struct.error: The payload is truncated.
    """
    version, kind, at_ms = HEADER.unpack_from(payload)
    body = payload[HEADER.size :]
    if version != WIRE_VERSION:
        raise ValueError("not a recovery message")
    if kind == REQUEST_KIND and not body:
        return ReceivedMessage(at_ms, StateRequest())
    if kind == LOAN_KIND:
        return ReceivedMessage(at_ms, CapacityLoan(*LOAN.unpack(body)))
    if kind != REPLY_KIND:
        raise ValueError("unknown kind of recovery message")
    list_version, scale, idle_s, warm, count = REPLY.unpack_from(body)
    cold = {tag: age / AGES_PER_S for tag, age in COLD_BACKEND.iter_unpack(body[REPLY.size :])}
    if len(cold) != count or not (0.0 <= scale < MAX_SCALE) or not (0.0 <= idle_s <= NEVER_S):
        raise ValueError("state reply with a wrong count or a number out of range")
    return ReceivedMessage(at_ms, StateReply(list_version, scale, idle_s, warm == 1, cold))
