"""HTTP responses of the operator API."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from msgspec import Struct, field


class Response(Struct, frozen=True):
    """A response; `headers` excludes the content type and length."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


def encode_response(response: Response, close: bool) -> bytes:
    """Encode a response, with `Connection: close` if `close` is true."""
    try:
        reason = HTTPStatus(response.status).phrase
    except ValueError:
        reason = "Status"
    lines = [
        f"HTTP/1.1 {response.status} {reason}",
        "Content-Type: application/json",
        f"Content-Length: {len(response.body)}",
    ]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    if close:
        lines.append("Connection: close")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + response.body
