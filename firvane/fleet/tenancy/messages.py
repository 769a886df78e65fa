"""The records between routers and controllers about tenants: proofs of freshness, and quota.

Each record is a byte for its kind and a fixed `struct`. Whatever is no record raises `TenancyError`.
"""

from __future__ import annotations

import enum
import struct
from typing import NamedTuple

from firvane.core.address import Address, pack_host, unpack_host
from firvane.core.digest import digest

TENANT_ID_BYTES = 8
MAX_TOKENS = 0xFFFFFFFF
_UNKNOWN_AGE = 0xFFFFFFFF

_QUESTION = struct.Struct("!BQ")  # kind, nonce
_PROOF = struct.Struct("!BQQI4sH")  # kind, nonce, version, age in ms, another address to ask
_ASK = struct.Struct(f"!BQ{TENANT_ID_BYTES}sBIII")  # kind, nonce, tenant, part, cost, ahead, spent
_GRANT = struct.Struct("!BQBII4sH")  # kind, nonce, status, tokens, pause in ms, another address to ask


class TenancyError(ValueError):
    """The bytes are no record about tenants."""


class Kind(enum.IntEnum):
    """What a record is."""

    QUESTION = 1
    PROOF = 2
    ASK = 3
    GRANT = 4


class Status(enum.IntEnum):
    """What became of an ask for quota."""

    GRANTED = 1
    DENIED = 2
    """Beyond the tenant's limit at this moment."""
    ELSEWHERE = 3
    """Another controller owns the tenant's part, or none does, or the owner does not know the tenant yet."""
    UNLIMITED = 4
    """The tenant has no limit: nothing is counted."""


class Question(NamedTuple):
    """How old is your configuration, and which version is it?"""

    nonce: int


class Proof(NamedTuple):
    """The answer: `version` was the newest of all that is acknowledged, `age` seconds before it was sent.

    `age` is None where the sender cannot tell; `other` is whom to ask then, if it knows anybody.
    """

    nonce: int
    version: int
    age: float | None
    other: Address | None


class Ask(NamedTuple):
    """A router asks for what one request costs, and for more in advance.

    `spent` is what it has used beyond all grants since it last asked.
    """

    nonce: int
    tenant: bytes
    part: int
    cost: int
    ahead: int
    spent: int


class Grant(NamedTuple):
    """The answer: tokens that may be used, or the seconds after which there are enough."""

    nonce: int
    status: Status
    tokens: int
    pause: float
    other: Address | None


Record = Question | Proof | Ask | Grant


def tenant_id(name: str) -> bytes:
    """How a tenant is named in records."""
    return digest(name.encode(), TENANT_ID_BYTES)


def encode(record: Record) -> bytes:
    """A record as bytes."""
    match record:
        case Question(nonce):
            return _QUESTION.pack(Kind.QUESTION, nonce)
        case Proof(nonce, version, age, other):
            return _PROOF.pack(Kind.PROOF, nonce, version, _encode_age(age), *_encode_address(other))
        case Ask(nonce, tenant, part, cost, ahead, spent):
            amounts = [min(max(0, amount), MAX_TOKENS) for amount in (cost, ahead, spent)]
            return _ASK.pack(Kind.ASK, nonce, tenant, part, *amounts)
        case Grant(nonce, status, tokens, pause, other):
            head = Kind.GRANT, nonce, status, min(tokens, MAX_TOKENS)
            return _GRANT.pack(*head, min(_UNKNOWN_AGE, round(pause * 1000)), *_encode_address(other))


def decode(data: bytes) -> Record:
    """A record from bytes; `TenancyError` where they are none."""
    try:
        match data[:1]:
            case b"\x01":
                return Question(*_QUESTION.unpack(data)[1:])
            case b"\x02":
                _, nonce, version, age_ms, *other = _PROOF.unpack(data)
                age = None if age_ms == _UNKNOWN_AGE else age_ms / 1000
                return Proof(nonce, version, age, _decode_address(*other))
            case b"\x03":
                return Ask(*_ASK.unpack(data)[1:])
            case b"\x04":
                _, nonce, status, tokens, pause_ms, *other = _GRANT.unpack(data)
                return Grant(nonce, Status(status), tokens, pause_ms / 1000, _decode_address(*other))
    except (struct.error, ValueError) as error:
        raise TenancyError(f"a record cannot be read: {error}") from None
    raise TenancyError("the kind of a record is not known")


def _encode_age(age: float | None) -> int:
    """Rounded up, so that nothing seems more recent than it is."""
    return _UNKNOWN_AGE if age is None else min(_UNKNOWN_AGE - 1, int(max(0.0, age) * 1000) + 1)


def _encode_address(address: Address | None) -> tuple[bytes, int]:
    return (b"\0\0\0\0", 0) if address is None else (pack_host(address[0]), address[1])


def _decode_address(host: bytes, port: int) -> Address | None:
    return (unpack_host(host), port) if port else None
