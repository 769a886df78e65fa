"""A connection to a supervisor's API: one call line, one response, then it is closed."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Protocol, cast

from firvane.proxy.admin_api.calls import MAX_LINE_BYTES, format_error

CONNECTION_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 32


class Handler(Protocol):
    """The object that answers the calls of connections."""

    loop: asyncio.AbstractEventLoop
    connections: set[SupervisorConnection]

    def answer(self, line: bytes) -> bytes:
        """Return the response to a call."""


class SupervisorConnection(asyncio.Protocol):
    """One connection to a supervisor's API."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.received = bytearray()
        self.answered = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection at once if there are too many, or after `CONNECTION_TIMEOUT_S`."""
        self.transport = cast(asyncio.Transport, transport)
        if len(self.handler.connections) >= MAX_CONNECTIONS:
            transport.close()
            return
        self.handler.connections.add(self)
        self.handler.loop.call_later(CONNECTION_TIMEOUT_S, partial(self.transport.abort))

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the handler."""
        self.handler.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Answer the first line; a line that is too long is answered without waiting for its end."""
        if self.answered:
            return
        self.received += data
        line, end, _ = bytes(self.received).partition(b"\n")
        if end or len(self.received) > MAX_LINE_BYTES:
            self._send(self.handler.answer(line.strip()))

    def eof_received(self) -> None:
        """Reject a truncated call."""
        if not self.answered:
            self._send(format_error("the call has no end: a line feed is missing"))

    def _send(self, answer: bytes) -> None:
        self.answered = True
        self.transport.write(answer)
        if not self.transport.is_closing():
            self.transport.write_eof()
