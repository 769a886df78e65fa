"""Inspects requests without a parser, for load shedding: a rejection costs less than a parsed request."""

from __future__ import annotations

from typing import Final

END_OF_HEAD = b"\r\n\r\n"
TENANT_FIELD = b"\nx-caller:"
RETRY_FIELD = b"\nx-again: 1\r"
CLASS_START: Final = 5  # after "GET /"


def scan_tenant(data: bytes) -> bytes | None:
    """Return the tenant of bytes that are exactly one request without a body; b"" if it has no tenant.

    Returns None for any other bytes, which need the parser. This function and `scan_is_retry` run for each
    rejection under overload, so they search for bytes and create no objects that they do not need.
    """
    if data.find(END_OF_HEAD) != len(data) - len(END_OF_HEAD) or not data.startswith(b"GET /"):
        return None
    lower = data.lower()
    if (
        b"\ncontent-length:" in lower
        or b"\ntransfer-encoding:" in lower
        or b"\nconnection:" in lower
        or b"\nexpect:" in lower
        or b"\nupgrade:" in lower
        or b" HTTP/1.1\r\n" not in data
        or data.startswith(b"GET /up ")
    ):
        return None
    at = lower.find(TENANT_FIELD)
    if at < 0:
        return b""
    at += len(TENANT_FIELD)
    return data[at : data.find(b"\r", at)].strip()


def scan_request_class(data: bytes) -> bytes:
    """Return the request class in the path of a request that `scan_tenant` accepts."""
    end = data.find(b" ", CLASS_START)
    return data[CLASS_START:end].split(b"?", 1)[0].split(b"/", 1)[0]


def scan_is_retry(data: bytes) -> bool:
    """Return whether a request is marked as a retry."""
    return RETRY_FIELD in data.lower()


def percent_decode(text: bytes) -> bytes:
    """Return a path segment with its percent-encoding decoded, or unchanged if that is malformed."""
    first, *rest = text.split(b"%")
    try:
        return first + b"".join(bytes.fromhex(part[:2].decode()) + part[2:] for part in rest)
    except ValueError:
        return text
