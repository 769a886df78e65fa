"""One watch on discovery: a chunked HTTP response, which is split into JSON objects.

Invariants:

1. A watch ends once, in `DiscoveryWatch.end`, whatever the reason: its connection, a malformed line, a
   timeout, another address, a stop. After that no received data is processed, not even earlier data.
2. An endpoint list is one JSON object on one or more lines: lines are joined until its brackets are closed. A
   line that cannot be part of an object, or an object that is too large, ends the watch at once. Empty lines
   between objects are heartbeats.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import cast

import httptools

from firvane.proxy.limits.discovery_timing import WatchProgress
from firvane.proxy.net.endpoint_list import EndpointListError

JSON_PLAIN_BYTES = b" \t\r:,+-.0123456789Eaeflnrstu"  # in an object, outside of strings and brackets
HTTP_OK = 200


def scan_brackets(lines: list[bytes]) -> list[bytes | None]:
    """Return the brackets outside of strings for each line; None for a line that cannot be part of JSON.

    A JSON string never spans lines, so that each line is scanned only once.
    """
    parts = b"\n".join(lines).replace(b"\\\\", b"").replace(b'\\"', b"").split(b'"')  # every second: a string
    marks = b"".join(parts[::2]).translate(None, JSON_PLAIN_BYTES)
    bad = len(parts) % 2 == 0 or marks.translate(None, b"{}[]\n") or b"\n" in b"".join(parts[1::2])
    if not bad:
        return list(marks.split(b"\n"))
    return [None] if len(lines) == 1 else [mark for line in lines for mark in scan_brackets([line])]


class JsonObjectSplitter:
    """Splits the body of discovery's response into JSON objects of one or more lines."""

    def __init__(self, max_bytes: int) -> None:
        """Create a splitter for objects of at most `max_bytes`."""
        self.max_bytes = max_bytes
        self.partial_line = bytearray()
        self.partial_object = bytearray()
        self.open_brackets = 0  # of the partial object

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the objects that these bytes complete, malformed lines, and the empty lines between objects.

        Raises:
            EndpointListError: An object is too large.
        """
        *ends, rest = data.split(b"\n")
        if ends:
            self._check_size(len(self.partial_line) + len(ends[0]))
            ends[0] = bytes(self.partial_line) + ends[0]
            self.partial_line.clear()
        for line, brackets in zip(ends, scan_brackets(ends) if ends else [], strict=True):
            if not self.open_brackets and line.lstrip()[:1] != b"{":
                yield line  # a heartbeat, or malformed
                continue
            self._check_size(len(line))
            self.partial_object += line
            if brackets is not None:  # else the object is malformed, whatever follows
                self.open_brackets += 2 * (brackets.count(b"{") + brackets.count(b"[")) - len(brackets)
                if self.open_brackets > 0:
                    self.partial_object += b"\n"
                    continue
            complete = bytes(self.partial_object)
            self.partial_object.clear()
            self.open_brackets = 0
            yield complete
        self._check_size(len(self.partial_line) + len(rest))
        self.partial_line += rest

    def _check_size(self, size: int) -> None:
        """Raise `EndpointListError` if `size` more bytes would make the object too large."""
        if len(self.partial_object) + size > self.max_bytes:
            raise EndpointListError(
                f"a line of more than the {self.max_bytes} bytes that fit in limits.memory_mb"
            )


class DiscoveryWatch(asyncio.Protocol):
    """The protocol of one watch on discovery.

    Attributes:
        received: Body data of the bytes that are being parsed.
        head_complete: The head of the response is complete.
        response_complete: The response has ended.
        over: The watch has ended.
        progress: The times at which parts of the response arrived.
    """

    def __init__(
        self,
        request: bytes,
        max_bytes: int,
        on_line: Callable[[bytes], None],
        on_end: Callable[[str], None],
        clock: Callable[[], float] = float,
    ) -> None:
        """Create a watch.

        Args:
            request: The HTTP request that opens the watch.
            max_bytes: Bytes that one object may have.
            on_line: Called with each object, and with each empty line between objects.
            on_end: Called once with the reason for the end of the watch.
            clock: Loop time in s.
        """
        self.request, self.on_line, self.on_end, self.clock = request, on_line, on_end, clock
        self.parser = httptools.HttpResponseParser(self)
        self.splitter = JsonObjectSplitter(max_bytes)
        self.received = list[bytes]()
        self.head_complete = self.response_complete = False
        self.transport: asyncio.Transport | None = None
        self.over = False
        self.progress = WatchProgress(clock(), None, None, None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)
        if self.over:  # ended while connecting
            self.transport.abort()
            return
        self.progress = self.progress._replace(requested_at=self.clock())
        self.transport.write(self.request)

    def on_headers_complete(self) -> None:
        """Note the end of the head (parser callback)."""
        self.head_complete = True

    def on_body(self, body: bytes) -> None:
        """Gather body data (parser callback)."""
        if not self.response_complete:
            self.received.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the response, which ends the watch even if its connection stays open."""
        self.response_complete = True

    def data_received(self, data: bytes) -> None:
        """Parse part of the response (asyncio)."""
        if self.over:
            return
        self.progress = self.progress._replace(last_byte_at=self.clock())
        try:
            self.parser.feed_data(data)
            if self.head_complete and self.parser.get_status_code() != HTTP_OK:
                self.end(f"discovery responded with status {self.parser.get_status_code()}, not 200")
                return
            received, self.received = self.received, []
            for line in self.splitter.feed(b"".join(received)):
                self.progress = self.progress._replace(last_line_at=self.clock())
                self.on_line(line)
                if self.over:  # ended by `on_line`
                    return
            if self.response_complete:
                self.end("the response ended")
        except (httptools.HttpParserError, EndpointListError) as error:
            self.end(str(error) or type(error).__name__)
        except BaseException:  # from the callback `on_line`: the list may be partly applied
            self.end("a line could not be processed")
            raise

    def connection_lost(self, error: Exception | None) -> None:
        """End the watch with its connection (asyncio)."""
        self.end("the connection was closed")

    def end(self, why: str) -> None:
        """End the watch, once; no more lines are reported after that."""
        if self.over:
            return
        self.over = True
        if self.transport:
            self.transport.abort()
        self.on_end(why)
