"""One connection to a backend: a request on its way, the answer that comes back, and whose that is.

Rules of an exchange and its connection:

1. An exchange ends once. Who cancels it hears nothing more of it; its connection is closed with it, since
   that is how a backend learns that nobody waits.
2. A request is written once its last byte is with the kernel. A break before that never ran; one after it may
   have run.
3. An answer counts for the exchange only where it echoes the request's id. One with another id belongs to an
   earlier exchange and is read and dropped. One without any id belongs to nobody: the exchange may have run.
4. A connection is used again only after an exchange in perfect order: the request written whole, one answer,
   framed and complete, and not a byte beside it. A request that was turned away on it never uses it again: if
   the refusal comes a second time, its id would pass for the answer to the second try.
5. Of a stream only whole events are passed on (`firvane.fleet.router.events`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeAlias, cast

import httptools

from firvane.core.address import Address
from firvane.core.net.connection_checks import Quiet
from firvane.core.net.http import Buffered, Fault, Message, Piece, Reader, Stream, forward_head
from firvane.core.net.upstream_exchange import UpstreamRun, close_idle
from firvane.core.terminations import Termination
from firvane.fleet.router.events import EventFramer
from firvane.fleet.router.requests import DEADLINE, REQUEST_ID, ProxiedRequest
from firvane.fleet.tenancy.keys import PRIVATE_FIELDS

HELD_ANSWER = 64 * 1024  # bytes of an answer that is no stream and is held until it is whole
MAX_ANSWER = 64 * 1024 * 1024  # bytes of one answer
MAX_REFUSED = 256  # requests turned away on one connection before it is closed
MAX_INTERIM = 8  # 1xx answers, or answers to earlier requests, before the one that is waited for
DEFAULT_IDLE = 8.0  # s that an idle connection is kept where the backend names no time
SILENCE_FACTOR = 2.0  # of the longest pause aimed at: a resumable stream silent for longer is given up
MIN_SILENCE = 0.35  # s, and never sooner than that
PROGRESS_INTERVAL = 0.05  # s between reports of a backend's progress at the least
STREAM_TYPE = b"text/event-stream"
REPLACED_FIELDS = frozenset((DEADLINE, b"x-target-instance", b"priority", b"expect-version"))
RESUMED_FIELDS = frozenset((b"last-event-id",))


class Connections(Protocol):
    """What a connection needs of the pools that it belongs to."""

    loop: asyncio.AbstractEventLoop
    connections: int
    streams: dict[UpstreamConnection, None]
    on_progress: Callable[[str], None]
    may_continue: Callable[[ProxiedRequest], bool]

    def park(self, connection: UpstreamConnection, answer: Message | None = None) -> None:
        """Keep an idle connection for the next exchange."""


class Pool:
    """One backend: its address, whether it takes new requests, and its idle connections, newest last."""

    def __init__(self, backend: str, address: Address) -> None:
        self.backend, self.address = backend, address
        self.ready = True
        self.idle: list[UpstreamConnection] = []
        self.idle_limit = DEFAULT_IDLE
        self.progress_at = 0.0  # when progress of its streams was last reported

    def take(self, request_id: bytes) -> UpstreamConnection | None:
        """The newest idle connection that may carry this request; what is no longer usable is closed."""
        for position in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[position]
            if not connection.usable():
                del self.idle[position]
                connection.close()
            elif request_id not in connection.refused:
                del self.idle[position]
                return connection
        return None

    def close_idle(self, before: float = float("inf")) -> None:
        """Close the connections that have been idle since before a loop time."""
        close_idle(self.idle, before)


# An exchange on its way to a backend: a name for the type, `UpstreamRun` itself is made.
Run: TypeAlias = UpstreamRun[ProxiedRequest, "UpstreamConnection", Pool]


class UpstreamConnection(Buffered):
    """One connection to a backend; it is in its pool whenever it is idle."""

    def __init__(self, upstreams: Connections, pool: Pool, quiet: Quiet) -> None:
        self.upstreams, self.pool, self.quiet = upstreams, pool, quiet
        self.reader = Reader(httptools.HttpResponseParser, HELD_ANSWER, MAX_ANSWER)
        self.run: Run | None = None
        self.written = True  # the last byte of the request is with the kernel
        self.skipped = 0  # answers passed over since the request was sent
        self.refused: set[bytes] = set()  # requests that were turned away on this connection
        self.stream: Stream | None = None  # the answer that is being passed on
        self.framer: EventFramer | None = None  # where that is a stream of events
        self.idle_since = 0.0
        self.moved = 0.0  # when bytes of the answer last came
        self.held = False  # the client takes no more of it now
        self.lost = False
        self.transport: asyncio.Transport

    # Life of the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        self.upstreams.connections -= 1
        self.reader.drop()
        self._stop_streaming()
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        run, self.run = self.run, None
        if run:
            run.end(Termination.BROKEN_AFTER_SENT if self.written else Termination.BROKEN_BEFORE_SENT)

    def eof_received(self) -> None:
        message = self.reader.message
        if self.run and message and not self.reader.in_head and not message.framed and self.stream:
            self._complete(message)  # a body that lasts until the connection ends
        else:
            self.close()

    def usable(self) -> bool:
        """Whether nothing has come on it while idle, neither bytes nor its end."""
        return not self.lost and not self.transport.is_closing() and self.quiet()

    def close(self) -> None:
        if not self.lost:
            self.transport.abort()

    # Sending

    def send(self, run: Run, now: float) -> None:
        """Write a run's request; the time that is left goes with it."""
        request = run.request
        left_ms = max(1, int((run.exchange.deadline - now) * 1000))
        fields = [
            b"X-Deadline-Ms: %d\r\n" % left_ms,
            b"X-Target-Instance: %s\r\n" % self.pool.backend.encode(),
            b"Priority: %d\r\n" % min(9, max(0, request.priority)),
        ]
        without = REPLACED_FIELDS
        if request.is_private:
            without |= PRIVATE_FIELDS
        if request.tenant is not None:
            fields.append(b"X-Tenant: %s\r\n" % request.tenant)
        if request.last_event_id is not None:
            without |= RESUMED_FIELDS
            fields.append(b"Last-Event-Id: %d\r\n" % request.last_event_id)
        host = b"%s:%d" % (self.pool.address[0].encode(), self.pool.address[1])
        self.run, run.connection = run, self
        request.note_sent()
        self.written, self.skipped, self.moved = False, 0, now
        head = forward_head(request.message, host, without, fields)
        self.transport.writelines([*head, *request.message.body])
        self._note_written()

    def resume_writing(self) -> None:
        if self.run and not self.written:
            self._note_written()

    def _note_written(self) -> None:
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self.written = True
            if self.run:
                self.run.exchange.on_request_sent()

    # Receiving

    def data_received(self, data: bytes) -> None:
        if self.run is None:
            self.close()  # nothing was asked for
            return
        self.moved = self.upstreams.loop.time()
        if self.stream and self.moved >= self.pool.progress_at + PROGRESS_INTERVAL:
            self.pool.progress_at = self.moved
            self.upstreams.on_progress(self.pool.backend)
        at = 0
        while at < len(data) and self.run:
            try:
                at = self.reader.step(data, at)
            except Fault:
                self._fail(Termination.BAD_RESPONSE)
                return
            if not self._read_on(at < len(data)):
                return

    def _read_on(self, followed: bool) -> bool:
        """Act on what has been read; whether the exchange goes on."""
        done = self.reader.done
        message = done[0] if done else self.reader.message
        if message is None or (not done and self.reader.in_head):
            return True
        if self._belongs_elsewhere(message):
            return self._skip(message, followed)
        if REQUEST_ID not in message.fields:
            self._fail(Termination.BAD_RESPONSE)
            return False
        starts = self.stream is None and 200 <= message.status < 300 and self._is_passed_on(message)
        if starts and not self._begin(message):
            return False
        if self.stream:
            self._feed(message)
        if message.complete:
            followed = followed or len(done) > 1 or self.reader.message is not None
            done.clear()
            self._complete(message, followed)
            return False
        return True

    def _belongs_elsewhere(self, message: Message) -> bool:
        run = self.run
        if message.status < 200:
            return True
        echoed = message.fields.get(REQUEST_ID)
        return run is not None and echoed is not None and echoed != run.request.request_id

    def _skip(self, message: Message, followed: bool) -> bool:
        message.taken()
        if not message.complete:
            return True
        self.reader.done.pop(0)
        self.skipped += 1
        if self.skipped > MAX_INTERIM or message.status == 101 or not message.keep:
            self._fail(Termination.BAD_RESPONSE)
            return False
        return self._read_on(followed)

    def _is_passed_on(self, message: Message) -> bool:
        """Whether an answer goes to the client as it comes, and not only once it is whole."""
        kind = message.fields.get(b"content-type", b"")
        length = message.length()
        return kind.startswith(STREAM_TYPE) or length is None or length > HELD_ANSWER

    def _begin(self, message: Message) -> bool:
        run = self.run
        if run is None:
            return False
        message.stream = self.stream = Stream(self)
        if message.fields.get(b"content-type", b"").startswith(STREAM_TYPE):
            self.framer = EventFramer(run.request.last_event_id)
        self.upstreams.streams[self] = None
        run.exchange.on_response_started(message)
        return self.run is run

    def _feed(self, message: Message) -> None:
        pieces = message.taken()
        if self.framer:
            whole = self.framer.feed(b"".join(pieces))
            pieces = [whole] if whole else []
            self._count_events()
        if self.stream and pieces:
            self.stream.feed(pieces)

    def _count_events(self) -> None:
        if self.run and self.framer and self.framer.last_id is not None:
            self.run.request.last_event_id = self.framer.last_id

    def _complete(self, message: Message, followed: bool = False) -> None:
        """An answer is whole."""
        if self.stream:
            self._feed(message)
            rest: Piece = self.framer.finish() if self.framer else b""
            if rest:
                self.stream.feed([rest])
            self.stream.end()
        run, self.run = self.run, None
        self._stop_streaming()
        ending = answer_ending(message)
        if run and ending is Termination.REJECTED:
            self.refused.add(run.request.request_id)
            run.request.note_turned_away()
        is_clean = message.framed and self.written and not (followed or self.skipped)
        reusable = message.keep and is_clean and len(self.refused) <= MAX_REFUSED
        if reusable and not self.lost and not self.transport.is_closing():
            self.upstreams.park(self, message)
        else:
            self.close()
        if run:
            run.end(ending, message)

    def _fail(self, ending: Termination) -> None:
        run, self.run = self.run, None
        self._stop_streaming()
        self.close()
        if run:
            run.end(ending)

    def _stop_streaming(self) -> None:
        if self.stream:
            self.stream = self.framer = None
            self.upstreams.streams.pop(self, None)
        self.held = False

    def hold(self, held: bool) -> None:
        """The client takes no more of the answer, or more again."""
        if held is not self.held and not self.lost and not self.transport.is_closing():
            self.held, self.moved = held, self.upstreams.loop.time()
            (self.transport.pause_reading if held else self.transport.resume_reading)()

    def check_silence(self, now: float) -> None:
        """Give up a resumable stream that has been silent for far longer than its pauses should last.

        Only where another backend takes it up: silence alone is no reason to end an answer sooner.
        """
        run = self.run
        if run is None or self.held or not run.request.route.stream_resume:
            return
        longest = max(MIN_SILENCE, SILENCE_FACTOR * run.request.route.gap_aim_ms / 1000)
        if now > self.moved + longest and self.upstreams.may_continue(run.request):
            self._fail(Termination.DEADLINE_EXCEEDED)


def answer_ending(message: Message) -> Termination:
    """What an answer means by its head."""
    if 200 <= message.status < 300:
        return Termination.SERVED
    if message.status == 421:
        return Termination.REJECTED
    if b"x-not-executed" in message.fields:
        return Termination.REJECTED
    return Termination.SERVER_ERROR
