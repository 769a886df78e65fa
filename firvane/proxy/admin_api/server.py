"""The admin server: operators' connections, with one call each that is answered at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from firvane.proxy.admin_api.calls import AdminCall, CallReader, InvalidCallError, format_error

MAX_CONNECTIONS = 16  # one more closes the oldest
CONNECTION_TIMEOUT_S = 5.0  # to send a call, or to read the response
ADMIN_DESCRIPTORS = MAX_CONNECTIONS + 4  # beside them: the listening socket, and connections just accepted

Answer = Callable[[AdminCall], bytes]


class AdminServer:
    """The connections of operators.

    Attributes:
        connections: Loop time in s by which each must be done, in the order of their arrival.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, answer: Answer) -> None:
        self.loop, self.answer = loop, answer
        self.connections: dict[AdminConnection, float] = {}

    def make_connection(self) -> AdminConnection:
        """Make the protocol of a connection."""
        return AdminConnection(self)

    def add(self, connection: AdminConnection) -> None:
        """Keep a new connection, and close the oldest where there are too many."""
        self.connections[connection] = self.loop.time() + CONNECTION_TIMEOUT_S
        if len(self.connections) > MAX_CONNECTIONS:
            next(iter(self.connections)).transport.abort()

    def sweep(self) -> None:
        """Close connections that have timed out."""
        now = self.loop.time()
        for connection in [connection for connection, until in self.connections.items() if until <= now]:
            connection.transport.abort()

    def close(self) -> None:
        """Close all connections, once their responses are written."""
        for connection in list(self.connections):
            connection.transport.close()


class AdminConnection(asyncio.Protocol):
    """One operator's connection."""

    def __init__(self, server: AdminServer) -> None:
        self.server, self.line = server, CallReader()
        self.done = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection has its transport (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed (asyncio)."""
        self.server.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Answer the call once its line is complete (asyncio)."""
        if self.done:
            return  # one call to a connection
        try:
            asked = self.line.feed(data)
        except InvalidCallError as useless:
            self._respond(format_error(str(useless)))
            return
        if asked:
            self._respond(self.server.answer(asked))

    def eof_received(self) -> None:
        """Answer a call that was cut off (asyncio)."""
        if not self.done:
            self._respond(format_error("the call has no end: a line feed is missing"))

    def _respond(self, answer: bytes) -> None:
        self.done = True
        self.transport.write(answer)
        # A close with unread bytes would reset the connection and could destroy the response in transit.
        if not self.transport.is_closing():
            self.transport.write_eof()
