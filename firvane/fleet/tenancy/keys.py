"""The tenants of API keys. Only the digests of the keys are stored."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from firvane.fleet.configuration.routes import Tenant, key_digest

AUTHORIZATION = b"authorization"
TENANT = b"x-tenant"
PRIVATE_FIELDS = frozenset((AUTHORIZATION, TENANT))  # not forwarded if the configuration has tenants
_SCHEME = b"bearer"


class KeyRing:
    """The tenants of one configuration by the digests of their API keys."""

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        self._tenants = {digest: tenant for tenant in tenants for digest in tenant.key_digests}

    def tenant_of(self, key: bytes) -> Tenant | None:
        """Return the tenant to which a key belongs, or None if the key is unknown."""
        return self._tenants.get(key_digest(key))


def bearer_key(fields: Mapping[bytes, bytes]) -> bytes | None:
    """Return the bearer token of a request, or None; `fields` are its headers by lower-case name."""
    scheme, _, key = fields.get(AUTHORIZATION, b"").strip().partition(b" ")
    return key.strip() or None if scheme.lower() == _SCHEME else None
