"""A client's connection that may hold several requests at once, one behind the other."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import cast

import httptools

from firvane.core.net.http_message import HttpError, Message
from firvane.core.net.http_reader import MessageReader
from firvane.simulation.localfleet.event_stream import StreamCheck, StreamError
from firvane.simulation.localfleet.http_client import MAX_ANSWER_BYTES, is_success
from firvane.simulation.soak.records import AttemptEnd, AttemptRecord


class Exchange:
    """One request on a connection, and the answer that comes for it."""

    def __init__(self, record: AttemptRecord, digest: int) -> None:
        self.record = record
        self.ended = asyncio.Event()
        self.begun = asyncio.Event()  # the head of the answer is here
        self._stream = StreamCheck(digest)

    def on_head(self, message: Message) -> None:
        """Check the head; an answer that belongs to another request is wrong."""
        self.record.status = message.status
        self.begun.set()
        if is_success(message.status):
            if message.fields.get(b"x-request-id") != self.record.id.encode():
                raise StreamError("an answer to another request")
            if not message.fields.get(b"x-server-seal"):
                raise StreamError("a success without a seal")

    def on_body(self, data: bytes) -> None:
        """Check the complete events."""
        if is_success(self.record.status):
            self._stream.feed(data)

    def on_complete(self) -> None:
        """The answer has ended in order."""
        if is_success(self.record.status):
            self._stream.end_answer()

    def finish(self, end: AttemptEnd, now: float, detail: str = "") -> None:
        """The end of the request for its client; only the first one counts."""
        if self.record.end is None:
            self.record.end, self.record.ended, self.record.detail = end, now, detail
        self.ended.set()


class SoakConnection(asyncio.Protocol):
    """Takes requests until it ends; answers belong to the oldest request without one."""

    def __init__(self, loop: asyncio.AbstractEventLoop, router: str) -> None:
        self._loop, self.router = loop, router
        self._reader = MessageReader(httptools.HttpResponseParser, MAX_ANSWER_BYTES, MAX_ANSWER_BYTES)
        self._waiting: deque[Exchange] = deque()
        self._head_passed = False
        self.requests = 0
        self.made = loop.time()
        self.closed = False
        self.asked_to_close = False  # an answer said that it is the last
        self.unasked = 0  # bytes that came while no request was waiting
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)  # that of uvloop is no subclass

    def add(self, exchange: Exchange) -> None:
        """A request begins; its bytes are written by `write`."""
        self.requests += 1
        record = exchange.record
        record.router, record.connected, record.number = self.router, self.made, self.requests
        if not self._waiting:
            record.turn = self._loop.time()
        self._waiting.append(exchange)

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

    def leave(self, detail: str) -> None:
        """The client closes the connection, whatever is under way."""
        now = self._loop.time()
        for exchange in self._waiting:
            exchange.finish(AttemptEnd.LEFT, now, detail)
        self._end()

    def connection_lost(self, error: Exception | None) -> None:
        """End all requests under way; an answer without a length is complete now (RFC 9112, 6.3)."""
        message = self._reader.message
        if error is None and message and not message.is_framed and not self._reader.in_head:
            self._complete(message)
        self.closed = True
        for exchange in self._waiting:
            exchange.finish(AttemptEnd.BROKEN, self._loop.time(), f"connection ended ({error or 'closed'})")
        self._waiting.clear()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answers."""
        try:
            self._reader.feed(data)
            self._pass_on()
        except (HttpError, StreamError) as error:
            self._wrong(f"bytes that are no answer ({error})" if isinstance(error, HttpError) else str(error))

    def _pass_on(self) -> None:
        while self._reader.completed:
            self._tell(self._reader.completed[0])
            self._complete(self._reader.completed.pop(0))
        if self._reader.message and not self._reader.in_head:
            self._tell(self._reader.message)

    def _tell(self, message: Message) -> None:
        if not self._waiting:
            self.unasked += 1
            return
        exchange = self._waiting[0]
        if not self._head_passed:
            self._head_passed = True
            if len(self._waiting) > 1:
                self._waiting[1].record.head_before = self._loop.time()
            self.asked_to_close = self.asked_to_close or not message.keep_alive
            exchange.on_head(message)
        if pieces := message.take_body():
            exchange.on_body(b"".join(pieces))

    def _complete(self, message: Message) -> None:
        self._head_passed = False
        if not self._waiting:
            return
        exchange = self._waiting[0]
        exchange.on_complete()
        self._waiting.popleft()
        now = self._loop.time()
        exchange.finish(AttemptEnd.WHOLE, now)
        if self._waiting:
            self._waiting[0].record.turn = now

    def _wrong(self, detail: str) -> None:
        if self._waiting:
            self._waiting.popleft().finish(AttemptEnd.WRONG, self._loop.time(), detail)
        else:
            self.unasked += 1
        self.leave("after a wrong answer")

    def _end(self) -> None:
        self.closed = True
        self._waiting.clear()
        self.transport.abort()
