"""Short digests of secrets and names."""

from __future__ import annotations


def digest(data: bytes, size: int) -> bytes:
    """A digest of `size` bytes. hashlib is loaded with the first one, not when a process starts."""
    import hashlib

    return hashlib.blake2b(data, digest_size=size).digest()
