"""Encoding and decoding of records about tenants; malformed records raise `TenancyError`."""

from __future__ import annotations

import random

import pytest

from firvane.fleet.tenancy.messages import (
    MAX_TOKENS,
    FreshnessProof,
    FreshnessRequest,
    GrantStatus,
    QuotaGrant,
    QuotaRequest,
    Record,
    TenancyError,
    decode,
    encode,
    tenant_id,
)

RECORDS: list[Record] = [
    FreshnessRequest(7),
    FreshnessProof(8, 3, None, ("10.0.0.4", 7300)),
    FreshnessProof(8, 3, None, None),
    QuotaRequest(9, tenant_id("huka270"), 2, 9190, 0, 17),
    QuotaGrant(9, GrantStatus.GRANTED, 9190, 0.0, None),
    QuotaGrant(9, GrantStatus.DENIED, 0, 1.25, None),
    QuotaGrant(9, GrantStatus.NOT_OWNER, 0, 0.0, ("10.2.0.41", 65535)),
]


@pytest.mark.parametrize("record", RECORDS)
def test_a_record_is_decoded_as_it_was_encoded(record: Record) -> None:
    assert decode(encode(record)) == record


def test_ages_are_rounded_up() -> None:
    rng = random.Random(1)
    for _ in range(500):
        age = rng.uniform(0.0, 5.0)
        decoded = decode(encode(FreshnessProof(1, 1, age, None)))
        assert isinstance(decoded, FreshnessProof) and decoded.age is not None
        assert age < decoded.age <= age + 0.0011


def test_amounts_out_of_the_range_of_the_field_are_clamped() -> None:
    decoded = decode(encode(QuotaRequest(1, tenant_id("t"), 1, 10**12, -4, 3)))
    assert decoded == QuotaRequest(1, tenant_id("t"), 1, MAX_TOKENS, 0, 3)


def test_malformed_records_are_rejected() -> None:
    rng = random.Random(2)
    encoded = [encode(record) for record in RECORDS]
    for _ in range(2_000):
        data = bytearray(rng.choice(encoded))
        match rng.randrange(3):
            case 0:
                del data[rng.randrange(len(data)) :]
            case 1:
                data += rng.randbytes(rng.randrange(1, 5))
            case 2:
                data[0] = rng.choice((0, 5, 9, 255))
        with pytest.raises(TenancyError):
            decode(bytes(data))
    with pytest.raises(TenancyError):
        decode(b"")
    with pytest.raises(TenancyError):
        decode(encode(QuotaGrant(1, GrantStatus.DENIED, 0, 0.0, None)).replace(b"\x02", b"\x09", 1))
