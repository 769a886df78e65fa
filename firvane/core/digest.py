"""Short digests of secrets and names."""

from __future__ import annotations


def digest(data: bytes, size: int) -> bytes:
    """Return a digest of `size` bytes. hashlib is imported at the first call, not when a process starts."""
    import hashlib

    return hashlib.blake2b(data, digest_size=size).digest()
