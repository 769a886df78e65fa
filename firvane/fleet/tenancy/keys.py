"""Which tenant holds a key. Keys are known by their digests only."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from firvane.fleet.configuration.routes import Tenant, key_digest

AUTHORIZATION = b"authorization"
TENANT = b"x-tenant"
PRIVATE_FIELDS = frozenset((AUTHORIZATION, TENANT))
"""Fields of a client that no backend is shown where the configuration has tenants."""
_SCHEME = b"bearer"


class KeyRing:
    """The tenants of one configuration by the digests of their keys."""

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        self._holders = {digest: tenant for tenant in tenants for digest in tenant.key_digests}

    def holder(self, key: bytes) -> Tenant | None:
        """The tenant that holds a key, or None."""
        return self._holders.get(key_digest(key))


def bearer_key(fields: Mapping[bytes, bytes]) -> bytes | None:
    """The key in the fields of a request, by their lower-case names; None where there is none."""
    scheme, _, key = fields.get(AUTHORIZATION, b"").strip().partition(b" ")
    return key.strip() or None if scheme.lower() == _SCHEME else None
