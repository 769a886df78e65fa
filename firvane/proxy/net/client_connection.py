"""Client connections: parse, shed or accept requests within the time budget of an event-loop iteration."""

from __future__ import annotations

import asyncio
from typing import Final, cast

from firvane.core import interface as api
from firvane.core.flows import Flow
from firvane.core.net.http_message import HttpError, Message, Stream
from firvane.core.net.request_scan import scan_is_retry, scan_request_class, scan_tenant
from firvane.proxy.limits.descriptors import Use
from firvane.proxy.limits.loop_budget import CHUNKED_READ_UNITS, DECISION_UNITS, READ_UNITS
from firvane.proxy.limits.memory_account import MAX_UNLEASED_BODY_BYTES, MemoryUse
from firvane.proxy.limits.memory_costs import FLOW_BYTES, IDLE_CLIENT_BYTES, STREAM_WINDOW_BYTES
from firvane.proxy.limits.overload import OverloadAction
from firvane.proxy.net.client_responses import (
    CLIENT_STALL_TIMEOUT_S,
    LINGER_TIMEOUT_S,
    REQUEST_TIMEOUT_S,
    RespondingConnection,
)
from firvane.proxy.net.managed_connection import BUSY, IDLE_TIMEOUT_S

READY_PATH = b"/up"
FIRST_REQUEST_TIMEOUT_S = 2.85  # after the connection was made, for the head of the first request
MIN_BODY_RATE = 24_000.0  # bytes a second
PROGRESS_INTERVAL_S = 0.4  # between checks of `MIN_BODY_RATE`
UPLOAD_STALL_TIMEOUT_S = 10.0  # without a byte of a long request
UPLOAD_TIME_S = 45.0  # for a long request to arrive, in addition to its budget
FIRST_REQUEST_GRACE_S = 0.2  # after the connection was made, while the first request is probably in transit
# Ranks of `retention_priority`, below `BUSY`.
UNUSED: Final = 0
INCOMPLETE: Final = 1
IDLE_AFTER_ONE: Final = 2
NEW: Final = 3
IDLE_REGULAR: Final = 4


class ClientConnection(RespondingConnection):
    """A client connection, which serves requests in order, one at a time.

    Invariants:

    1. Its memory is bounded: the unparsed bytes of one read (reading is paused while they cannot be parsed),
       one request, and one response. The next request is not accepted until the kernel has the whole
       response.
    2. After the last response only the sending side is closed; the connection is closed when the client
       closes its side or a timeout expires. It is closed at once only if no part of the response could be
       lost. Input after a last response is dropped.
    3. When a client closes its connection, its requests end. The event loop reports the close only while it
       reads, after all earlier input. So the kernel is checked as well: when a request is accepted, before
       the first byte of each attempt, and, if reading is paused, at each sweep. The requests end within that
       call, so that the balancer starts no further attempt.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and reject it if the proxy is overloaded (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)
        # Without a buffer, writes go to the kernel at once; `pause_writing` reports what it does not accept.
        self.transport.set_write_buffer_limits(0)
        context = self.context
        context.connections[self] = None
        context.account.charge(MemoryUse.CLIENTS, IDLE_CLIENT_BYTES)
        self.idle_since = context.loop.time()
        self.expires_at = self.idle_since + REQUEST_TIMEOUT_S
        if not context.monitor.descriptors.count(Use.CLIENTS):
            context.over_capacity = True
            context.pause_accepting()
        if context.monitor.is_active(OverloadAction.REJECT_CONNECTIONS):
            self.keep_alive = False
            self._respond(503, [b"refused\n"], 8, [])

    def connection_lost(self, error: Exception | None) -> None:
        """Release the resources of the closed connection and end its request (asyncio)."""
        context = self.context
        if self in context.connections:
            del context.connections[self]
            context.monitor.descriptors.release(Use.CLIENTS)
            context.over_capacity = (
                context.over_capacity and context.monitor.descriptors.free(Use.CLIENTS) < 0
            )
            context.account.charge(MemoryUse.CLIENTS, -IDLE_CLIENT_BYTES)
        self.ending = True
        self.upload = self.response_stream = None
        self.unparsed, self.offset = b"", 0
        self.reader.close()
        self._update_account()
        self._release_output()
        context.monitor.leases.release(self)
        flow = self._detach_flow()
        if flow:
            self._abandon(flow)

    def on_client_gone(self) -> None:
        """Abort the connection, which the client has closed, and end its request."""
        if not self.ending:
            self.context.engine.event_counts["client left unread"] += 1
            self.ending = True  # no input is processed until `connection_lost`
            self.transport.abort()
            self._abort_upload()

    def is_client_connected(self) -> bool:
        """Return whether the client is still connected; called before each attempt for it."""
        if is_open := self.is_peer_open():
            return is_open
        self.on_client_gone()
        return False

    def _abandon(self, flow: Flow[Message, Message]) -> None:
        """End a request whose client has disconnected."""
        if self.context.metrics is not None:
            self.context.metrics.on_disconnect(flow)
        self.context.engine.on_client_disconnected(flow)

    def has_pending_work(self) -> bool:
        """Return whether the connection may have a request without a response."""
        return bool(self.flow or self.queued or self.unparsed or self.reader.completed)

    def is_idle(self) -> bool:
        """Return whether the connection has no part of a request or response."""
        return not (self.has_pending_work() or self.request_started or self.ending or self.write_blocked)

    def retention_priority(self) -> tuple[int, float]:
        """Return the retention priority: a rank (`BUSY` if the connection is in use) and `idle_since`."""
        if self.has_pending_work():
            return BUSY, self.idle_since
        if not self.request_count or self.ending:
            if self.context.loop.time() < self.idle_since + FIRST_REQUEST_GRACE_S:
                return NEW, self.idle_since
            return (INCOMPLETE if self.request_started or self.ending else UNUSED), self.idle_since
        if not self.is_idle():
            return BUSY, self.idle_since
        return (IDLE_AFTER_ONE if self.request_count == 1 else IDLE_REGULAR), self.idle_since

    def _makes_progress(self, now: float) -> bool:
        """Return whether the body has arrived at `MIN_BODY_RATE` or faster, by loop time `now` in s."""
        message = self.reader.message
        if message is None or self.reader.in_head:
            return False
        return message.size > MIN_BODY_RATE * (now - self.head_received_at)

    def expire(self) -> None:
        """End the connection, whose timeout has expired, or extend the timeout if it makes progress."""
        now = self.context.loop.time()
        if self.upload and not self.upload_paused:
            self.error = HttpError(408)  # the upload has stalled
            self._abort_upload()
            self.process_input()
        elif self.request_started and not self.flow and self._makes_progress(now):
            self.expires_at = now + PROGRESS_INTERVAL_S
        elif self.ending or self.write_blocked:
            self.transport.abort()
        elif self.flow or self.queued:
            self.expires_at = self.context.loop.time() + REQUEST_TIMEOUT_S
        elif self.request_started:
            self.error = HttpError(408)
            self.process_input()
        elif (
            self.has_no_input()
        ):  # else the kernel has a request that the loop has not read, and a close loses
            self.transport.close()

    def close_or_reject(self) -> None:
        """Close the connection if it is idle, or reject its request if that is incomplete."""
        if self.request_started and not self.has_pending_work():
            self.error = HttpError(503)
            self.process_input()
        elif self.is_idle() and self.has_no_input():
            self.transport.close()

    def pause_writing(self) -> None:
        """Note that the kernel has not accepted all written data (asyncio)."""
        self.write_blocked = True

    def resume_writing(self) -> None:
        """Continue after the kernel has accepted all written data (asyncio)."""
        self.write_blocked = False
        self._release_output()
        if self.response_stream:
            self.expires_at = self.context.loop.time() + CLIENT_STALL_TIMEOUT_S
            self.response_stream.set_paused(False)
            return
        if not self.ending:
            self.idle_since = self.context.loop.time()
            self.expires_at = self.idle_since + 2 * IDLE_TIMEOUT_S
            self.context.loop_budget.wait(self)

    def data_received(self, data: bytes) -> None:
        """Process a request, or reject it unparsed if the proxy sheds load (asyncio)."""
        if self.ending or self.error:
            return  # input after the last response is dropped, so that no reset destroys the response
        context = self.context
        gate = context.gate
        idle = not (self.flow or self.unparsed or self.request_started or self.queued or self.write_blocked)
        if idle:
            self.pipelined = False
            is_excessive = context.exceeds_fair_rate(self)
            if gate.is_shedding or gate.is_queue_full(is_excessive) or context.account.under_pressure:
                tenant = scan_tenant(data)
                is_retry = gate.rejects_retries and scan_is_retry(data)
                counts = None if tenant is None else context.counts.get(scan_request_class(data))
                if (tenant is not None and counts) and (
                    gate.rejects(tenant, is_excessive, is_retry) or context.account.under_pressure
                ):
                    self.counts = counts
                    if context.metrics is not None:
                        context.count_unparsed(scan_request_class(data), tenant)
                    context.loop_budget.queue_rejection(self)
                    return
        self.unparsed, self.offset = (self.unparsed[self.offset :] + data if self.unparsed else data), 0
        self.process_input()

    def reject_unparsed(self) -> None:
        """Reject a request before it is parsed (called by `LoopBudget`)."""
        if self.ending:
            return
        if self.counts:
            self.counts.dropped += 1
            self.counts = None
        self.request_count += 1
        self.idle_since = self.context.loop.time()
        self.expires_at = self.idle_since + 2 * IDLE_TIMEOUT_S
        self.transport.write(next(self.context.rejections))
        if self.write_blocked:
            self._count_unread(self.idle_since + LINGER_TIMEOUT_S)
        if self.unparsed:
            self.process_input()

    def process_input(self, has_turn: bool = False) -> None:
        """Process input within the budget of the iteration; `has_turn`: it was queued for this iteration."""
        if self.working:
            return
        self.working, loop_budget = True, self.context.loop_budget
        loop_budget.begin()
        while not self.queued and self._has_work():
            if not has_turn and (self.pipelined or self.context.exceeds_fair_rate(self)):
                loop_budget.wait(self, low_priority=True)
            elif loop_budget.spend(self._cost()):
                self._work()
            else:
                loop_budget.wait(self)
        self.working = False
        self._update_account()
        # Reading is paused while input cannot be processed, but not after the last response.
        pause = (bool(self.unparsed) or self.awaiting_lease or self.upload_paused) and not self.ending
        if pause is not self.reading_paused and not self.transport.is_closing():
            self.reading_paused = pause
            (self.transport.pause_reading if pause else self.transport.resume_reading)()

    def _update_account(self) -> None:
        """Charge memory for the buffered input, and request a lease if a body grows large."""
        size = len(self.unparsed) - self.offset
        if (message := self.reader.message) and not self.upload:
            size += self.reader.raw_size
            leases = self.context.monitor.leases
            self.awaiting_lease = message.size > MAX_UNLEASED_BODY_BYTES and not leases.request(
                self, self._leased
            )
        if size != self.charged_input:
            self.context.account.charge(MemoryUse.READING, size - self.charged_input)
            self.charged_input = size

    def _leased(self) -> None:
        self.awaiting_lease = False
        self.process_input()

    def _cost(self) -> int:
        """Return the cost of the next step, in units of the iteration's budget."""
        if self.reader.completed:
            return DECISION_UNITS
        return CHUNKED_READ_UNITS if self.reader.in_unsized_body() else READ_UNITS

    def _has_work(self) -> bool:
        if self.upload and not self.ending:
            return bool(self.unparsed) and not self.upload_paused
        if self.flow or self.ending or self.write_blocked:
            return False
        return bool(self.unparsed or self.reader.completed or self.error)

    def _work(self) -> None:
        """Do one step: accept a request, parse to the end of one, or reject malformed input."""
        if self.reader.completed:
            self._handle(self.reader.completed.pop(0))
        elif self.unparsed:
            self._parse()
        elif self.error:
            self._reject_malformed(self.error)

    def _parse(self) -> None:
        try:
            self.offset = self.reader.step(self.unparsed, self.offset)
        except HttpError as fault:
            # A new error: the traceback of the raised one refers to the message and this connection.
            self.error, self.offset = HttpError(fault.status), len(self.unparsed)
            if self.upload:
                self._abort_upload()
        if self.offset >= len(self.unparsed):
            self.unparsed, self.offset = b"", 0
        if self.upload:
            self._continue_upload(self.upload)
            return
        message = self.reader.message
        started = message is not None
        if started and not self.request_started:
            self.head_received_at, now = 0.0, self.context.loop.time()
            first = max(
                self.expires_at, min(now + REQUEST_TIMEOUT_S, self.idle_since + FIRST_REQUEST_TIMEOUT_S)
            )
            self.expires_at = now + REQUEST_TIMEOUT_S if self.request_count else first
        self.request_started = started
        if message and not self.reader.in_head:
            self.head_received_at = self.head_received_at or self.context.loop.time()
            if b"expect" in message.fields and not message.continue_sent:
                message.continue_sent = True
                if not message.body:
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            if message.exceeds_buffer and not self.error:
                self._begin_upload(message)

    # Long requests

    def _begin_upload(self, message: Message) -> None:
        """Accept a long request before it is complete: the rest is forwarded as it arrives."""
        self.context.monitor.leases.release(self)
        self.awaiting_lease = False
        self.upload = message.stream = Stream(self)
        # The received part of the body goes through the stream like the rest: an idle connection to a target
        # is written to within this call, and would send this part without chunked framing, and then again.
        self.upload.feed(message.take_body())
        self.expires_at = self.context.loop.time() + UPLOAD_STALL_TIMEOUT_S
        self._handle(message)

    def _continue_upload(self, upload: Stream) -> None:
        """Forward the parsed part of a long request."""
        message = self.reader.message or (self.reader.completed.pop(0) if self.reader.completed else None)
        if message is None:
            return
        self.expires_at = self.context.loop.time() + UPLOAD_STALL_TIMEOUT_S
        upload.feed(message.take_body())
        if message.complete:
            self.upload, self.upload_paused, self.request_started, self.keep_alive = (
                None,
                False,
                False,
                message.keep_alive,
            )
            upload.end()

    def _abort_upload(self) -> None:
        """End a long request whose remainder is malformed or will not arrive."""
        flow = self._detach_flow()
        self.upload, self.upload_paused = None, False
        if flow:
            self._abandon(flow)

    def set_paused(self, paused: bool) -> None:
        """Pause reading a long request while its target does not accept more of it, or resume."""
        if paused is not self.upload_paused:
            self.upload_paused = paused
            self.expires_at = self.context.loop.time() + UPLOAD_STALL_TIMEOUT_S
            self.process_input()

    def _handle(self, message: Message) -> None:
        """Reject a request, or pass it to the engine."""
        self.keep_alive = message.keep_alive
        if (
            message.url == READY_PATH and b"x-call-id" not in message.fields
        ):  # else a request of a class of that name
            self._handle_ready(message)
            return
        # The client may have closed the connection while the request waited for the event loop, a lease or an
        # earlier response, and unread input hides that.
        if not self.is_peer_open():
            self.on_client_gone()
            return
        # Checked at each request: the process may have been suspended since the lease was renewed.
        policy_lease = self.context.policy_lease
        if policy_lease is not None and self.context.ready:
            if not policy_lease.may_accept():
                self.on_rejected(self.context.count_rejected(message))
                return
            self.policy_field = policy_lease.epoch_header
        try:
            request, budget_s = self.context.parse_request(message)
        except HttpError as error:
            self._reject_malformed(error)
            return
        # No request is accepted before the endpoint list is known, nor while memory is short.
        if not self.context.ready or self.context.account.under_pressure:
            cls = self.context.settings.classes[request.class_id]
            self.context.engine.request_counters.for_class(cls.name).dropped += 1
            if self.context.metrics is not None:
                self.context.count_unparsed(cls.name.encode(), message.fields.get(b"x-caller", b""))
            self._respond_status(503)
        elif message.exceeds_buffer and message.method == b"GET":
            self._reject_malformed(HttpError(400))
        else:
            self._start_flow(message, request, budget_s)

    def _start_flow(self, message: Message, request: api.Request, budget_s: float) -> None:
        """Pass a request to the engine; `budget_s` is its time budget in s."""
        context = self.context
        upload_time = UPLOAD_TIME_S if self.upload else 0.0
        deadline = min(context.loop.time() + budget_s + upload_time, context.drain_deadline)
        self.flow = Flow(message, self, deadline, message.fields[b"x-call-id"])
        self.flow.response_time = budget_s if self.upload else 0.0
        message.sender_is_connected = self.is_client_connected
        self.charged_flow = FLOW_BYTES + (STREAM_WINDOW_BYTES if self.upload else message.size)
        context.account.charge(MemoryUse.FLOWS, self.charged_flow)
        self.request_count += 1
        self.pipelined = bool(self.unparsed)
        context.count_request(self)
        context.open_ids.add(message.fields[b"x-call-id"])
        if context.metrics is not None:
            context.metrics.on_request(self.flow, request, context.settings)
        context.engine.accept_request(self.flow, request)

    def _handle_ready(self, message: Message) -> None:
        self.request_count += 1
        if message.method != b"GET":
            self._respond_status(405)
        else:
            context = self.context
            up = (
                context.ready
                and not context.draining
                and (context.policy_lease is None or context.policy_lease.may_accept())
            )
            self._respond_status(200 if up else 503)
