"""A small HTTP/1.1 server for operators: few connections, large bodies, bounded memory and time.

Rules that hold here:

1. A connection handles one request at a time. While one is handled, or its answer waits for the client,
   nothing more is read.
2. Bytes that are no request are answered once with their status, and the connection is closed.
3. All connections together hold at most `Bounds.total_bytes` of bodies; beyond that the newest gets 503.
4. Every state of a connection but that of handling a request ends after a time.
5. At the end each request that has been read is answered, also one that stands behind another one.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import Awaitable, Callable
from typing import cast

import httptools
from msgspec import Struct

from firvane.core.address import Address
from firvane.core.logs import Log
from firvane.core.net.http import Fault, Message, Reader
from firvane.fleet.controller.responses import Response, encode_response

Handler = Callable[[Message], Awaitable[Response]]
BACKLOG = 128  # connections that the kernel holds until they are accepted
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Bounds(Struct, frozen=True):
    """What clients may make this server hold, in bytes, and for how long, in seconds."""

    connections: int = 64
    body_bytes: int = 8 * 1024 * 1024
    total_bytes: int = 48 * 1024 * 1024
    idle: float = 30.0
    head: float = 5.0
    body: float = 30.0
    write: float = 30.0


class State(enum.Enum):
    """What a connection does now."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    HANDLING = "handling"
    WRITING = "writing"
    CLOSED = "closed"


class HttpServer:
    """Listens on one address and hands whole requests to one handler."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handler: Handler, log: Log, bounds: Bounds | None = None
    ) -> None:
        self.loop, self.handler, self.log = loop, handler, log
        self.bounds = bounds or Bounds()
        self.connections: set[Connection] = set()
        self.stopping = False
        self._one_ended = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen; `OSError` where the address cannot be had."""
        self._server = await self.loop.create_server(
            lambda: Connection(self), *address, reuse_address=True, backlog=BACKLOG
        )

    def address(self) -> Address:
        """Where it listens; port 0 took any that was free."""
        if self._server is None:
            raise OSError("not listening")
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def stop_accepting(self) -> None:
        """Accept no more connections, end those without a request, and the others after their answer."""
        self.stopping = True
        if self._server:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    async def drain(self, timeout: float) -> None:
        """Wait up to `timeout` seconds for the requests that are received, handled or answered.

        One whose last byte comes only now is handled like the others: its operator would not know what became
        of an order that is cut.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while self.connections:
                    self._one_ended.clear()
                    await self._one_ended.wait()

    def forget(self, connection: Connection) -> None:
        """A connection has ended."""
        self.connections.discard(connection)
        self._one_ended.set()

    def close(self) -> None:
        """End everything at once."""
        self.stop_accepting()
        for connection in list(self.connections):
            connection.abort()

    def admit(self, connection: Connection) -> bool:
        """Take a new connection in, if need be in the place of one that is idle."""
        if len(self.connections) >= self.bounds.connections:
            idle = next((other for other in self.connections if other.state is State.IDLE), None)
            if idle is None:
                self.log.warning("operator_connections_exhausted", open=len(self.connections))
                return False
            idle.abort()
        self.connections.add(connection)
        return True

    def held_bytes(self) -> int:
        """The bytes of all bodies that are being received or handled."""
        return sum(connection.body_size for connection in self.connections)


class Connection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.state = State.IDLE
        self.task: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self._reader = self._new_reader()
        self._rest = b""  # received behind the request that is being handled
        self._timer: asyncio.TimerHandle | None = None
        self._request: Message | None = None
        self._writable = True

    def _new_reader(self) -> Reader:
        most = self.server.bounds.body_bytes
        return Reader(httptools.HttpRequestParser, held=most, most=most)

    @property
    def body_size(self) -> int:
        """The bytes of a body that this connection holds."""
        message = self._request or self._reader.message
        return message.size if message else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # that of uvloop is no subclass
        if self.server.stopping or not self.server.admit(self):
            self.transport.abort()
            return
        self._enter(State.IDLE)

    def connection_lost(self, error: Exception | None) -> None:
        self._enter(State.CLOSED)
        self.server.forget(self)

    def data_received(self, data: bytes) -> None:
        if self.state in (State.HANDLING, State.WRITING):
            self._rest += data  # what had been read when reading was paused
        elif self.state is not State.CLOSED:
            self._read(data)

    def eof_received(self) -> bool:
        """A client that has ended its side still gets the answer to its request."""
        return self.state in (State.HANDLING, State.WRITING)

    def pause_writing(self) -> None:
        self._writable = False

    def resume_writing(self) -> None:
        self._writable = True
        if self.state is State.WRITING:
            self._next()

    def close_if_idle(self) -> None:
        """End the connection unless a request is being received or handled."""
        if self.state is State.IDLE:
            self._close()

    def abort(self) -> None:
        """End the connection at once, whatever is under way."""
        if self.task:
            self.task.cancel()
        if self.transport:
            self.transport.abort()
        self._enter(State.CLOSED)

    def _close(self) -> None:
        if self.transport:
            self.transport.close()
        self._enter(State.CLOSED)

    def _read(self, data: bytes) -> None:
        """Read up to the end of one request; keep what stands behind it."""
        at = 0
        try:
            while at < len(data) and not self._reader.done:
                at = self._reader.step(data, at)
        except Fault as fault:
            self._refuse(fault.status)
            return
        if self._reader.done:
            self._rest = data[at:]
            self._begin(self._reader.done.pop(0))
        else:
            self._await_more()

    def _await_more(self) -> None:
        message = self._reader.message
        if message is None:
            self._enter(State.IDLE)
        elif self._reader.in_head:
            self._enter(State.HEAD)
        else:
            self._receive_body(message)

    def _receive_body(self, message: Message) -> None:
        if self.server.held_bytes() > self.server.bounds.total_bytes:
            self._refuse(503)
            return
        if (
            self.state is not State.BODY
            and b"expect" in message.fields
            and message.size == 0
            and self.transport
        ):
            self.transport.write(CONTINUE)
        self._enter(State.BODY)

    def _refuse(self, status: int) -> None:
        """Answer bytes that cannot be used, and end the connection."""
        self.server.log.info("operator_request_rejected", status=status)
        if self.transport:
            self.transport.write(encode_response(Response(status), close=True))
        self._close()

    def _begin(self, request: Message) -> None:
        self._request = request
        self._enter(State.HANDLING)
        if self.transport:
            self.transport.pause_reading()
        self.task = self.server.loop.create_task(self._handle(request))

    async def _handle(self, request: Message) -> None:
        try:
            response = await self.server.handler(request)
        except Exception:
            self.server.log.exception("operator_request_failed", path=request.url.decode("latin-1"))
            response = Response(500)
        self.task = None
        if self.state is State.HANDLING and self.transport:
            self._answer(request, response, self.transport)

    def _answer(self, request: Message, response: Response, transport: asyncio.Transport) -> None:
        close = not request.keep or (self.server.stopping and not self._rest)
        self._request = None
        self._enter(State.WRITING)
        transport.write(encode_response(response, close))
        if close:
            transport.close()
        elif self._writable:
            self._next()

    def _next(self) -> None:
        """Go on with what was received behind the last request."""
        self._enter(State.IDLE)
        rest, self._rest = self._rest, b""
        if rest:
            self._read(rest)
        if self.server.stopping:
            self.close_if_idle()
        if self.state in (State.IDLE, State.HEAD, State.BODY) and self.transport:
            self.transport.resume_reading()

    def _enter(self, state: State) -> None:
        """Change the state, whose time-out begins; a state that goes on keeps its time-out."""
        if state is self.state and self._timer:
            return
        self.state = state
        if self._timer:
            self._timer.cancel()
            self._timer = None
        limits = self.server.bounds
        spans = {
            State.IDLE: limits.idle,
            State.HEAD: limits.head,
            State.BODY: limits.body,
            State.WRITING: limits.write,
        }
        if state in spans:
            self._timer = self.server.loop.call_later(spans[state], self._expire)

    def _expire(self) -> None:
        self._timer = None
        if self.state is State.IDLE:
            self._close()
        elif self.state in (State.HEAD, State.BODY):
            self._refuse(408)
        else:
            self.abort()
