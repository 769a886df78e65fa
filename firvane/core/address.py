"""Addresses as they are written, numeric and with a port, and the packed form of their hosts."""

from __future__ import annotations

import functools
from typing import Any

Address = tuple[str, int]

CACHED_HOSTS = 4096
"""Hosts whose other form is kept: the same few come with every message."""


def parse_address(text: Any) -> Address:
    """A numeric address; names are of no use where there is no DNS. `ValueError` where it is none."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (colon and _is_numeric(host) and port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(f"{text!r} is not an address with a port")
    return host, int(port)


@functools.lru_cache(maxsize=CACHED_HOSTS)
def pack_host(host: str) -> bytes:
    """The four bytes of an IPv4 host in network order. `ValueError` where it is none."""
    if not _is_numeric(host):
        raise ValueError(f"{host!r} is not a numeric IPv4 host")
    return bytes(int(part) for part in host.split("."))


@functools.lru_cache(maxsize=CACHED_HOSTS)
def unpack_host(packed: bytes) -> str:
    """The IPv4 host that four bytes in network order stand for. `ValueError` where they are not four."""
    if len(packed) != 4:
        raise ValueError(f"{len(packed)} bytes are not an IPv4 host")
    return ".".join(str(byte) for byte in packed)


def _is_numeric(host: str) -> bool:
    """Whether a host is four decimal numbers of one byte each."""
    parts = host.split(".")
    return len(parts) == 4 and all(part.isascii() and part.isdigit() and int(part) < 256 for part in parts)
