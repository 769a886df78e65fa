"""The records that routers and controllers exchange about tenants: freshness proofs, and quota grants.

Each record is a byte for its kind and a fixed `struct`. Malformed bytes raise `TenancyError`.
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
    """The bytes are not a valid record about tenants."""


class Kind(enum.IntEnum):
    """The kind of a record."""

    FRESHNESS_REQUEST = 1
    FRESHNESS_PROOF = 2
    QUOTA_REQUEST = 3
    QUOTA_GRANT = 4


class GrantStatus(enum.IntEnum):
    """The result of a quota request."""

    GRANTED = 1
    DENIED = 2  # the tenant is over its limit at present
    NOT_OWNER = 3  # the sender does not own the tenant's partition, or does not know the tenant
    UNLIMITED = 4  # the tenant has no limit


class FreshnessRequest(NamedTuple):
    """Requests a proof of the newest acknowledged version of the configuration."""

    nonce: int


class FreshnessProof(NamedTuple):
    """Proves that `version` was the newest acknowledged version `age` seconds before this record was sent.

    `age` is None if the sender has no proof; `redirect` is then the address to send the request to, if known.
    """

    nonce: int
    version: int
    age: float | None
    redirect: Address | None


class QuotaRequest(NamedTuple):
    """Requests tokens for the cost of one client request, and `prefetch` more tokens in advance.

    `spent` reports the tokens that the router has used without a grant since its last quota request.
    """

    nonce: int
    tenant: bytes
    partition: int
    cost: int
    prefetch: int
    spent: int


class QuotaGrant(NamedTuple):
    """The result of a quota request: tokens that may be used, or seconds until enough are available."""

    nonce: int
    status: GrantStatus
    tokens: int
    retry_after: float
    redirect: Address | None


Record = FreshnessRequest | FreshnessProof | QuotaRequest | QuotaGrant


def tenant_id(name: str) -> bytes:
    """Return the id that represents a tenant in records."""
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
        TenancyError: The bytes are not a valid record.
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
        raise TenancyError(f"record is malformed: {error}") from None
    raise TenancyError("record is of an unknown kind")


def _encode_age(age: float | None) -> int:
    """Return an age in ms, rounded up so that no proof seems more recent than it is."""
    return _UNKNOWN_AGE if age is None else min(_UNKNOWN_AGE - 1, int(max(0.0, age) * _MS_PER_S) + 1)


def _encode_address(address: Address | None) -> tuple[bytes, int]:
    return (b"\0\0\0\0", 0) if address is None else (pack_host(address[0]), address[1])


def _decode_address(host: bytes, port: int) -> Address | None:
    return (unpack_host(host), port) if port else None
