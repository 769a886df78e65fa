"""The platform's question whether this router takes new connections: `GET /v1/readiness`.

Operators ask on the same port: `members_call`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from firvane.fleet.router import members_call
from firvane.fleet.router.members_call import MembersCall

MAX_REQUEST = 8 * 1024  # bytes of one question
END_OF_HEAD = b"\r\n\r\n"
READY = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n"
NOT_READY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 10\r\n\r\nnot ready\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
PATH = b"GET /v1/readiness"


class ReadinessConnection(asyncio.Protocol):
    """One connection of the platform; it answers each question by what holds then."""

    def __init__(self, is_ready: Callable[[], bool], members: MembersCall) -> None:
        self.is_ready, self.members = is_ready, members
        self.received = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.members.ended(self.transport)

    def data_received(self, data: bytes) -> None:
        self.received += data
        while (end := self.received.find(END_OF_HEAD)) >= 0:
            head, self.received = self.received[:end], self.received[end + len(END_OF_HEAD) :]
            if head.startswith(members_call.PATH):
                self.members.answer(self.transport)
                return
            if not head.startswith(PATH):
                self.transport.write(NOT_FOUND)
                self.transport.close()
                return
            self.transport.write(READY if self.is_ready() else NOT_READY)
            if b"connection: close" in head.lower():
                self.transport.close()
                return
        if len(self.received) > MAX_REQUEST:
            self.transport.abort()
