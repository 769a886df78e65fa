"""The operators' endpoint of a router, on the readiness port: `GET /v1/fleet/members`.

The response has the format of the controllers' endpoint of the same path and lists the members known to this
router. To limit the cost for request handling, the response is built at most twice a second, each connection
gets one response, and the number of unread responses is bounded.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MAX_UNREAD_RESPONSES = 4  # responses that clients have not read completely
READ_TIMEOUT_S = 5.0  # after it a connection with an unread response is aborted
CACHE_LIFETIME_S = 0.5
PATH = b"GET /v1/fleet/members "
OVERLOADED = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class MembersEndpoint:
    """Writes responses, and closes each connection after its response."""

    def __init__(self, loop: asyncio.AbstractEventLoop, report: Callable[[], bytes]) -> None:
        """`report` builds the body of a response."""
        self._loop, self._report = loop, report
        self._body = b""
        self._built_at = float("-inf")
        self._unread: dict[asyncio.Transport, asyncio.TimerHandle] = {}

    def respond(self, transport: asyncio.Transport) -> None:
        """Write the response, and close the connection after the client has read it."""
        if len(self._unread) >= MAX_UNREAD_RESPONSES:
            transport.write(OVERLOADED)
        else:
            transport.write(encode_response(self._current_body()))
            self._unread[transport] = self._loop.call_later(READ_TIMEOUT_S, transport.abort)
        transport.close()

    def connection_lost(self, transport: asyncio.Transport) -> None:
        """Release the state of a closed connection, if it has any."""
        timer = self._unread.pop(transport, None)
        if timer is not None:
            timer.cancel()

    def _current_body(self) -> bytes:
        now = self._loop.time()
        if now - self._built_at >= CACHE_LIFETIME_S:
            self._body, self._built_at = self._report(), now
        return self._body


def encode_response(body: bytes) -> bytes:
    """Return the complete response with this body."""
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
