"""One connection to a backend: sends a request, reads the response, and matches responses to requests.

Invariants of an exchange and its connection:

1. An exchange ends once. After a cancel nothing more is reported for it, and its connection is closed, which
   tells the backend that the response is no longer wanted.
2. A request counts as written once its last byte is in the kernel. If the connection breaks before that, the
   request has not run; if it breaks later, the request may have run.
3. A response belongs to the exchange only if it echoes the request's id. A response with another id belongs
   to an earlier exchange; it is read and dropped. A response without an id fails the exchange, and the
   request may have run.
4. A connection is reused only after a clean exchange: the request was written completely, and exactly one
   framed, complete response was received without any further bytes. A rejected request is never sent again
   on the same connection: if the rejection were repeated, its id would match the second attempt.
5. Only complete events of a stream are forwarded (`firvane.fleet.router.events`), and the head is forwarded
   together with the first event: before an event has been received, no response has begun.
6. A response that has begun can be resumed only by an event stream (`firvane.fleet.router.resumption`) that
   has at least one new event and ends after a complete event; otherwise the exchange fails.
7. A response that ends with its connection is complete only if its backend still runs (`end_check`), and an
   event stream only after at least one event, and between events: the connection of a backend that was killed
   ends in the same way. Otherwise it has broken.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol, TypeAlias, cast

import httptools

from firvane.core.net.connection_checks import NoInputCheck
from firvane.core.net.http_message import BytesLike, HttpError, Message, Stream
from firvane.core.net.http_reader import BoundedReadProtocol, MessageReader
from firvane.core.net.http_writer import format_forwarded_head
from firvane.core.net.upstream_exchange import UpstreamRun
from firvane.core.terminations import Termination
from firvane.core.turn_budget import TurnBudget, step_units
from firvane.fleet.router.connection_pool import Pool
from firvane.fleet.router.end_check import EndCheck
from firvane.fleet.router.events import EventFramer, UnknownPositionError
from firvane.fleet.router.requests import DEADLINE, REQUEST_ID, ProxiedRequest
from firvane.fleet.router.responses import (
    MAX_BUFFERED_RESPONSE_BYTES,
    STATUS_OK,
    is_streamed,
    is_success,
    response_termination,
)
from firvane.fleet.router.resumption import is_event_stream
from firvane.fleet.tenancy.keys import PRIVATE_FIELDS

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_REJECTED_IDS = 256  # a connection with more rejected requests is closed
MAX_SKIPPED_RESPONSES = 8  # interim (1xx) responses and responses to earlier requests
STALL_TIMEOUT_FACTOR = 2.0  # ratio to the route's target gap between events
MIN_STALL_TIMEOUT_S = 0.35
PROGRESS_INTERVAL_S = 0.05  # minimum interval between progress reports of a backend
LOWEST_PRIORITY = 9
REPLACED_FIELDS = frozenset((DEADLINE, b"x-target-instance", b"priority", b"expect-version"))
RESUMED_FIELDS = frozenset((b"last-event-id",))
STATUS_SWITCHING_PROTOCOLS = 101
METHOD_HEAD = b"HEAD"  # its response has no body (RFC 9110, 9.3.2)


class ConnectionOwner(Protocol):
    """Interface of `Upstreams` for its connections."""

    loop: asyncio.AbstractEventLoop
    connections: int
    responses_cut_off: int
    streams: dict[UpstreamConnection, None]
    turns: TurnBudget
    on_progress: Callable[[str], None]
    may_resume: Callable[[ProxiedRequest], bool]

    def return_to_pool(self, connection: UpstreamConnection, response: Message | None = None) -> None:
        """Return an idle connection to its pool."""

    def start_end_check(
        self, pool: BackendPool, on_result: Callable[[bool], None]
    ) -> EndCheck[UpstreamConnection]:
        """Check whether a backend still runs, and report it to `on_result` later."""


BackendPool: TypeAlias = Pool["UpstreamConnection"]
# An attempt on a backend. The alias is only for annotations; `UpstreamRun` itself is constructed.
Run: TypeAlias = UpstreamRun[ProxiedRequest, "UpstreamConnection", BackendPool]


class UpstreamConnection(BoundedReadProtocol):
    """One connection to a backend; idle connections are in the pool.

    Attributes:
        run: The run in progress.
        written: Whether the last byte of the run's request is in the kernel.
        skipped_responses: Number of responses dropped since the request was sent.
        rejected_ids: Ids of the requests that the backend rejected on this connection.
        stream: Body of the streamed response, once its head has been forwarded.
        framer: Splits the body into events if it is an event stream.
        idle_since: Loop time at which the connection became idle.
        last_data_at: Loop time at which response data was last received.
        unparsed: Received bytes; those from `position` on are not parsed yet.
        paused: Whether the stream is paused, since the client reads too slowly.
        is_reading: Whether reading from the transport is active.
        end_check: The check of the backend after a response that ended with its connection.
        at_end: Whether the backend has ended the connection.
        closed: Whether the connection is closed.
    """

    def __init__(self, upstreams: ConnectionOwner, pool: BackendPool, has_no_input: NoInputCheck) -> None:
        """`has_no_input` returns whether the socket has neither unread data nor an end of file."""
        self.upstreams, self.pool, self.has_no_input = upstreams, pool, has_no_input
        self.reader = MessageReader(
            httptools.HttpResponseParser, MAX_BUFFERED_RESPONSE_BYTES, MAX_RESPONSE_BYTES
        )
        self.run: Run | None = None
        self.written = True
        self.skipped_responses = 0
        self.rejected_ids: set[bytes] = set()
        self.stream: Stream | None = None
        self.framer: EventFramer | None = None
        self.idle_since = 0.0
        self.last_data_at = 0.0
        self.unparsed = b""
        self.position = 0
        self.paused = False
        self.is_reading = True
        self.end_check: EndCheck[UpstreamConnection] | None = None
        self.at_end = False
        self.closed = False
        self.transport: asyncio.Transport

    # Connection lifecycle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)

    def connection_lost(self, error: Exception | None) -> None:
        """End the run in progress, and remove the connection from its pool (asyncio)."""
        self.closed = True
        while self.has_work:
            self.step()
        self.upstreams.connections -= 1
        self._cancel_end_check()
        self.reader.close()
        self._end_stream()
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        run, self.run = self.run, None
        if run:
            run.end(Termination.BROKEN_AFTER_SENT if self.written else Termination.BROKEN_BEFORE_SENT)

    def eof_received(self) -> bool:
        """Check the backend if the end may be that of a body without framing, or close (asyncio).

        Returns whether the connection stays open until that check has ended.
        """
        message = self.reader.message
        self.at_end = True
        if self.end_check:
            return True  # the end was read again
        is_unframed = message is not None and not self.reader.in_head and not message.is_framed
        if self.run is None or message is None or not is_unframed or not self._is_forwarding():
            self.close()
        elif self.stream and (self.framer is None or self.framer.may_end(is_framed=False)):
            self.end_check = self.upstreams.start_end_check(self.pool, partial(self._on_end_checked, message))
        else:
            self._on_cut_off()
        return self.end_check is not None

    def _is_forwarding(self) -> bool:
        """Return whether a streamed response is in progress, whose head may not have been forwarded yet."""
        return self.stream is not None or self.framer is not None

    def _on_end_checked(self, message: Message, is_running: bool) -> None:
        """Complete a body without framing if its backend still runs; otherwise close."""
        self.end_check = None
        if self.run is None or self.closed:
            return
        if is_running:
            self._complete(message)
        else:
            self._on_cut_off()

    def _on_cut_off(self) -> None:
        self.upstreams.responses_cut_off += 1
        self.close()

    def _cancel_end_check(self) -> None:
        end_check, self.end_check = self.end_check, None
        if end_check:
            end_check.cancel()

    def is_usable(self) -> bool:
        """Return whether an idle connection is open and has received neither data nor an end of file."""
        return not self.closed and not self.transport.is_closing() and self.has_no_input()

    def close(self) -> None:
        """Abort the connection."""
        if not self.closed:
            self.transport.abort()

    # Sending

    def send(self, run: Run, now: float) -> None:
        """Write the request of a run, with its remaining time as the deadline."""
        request = run.request
        remaining_ms = max(1, int((run.exchange.deadline - now) * 1000))
        fields = [
            b"X-Deadline-Ms: %d\r\n" % remaining_ms,
            b"X-Target-Instance: %s\r\n" % self.pool.backend.encode(),
            b"Priority: %d\r\n" % min(LOWEST_PRIORITY, max(0, request.priority)),
        ]
        removed_fields = REPLACED_FIELDS
        if request.is_private:
            removed_fields |= PRIVATE_FIELDS
        if request.tenant is not None:
            fields.append(b"X-Tenant: %s\r\n" % request.tenant)
        if request.progress.last_event_id is not None:
            removed_fields |= RESUMED_FIELDS
            fields.append(b"Last-Event-Id: %d\r\n" % request.progress.last_event_id)
        host = b"%s:%d" % (self.pool.address[0].encode(), self.pool.address[1])
        self.run, run.connection = run, self
        request.record_sent()
        self.written, self.skipped_responses, self.last_data_at = False, 0, now
        head = format_forwarded_head(request.message, host, removed_fields, fields)
        self.transport.writelines([*head, *request.message.body])
        self._check_written()

    def resume_writing(self) -> None:
        """Report the request as written if the write buffer is empty (asyncio)."""
        if self.run and not self.written:
            self._check_written()

    def _check_written(self) -> None:
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self.written = True
            if self.run:
                self.run.exchange.on_request_sent()

    # Receiving

    def data_received(self, data: bytes) -> None:
        """Buffer response data, and parse it within the turn budget (asyncio)."""
        if self.run is None:
            self.close()  # unsolicited bytes
            return
        self.last_data_at = self.upstreams.loop.time()
        if self.stream and self.last_data_at >= self.pool.progress_at + PROGRESS_INTERVAL_S:
            self.pool.progress_at = self.last_data_at
            self.upstreams.on_progress(self.pool.backend)
        self.unparsed = self.unparsed[self.position :] + data if self.unparsed else data
        self.position = 0
        self.upstreams.turns.submit(self)
        self._update_reading()

    @property
    def has_work(self) -> bool:
        """Whether there is unparsed response data for a run in progress."""
        return self.position < len(self.unparsed) and self.run is not None

    @property
    def priority(self) -> int:
        """Priority of the request in progress; the lowest number is the most urgent."""
        return self.run.request.priority if self.run else 0

    def step(self) -> int:
        """Parse the next part of the response, and return its cost (see `TurnBudget`)."""
        start = self.position
        is_chunked = self.reader.in_unsized_body()
        try:
            self.position = self.reader.step(self.unparsed, start)
        except HttpError:
            self._fail(Termination.BAD_RESPONSE)
            self._drop_unparsed()
            return 1
        units = step_units(self.position - start, is_chunked)
        is_active = self._process_response(self.position < len(self.unparsed))
        if not is_active or self.position == len(self.unparsed):
            self._drop_unparsed()
        return units

    def _drop_unparsed(self) -> None:
        self.unparsed, self.position = b"", 0
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause reading while the stream is paused or there is unparsed data; resume it otherwise."""
        should_read = not (self.paused or self.unparsed)
        is_open = not (self.closed or self.at_end or self.transport.is_closing())
        if should_read is not self.is_reading and is_open:
            self.is_reading = should_read
            (self.transport.resume_reading if should_read else self.transport.pause_reading)()

    def _process_response(self, has_more_data: bool) -> bool:
        """Handle the parsed part of a response, and return whether the run is still in progress.

        `has_more_data`: whether bytes follow the parsed part.
        """
        complete_messages = self.reader.completed
        message = complete_messages[0] if complete_messages else self.reader.message
        if message is None or (not complete_messages and self.reader.in_head):
            return True
        if self._is_unrelated_response(message):
            return self._skip(message, has_more_data)
        if REQUEST_ID not in message.fields:
            self._fail(Termination.BAD_RESPONSE)
            return False
        if is_success(message) and not self._forward(message):
            return False
        if message.complete:
            has_more_data = has_more_data or len(complete_messages) > 1 or self.reader.message is not None
            complete_messages.clear()
            self._complete(message, has_more_data)
            return False
        return True

    def _is_unrelated_response(self, message: Message) -> bool:
        """Return whether a response is interim (1xx) or belongs to an earlier request."""
        run = self.run
        if message.status < STATUS_OK:
            return True
        echoed = message.fields.get(REQUEST_ID)
        return run is not None and echoed is not None and echoed != run.request.request_id

    def _skip(self, message: Message, has_more_data: bool) -> bool:
        """Drop a response, and return whether the run is still in progress."""
        message.take_body()
        if not message.complete:
            return True
        self.reader.completed.pop(0)
        self.skipped_responses += 1
        too_many = self.skipped_responses > MAX_SKIPPED_RESPONSES
        if too_many or message.status == STATUS_SWITCHING_PROTOCOLS or not message.keep_alive:
            self._fail(Termination.BAD_RESPONSE)
            return False
        return self._process_response(has_more_data)

    def _forward(self, message: Message) -> bool:
        """Forward the received part of a 2xx response if it is streamed.

        Returns whether the run is still in progress.
        """
        run = self.run
        if run is None or not (self._is_forwarding() or run.request.progress.accepts(message)):
            self._fail(Termination.BAD_RESPONSE)
            return False
        if not self._is_forwarding():
            if not is_streamed(message):
                return True
            self._prepare_stream(message, run)
        try:
            buffers = self._take_body(message)
        except UnknownPositionError:
            self._fail(Termination.BAD_RESPONSE)
            return False
        is_incomplete = (
            message.complete and self.framer is not None and not self.framer.may_end(is_framed=True)
        )
        should_start = bool(buffers) or not self.framer or (message.complete and not is_incomplete)
        if not self.stream and should_start and not self._start_stream(message, run):
            return False
        self._feed(buffers, run)
        if is_incomplete:
            self._fail(Termination.BAD_RESPONSE)
        return not is_incomplete

    def _prepare_stream(self, message: Message, run: Run) -> None:
        if is_event_stream(message) and run.request.message.method != METHOD_HEAD:
            self.framer = EventFramer(run.request.progress.last_event_id)
        self.upstreams.streams[self] = None

    def _take_body(self, message: Message) -> list[BytesLike]:
        """Take the received part of the body; only complete events if it is an event stream."""
        buffers = message.take_body()
        if not self.framer:
            return buffers
        events = self.framer.feed(b"".join(buffers))
        return [events] if events else []

    def _start_stream(self, message: Message, run: Run) -> bool:
        """Forward the head of a streamed response, and return whether the run is still in progress."""
        message.stream = self.stream = Stream(self)
        run.exchange.on_response_started(message)
        if self.run is not run:
            return False
        run.request.progress.record_start(message)
        return True

    def _feed(self, buffers: list[BytesLike], run: Run) -> None:
        if self.stream and buffers:
            self.stream.feed(buffers)
            if self.framer:
                run.request.progress.record_events(self.framer)

    def _complete(self, message: Message, has_more_data: bool = False) -> None:
        """End the run with a complete response, and reuse or close the connection."""
        if self.stream:
            rest = self.framer.finish() if self.framer else b""
            self.stream.feed([rest] if rest else [])
            self.stream.end()
        run, self.run = self.run, None
        self._end_stream()
        termination = response_termination(message)
        if run and termination is Termination.REJECTED:
            self.rejected_ids.add(run.request.request_id)
            run.request.record_rejected()
        is_clean = message.is_framed and self.written and not (has_more_data or self.skipped_responses)
        reusable = message.keep_alive and is_clean and len(self.rejected_ids) <= MAX_REJECTED_IDS
        if reusable and not self.closed and not self.transport.is_closing():
            self.upstreams.return_to_pool(self, message)
        else:
            self.close()
        if run:
            run.end(termination, message)

    def _fail(self, termination: Termination) -> None:
        run, self.run = self.run, None
        self._end_stream()
        self.close()
        if run:
            run.end(termination)

    def _end_stream(self) -> None:
        self.stream = self.framer = None
        self.upstreams.streams.pop(self, None)
        self.paused = False
        self._update_reading()

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading from the backend, for flow control of the stream."""
        if paused is not self.paused and not self.closed and not self.transport.is_closing():
            self.paused, self.last_data_at = paused, self.upstreams.loop.time()
            self._update_reading()

    def check_stall(self, now: float) -> None:
        """Abort a resumable stream that has stalled for much longer than the target gap between events.

        It is aborted only if another backend would resume it; a stall alone does not end a response early.
        """
        run = self.run
        if run is None or not self.is_reading or self.at_end or not run.request.can_resume():
            return
        timeout = max(MIN_STALL_TIMEOUT_S, STALL_TIMEOUT_FACTOR * run.request.route.gap_aim_ms / 1000)
        if now > self.last_data_at + timeout and self.upstreams.may_resume(run.request):
            self._fail(Termination.DEADLINE_EXCEEDED)
