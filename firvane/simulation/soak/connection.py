"""A client's HTTP/1.1 connection, with pipelining."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import cast

import httptools

from firvane.core.net.http_message import HttpError, Message
from firvane.core.net.http_reader import MessageReader
from firvane.simulation.localfleet.event_stream import StreamCheck, StreamError
from firvane.simulation.localfleet.http_client import MAX_RESPONSE_BYTES, is_success
from firvane.simulation.soak.records import AttemptEnd, AttemptRecord


class Exchange:
    """One request on a connection and its response."""

    def __init__(self, record: AttemptRecord, body_checksum: int) -> None:
        self.record = record
        self.ended = asyncio.Event()
        self.head_received = asyncio.Event()
        self._stream = StreamCheck(body_checksum)

    def on_head(self, message: Message) -> None:
        """Check the head; raises `StreamError` if the response belongs to another request or has no seal."""
        self.record.status = message.status
        self.head_received.set()
        if is_success(message.status):
            if message.fields.get(b"x-request-id") != self.record.id.encode():
                raise StreamError("response belongs to another request")
            if not message.fields.get(b"x-server-seal"):
                raise StreamError("successful response without a seal")

    def on_body(self, data: bytes) -> None:
        """Check the complete events of a successful response."""
        if is_success(self.record.status):
            self._stream.feed(data)

    def on_complete(self) -> None:
        """Check that the event stream is complete at the regular end of the response."""
        if is_success(self.record.status):
            self._stream.end_response()

    def finish(self, end: AttemptEnd, now: float, detail: str = "") -> None:
        """Record the outcome of the request for its client; later calls don't change it."""
        if self.record.end is None:
            self.record.end, self.record.ended, self.record.detail = end, now, detail
        self.ended.set()


class SoakConnection(asyncio.Protocol):
    """Sends requests until it is closed; assigns each response to the oldest pending request."""

    def __init__(self, loop: asyncio.AbstractEventLoop, router: str) -> None:
        self._loop, self.router = loop, router
        self._reader = MessageReader(httptools.HttpResponseParser, MAX_RESPONSE_BYTES, MAX_RESPONSE_BYTES)
        self._pending: deque[Exchange] = deque()
        self._head_delivered = False
        self.requests = 0
        self.connected_at = loop.time()
        self.closed = False
        self.close_announced = False  # a response announced that the router will close the connection
        self.unsolicited = 0  # responses or invalid data received with no request pending
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass

    def add(self, exchange: Exchange) -> None:
        """Queue a request; `write` sends its bytes."""
        self.requests += 1
        record = exchange.record
        record.router, record.connected, record.number = self.router, self.connected_at, self.requests
        if not self._pending:
            record.previous_response_at = self._loop.time()
        self._pending.append(exchange)

    def write(self, exchange: Exchange, data: bytes, last: bool) -> None:
        """Write a part of a request."""
        now = self._loop.time()
        record = exchange.record
        if self.closed or self.transport.is_closing():
            return
        self.transport.write(data)
        record.sent = min(record.sent, now)
        if last:
            record.sent_completely = now

    def disconnect(self, detail: str) -> None:
        """Close the connection from the client's side, aborting pending requests."""
        now = self._loop.time()
        for exchange in self._pending:
            exchange.finish(AttemptEnd.LEFT, now, detail)
        self._abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail all pending requests; a response without a length is complete now (RFC 9112, 6.3)."""
        message = self._reader.message
        if error is None and message and not message.is_framed and not self._reader.in_head:
            self._complete(message)
        self.closed = True
        for exchange in self._pending:
            exchange.finish(AttemptEnd.BROKEN, self._loop.time(), f"connection ended ({error or 'closed'})")
        self._pending.clear()

    def data_received(self, data: bytes) -> None:
        """Parse response bytes."""
        try:
            self._reader.feed(data)
            self._process_responses()
        except (HttpError, StreamError) as error:
            self._fail_response(
                f"invalid HTTP response ({error})" if isinstance(error, HttpError) else str(error)
            )

    def _process_responses(self) -> None:
        while self._reader.completed:
            self._deliver(self._reader.completed[0])
            self._complete(self._reader.completed.pop(0))
        if self._reader.message and not self._reader.in_head:
            self._deliver(self._reader.message)

    def _deliver(self, message: Message) -> None:
        if not self._pending:
            self.unsolicited += 1
            return
        exchange = self._pending[0]
        if not self._head_delivered:
            self._head_delivered = True
            if len(self._pending) > 1:
                self._pending[1].record.previous_head_at = self._loop.time()
            self.close_announced = self.close_announced or not message.keep_alive
            exchange.on_head(message)
        if pieces := message.take_body():
            exchange.on_body(b"".join(pieces))

    def _complete(self, message: Message) -> None:
        self._head_delivered = False
        if not self._pending:
            return
        exchange = self._pending[0]
        exchange.on_complete()
        self._pending.popleft()
        now = self._loop.time()
        exchange.finish(AttemptEnd.WHOLE, now)
        if self._pending:
            self._pending[0].record.previous_response_at = now

    def _fail_response(self, detail: str) -> None:
        if self._pending:
            self._pending.popleft().finish(AttemptEnd.WRONG, self._loop.time(), detail)
        else:
            self.unsolicited += 1
        self.disconnect("an earlier response on the connection was wrong")

    def _abort(self) -> None:
        self.closed = True
        self._pending.clear()
        self.transport.abort()
