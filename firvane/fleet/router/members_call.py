"""The operators' question to a router, on the port of the readiness question: `GET /v1/fleet/members`.

The answer is that of the controllers' call of this name, as this router sees the fleet. It is made anew twice
a second at most, each connection gets one, and few may stay unread at once: the router's work goes first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MAX_UNREAD = 4  # answers that their clients have not read whole
READ_PATIENCE = 5.0  # s until such a connection is ended
ANSWER_LIFETIME = 0.5  # s
PATH = b"GET /v1/fleet/members "
OVERLOADED = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class MembersCall:
    """Answers on connections that end with their answer."""

    def __init__(self, loop: asyncio.AbstractEventLoop, report: Callable[[], bytes]) -> None:
        """`report` gives the body of an answer."""
        self._loop, self._report = loop, report
        self._body = b""
        self._made_at = float("-inf")
        self._unread: dict[asyncio.Transport, asyncio.TimerHandle] = {}

    def answer(self, transport: asyncio.Transport) -> None:
        """Write the answer and end the connection once it is read."""
        if len(self._unread) >= MAX_UNREAD:
            transport.write(OVERLOADED)
        else:
            transport.write(encode_answer(self._current_body()))
            self._unread[transport] = self._loop.call_later(READ_PATIENCE, transport.abort)
        transport.close()

    def ended(self, transport: asyncio.Transport) -> None:
        """A connection is lost, whatever was asked on it."""
        timer = self._unread.pop(transport, None)
        if timer is not None:
            timer.cancel()

    def _current_body(self) -> bytes:
        now = self._loop.time()
        if now - self._made_at >= ANSWER_LIFETIME:
            self._body, self._made_at = self._report(), now
        return self._body


def encode_answer(body: bytes) -> bytes:
    """The whole answer on the wire."""
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
