"""An incremental parser of HTTP/1.1 messages, with bounds on everything that is kept in memory."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from firvane.core.net.http_message import HttpError, Message
from firvane.core.net.request_scan import END_OF_HEAD

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser
MAX_BODY_BYTES = 64 * 1024  # of a body that is buffered
MAX_STREAMED_BODY_BYTES = 32 * 1024 * 1024  # of a body that is forwarded as it arrives
MAX_HEAD_BYTES = 16 * 1024
MAX_HEADER_FIELDS = 128  # a field of two bytes takes a hundred times as much memory once parsed
MAX_LENGTH_DIGITS = 12  # of a Content-Length
CHUNK_OVERHEAD = 6  # maximum bytes of framing per byte of a body: a chunk of one byte has five
CHUNKED_STEP_BYTES = 1024  # of a chunked body that are parsed in one step
STREAMED_STEP_BYTES = 8 * CHUNKED_STEP_BYTES  # the same if the body is forwarded as it arrives
SMALL_BUFFER_BYTES = (
    1024  # shorter body data is merged: a separate buffer would take more memory than the data
)
MAX_READ_BYTES = 16 * 1024  # read from a connection at once; the rest waits in the kernel
READ_BUFFER = memoryview(bytearray(MAX_READ_BYTES))  # shared by all connections, and copied from at once
LF = b"\n"
HTTP_BAD_REQUEST = 400
HTTP_CONTENT_TOO_LARGE = 413
HTTP_HEADERS_TOO_LARGE = 431


class BoundedReadProtocol(asyncio.BufferedProtocol):
    """A connection that reads at most `MAX_READ_BYTES` at once."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into (asyncio)."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Process the data that was read (asyncio)."""
        self.data_received(bytes(READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process bytes that were read."""
        raise NotImplementedError


class MessageReader:
    """Parses messages. Complete ones are queued in `completed`; `step` raises on malformed ones.

    The caller of `step` decides how far to parse: a step parses at most to the end of one message, however
    the data is split, so that data that is not needed yet stays unparsed, which takes the least memory. Only
    after the end of a response a step may parse further.

    The parser's callbacks only collect data: an exception of the proxy's own code would otherwise be reported
    by the parser as an error of the peer.

    Attributes:
        raw_size: Bytes of the message that is being parsed, including its framing.
        tail: The last three of these bytes: an empty line may be split across reads.
        message: The message that is being parsed.
        in_head: Whether the head of the message is incomplete.
        closed: Whether the reader is closed.
        head_limit: Bytes of a head; longer ones are an error.
        target_allowance: Bytes of a request's target that do not count towards `head_limit`.
        trailer_allowance: Bytes of trailers and chunk extensions beside the head, if it has `MAX_HEAD_BYTES`.
        raw_head_size: Bytes of the head of the latest message, with those of the same read that follow it.
        max_fields: Number of header fields; more are an error.
        head_step_lines: Lines of a head that are parsed in one step; 0 for no bound.
    """

    def __init__(
        self,
        parser: Callable[[object], Parser],
        buffer_limit: int = MAX_BODY_BYTES,
        body_limit: int = MAX_STREAMED_BODY_BYTES,
    ) -> None:
        """Create a reader.

        Args:
            parser: Makes the parser, for requests or for responses.
            buffer_limit: Bytes of a body; longer ones are forwarded as they arrive (`exceeds_buffer`).
            body_limit: Bytes of a body; longer ones are an error.
        """
        self._parser = parser(self)
        self.buffer_limit, self.body_limit = buffer_limit, body_limit
        self.raw_size = 0
        self.tail = b""
        self.message: Message | None = None
        self.in_head = False
        self.completed: list[Message] = []
        self.closed = False
        self.head_limit = MAX_HEAD_BYTES
        self.target_allowance = 0
        self.trailer_allowance = 0
        self.raw_head_size = 0
        self.max_fields = MAX_HEADER_FIELDS
        self.head_step_lines = 0

    def step(self, data: bytes, start: int = 0) -> int:
        """Parse `data` from `start`, at most to the end of a message.

        Returns:
            The offset in `data` up to which it was parsed.

        Raises:
            HttpError: The message is malformed or exceeds a limit.
        """
        end = self._step_end(data, start)
        self.raw_size += end - start
        try:
            self._parser.feed_data(data[start:end] if end - start < len(data) else data)
        except httptools.HttpParserUpgrade:
            # An offer to switch protocols may be ignored, but what follows it cannot be parsed.
            if self.completed:
                self.completed[-1].keep_alive = False
            return len(data)
        except httptools.HttpParserCallbackError as error:
            raise _as_http_error(error.__context__) from None
        except httptools.HttpParserError:
            raise HttpError(HTTP_BAD_REQUEST) from None
        self.tail = (self.tail + data[max(start, end - 3) : end])[-3:] if self.message else b""
        if self.message:
            # Bounds endless heads, chunk extensions and trailers: data that the parser itself buffers or
            # skips is not counted elsewhere.
            if self.raw_size > self._framing_bound() + (1 + CHUNK_OVERHEAD) * self.message.size:
                raise HttpError(HTTP_HEADERS_TOO_LARGE if self.in_head else HTTP_CONTENT_TOO_LARGE)
        elif not self.completed:  # empty lines between messages
            self.raw_size = 0
        return end

    def _framing_bound(self) -> int:
        """Return how many bytes of the message may be no data of its body."""
        if self.in_head:
            return self.head_limit + self.target_allowance
        return max(MAX_HEAD_BYTES, self.raw_head_size + self.trailer_allowance)

    def _step_end(self, data: bytes, start: int) -> int:
        """Return the offset up to which the next step may parse."""
        message, end = self.message, len(data)
        if message and not self.in_head and b"content-length" in message.fields:
            return min(end, start + max(1, int(message.fields[b"content-length"]) - message.size))
        if self.in_unsized_body():
            streamed = message is not None and message.exceeds_buffer
            end = min(end, start + (STREAMED_STEP_BYTES if streamed else CHUNKED_STEP_BYTES))
        # A head ends with an empty line, and so does a chunked body. A step must not parse beyond that body:
        # the next request would begin before this one is accepted, and be taken for a part of it. Responses
        # are not pipelined.
        if not (message and message.status):
            seam = (self.tail + data[start : start + 3]).find(END_OF_HEAD) if self.tail else -1
            if seam >= 0:
                end = min(end, start + seam + len(END_OF_HEAD) - len(self.tail))
            elif (found := data.find(END_OF_HEAD, start, end)) >= 0:
                end = found + len(END_OF_HEAD)
            if self.head_step_lines and (message is None or self.in_head):
                end = self._head_step_end(data, start, end)
        return end

    def _head_step_end(self, data: bytes, start: int, end: int) -> int:
        """Return `end`, or the offset after as many lines of a head as may be parsed in one step."""
        if data.count(LF, start, end) > self.head_step_lines:
            end = start
            for _ in range(self.head_step_lines):
                end = data.find(LF, end) + 1
        return end

    def in_unsized_body(self) -> bool:
        """Return whether a body of unknown length is being parsed, where each byte may be a chunk."""
        message = self.message
        return message is not None and not self.in_head and b"content-length" not in message.fields

    def close(self) -> None:
        """Drop all messages, complete or not; `step` must not be called any more."""
        self.message, self.raw_size = None, 0
        self.completed.clear()
        if not self.closed:
            self.closed = True
            del self._parser  # its callbacks refer to the reader

    def feed(self, data: bytes) -> None:
        """Parse all of `data`; raises `HttpError` as `step` does."""
        at = 0
        while at < len(data):
            at = self.step(data, at)

    def on_message_begin(self) -> None:
        """Begin a message (parser callback)."""
        self.message, self.in_head = Message(), True

    def on_url(self, url: bytes) -> None:
        """Add to the request target (parser callback)."""
        if self.message:
            self.message.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field (parser callback); trailers are dropped."""
        if self.message and self.in_head:
            value = value.strip(b" \t")  # the parser leaves trailing white space
            self.message.headers.append((name, value))
            if len(self.message.headers) > self.max_fields:
                raise HttpError(HTTP_HEADERS_TOO_LARGE)
            key = name.lower()
            if key in self.message.fields:
                self.message.repeated_fields.append(key)
            self.message.fields[key] = value

    def on_headers_complete(self) -> None:
        """Check the head (parser callback)."""
        self.in_head = False
        self.raw_head_size = self.raw_size
        message = self.message
        if message is None:
            return
        target_size = max(0, len(message.url) - self.target_allowance)
        message.head_size = target_size + sum(len(name) + len(value) + 4 for name, value in message.headers)
        if message.head_size > self.head_limit:
            raise HttpError(HTTP_HEADERS_TOO_LARGE)
        message.is_framed = b"content-length" in message.fields or b"transfer-encoding" in message.fields
        length = message.fields.get(b"content-length", b"0").strip()
        if length.isdigit() and int(length) > self.buffer_limit:
            if len(length) > MAX_LENGTH_DIGITS or int(length) > self.body_limit:
                raise HttpError(HTTP_CONTENT_TOO_LARGE)
            message.exceeds_buffer = True
        if isinstance(self._parser, httptools.HttpResponseParser):
            message.status = self._parser.get_status_code()
        else:
            message.method = self._parser.get_method()
            message.version = self._parser.get_http_version().encode()

    def on_body(self, body: bytes) -> None:
        """Add to the body (parser callback)."""
        message = self.message
        if message is None:
            return
        message.size += len(body)
        if message.size > self.buffer_limit:
            if message.size > self.body_limit:
                raise HttpError(HTTP_CONTENT_TOO_LARGE)
            message.exceeds_buffer = True
        last = message.body[-1] if message.body else None
        if isinstance(last, bytearray) and len(last) < SMALL_BUFFER_BYTES:
            last += body
        else:
            message.body.append(body if len(body) >= SMALL_BUFFER_BYTES else bytearray(body))

    def on_message_complete(self) -> None:
        """Queue the message (parser callback)."""
        if self.message:
            self.message.keep_alive = self._parser.should_keep_alive()
            self.message.complete = True
            self.completed.append(self.message)
            self.message, self.raw_size = None, 0


def _as_http_error(cause: BaseException | None) -> HttpError:
    """Return a new error with the status of `cause`, whose own traceback would keep the message."""
    return HttpError(cause.status if isinstance(cause, HttpError) else HTTP_BAD_REQUEST)
