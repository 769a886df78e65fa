"""HTTP/1.1 as both sides of the proxy share it: messages gathered, heads written in pieces."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

import httptools

from firvane.core.net.connection_checks import Stands, always

Piece = bytes | bytearray
Parser = httptools.HttpRequestParser | httptools.HttpResponseParser
MAX_BODY = 64 * 1024
MOST = 32 * 1024 * 1024  # of a body that is passed on as it comes: longer than MAX_BODY, or of unknown length
MAX_HEAD = 16 * 1024
MAX_FIELDS = 128  # a field of two bytes costs a hundred times as many once it is read
CHUNK_COST = 6  # bytes of framing that a byte of a body may bring: a chunk of one has five
CHUNKS = 1024  # bytes of a body in chunks that are read in one step
MORE_CHUNKS = 8 * CHUNKS  # the same where it is passed on
SMALL = 1024  # body pieces below are gathered: each on its own would cost more than it holds
END_OF_HEAD = b"\r\n\r\n"
# What holds for one connection only, and the framing, which each side writes anew.
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


class Fault(Exception):  # noqa: N818 - the peer's fault, and an ordinary event here
    """A message that cannot be used; `status` is what a client is told of its own."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Message:
    """One message: its target, its header fields as they came, and its body."""

    __slots__ = (
        "body",
        "complete",
        "continued",
        "fields",
        "framed",
        "headers",
        "keep",
        "long",
        "method",
        "repeated",
        "size",
        "status",
        "stream",
        "url",
        "version",
        "wanted",
    )

    def __init__(self) -> None:
        self.method = self.url = b""
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.fields: dict[bytes, bytes] = {}  # by lower-case name; of those repeated, the last
        self.repeated: list[bytes] = []
        self.body: list[Piece] = []
        self.size = 0
        self.continued = False  # its sender has been told to go on
        self.framed = False
        self.keep = False
        self.complete = False
        self.version = b"1.1"
        self.long = False  # it is more than is held: whoever reads it passes it on
        self.stream: Stream | None = None  # where the rest of it comes from
        self.wanted: Stands = always  # whether whoever sent it still waits for what comes of it

    def length(self) -> int | None:
        """Bytes of its body, where they are announced."""
        given = self.fields.get(b"content-length")
        return int(given) if given and given.strip().isdigit() else None

    def taken(self) -> list[Piece]:
        """What of its body is here, which is from now on the caller's."""
        pieces, self.body = self.body, []
        return pieces

    def passed_on(self, without: frozenset[bytes] = frozenset()) -> Iterable[bytes]:
        """The pieces of the header fields that go beyond this connection."""
        named = self.fields.get(b"connection", b"").lower()
        held_back = HOP_BY_HOP | without
        if named not in (b"", b"close", b"keep-alive"):
            held_back |= {name.strip() for name in named.split(b",")}
        for name, value in self.headers:
            if name.lower() not in held_back:
                yield from (name, b": ", value, b"\r\n")


class Producer(Protocol):
    """Where a body comes from."""

    def hold(self, held: bool) -> None:
        """Read no more of it for the time being, or go on."""


class Consumer(Protocol):
    """Where it goes."""

    def more(self, pieces: list[Piece]) -> None: ...

    def last(self) -> None:
        """That was all of it."""


class Stream:
    """A body on its way from one connection to another, through a window that is as long as one read.

    Until there is a consumer what has come is held, and no more is read; from then on it is the consumer that
    holds the producer whenever its own kernel takes no more.
    """

    def __init__(self, producer: Producer) -> None:
        self.producer = producer
        self.consumer: Consumer | None = None
        self.pieces: list[Piece] = []
        self.over = False

    def feed(self, pieces: list[Piece]) -> None:
        if not pieces:
            return
        if self.consumer:
            self.consumer.more(pieces)
        else:
            self.pieces += pieces
            self.producer.hold(True)

    def end(self) -> None:
        self.over = True
        if self.consumer:
            self.consumer.last()

    def pour(self, consumer: Consumer) -> None:
        """All that is here, and all that comes, goes to this consumer."""
        pieces, self.pieces = self.pieces, []
        self.consumer = consumer
        if pieces:
            consumer.more(pieces)
        if self.over:
            consumer.last()
        else:
            self.producer.hold(False)

    def choke(self, choked: bool) -> None:
        """The consumer takes no more, or more again."""
        if not self.over:
            self.producer.hold(choked)


def framed(pieces: list[Piece], chunked: bool) -> list[Piece]:
    """Pieces of a body as they go out."""
    if not chunked:
        return pieces
    return [b"%x\r\n" % sum(map(len, pieces)), *pieces, b"\r\n"]


LAST_CHUNK = b"0\r\n\r\n"
READ = 16 * 1024  # bytes taken from a connection at once; what nobody has looked at yet waits in the kernel
BUFFER = memoryview(bytearray(READ))  # read into by all connections in turn, and emptied at once


class Buffered(asyncio.BufferedProtocol):
    """A connection that takes in no more at once than can be looked at."""

    def get_buffer(self, sizehint: int) -> memoryview:
        return BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        raise NotImplementedError


class Reader:
    """Collects messages from bytes cut anywhere. Complete ones queue in `done`; faults are raised by `step`.

    Whoever feeds it decides how far: a step reads to the end of one message at the most, wherever it is cut,
    so that what nobody has asked for yet stays as bytes, which cost least. An answer's may go beyond.

    The parser's callbacks only collect: an exception in the middle of the proxy's own work would otherwise
    come out of the parser as a fault of the peer.
    """

    def __init__(self, parser: Callable[[object], Parser], held: int = MAX_BODY, most: int = MOST) -> None:
        """A body of more than `held` bytes makes a message long; one of more than `most` is a fault."""
        self._parser = parser(self)
        self.held, self.most = held, most
        self.raw = 0  # bytes of the message that is being read, its framing included
        self.tail = b""  # the last three of them: an empty line may be cut
        self.message: Message | None = None
        self.in_head = False
        self.done: list[Message] = []

    def step(self, data: bytes, start: int = 0) -> int:
        """Read on, up to the end of a message; where it stopped. `Fault` where it makes no sense."""
        message, end = self.message, len(data)
        if message and not self.in_head and b"content-length" in message.fields:
            end = min(end, start + max(1, int(message.fields[b"content-length"]) - message.size))
        else:
            if self.in_chunks():
                end = min(end, start + (MORE_CHUNKS if message and message.long else CHUNKS))
            # A head ends with an empty line, and so does a body in chunks. Guards that body against a step
            # that goes on behind its end: the next request would begin before this one is taken up, and pass
            # for more of it. Behind an answer nothing is taken up.
            if not (message and message.status):
                seam = (self.tail + data[start : start + 3]).find(END_OF_HEAD) if self.tail else -1
                if seam >= 0:
                    end = min(end, start + seam + len(END_OF_HEAD) - len(self.tail))
                elif (found := data.find(END_OF_HEAD, start, end)) >= 0:
                    end = found + len(END_OF_HEAD)
        self.raw += end - start
        try:
            self._parser.feed_data(data[start:end] if end - start < len(data) else data)
        except httptools.HttpParserUpgrade:
            # An offer to switch protocols may be passed over, but what follows it is no longer ours to parse.
            if self.done:
                self.done[-1].keep = False
            return len(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, Fault) else Fault(400) from None
        except httptools.HttpParserError:
            raise Fault(400) from None
        self.tail = (self.tail + data[max(start, end - 3) : end])[-3:] if self.message else b""
        if self.message:
            # Guards against a head, an extension of a chunk or trailers without an end: what the parser
            # itself gathers or passes over is counted nowhere else.
            if self.raw > MAX_HEAD + (1 + CHUNK_COST) * self.message.size:
                raise Fault(431 if self.in_head else 413)
        elif not self.done:  # empty lines between messages
            self.raw = 0
        return end

    def in_chunks(self) -> bool:
        """Whether what comes next is a body whose length nobody knows: a byte of it may cost a chunk."""
        message = self.message
        return message is not None and not self.in_head and b"content-length" not in message.fields

    def drop(self) -> None:
        """Forget what is half read; nothing more will come."""
        self.message, self.raw = None, 0
        self.done.clear()

    def feed(self, data: bytes) -> None:
        """Read all of it, whatever it holds."""
        at = 0
        while at < len(data):
            at = self.step(data, at)

    def on_message_begin(self) -> None:
        self.message, self.in_head = Message(), True

    def on_url(self, url: bytes) -> None:
        if self.message:
            self.message.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.message and self.in_head:  # fields after a chunked body are dropped
            value = value.strip(b" \t")  # white space behind it is none of it, and the parser leaves it
            self.message.headers.append((name, value))
            if len(self.message.headers) > MAX_FIELDS:
                raise Fault(431)
            key = name.lower()
            if key in self.message.fields:
                self.message.repeated.append(key)
            self.message.fields[key] = value

    def on_headers_complete(self) -> None:
        self.in_head = False
        message = self.message
        if message is None:
            return
        head = len(message.url) + sum(len(name) + len(value) + 4 for name, value in message.headers)
        if head > MAX_HEAD:
            raise Fault(431)
        message.framed = b"content-length" in message.fields or b"transfer-encoding" in message.fields
        length = message.fields.get(b"content-length", b"0").strip()
        if length.isdigit() and int(length) > self.held:
            if len(length) > 12 or int(length) > self.most:
                raise Fault(413)
            message.long = True
        if isinstance(self._parser, httptools.HttpResponseParser):
            message.status = self._parser.get_status_code()
        else:
            message.method = self._parser.get_method()
            message.version = self._parser.get_http_version().encode()

    def on_body(self, body: bytes) -> None:
        message = self.message
        if message is None:
            return
        message.size += len(body)
        if message.size > self.held:
            if message.size > self.most:
                raise Fault(413)
            message.long = True
        last = message.body[-1] if message.body else None
        if isinstance(last, bytearray) and len(last) < SMALL:
            last += body
        else:
            message.body.append(body if len(body) >= SMALL else bytearray(body))

    def on_message_complete(self) -> None:
        if self.message:
            self.message.keep = self._parser.should_keep_alive()
            self.message.complete = True
            self.done.append(self.message)
            self.message, self.raw = None, 0


REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
STATUS_LINES = {code: b"HTTP/1.1 %d %s\r\n" % (code, reason) for code, reason in REASONS.items()}
CLOSE = b"Connection: close\r\n"
TENANT, AGAIN = b"\nx-caller:", b"\nx-again: 1\r"


def status_line(status: int) -> bytes:
    return STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status


def framing(length: int | None) -> bytes:
    """The field that says how a body that is passed on ends."""
    return b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length


def answer_head(message: Message, chunked: bool, close: bool) -> list[Piece]:
    """The head of an answer whose body follows as it comes; neither framed nor chunked, it ends with all."""
    pieces: list[Piece] = [status_line(message.status), *message.passed_on()]
    length = message.length()
    if chunked or length is not None:
        pieces.append(framing(length))
    if close:
        pieces.append(CLOSE)
    pieces.append(b"\r\n")
    return pieces


BUDGET_FIELD = frozenset((b"x-budget-ms",))


def request_head(request: Message, budget_ms: int, host: bytes) -> list[bytes]:
    """The head of a forward: all that is the client's own passes, the time left is written anew."""
    return forward_head(request, host, BUDGET_FIELD, (b"X-Budget-Ms: %d\r\n" % budget_ms,))


def forward_head(
    request: Message, host: bytes, without: frozenset[bytes], written: Iterable[bytes]
) -> list[bytes]:
    """The head of a forward: the client's fields but for those `without`, and the lines `written` anew."""
    pieces = [request.method, b" ", request.url, b" HTTP/1.1\r\n"]
    if b"host" not in request.fields:
        pieces += (b"Host: ", host, b"\r\n")
    pieces += request.passed_on(without)
    pieces += written
    if request.stream:
        pieces.append(framing(request.length()))
    elif request.framed:
        pieces.append(b"Content-Length: %d\r\n" % request.size)
    pieces.append(b"\r\n")
    return pieces


def answer(status: int, body: list[Piece], size: int, close: bool, headers: Iterable[bytes]) -> list[Piece]:
    """A whole answer in pieces."""
    pieces: list[Piece] = [status_line(status), *headers, b"Content-Length: %d\r\n" % size]
    if close:
        pieces.append(CLOSE)
    pieces.append(b"\r\n")
    pieces += body
    return pieces


def bare_tenant(data: bytes) -> bytes | None:
    """The tenant that these bytes name, where they are one whole request without a body.

    None where they are anything else, or may be, or the last: only the parser can tell. This and `is_again`
    are on the way of every refusal in an overload, so they look for bytes and make nothing.
    """
    if data.find(END_OF_HEAD) != len(data) - len(END_OF_HEAD) or not data.startswith(b"GET /"):
        return None
    lower = data.lower()
    if (
        b"\ncontent-length:" in lower
        or b"\ntransfer-encoding:" in lower
        or b"\nconnection:" in lower
        or b"\nexpect:" in lower
        or b"\nupgrade:" in lower
        or b" HTTP/1.1\r\n" not in data
        or data.startswith(b"GET /up ")
    ):
        return None
    at = lower.find(TENANT)
    if at < 0:
        return b""
    at += len(TENANT)
    return data[at : data.find(b"\r", at)].strip()


def bare_class(data: bytes) -> bytes:
    """The class that the path of such a request names."""
    end = data.find(b" ", 5)
    return data[5:end].split(b"?", 1)[0].split(b"/", 1)[0]


def unescaped(text: bytes) -> bytes:
    """A part of a path with what is percent-encoded in it decoded; as it is where that makes no sense."""
    first, *rest = text.split(b"%")
    try:
        return first + b"".join(bytes.fromhex(part[:2].decode()) + part[2:] for part in rest)
    except ValueError:
        return text


def is_again(data: bytes) -> bool:
    """Whether a request says that it is a retry."""
    return AGAIN in data.lower()


def refusals(retry_after: float, most: float) -> list[bytes]:
    """Whole refusals to be given in turn, spread so that those who are refused do not return as one.

    `retry_after` is their mean in seconds, where none is above `most`.
    """
    if retry_after <= 0:
        return [b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 8\r\n\r\nrefused\n"]
    return [
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.3f\r\nContent-Length: 8\r\n\r\nrefused\n"
        % min(most, retry_after * (0.53 + step / 16))
        for step in (3, 11, 7, 15, 1, 9, 5, 13, 0, 8, 4, 12, 2, 10, 6, 14)
    ]
