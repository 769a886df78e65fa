"""Extraction of API keys from requests, and the lookup of their tenants."""

from __future__ import annotations

import pytest

from firvane.fleet.configuration.routes import Tenant, key_digest
from firvane.fleet.tenancy.keys import KeyRing, bearer_key


@pytest.mark.parametrize(
    ("field", "key"),
    [
        (b"Bearer abc", b"abc"),
        (b"bearer abc", b"abc"),
        (b"  BEARER   abc ", b"abc"),
        (b"Bearer a b", b"a b"),
        (b"Bearer", None),
        (b"Bearer ", None),
        (b"Basic abc", None),
        (b"abc", None),
        (b"", None),
    ],
)
def test_the_key_of_a_request(field: bytes, key: bytes | None) -> None:
    assert bearer_key({b"authorization": field}) == key


def test_a_request_without_the_field_has_no_key() -> None:
    assert bearer_key({}) is None


def test_a_key_is_known_by_its_digest_alone() -> None:
    tenant = Tenant("one", (key_digest(b"k1"), key_digest(b"k2")))
    ring = KeyRing((tenant, Tenant("two", (key_digest(b"k3"),)), Tenant("none")))
    assert ring.tenant_of(b"k1") is tenant
    assert ring.tenant_of(b"k2") is tenant
    assert ring.tenant_of(b"K1") is None
    assert ring.tenant_of(b"") is None
    assert b"k1" not in repr(tenant).encode()
