"""HTTP/1.1 messages, and bodies that are forwarded from one connection to another as they arrive."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from firvane.core.net.connection_checks import PeerOpenCheck, always_true

BytesLike = bytes | bytearray
# Fields that apply to one connection only (RFC 9110, 7.6.1), and the framing, which the proxy writes itself.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class HttpError(Exception):
    """A message that cannot be used.

    Attributes:
        status: The status code to respond with, if the message is a client's request.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Message:
    """One request or response: its start line, its header fields as received, and its body."""

    __slots__ = (
        "body",
        "complete",
        "continue_sent",
        "exceeds_buffer",
        "fields",
        "head_size",
        "headers",
        "is_framed",
        "keep_alive",
        "method",
        "repeated_fields",
        "sender_is_connected",
        "size",
        "status",
        "stream",
        "url",
        "version",
    )

    def __init__(self) -> None:
        self.method = self.url = b""
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.fields: dict[bytes, bytes] = {}  # by lower-case name; the last one if repeated
        self.repeated_fields: list[bytes] = []
        self.body: list[BytesLike] = []
        self.head_size = 0  # bytes of the complete head that count towards its limit
        self.size = 0  # bytes of the body received so far
        self.continue_sent = False  # "100 Continue" was sent to its sender
        self.is_framed = False  # its head defines how its body ends
        self.keep_alive = False
        self.complete = False
        self.version = b"1.1"
        self.exceeds_buffer = False  # its body is not buffered but forwarded as it arrives
        self.stream: Stream | None = None  # the source of the rest of the body
        self.sender_is_connected: PeerOpenCheck = always_true  # for the response

    def content_length(self) -> int | None:
        """Return the bytes of its body by its Content-Length, or None if that is missing or invalid."""
        given = self.fields.get(b"content-length")
        return int(given) if given and given.strip().isdigit() else None

    def take_body(self) -> list[BytesLike]:
        """Remove and return the received part of its body."""
        buffers, self.body = self.body, []
        return buffers

    def end_to_end_fields(self, without: frozenset[bytes] = frozenset()) -> Iterable[bytes]:
        """Yield the parts of the header lines that are forwarded.

        Args:
            without: Lower-case names of further fields to leave out.
        """
        connection_options = self.fields.get(b"connection", b"").lower()
        dropped = HOP_BY_HOP | without
        if connection_options not in (b"", b"close", b"keep-alive"):
            dropped |= {name.strip() for name in connection_options.split(b",")}
        for name, value in self.headers:
            if name.lower() not in dropped:
                yield from (name, b": ", value, b"\r\n")


class Producer(Protocol):
    """The connection on which a body arrives."""

    def set_paused(self, paused: bool) -> None:
        """Pause reading the body, or resume."""


class Consumer(Protocol):
    """The connection to which a body is written."""

    def write_body(self, buffers: list[BytesLike]) -> None:
        """Write more of the body."""

    def end_body(self) -> None:
        """Write the end of the body, after all of its data."""


class Stream:
    """A body that is forwarded from one connection to another, with at most the data of one read in memory.

    Until a consumer is connected, received data is buffered and the producer is paused. From then on the
    consumer pauses the producer whenever the kernel buffer of the consumer is full.
    """

    def __init__(self, producer: Producer) -> None:
        self.producer = producer
        self.consumer: Consumer | None = None
        self.buffers: list[BytesLike] = []
        self.ended = False

    def feed(self, buffers: list[BytesLike]) -> None:
        """Forward more of the body."""
        if not buffers:
            return
        if self.consumer:
            self.consumer.write_body(buffers)
        else:
            self.buffers += buffers
            self.producer.set_paused(True)

    def end(self) -> None:
        """End the body, which is complete."""
        self.ended = True
        if self.consumer:
            self.consumer.end_body()

    def connect(self, consumer: Consumer) -> None:
        """Forward the buffered data, and all later data, to this consumer."""
        buffers, self.buffers = self.buffers, []
        self.consumer = consumer
        if buffers:
            consumer.write_body(buffers)
        if self.ended:
            consumer.end_body()
        else:
            self.producer.set_paused(False)

    def set_paused(self, paused: bool) -> None:
        """Pause the producer, or resume it, as the consumer's buffer fills and drains."""
        if not self.ended:
            self.producer.set_paused(paused)
