"""Receiving of requests on a client's connection, bounded by the turn budget and the memory for bodies."""

from __future__ import annotations

import httptools

from firvane.core.net.http_message import HttpError, Message
from firvane.core.net.http_reader import MessageReader
from firvane.core.turn_budget import step_units
from firvane.fleet.configuration.routes import Limits
from firvane.fleet.router.client_context import ClientContext
from firvane.fleet.router.leased_receiver import LeasedReceiver

READ_AHEAD_BYTES = 256 * 1024  # maximum of unparsed data; reading is paused above it
HEAD_PRIORITY = -1  # more urgent than any route
NO_LIMIT_BYTES = 2**53
MAX_HEAD_BYTES = 1024 * 1024  # of a head, whatever is configured
REQUEST_TARGET_BYTES = 8 * 1024  # of a request line, beside the header fields (RFC 9112, 3)
MAX_TRAILER_BYTES = 16 * 1024  # of trailers and chunk extensions
HEAD_STEP_LINES = 128  # lines of a head that are parsed before their memory is checked


class RequestReceiver(LeasedReceiver):
    """The part of a client's connection that receives requests, one at a time.

    Data that follows a request is not parsed until the response to that request has been sent. Data in excess
    of the budget of one turn of the loop is parsed in later turns (`firvane.core.turn_budget`).

    Attributes:
        buffered: Received bytes; those from `position` on are not parsed yet.
        receiving: Whether a request has been received in part.
        limits: Limits in force when the first byte of the latest request was parsed; None without any.
        discarded_at: Loop time at which data was last discarded, since the connection is being closed.
        state_since: Loop time at which the connection was accepted, became idle or started a request.
        is_parsing: Whether a caller further up the stack is parsing requests.
        writing_paused: Whether writing is paused, since the client reads too slowly.
    """

    def __init__(self, context: ClientContext) -> None:
        reader = MessageReader(httptools.HttpRequestParser)
        reader.target_allowance = REQUEST_TARGET_BYTES
        reader.trailer_allowance = MAX_TRAILER_BYTES
        reader.max_fields = MAX_HEAD_BYTES  # each takes bytes of the head; their memory is leased
        reader.head_step_lines = HEAD_STEP_LINES
        super().__init__(context, reader)
        self.limits: Limits | None = None
        self.discarded_at = 0.0
        self.buffered = b""
        self.position = 0
        self.receiving = False
        self.state_since = context.loop.time()
        self.is_parsing = False
        self.writing_paused = False

    def has_open_request(self) -> bool:
        """Return whether a complete request has been received whose response has not been sent."""
        raise NotImplementedError

    def on_request(self, message: Message) -> None:
        """Handle a complete request."""
        raise NotImplementedError

    def reject_malformed(self, error: HttpError) -> None:
        """Reject data that is not a valid request or exceeds a limit."""
        raise NotImplementedError

    def data_received(self, data: bytes) -> None:
        """Buffer received data, and parse it unless a request is in progress (asyncio)."""
        if self.closing:
            self.discarded_at = self.context.loop.time()
            return
        self.buffered = self.buffered + data if self.buffered else data
        self.parse_requests()
        if len(self.buffered) > READ_AHEAD_BYTES:
            self.pause_reading()

    def parse_requests(self) -> None:
        """Parse buffered data within the budget of this turn of the loop."""
        if not self.is_parsing:
            self.context.turns.submit(self)
            self._trim_buffer()

    @property
    def has_work(self) -> bool:
        """Whether there is buffered data that may be parsed now."""
        return self.has_unparsed() and self._can_parse()

    @property
    def priority(self) -> int:
        """Priority of the request whose body is being received; heads take precedence over bodies."""
        message = self.reader.message
        return HEAD_PRIORITY if message is None or self.reader.in_head else self._priority(message)

    def step(self) -> int:
        """Parse the next part of a request, and return its cost (see `TurnBudget`)."""
        start, is_chunked = self.position, self.reader.in_unsized_body()
        self.is_parsing = True
        self._parse_next()
        self.is_parsing = False
        units = step_units(self.position - start, is_chunked)
        if not self.has_work:
            self._trim_buffer()
        return units

    def _parse_next(self) -> None:
        if not self.receiving:
            self._apply_limits()
        try:
            self.position = self.reader.step(self.buffered, self.position)
        except HttpError as error:
            self.position = len(self.buffered)
            self.reject_malformed(error)
            return
        self._track_receiving()
        self._take_request()

    def _take_request(self) -> None:
        """Handle the current request if it is complete and there is memory for it."""
        if self.has_memory() and self.reader.completed:
            message = self.reader.completed.pop(0)
            self.receiving = False
            self.on_request(message)

    def _apply_limits(self) -> None:
        """Apply the limits in force to the next request; without a configuration only memory limits it."""
        self.limits = self.context.limits
        max_body = self.limits.max_body_bytes if self.limits else NO_LIMIT_BYTES
        max_header = self.limits.max_header_bytes if self.limits else NO_LIMIT_BYTES
        self.reader.buffer_limit = self.reader.body_limit = max_body
        self.reader.head_limit = min(max_header, MAX_HEAD_BYTES)

    def _trim_buffer(self) -> None:
        """Drop parsed data from the buffer, and pause or resume reading."""
        if self.closing:
            self.buffered = b""
        elif self.position:
            self.buffered = self.buffered[self.position :]
        self.position = 0
        if self.has_work:  # it is parsed in a later turn
            self.pause_reading()
        elif len(self.buffered) <= READ_AHEAD_BYTES and not self.memory_timer:
            self.resume_reading()

    def _can_parse(self) -> bool:
        """Return whether buffered data may be parsed now."""
        if self.has_open_request() or self.memory_timer:
            return False
        return not (self.closing or self.writing_paused)

    def has_unparsed(self) -> bool:
        """Return whether there is unparsed data, such as the next request."""
        return self.position < len(self.buffered)

    def _track_receiving(self) -> None:
        """Start the time-out of a request at its first byte."""
        if self.reader.message is None and not self.reader.completed:
            return
        if not self.receiving:
            self.receiving = True
            self.state_since = self.context.loop.time()

    def on_body_allowed(self, message: Message) -> None:
        """Send `100 Continue` if the request expects it."""
        if not self.reader.in_head and b"expect" in message.fields and not message.continue_sent:
            message.continue_sent = True
            if not message.body:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_memory_granted(self) -> None:
        """Continue reading the request; the wait for memory does not count towards the request time-out."""
        self.state_since = self.context.loop.time()
        self._take_request()
        self.parse_requests()
