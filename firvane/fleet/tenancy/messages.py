"""The records between routers and controllers about tenants: proofs of freshness, and quota.

Each record is a byte for its kind and a fixed `struct`. Bytes that are no record raise `TenancyError`.
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
_MS_PER_S = 1000

_FRESHNESS_REQUEST = struct.Struct("!BQ")  # kind, nonce
_FRESHNESS_PROOF = struct.Struct("!BQQI4sH")  # kind, nonce, version, age in ms, redirect
# kind, nonce, tenant, partition, cost, prefetch, spent
_QUOTA_REQUEST = struct.Struct(f"!BQ{TENANT_ID_BYTES}sBIII")
_QUOTA_GRANT = struct.Struct("!BQBII4sH")  # kind, nonce, status, tokens, retry-after in ms, redirect


class TenancyError(ValueError):
    """The bytes are no record about tenants."""


class Kind(enum.IntEnum):
    """The kind of a record."""

    FRESHNESS_REQUEST = 1
    FRESHNESS_PROOF = 2
    QUOTA_REQUEST = 3
    QUOTA_GRANT = 4


class GrantStatus(enum.IntEnum):
    """The result of a quota request."""

    GRANTED = 1
    DENIED = 2  # beyond the tenant's limit at this moment
    NOT_OWNER = 3  # the sender does not own the tenant's partition, or does not know the tenant
    UNLIMITED = 4  # the tenant has no limit


class FreshnessRequest(NamedTuple):
    """Asks for the version of the configuration, and for how old that knowledge is."""

    nonce: int


class FreshnessProof(NamedTuple):
    """Proves that `version` was the newest acknowledged one, `age` seconds before this was sent.

    `age` is None where the sender cannot tell; `redirect` is then the process to ask, if it knows one.
    """

    nonce: int
    version: int
    age: float | None
    redirect: Address | None


class QuotaRequest(NamedTuple):
    """Asks for the cost of one request, and for more in advance.

    `spent` reports what the router has used beyond all grants since its last request.
    """

    nonce: int
    tenant: bytes
    partition: int
    cost: int
    prefetch: int
    spent: int


class QuotaGrant(NamedTuple):
    """The result: tokens that may be used, or the seconds after which there are enough."""

    nonce: int
    status: GrantStatus
    tokens: int
    retry_after: float
    redirect: Address | None


Record = FreshnessRequest | FreshnessProof | QuotaRequest | QuotaGrant


def tenant_id(name: str) -> bytes:
    """Return the id of a tenant in records."""
    return digest(name.encode(), TENANT_ID_BYTES)


def encode(record: Record) -> bytes:
    """Return a record as bytes."""
    match record:
        case FreshnessRequest(nonce):
            return _FRESHNESS_REQUEST.pack(Kind.FRESHNESS_REQUEST, nonce)
        case FreshnessProof(nonce, version, age, redirect):
            return _FRESHNESS_PROOF.pack(
                Kind.FRESHNESS_PROOF, nonce, version, _encode_age(age), *_encode_address(redirect)
            )
        case QuotaRequest(nonce, tenant, partition, cost, prefetch, spent):
            amounts = [min(max(0, amount), MAX_TOKENS) for amount in (cost, prefetch, spent)]
            return _QUOTA_REQUEST.pack(Kind.QUOTA_REQUEST, nonce, tenant, partition, *amounts)
        case QuotaGrant(nonce, status, tokens, retry_after, redirect):
            retry_after_ms = min(_UNKNOWN_AGE, round(retry_after * _MS_PER_S))
            capped = min(tokens, MAX_TOKENS)
            return _QUOTA_GRANT.pack(
                Kind.QUOTA_GRANT, nonce, status, capped, retry_after_ms, *_encode_address(redirect)
            )


def decode(data: bytes) -> Record:
    """Return the record that the bytes encode.

    Raises:
        TenancyError: The bytes are no record.
    """
    try:
        match data[:1]:
            case b"\x01":
                return FreshnessRequest(*_FRESHNESS_REQUEST.unpack(data)[1:])
            case b"\x02":
                _, nonce, version, age_ms, *redirect = _FRESHNESS_PROOF.unpack(data)
                age = None if age_ms == _UNKNOWN_AGE else age_ms / _MS_PER_S
                return FreshnessProof(nonce, version, age, _decode_address(*redirect))
            case b"\x03":
                return QuotaRequest(*_QUOTA_REQUEST.unpack(data)[1:])
            case b"\x04":
                _, nonce, status, tokens, retry_after_ms, *redirect = _QUOTA_GRANT.unpack(data)
                address = _decode_address(*redirect)
                return QuotaGrant(nonce, GrantStatus(status), tokens, retry_after_ms / _MS_PER_S, address)
    except (struct.error, ValueError) as error:
        raise TenancyError(f"a record cannot be read: {error}") from None
    raise TenancyError("the kind of a record is not known")


def _encode_age(age: float | None) -> int:
    """Return an age in ms, rounded up, so that nothing seems more recent than it is."""
    return _UNKNOWN_AGE if age is None else min(_UNKNOWN_AGE - 1, int(max(0.0, age) * _MS_PER_S) + 1)


def _encode_address(address: Address | None) -> tuple[bytes, int]:
    return (b"\0\0\0\0", 0) if address is None else (pack_host(address[0]), address[1])


def _decode_address(host: bytes, port: int) -> Address | None:
    return (unpack_host(host), port) if port else None
