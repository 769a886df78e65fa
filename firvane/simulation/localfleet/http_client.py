"""HTTP/1.1 client: connections that deliver responses incrementally, and single calls."""

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

MAX_RESPONSE_BYTES = 16 * 1024 * 1024


def is_success(status: int) -> bool:
    """Whether a status is a success (RFC 9110, 15.3); False for 0, which means no head yet."""
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES


class ResponseSink(Protocol):
    """Receives a response."""

    def on_head(self, message: Message) -> None:
        """Called when status and header fields have arrived."""

    def on_body(self, pieces: list[BytesLike]) -> None:
        """Called when more of the body has arrived."""

    def on_complete(self, message: Message) -> None:
        """Called when the response is complete."""

    def on_broken(self, reason: str) -> None:
        """Called when the response was cut off."""


class ClientConnection(asyncio.Protocol):
    """One connection; sends one request at a time."""

    def __init__(self) -> None:
        self._reader = MessageReader(httptools.HttpResponseParser, MAX_RESPONSE_BYTES, MAX_RESPONSE_BYTES)
        self._sink: ResponseSink | None = None
        self._head_delivered = False
        self.closed = False
        self.unexpected_bytes = 0  # received with no request pending
        self.transport: asyncio.Transport

    def send(self, request: bytes, sink: ResponseSink) -> None:
        """Write a request; the sink receives its response."""
        self._sink, self._head_delivered = sink, False
        self.transport.write(request)

    def abandon(self) -> None:
        """Close the connection without waiting for the response."""
        self._sink = None
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self.closed = True
        self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass

    def connection_lost(self, error: Exception | None) -> None:
        """End the current response: complete if it has no length (RFC 9112, 6.3), otherwise broken."""
        self.closed = True
        message = self._reader.message
        if error is None and message and not message.is_framed and not self._reader.in_head:
            self._complete(message)
        else:
            self._fail("connection lost")

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; bytes with no request pending close the connection."""
        if self._sink is None:
            self.unexpected_bytes += len(data)
            self.close()
            return
        try:
            self._reader.feed(data)
        except HttpError as fault:
            self.close()
            self._fail(f"invalid HTTP response ({fault.status})")
            return
        self._deliver()

    def _deliver(self) -> None:
        done = self._reader.completed
        message = done[0] if done else self._reader.message
        if message is None or self._sink is None or (not done and self._reader.in_head):
            return
        if not self._head_delivered:
            self._head_delivered = True
            self._sink.on_head(message)
        if self._sink and (pieces := message.take_body()):
            self._sink.on_body(pieces)
        if done:
            done.pop(0)
            if done or self._reader.message:
                self.unexpected_bytes += 1
                self.close()
            self._complete(message)

    def _complete(self, message: Message) -> None:
        if not message.keep_alive:
            self.close()
        sink, self._sink = self._sink, None
        if sink:
            sink.on_complete(message)

    def _fail(self, reason: str) -> None:
        sink, self._sink = self._sink, None
        if sink:
            sink.on_broken(reason)


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[bytes, bytes]
    body: bytes


class _ResponseCollector:
    """Collects one response."""

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
    """Make one call on a new connection; `timeout` is in seconds.

    Raises:
        OSError: no complete response was received.
        TimeoutError: no complete response was received in time.
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
