"""The text of a policy as proxies exchange it: its maximum size and the digest that identifies it."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 16
MAX_TEXT_BYTES = 64 << 10


def digest_of(text: bytes) -> bytes:
    """Return the BLAKE2b digest (`DIGEST_BYTES` long) that identifies a policy between proxies."""
    return blake2b(text, digest_size=DIGEST_BYTES).digest()
