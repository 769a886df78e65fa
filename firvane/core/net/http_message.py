"""HTTP/1.1 messages, and bodies that are passed on from one connection to another while they arrive."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from firvane.core.net.connection_checks import PeerOpenCheck, always_true

BytesLike = bytes | bytearray
# Fields that apply to one connection only (RFC 9110, 7.6.1), and the framing, which each side writes anew.
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
        status: The status code of the response, where the message is a client's request.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Message:
    """One request or response: its start line, its header fields as they came, and its body."""

    __slots__ = (
        "body",
        "complete",
        "continue_sent",
        "exceeds_buffer",
        "fields",
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
        self.fields: dict[bytes, bytes] = {}  # by lower-case name; of those repeated, the last
        self.repeated_fields: list[bytes] = []
        self.body: list[BytesLike] = []
        self.size = 0  # bytes of the body received so far
        self.continue_sent = False  # its sender was sent "100 Continue"
        self.is_framed = False  # its head says how its body ends
        self.keep_alive = False
        self.complete = False
        self.version = b"1.1"
        self.exceeds_buffer = False  # its body is not buffered: it is passed on as it arrives
        self.stream: Stream | None = None  # the source of the rest of the body
        self.sender_is_connected: PeerOpenCheck = (
            always_true  # whether its sender still waits for the response
        )

    def content_length(self) -> int | None:
        """Bytes of its body by its header fields, or None where they do not say."""
        given = self.fields.get(b"content-length")
        return int(given) if given and given.strip().isdigit() else None

    def take_body(self) -> list[BytesLike]:
        """Remove and return what has arrived of its body."""
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
    """The connection that a body arrives on."""

    def set_paused(self, paused: bool) -> None:
        """Stop reading the body, or resume."""


class Consumer(Protocol):
    """The connection that a body is written to."""

    def write_body(self, buffers: list[BytesLike]) -> None:
        """Write more of the body."""

    def end_body(self) -> None:
        """Write what ends the body: all of it has been written."""


class Stream:
    """A body that passes from one connection to another, with at most one read of it in memory.

    Until a consumer is connected, what has arrived is buffered and the producer is paused. From then on the
    consumer pauses the producer whenever its own kernel buffer is full.
    """

    def __init__(self, producer: Producer) -> None:
        self.producer = producer
        self.consumer: Consumer | None = None
        self.buffers: list[BytesLike] = []
        self.ended = False

    def feed(self, buffers: list[BytesLike]) -> None:
        """Pass on more of the body."""
        if not buffers:
            return
        if self.consumer:
            self.consumer.write_body(buffers)
        else:
            self.buffers += buffers
            self.producer.set_paused(True)

    def end(self) -> None:
        """The body is complete."""
        self.ended = True
        if self.consumer:
            self.consumer.end_body()

    def connect(self, consumer: Consumer) -> None:
        """Pass what is buffered, and all that arrives, to this consumer."""
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
