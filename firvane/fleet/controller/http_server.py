"""HTTP/1.1 server of the operator API: few connections, large bodies, bounded memory and timeouts.

Invariants:

1. A connection handles one request at a time; reading is paused until the response is written.
2. A malformed request is answered with an error status, and the connection is closed.
3. All connections together buffer at most `Bounds.total_bytes` of bodies; a request beyond that gets 503.
4. Every state of a connection except `HANDLING` has a timeout.
5. At shutdown every request that has been read is answered, pipelined ones included.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import cast

import httptools
from msgspec import Struct

from firvane.core.address import Address
from firvane.core.logs import Log
from firvane.core.net.http_message import HttpError, Message
from firvane.core.net.http_reader import MessageReader
from firvane.fleet.controller.responses import Response, encode_response

Handler = Callable[[Message], Awaitable[Response]]
ACCEPT_BACKLOG = 128  # connections
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Bounds(Struct, frozen=True):
    """Limits of connections and of buffered bodies, and the timeouts of the states of a connection."""

    connections: int = 64
    body_bytes: int = 8 * 1024 * 1024
    total_bytes: int = 48 * 1024 * 1024
    idle_timeout_s: float = 30.0
    head_timeout_s: float = 5.0
    body_timeout_s: float = 30.0
    write_timeout_s: float = 30.0


class ConnectionState(enum.Enum):
    """The state of a connection."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    HANDLING = "handling"
    WRITING = "writing"
    CLOSED = "closed"


READING_STATES = (ConnectionState.IDLE, ConnectionState.HEAD, ConnectionState.BODY)


class HttpServer:
    """Listens on one address and passes complete requests to a handler."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handler: Handler, log: Log, bounds: Bounds | None = None
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.log = log
        self.bounds = bounds or Bounds()
        self.connections: set[Connection] = set()
        self.stopping = False
        self._connection_ended = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Start listening; `OSError` if the address cannot be bound."""
        self._server = await self.loop.create_server(
            lambda: Connection(self), *address, reuse_address=True, backlog=ACCEPT_BACKLOG
        )

    def address(self) -> Address:
        """The listening address, with the actual port if port 0 was requested."""
        if self._server is None:
            raise OSError("not listening")
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def stop_accepting(self) -> None:
        """Stop accepting connections, close idle ones now and the others after their response."""
        self.stopping = True
        if self._server:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    async def drain(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` seconds until all open requests are received, handled and answered.

        A request that is still being received is handled too: if it were aborted, the operator could not know
        the outcome of the order.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.connections:
                    self._connection_ended.clear()
                    await self._connection_ended.wait()

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)
        self._connection_ended.set()

    def close(self) -> None:
        """Close the server and abort all connections."""
        self.stop_accepting()
        for connection in list(self.connections):
            connection.abort()

    def admit(self, connection: Connection) -> bool:
        """Add a new connection, at the limit in place of an idle one; returns whether it was added."""
        if len(self.connections) >= self.bounds.connections:
            idle = next((other for other in self.connections if other.state is ConnectionState.IDLE), None)
            if idle is None:
                self.log.warning("operator_connections_exhausted", open=len(self.connections))
                return False
            idle.abort()
        self.connections.add(connection)
        return True

    def buffered_body_bytes(self) -> int:
        """The total size of the bodies that are being received or handled."""
        return sum(connection.body_size for connection in self.connections)


class Connection(asyncio.Protocol):
    """A client connection (asyncio protocol)."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.state = ConnectionState.IDLE
        self.task: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self._reader = self._new_reader()
        self._pipelined = b""  # received after the request that is being handled
        self._timer: asyncio.TimerHandle | None = None
        self._request: Message | None = None
        self._writable = True

    def _new_reader(self) -> MessageReader:
        max_bytes = self.server.bounds.body_bytes
        return MessageReader(httptools.HttpRequestParser, buffer_limit=max_bytes, body_limit=max_bytes)

    @property
    def body_size(self) -> int:
        """The number of body bytes that this connection buffers."""
        message = self._request or self._reader.message
        return message.size if message else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the server, or abort it."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        if self.server.stopping or not self.server.admit(self):
            self.transport.abort()
            return
        self._enter_state(ConnectionState.IDLE)

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the server, and discard any partial request."""
        self._enter_state(ConnectionState.CLOSED)
        self._reader.close()
        self._pipelined = b""
        self.server.remove(self)

    def data_received(self, data: bytes) -> None:
        """Parse the data, or buffer it while a request is handled."""
        if self.state in (ConnectionState.HANDLING, ConnectionState.WRITING):
            self._pipelined += data  # read before reading was paused
        elif self.state is not ConnectionState.CLOSED:
            self._read(data)

    def eof_received(self) -> bool:
        """Keep the connection open while a response is pending: the client may have half-closed it."""
        return self.state in (ConnectionState.HANDLING, ConnectionState.WRITING)

    def pause_writing(self) -> None:
        """Record that the transport's buffer is full."""
        self._writable = False

    def resume_writing(self) -> None:
        """Start the next request if the response is written."""
        self._writable = True
        if self.state is ConnectionState.WRITING:
            self._start_next_request()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being received or handled."""
        if self.state is ConnectionState.IDLE:
            self._close()

    def abort(self) -> None:
        """Abort the connection and its handler."""
        if self.task:
            self.task.cancel()
        if self.transport:
            self.transport.abort()
        self._enter_state(ConnectionState.CLOSED)

    def _close(self) -> None:
        if self.transport:
            self.transport.close()
        self._enter_state(ConnectionState.CLOSED)

    def _read(self, data: bytes) -> None:
        """Parse up to the end of one request, and buffer the bytes that follow."""
        offset = 0
        try:
            while offset < len(data) and not self._reader.completed:
                offset = self._reader.step(data, offset)
        except HttpError as error:
            self._reject(error.status)
            return
        if self._reader.completed:
            self._pipelined = data[offset:]
            self._start_handling(self._reader.completed.pop(0))
        else:
            self._await_data()

    def _await_data(self) -> None:
        message = self._reader.message
        if message is None:
            self._enter_state(ConnectionState.IDLE)
        elif self._reader.in_head:
            self._enter_state(ConnectionState.HEAD)
        else:
            self._receive_body(message)

    def _receive_body(self, message: Message) -> None:
        if self.server.buffered_body_bytes() > self.server.bounds.total_bytes:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE.value)
            return
        if (
            self.state is not ConnectionState.BODY
            and b"expect" in message.fields
            and message.size == 0
            and self.transport
        ):
            self.transport.write(CONTINUE_RESPONSE)
        self._enter_state(ConnectionState.BODY)

    def _reject(self, status: int) -> None:
        """Answer a malformed or unacceptable request, and close the connection."""
        self.server.log.info("operator_request_rejected", status=status)
        if self.transport:
            self.transport.write(encode_response(Response(status), close=True))
        self._close()

    def _start_handling(self, request: Message) -> None:
        self._request = request
        self._enter_state(ConnectionState.HANDLING)
        if self.transport:
            self.transport.pause_reading()
        self.task = self.server.loop.create_task(self._handle(request))

    async def _handle(self, request: Message) -> None:
        try:
            response = await self.server.handler(request)
        except Exception:
            self.server.log.exception("operator_request_failed", path=request.url.decode("latin-1"))
            response = Response(HTTPStatus.INTERNAL_SERVER_ERROR.value)
        self.task = None
        if self.state is ConnectionState.HANDLING and self.transport:
            self._answer(request, response, self.transport)

    def _answer(self, request: Message, response: Response, transport: asyncio.Transport) -> None:
        close = not request.keep_alive or (self.server.stopping and not self._pipelined)
        self._request = None
        self._enter_state(ConnectionState.WRITING)
        transport.write(encode_response(response, close))
        if close:
            transport.close()
        elif self._writable:
            self._start_next_request()

    def _start_next_request(self) -> None:
        """Parse the bytes that were received after the last request, then resume reading."""
        self._enter_state(ConnectionState.IDLE)
        pipelined, self._pipelined = self._pipelined, b""
        if pipelined:
            self._read(pipelined)
        if self.server.stopping:
            self.close_if_idle()
        if self.state in READING_STATES and self.transport:
            self.transport.resume_reading()

    def _enter_state(self, state: ConnectionState) -> None:
        """Enter a state and start its timeout; entering the current state again keeps the running timeout."""
        if state is self.state and self._timer:
            return
        self.state = state
        if self._timer:
            self._timer.cancel()
            self._timer = None
        limits = self.server.bounds
        timeouts_s = {
            ConnectionState.IDLE: limits.idle_timeout_s,
            ConnectionState.HEAD: limits.head_timeout_s,
            ConnectionState.BODY: limits.body_timeout_s,
            ConnectionState.WRITING: limits.write_timeout_s,
        }
        if state in timeouts_s:
            self._timer = self.server.loop.call_later(timeouts_s[state], self._on_timeout)

    def _on_timeout(self) -> None:
        self._timer = None
        if self.state is ConnectionState.IDLE:
            self._close()
        elif self.state in (ConnectionState.HEAD, ConnectionState.BODY):
            self._reject(HTTPStatus.REQUEST_TIMEOUT.value)
        else:
            self.abort()
