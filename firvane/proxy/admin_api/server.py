"""The admin server: connections of operators with one call each, which is answered at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from firvane.proxy.admin_api.calls import AdminCall, CallReader, InvalidCallError, format_error

MAX_CONNECTIONS = 16  # a further connection closes the oldest
CONNECTION_TIMEOUT_S = 5.0  # to send a call, or to read the response
ADMIN_DESCRIPTORS = MAX_CONNECTIONS + 4  # plus the listening socket and connections just accepted

CallHandler = Callable[[AdminCall], bytes]


class AdminServer:
    """The connections of operators.

    Attributes:
        connections: The deadline of each connection in seconds of loop time, in the order of arrival.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, answer: CallHandler) -> None:
        self.loop, self.answer = loop, answer
        self.connections: dict[AdminConnection, float] = {}

    def make_connection(self) -> AdminConnection:
        """Make the protocol of a connection."""
        return AdminConnection(self)

    def add(self, connection: AdminConnection) -> None:
        """Register a new connection, and close the oldest if there are too many."""
        self.connections[connection] = self.loop.time() + CONNECTION_TIMEOUT_S
        if len(self.connections) > MAX_CONNECTIONS:
            next(iter(self.connections)).transport.abort()

    def sweep(self) -> None:
        """Close connections whose deadline has passed."""
        now = self.loop.time()
        for connection in [
            connection for connection, deadline in self.connections.items() if deadline <= now
        ]:
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
        """Store the transport and register the connection (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the closed connection (asyncio)."""
        self.server.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Answer the call once its line is complete (asyncio)."""
        if self.done:
            return  # only one call a connection
        try:
            call = self.line.feed(data)
        except InvalidCallError as error:
            self._respond(format_error(str(error)))
            return
        if call:
            self._respond(self.server.answer(call))

    def eof_received(self) -> None:
        """Answer an incomplete call with an error (asyncio)."""
        if not self.done:
            self._respond(format_error("the call has no end: a line feed is missing"))

    def _respond(self, response: bytes) -> None:
        self.done = True
        self.transport.write(response)
        # A close with unread data would reset the connection and could discard the response in transit.
        if not self.transport.is_closing():
            self.transport.write_eof()
