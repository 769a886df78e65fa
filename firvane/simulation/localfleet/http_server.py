"""One HTTP/1.1 connection of a stand-in that serves; what it answers is up to a subclass."""

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
    """Takes one request at a time; what comes behind it waits."""

    def __init__(self) -> None:
        self._reader = MessageReader(httptools.HttpRequestParser, MAX_BODY, MAX_BODY)
        self._pending = b""
        self._request: Message | None = None
        self._reading = False
        self.closing = False
        self.transport: asyncio.Transport

    def on_request(self, request: Message) -> None:
        """Take a complete request; it is over with `respond` or `end_stream`."""
        raise NotImplementedError

    def on_answered(self) -> None:
        """An answer is written completely."""

    def on_end(self) -> None:
        """The connection has ended."""

    @property
    def busy(self) -> bool:
        """Whether a request is here that has not been answered."""
        return self._request is not None

    # Answers

    def respond(
        self, status: int, headers: Sequence[Header] = (), body: bytes = b"", *, close: bool = False
    ) -> None:
        """A complete answer."""
        self._write_head(status, [*headers, (b"Content-Length", b"%d" % len(body))], close)
        self.transport.write(body)
        self._finish(close)

    def begin_stream(self, headers: Sequence[Header], *, close: bool) -> None:
        """The head of an answer in chunks."""
        self._write_head(200, [*headers, (b"Transfer-Encoding", b"chunked")], close)

    def write_chunk(self, piece: bytes) -> None:
        """One chunk of it."""
        self.transport.writelines(frame_chunk([piece], chunked=True))

    def end_stream(self, *, close: bool) -> None:
        """Its end in order."""
        self.transport.write(LAST_CHUNK)
        self._finish(close)

    def break_off(self) -> None:
        """End the connection in the middle of an answer."""
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

    # The transport's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)  # that of uvloop is no subclass

    def connection_lost(self, error: Exception | None) -> None:
        """The client has gone; called by the event loop."""
        self.closing = True
        self.on_end()
        self._request = None

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests."""
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
