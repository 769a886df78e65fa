"""The platform's health check: `GET /v1/readiness` returns whether the router accepts new connections.

The same port serves operators (`members_endpoint`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from firvane.fleet.router import members_endpoint
from firvane.fleet.router.members_endpoint import MembersEndpoint

MAX_REQUEST_BYTES = 8 * 1024
END_OF_HEAD = b"\r\n\r\n"
READY = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n"
NOT_READY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 10\r\n\r\nnot ready\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
PATH = b"GET /v1/readiness"


class ReadinessConnection(asyncio.Protocol):
    """One connection of the platform or of an operator."""

    def __init__(self, is_ready: Callable[[], bool], members: MembersEndpoint) -> None:
        self.is_ready, self.members = is_ready, members
        self.received = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Release the state of an unread response (asyncio)."""
        self.members.connection_lost(self.transport)

    def data_received(self, data: bytes) -> None:
        """Respond to each complete request (asyncio)."""
        self.received += data
        while (end := self.received.find(END_OF_HEAD)) >= 0:
            head, self.received = self.received[:end], self.received[end + len(END_OF_HEAD) :]
            if not self._respond(head):
                return
        if len(self.received) > MAX_REQUEST_BYTES:
            self.transport.abort()

    def _respond(self, head: bytes) -> bool:
        """Respond to a request, and return whether the connection stays open."""
        if head.startswith(members_endpoint.PATH):
            self.members.respond(self.transport)
            return False
        if not head.startswith(PATH):
            self.transport.write(NOT_FOUND)
            self.transport.close()
            return False
        self.transport.write(READY if self.is_ready() else NOT_READY)
        if b"connection: close" in head.lower():
            self.transport.close()
            return False
        return True
