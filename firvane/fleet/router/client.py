"""One client's connection: receives requests and sends one response to each.

Invariants:

1. Requests on a connection are handled one at a time, and responses are sent in the order of the requests.
   Pipelined data is not parsed before the current response has been sent.
2. When the client closes its connection, the request in progress is cancelled.
3. If a response fails after its head has been sent, the connection is closed before the end of the response,
   so that the client can't take a truncated response for a complete one.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import cast

from firvane.core.flows import Flow
from firvane.core.net.dialer import end_on_close, reset_on_close
from firvane.core.net.http_message import BytesLike, HttpError, Message, Stream
from firvane.core.net.http_reader import HTTP_CONTENT_TOO_LARGE, HTTP_HEADERS_TOO_LARGE
from firvane.core.net.http_writer import LAST_CHUNK, format_response, format_response_head, frame_chunk
from firvane.fleet.configuration.routes import Limits, Route, RouteTable
from firvane.fleet.router.admission import UNRESTRICTED, Admitted
from firvane.fleet.router.client_context import ClientContext
from firvane.fleet.router.drain import LATE_RETRY_AFTER_S
from firvane.fleet.router.request_receiver import RequestReceiver
from firvane.fleet.router.requests import REQUEST_ID, ProxiedRequest, check_framing, client_deadline_ms

MEMORY_RETRY_AFTER_S = 1.0
LINGER_S = 1.0  # the rest of a rejected request is read until the client has been silent for this time
MAX_LINGER_S = 8.0  # and at most for this time
CONFIGURATION_WAIT_S = 0.4  # a request waits this long for the first configuration of a new router
NO_CONFIGURATION_RETRY_AFTER_S = 1.0  # longer, since a client retries only a few times
NOT_RESUMED = "not continued in time"  # metric of truncated responses that were resumable
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_REQUEST_TIMEOUT = 408
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503


class ClientConnection(RequestReceiver):
    """One client's connection.

    Attributes:
        flow: The engine's flow of the request in progress.
        unrouted: A complete request that waits for the first configuration.
        configuration_timer: Rejects the unrouted request when its wait times out.
        admission_request: A complete request that waits for its admission decision.
        admission: The admission decision of the request in progress.
        keep_alive: Whether the connection stays open after the current response.
        head_sent: Whether the head of the response has been sent.
        chunked: Whether the response uses the chunked transfer coding.
        close_delimited: Whether the end of the response is marked by closing the connection.
        body_source: The stream that provides the response's body.
        requests_received: Number of complete requests received.
        received_at: Loop time at which the latest request was completely received.
        connected_at: Loop time at which the connection was accepted.
        linger_timer: Ends the reading of the rest of a rejected request.
    """

    def __init__(self, context: ClientContext) -> None:
        super().__init__(context)
        self.flow: Flow[ProxiedRequest, Message] | None = None
        self.unrouted: Message | None = None
        self.configuration_timer: asyncio.TimerHandle | None = None
        self.admission_request: _AdmissionRequest | None = None
        self.admission = UNRESTRICTED
        self.keep_alive = True
        self.head_sent = False
        self.chunked = False
        self.close_delimited = False
        self.body_source: Stream | None = None
        self.requests_received = 0
        self.received_at = 0.0
        self.connected_at = self.state_since
        self.linger_timer: asyncio.TimerHandle | None = None

    # Connection lifecycle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)
        self.context.connections[self] = None

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress and release its resources (asyncio)."""
        self.context.connections.pop(self, None)
        self.closing = True
        self.buffered = b""
        self.reader.close()
        self.body_source = self.admission_request = None
        self._take_unrouted()
        if self.linger_timer:
            self.linger_timer.cancel()
            self.linger_timer = None
        self.release_memory()
        flow, self.flow = self.flow, None
        if flow:
            self.context.engine.on_client_disconnected(flow)

    def is_idle(self) -> bool:
        """Return whether the connection has no request, complete or partial."""
        return not (self.has_open_request() or self.buffered or self.receiving or self.closing)

    def has_open_request(self) -> bool:
        """Return whether a complete request has been received whose response has not been sent."""
        return bool(self.flow or self.unrouted or self.admission_request)

    def close(self) -> None:
        """Close the connection after all written data has been sent."""
        self.closing = True
        self.transport.close()

    def check_timeout(self, now: float) -> None:
        """Time out an incomplete request, or close the connection after the idle time-out."""
        if self.closing or self.has_open_request() or self.memory_timer or self.has_work:
            return
        if self.receiving and now > self.state_since + self.context.request_timeout:
            self.keep_alive = False
            self._send_status(STATUS_REQUEST_TIMEOUT)
        elif not self.receiving and now > self.state_since + self.context.idle_timeout:
            self.close()

    # Requests

    def on_memory_denied(self) -> None:
        """Reject a request that got no memory for its body; nothing of it was sent to a backend."""
        self.context.engine.event_counts["long body rejected"] += 1
        self.keep_alive = False
        self._send_rejection(STATUS_UNAVAILABLE, MEMORY_RETRY_AFTER_S)

    def on_request(self, message: Message) -> None:
        """Check a complete request, and route it or make it wait for the first configuration."""
        context = self.context
        self.keep_alive = message.keep_alive
        self.head_sent = False
        self.requests_received += 1
        try:
            check_framing(message)
        except HttpError as error:
            self.reject_malformed(error)
            return
        request_id = message.fields.get(REQUEST_ID)
        if not request_id:
            self._send_status(STATUS_BAD_REQUEST)
            return
        self.received_at = context.loop.time()
        context.drain.record_request(self.connected_at, self.received_at)
        if not context.drain.accepts_requests(self.received_at):
            self.on_rejected(LATE_RETRY_AFTER_S)
            return
        if context.routes is None:
            self.unrouted = message
            self.configuration_timer = context.loop.call_later(CONFIGURATION_WAIT_S, self._reject_unrouted)
            return
        self._route(message, context.routes)

    def _reject_unrouted(self) -> None:
        if self._take_unrouted():
            self.on_rejected(NO_CONFIGURATION_RETRY_AFTER_S)

    def _take_unrouted(self) -> Message | None:
        """Remove and return the request that waits for the first configuration, and cancel its timer."""
        message, self.unrouted = self.unrouted, None
        if self.configuration_timer:
            self.configuration_timer.cancel()
            self.configuration_timer = None
        return message

    def on_configured(self) -> None:
        """Route the request that waited for the first configuration."""
        message = self._take_unrouted()
        if message and self.context.routes and not self.closing:
            self._route(message, self.context.routes)

    def _route(self, message: Message, routes: RouteTable) -> None:
        """Find the route of a request, and request its admission."""
        context = self.context
        if self.limits is None and context.limits and (status := excess_status(message, context.limits)):
            self.reject_malformed(HttpError(status))
            return
        route = routes.find(message.fields.get(b"host", b""), message.url)
        if route is None:
            context.engine.event_counts["no route"] += 1
            self._send_status(STATUS_NOT_FOUND)
            return
        if context.admission is None:
            self.start_request(message, route, UNRESTRICTED)
            return
        self.admission_request = _AdmissionRequest(self, message, route)
        context.admission.admit(self.admission_request, message, route)

    def start_request(self, message: Message, route: Route, admission: Admitted) -> None:
        """Pass an admitted request to the engine."""
        context, tenant, request_id = self.context, admission.tenant, message.fields[REQUEST_ID]
        self.admission_request, self.admission = None, admission
        client_ms = client_deadline_ms(message)
        limit_ms = route.timeout_ms if client_ms is None else min(client_ms, route.timeout_ms)
        deadline = min(self.received_at + limit_ms / 1000, context.drain.deadline)
        request = ProxiedRequest(message, route, request_id, priority=route.priority)
        request.is_private = admission.is_private
        if tenant is not None:
            request.tenant = tenant.name.encode()
            request.priority = route.priority if tenant.priority is None else tenant.priority
            request.on_retry = partial(context.charge_retry, admission)
        flow = Flow[ProxiedRequest, Message](request, self, deadline, request_id)
        flow.is_bounded = True
        flow.can_resume = request.can_resume
        self.flow = flow
        context.engine.accept_request(flow, context.prompt_request(request))
        request.flow_id = flow.id

    def reject_malformed(self, error: HttpError) -> None:
        """Reject data that is not a valid request or exceeds a limit, and close the connection."""
        self.keep_alive = False
        self.receiving = True  # the client may still be sending
        self._send_status(error.status)

    # Responses: called by the engine (`firvane.core.engine.Client`)

    def on_response(self, message: Message) -> None:
        """Send a complete response."""
        headers = list(message.end_to_end_fields())
        self._send_response(message.status, message.body, message.size, headers)

    def on_response_started(self, message: Message) -> None:
        """Send the head of a streamed response, unless an earlier attempt has sent it."""
        stream = message.stream
        if self.flow is None or stream is None:
            return
        if not self.head_sent:
            self._write_head(message)
        self.body_source = stream
        stream.connect(self)
        if self.writing_paused:  # a resumed response may start while the client's connection is congested
            stream.set_paused(True)

    def _write_head(self, message: Message) -> None:
        length = message.content_length()
        self.head_sent = True
        self.chunked = (
            length is None and self.flow is not None and self.flow.request.message.version == b"1.1"
        )
        self.close_delimited = length is None and not self.chunked
        self.keep_alive = self._keeps_alive() and not self.close_delimited
        if self.close_delimited:
            reset_on_close(self.transport)
        self.transport.writelines(format_response_head(message, self.chunked, not self.keep_alive))

    def write_body(self, buffers: list[BytesLike]) -> None:
        """Send part of the body."""
        if self.flow and not self.transport.is_closing():
            self.transport.writelines(frame_chunk(buffers, self.chunked))

    def end_body(self) -> None:
        """Send the end of the body."""
        if self.flow and self.chunked and not self.transport.is_closing():
            self.transport.write(LAST_CHUNK)

    def on_response_finished(self) -> None:
        """Finish a complete streamed response."""
        if self.close_delimited:
            end_on_close(self.transport)
        self._end_response()

    def on_response_aborted(self) -> None:
        """Close the connection before the end of the response."""
        self._count_truncated()
        self._log_truncated()
        self.flow = self.body_source = None
        self.release_memory()
        self.closing = True
        if self.close_delimited:
            self.transport.abort()
        else:
            self.transport.close()

    def _count_truncated(self) -> None:
        """Count a truncated response by the reason why no other backend resumed it."""
        if self.flow:
            obstacle = self.flow.request.resume_obstacle()
            reason = obstacle.value if obstacle else NOT_RESUMED
            self.context.engine.event_counts[f"truncated, {reason}"] += 1

    def _log_truncated(self) -> None:
        """Log a response truncated while draining, with the times of its request and its connection."""
        drain = self.context.drain
        if not drain.has_started or self.flow is None:
            return
        drain.metrics.truncated_responses += 1
        self.context.log.info(
            "drain_response_truncated",
            request=self.flow.request.request_id.decode("latin-1"),
            received_s=drain.seconds_since_start(self.received_at),
            connected_s=drain.seconds_since_start(self.connected_at),
            requests=self.requests_received,
        )

    def on_rejected(self, retry_after: float) -> None:
        """Reject a request that did not run; `retry_after` is in seconds."""
        if self.flow and self.context.admission:
            self.context.admission.refund(self.admission)
        self._send_rejection(STATUS_UNAVAILABLE, retry_after)

    def reject_admission(self, status: int, retry_after: float) -> None:
        """Reject a request that is not admitted; `retry_after` is in seconds, 0 if a retry is useless."""
        self.admission_request = None
        self._send_rejection(status, retry_after)

    def _send_rejection(self, status: int, retry_after: float) -> None:
        headers = [b"Retry-After: %.3f\r\n" % retry_after] if retry_after > 0 else []
        self._send_status(status, headers)

    def on_failed(self) -> None:
        """Respond with 502 to a request that may have run but has no response."""
        self._send_status(STATUS_BAD_GATEWAY)

    def on_bad_request(self) -> None:
        """Respond with 400 to a request that no backend accepts as valid."""
        self._send_status(STATUS_BAD_REQUEST)

    def _send_status(self, status: int, headers: list[bytes] | None = None) -> None:
        """Send a response of the router itself, with the status code as its body."""
        if self.head_sent:
            self.on_response_aborted()
            return
        body = b"%d\n" % status
        self._send_response(status, [body], len(body), headers or [])

    def _send_response(self, status: int, body: list[BytesLike], size: int, headers: list[bytes]) -> None:
        self.keep_alive = self._keeps_alive()
        self.transport.writelines(format_response(status, body, size, not self.keep_alive, headers))
        self._end_response()

    def _keeps_alive(self) -> bool:
        """Return whether the connection stays open after the response whose head is about to be written.

        While draining it stays open only if the client has already sent its next request: it could not know
        that the connection would be closed.
        """
        return self.keep_alive and (not self.context.drain.has_started or self.has_unparsed())

    def _end_response(self) -> None:
        """Reset the state after a response, then close the connection or parse the next request."""
        self.flow = self.body_source = None
        self.release_memory()
        self.head_sent = False
        self.state_since = self.context.loop.time()
        if not self.keep_alive and self.receiving:
            self._linger()
        elif not self.keep_alive:
            self.close()
        elif self.buffered and not self.is_parsing:
            self.parse_requests()
        if self.is_idle() and not self.context.drain.accepts_requests(self.state_since):
            self.close()

    def _linger(self) -> None:
        """Close the sending side, and read the rest of a rejected request for up to `LINGER_S`.

        Closing at once would reset the connection, and the client may see the reset before it has read the
        response (RFC 9112, 9.6).
        """
        if self.transport.is_closing():
            return
        self.resume_reading()
        self.closing = True
        self.reader.close()
        self.transport.write_eof()
        self.discarded_at = self.context.loop.time()
        self._continue_linger(self.discarded_at + MAX_LINGER_S)

    def _continue_linger(self, deadline: float) -> None:
        """Close the connection at the deadline, or once the client has been silent."""
        now = self.context.loop.time()
        end = min(deadline, self.discarded_at + LINGER_S)
        if now < end:
            self.linger_timer = self.context.loop.call_at(end, self._continue_linger, deadline)
        else:
            self.linger_timer = None
            self.transport.abort()

    # Flow control

    def pause_writing(self) -> None:
        """Pause the body's source while the client reads too slowly (asyncio)."""
        self.writing_paused = True
        if self.body_source:
            self.body_source.set_paused(True)

    def resume_writing(self) -> None:
        """Resume the body's source, or parse the next request (asyncio)."""
        self.writing_paused = False
        if self.body_source:
            self.body_source.set_paused(False)
        elif self.buffered and not self.has_open_request():
            self.parse_requests()


def excess_status(message: Message, limits: Limits) -> int:
    """Return the status for a complete request that exceeds a limit; 0 if it exceeds none."""
    if message.head_size > limits.max_header_bytes:
        return HTTP_HEADERS_TOO_LARGE
    return HTTP_CONTENT_TOO_LARGE if message.size > limits.max_body_bytes else 0


class _AdmissionRequest:
    """A request that waits for its admission; its connection may be closed before the decision."""

    def __init__(self, connection: ClientConnection, message: Message, route: Route) -> None:
        self._connection, self._message, self._route = connection, message, route

    def on_admitted(self, admission: Admitted) -> None:
        connection = self._connection
        if connection.admission_request is self:
            connection.start_request(self._message, self._route, admission)
        elif connection.context.admission:
            connection.context.admission.refund(admission)

    def on_rejected(self, status: int, retry_after: float) -> None:
        if self._connection.admission_request is self:
            self._connection.reject_admission(status, retry_after)
