"""Numeric addresses with a port: parsing, and conversion of hosts to and from bytes."""

from __future__ import annotations

import functools
from typing import Any

Address = tuple[str, int]

CACHED_HOSTS = 4096  # conversions that are cached: the same hosts occur in every message
MAX_PORT = 65535
IPV4_BYTES = 4
MAX_BYTE = 255


def parse_address(text: Any) -> Address:
    """Return the host and port of a numeric address; raises `ValueError` for other text, including names."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (colon and _is_numeric(host) and port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ValueError(f"{text!r} is not an address with a port")
    return host, int(port)


@functools.lru_cache(maxsize=CACHED_HOSTS)
def pack_host(host: str) -> bytes:
    """Return the four bytes of an IPv4 host in network order; raises `ValueError` if it is not one."""
    if not _is_numeric(host):
        raise ValueError(f"{host!r} is not a numeric IPv4 host")
    return bytes(int(part) for part in host.split("."))


@functools.lru_cache(maxsize=CACHED_HOSTS)
def unpack_host(packed: bytes) -> str:
    """Return the IPv4 host of four bytes in network order; raises `ValueError` for another length."""
    if len(packed) != IPV4_BYTES:
        raise ValueError(f"{len(packed)} bytes are not an IPv4 host")
    return ".".join(str(byte) for byte in packed)


def _is_numeric(host: str) -> bool:
    """Return whether a host consists of four decimal numbers of one byte each."""
    parts = host.split(".")
    return len(parts) == IPV4_BYTES and all(
        part.isascii() and part.isdigit() and int(part) <= MAX_BYTE for part in parts
    )
