"""The clients' side of HTTP/1.1: a connection that passes answers on as they come, and single calls."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from firvane.core.address import Address
from firvane.core.net.http_message import BytesLike, HttpError, Message
from firvane.core.net.http_reader import MessageReader

MAX_ANSWER_BYTES = 16 * 1024 * 1024


def is_success(status: int) -> bool:
    """Whether a status is a success (RFC 9110, 15.3); False for 0, where no head has come."""
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES


class AnswerSink(Protocol):
    """Who waits for an answer."""

    def on_head(self, message: Message) -> None:
        """Status and header fields are here."""

    def on_body(self, pieces: list[BytesLike]) -> None:
        """More of the body is here."""

    def on_complete(self, message: Message) -> None:
        """The answer has ended in order."""

    def on_broken(self, reason: str) -> None:
        """No more of it will come."""


class ClientConnection(asyncio.Protocol):
    """One connection; a request at a time."""

    def __init__(self) -> None:
        self._reader = MessageReader(httptools.HttpResponseParser, MAX_ANSWER_BYTES, MAX_ANSWER_BYTES)
        self._sink: AnswerSink | None = None
        self._head_passed = False
        self.closed = False
        self.unasked = 0  # bytes that came while no request was waiting
        self.transport: asyncio.Transport

    def send(self, request: bytes, sink: AnswerSink) -> None:
        """Write a request; its answer goes to the sink."""
        self._sink, self._head_passed = sink, False
        self.transport.write(request)

    def abandon(self) -> None:
        """Nobody waits for the answer any more: the connection ends."""
        self._sink = None
        self.close()

    def close(self) -> None:
        """End the connection."""
        self.closed = True
        self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)  # that of uvloop is no subclass

    def connection_lost(self, error: Exception | None) -> None:
        """End the answer under way: complete if it has no length (RFC 9112, 6.3), else broken."""
        self.closed = True
        message = self._reader.message
        if error is None and message and not message.is_framed and not self._reader.in_head:
            self._complete(message)
        else:
            self._break("connection lost")

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer; bytes while none is due close the connection."""
        if self._sink is None:
            self.unasked += len(data)
            self.close()
            return
        try:
            self._reader.feed(data)
        except HttpError as fault:
            self.close()
            self._break(f"bytes that are no answer ({fault.status})")
            return
        self._pass_on()

    def _pass_on(self) -> None:
        done = self._reader.completed
        message = done[0] if done else self._reader.message
        if message is None or self._sink is None or (not done and self._reader.in_head):
            return
        if not self._head_passed:
            self._head_passed = True
            self._sink.on_head(message)
        if self._sink and (pieces := message.take_body()):
            self._sink.on_body(pieces)
        if done:
            done.pop(0)
            if done or self._reader.message:
                self.unasked += 1
                self.close()
            self._complete(message)

    def _complete(self, message: Message) -> None:
        if not message.keep_alive:
            self.close()
        sink, self._sink = self._sink, None
        if sink:
            sink.on_complete(message)

    def _break(self, reason: str) -> None:
        sink, self._sink = self._sink, None
        if sink:
            sink.on_broken(reason)


@dataclass(frozen=True, slots=True)
class Response:
    """A complete answer; header names are in lower case."""

    status: int
    headers: Mapping[bytes, bytes]
    body: bytes


class _ResponseCollector:
    """Gathers one answer."""

    def __init__(self, future: asyncio.Future[Response]) -> None:
        self._future = future
        self._body: list[BytesLike] = []

    def on_head(self, message: Message) -> None:
        pass

    def on_body(self, pieces: list[BytesLike]) -> None:
        self._body += pieces

    def on_complete(self, message: Message) -> None:
        if not self._future.done():
            self._future.set_result(Response(message.status, message.fields, b"".join(self._body)))

    def on_broken(self, reason: str) -> None:
        if not self._future.done():
            self._future.set_exception(ConnectionError(reason))


async def fetch(
    address: Address,
    target: str,
    *,
    method: str = "GET",
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
    timeout: float,
) -> Response:
    """One call on a connection of its own; `timeout` is in seconds.

    Raises:
        OSError: it gets no complete answer.
        TimeoutError: it gets none in time.
    """
    loop = asyncio.get_running_loop()
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address[0]}:{address[1]}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join([*lines, "", ""]).encode()
    async with asyncio.timeout(timeout):
        _, connection = await loop.create_connection(ClientConnection, *address)
        try:
            future: asyncio.Future[Response] = loop.create_future()
            connection.send(head + body, _ResponseCollector(future))
            return await future
        finally:
            connection.abandon()
