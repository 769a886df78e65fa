"""A policy's text as proxies hand it on: how large it may be, and the digest that it goes by."""

from __future__ import annotations

from hashlib import blake2b

DIGEST = 16  # bytes
MOST_TEXT = 64 << 10  # bytes


def digest_of(text: bytes) -> bytes:
    """What a policy goes by between proxies."""
    return blake2b(text, digest_size=DIGEST).digest()
