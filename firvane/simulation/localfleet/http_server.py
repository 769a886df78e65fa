"""HTTP/1.1 server connection of a stand-in; subclasses handle the requests."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import cast

import httptools

from firvane.core.net.http_message import HttpError, Message
from firvane.core.net.http_reader import MessageReader
from firvane.core.net.http_writer import LAST_CHUNK, frame_chunk, status_line

MAX_BODY = 8 * 1024 * 1024  # bytes of one request
Header = tuple[bytes, bytes]


class ServerConnection(asyncio.Protocol):
    """Handles one request at a time; pipelined requests wait."""

    def __init__(self) -> None:
        self._reader = MessageReader(httptools.HttpRequestParser, MAX_BODY, MAX_BODY)
        self._pending = b""
        self._request: Message | None = None
        self._reading = False
        self.closing = False
        self.transport: asyncio.Transport

    def on_request(self, request: Message) -> None:
        """Handle a complete request; `respond` or `end_stream` ends it."""
        raise NotImplementedError

    def on_answered(self) -> None:
        """Called when a response has been written completely."""

    def on_end(self) -> None:
        """Called when the connection has been lost."""

    @property
    def busy(self) -> bool:
        """Whether a request has not been answered yet."""
        return self._request is not None

    # Responses

    def respond(
        self, status: int, headers: Sequence[Header] = (), body: bytes = b"", *, close: bool = False
    ) -> None:
        """Write a complete response."""
        self._write_head(status, [*headers, (b"Content-Length", b"%d" % len(body))], close)
        self.transport.write(body)
        self._finish(close)

    def begin_stream(self, headers: Sequence[Header], *, close: bool) -> None:
        """Write the head of a chunked response."""
        self._write_head(200, [*headers, (b"Transfer-Encoding", b"chunked")], close)

    def write_chunk(self, piece: bytes) -> None:
        """Write one chunk of a response."""
        self.transport.writelines(frame_chunk([piece], chunked=True))

    def end_stream(self, *, close: bool) -> None:
        """Write the last chunk of a response."""
        self.transport.write(LAST_CHUNK)
        self._finish(close)

    def break_off(self) -> None:
        """Abort the connection, also during a response."""
        self.closing = True
        self._request = None
        self.transport.abort()

    def _write_head(self, status: int, headers: list[Header], close: bool) -> None:
        lines = [b"%s: %s\r\n" % header for header in headers]
        if close:
            lines.append(b"Connection: close\r\n")
        self.transport.write(b"".join([status_line(status), *lines, b"\r\n"]))

    def _finish(self, close: bool) -> None:
        keep = self._request is not None and self._request.keep_alive and not close
        self._request = None
        self.on_answered()
        if not keep:
            self.closing = True
            self.transport.close()
        else:
            self._advance()

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the loss of the connection; called by the event loop."""
        self.closing = True
        self.on_end()
        self._request = None

    def data_received(self, data: bytes) -> None:
        """Parse request bytes."""
        self._pending += data
        self._advance()

    def _advance(self) -> None:
        if self._reading:
            return
        self._reading = True
        while self._pending and not (self.busy or self.closing):
            self._read_some()
        self._reading = False

    def _read_some(self) -> None:
        try:
            read = self._reader.step(self._pending)
        except HttpError as fault:
            self._pending = b""
            self.respond(fault.status, close=True)
            return
        self._pending = self._pending[read:]
        if self._reader.completed:
            self._request = self._reader.completed.pop(0)
            self.on_request(self._request)
