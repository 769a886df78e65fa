"""Writing the responses on a client connection, and closing it after the last one."""

from __future__ import annotations

import httptools

from firvane.core.flows import Flow
from firvane.core.net.connection_checks import NoInputCheck, PeerOpenCheck, always_true
from firvane.core.net.dialer import reset_on_close
from firvane.core.net.http_message import BytesLike, HttpError, Message, Stream
from firvane.core.net.http_reader import MessageReader
from firvane.core.net.http_writer import LAST_CHUNK, format_response, format_response_head, frame_chunk
from firvane.core.request_counters import ClassCounters
from firvane.proxy.limits.memory_account import MemoryUse
from firvane.proxy.limits.memory_costs import STREAM_WINDOW_BYTES
from firvane.proxy.net.client_context import ClientContext
from firvane.proxy.net.managed_connection import IDLE_TIMEOUT_S, ManagedConnection

REQUEST_TIMEOUT_S = 2.4  # for a complete request; for the first, from the time the connection was made
LINGER_TIMEOUT_S = 2.0  # for the client to read the last response
INITIAL_WINDOW_BYTES = 8 * 1024  # that a new connection sends without acknowledgements: ten packets
CLIENT_STALL_TIMEOUT_S = 30.0  # while a client reads nothing of a long response
METHOD_NOT_ALLOWED = 405


class RespondingConnection(ManagedConnection):
    """A client connection with the state of its request, which writes the responses.

    Attributes:
        flow: The request that is in flight.
        keep_alive: The request allows the connection to stay open after its response.
        error: The error of malformed input, which is answered after the earlier requests.
        discarding: The response to an error or an incomplete request is written: further input is dropped.
        ending: The last response is written.
        request_started: Part of a request has arrived.
        unparsed: Input that is not parsed yet, from `offset` on.
        write_blocked: The kernel has not accepted all of a response yet.
        charged_input: Bytes of memory charged for input without a flow.
        charged_flow: Bytes of memory charged for the flow.
        charged_output: Bytes of memory charged for a response that the client has not read.
        awaiting_lease: Reading is paused until a memory lease for a large body is granted.
        queued: The connection is queued for a later iteration of the event loop (set by `LoopBudget`).
        pipelined: The input was sent while an earlier request was in flight.
        policy_field: A header line for the response that names the policy, or b"".
        head_received_at: When the head of the current request arrived, in loop time.
        upload: The rest of the flow's request, which is still arriving.
        upload_paused: Reading is paused because the target does not accept more of the request.
        response_stream: The rest of the flow's response.
        chunked: The response is written with chunked transfer coding.
        closes_after: The connection is closed after the response.
        working: `process_input` is running.
        counts: Counters of the class of a request that will be rejected unparsed.
    """

    def __init__(
        self,
        context: ClientContext,
        has_no_input: NoInputCheck = always_true,
        is_peer_open: PeerOpenCheck = always_true,
    ) -> None:
        super().__init__(has_no_input, is_peer_open)
        self.context = context
        self.reader = MessageReader(httptools.HttpRequestParser)
        self.flow: Flow[Message, Message] | None = None
        self.keep_alive = True
        self.error: HttpError | None = None
        self.discarding = False
        self.ending = False
        self.request_started = False
        self.unparsed, self.offset = b"", 0
        self.write_blocked = False
        self.charged_input = 0
        self.charged_flow = 0
        self.charged_output = 0
        self.awaiting_lease = False
        self.queued = False
        self.pipelined = False
        self.policy_field = b""
        self.head_received_at = 0.0
        self.upload: Stream | None = None
        self.upload_paused = False
        self.response_stream: Stream | None = None
        self.chunked = self.closes_after = False
        self.working = False
        self.counts: ClassCounters | None = None

    def process_input(self, has_turn: bool = False) -> None:
        """Process input within the budget of the iteration; `has_turn`: it was queued for this iteration."""
        raise NotImplementedError

    def on_response_started(self, answer: Message) -> None:
        """Write the head of a long response; its body follows as it arrives and the client reads it."""
        flow, stream = self.flow, answer.stream
        if flow is None or stream is None:
            return
        context, length = self.context, answer.content_length()
        self.chunked = length is None and flow.request.version == b"1.1"
        bare = length is None and not self.chunked
        self.closes_after = self._closes_connection() or bare
        if bare:
            reset_on_close(self.transport)
        self.charged_flow += STREAM_WINDOW_BYTES
        context.account.charge(MemoryUse.FLOWS, STREAM_WINDOW_BYTES)
        head = format_response_head(answer, self.chunked, self.closes_after)
        if self.policy_field:
            head.insert(1, self.policy_field)
            self.policy_field = b""
        self.transport.writelines(head)
        self.response_stream = stream
        self.expires_at = context.loop.time() + CLIENT_STALL_TIMEOUT_S
        stream.connect(self)

    def write_body(self, buffers: list[BytesLike]) -> None:
        """Write more of a long response."""
        if self.response_stream and not self.transport.is_closing():
            self.transport.writelines(frame_chunk(buffers, self.chunked))
            self.expires_at = self.context.loop.time() + CLIENT_STALL_TIMEOUT_S
            if self.write_blocked:
                self.response_stream.set_paused(True)

    def end_body(self) -> None:
        """Write the end of a long response."""
        if self.chunked and self.response_stream and not self.transport.is_closing():
            self.transport.write(LAST_CHUNK)

    def on_response_finished(self) -> None:
        """Finish a long response, which is complete."""
        self.response_stream = None
        self._response_written(self.closes_after, CLIENT_STALL_TIMEOUT_S, True)

    def on_response_aborted(self) -> None:
        """Abort a long response.

        The client can detect the truncation: by the length, the missing last chunk, or the reset.
        """
        self.response_stream = None
        self.transport.abort()

    def on_response(self, answer: Message) -> None:
        """Write the response of a target."""
        self._respond(200, answer.body, answer.size, list(answer.end_to_end_fields()))

    def on_rejected(self, retry_after: float) -> None:
        """Reject the request; `retry_after` in s, or 0 for none."""
        extra = [b"Retry-After: %.3f\r\n" % retry_after] if retry_after > 0 else []
        self._respond(503, [b"refused\n"], 8, extra)

    def on_failed(self) -> None:
        """Write the response for a request that no target has served."""
        self._respond(502, [b"failed\n"], 7, [])

    def on_bad_request(self) -> None:
        """Write the response for a request that a target has found invalid."""
        self._reject_malformed(HttpError(400))

    def _respond_status(self, status: int) -> None:
        """Write a response of the proxy itself, whose body is the status code."""
        headers = [b"Content-Type: text/plain\r\n"] + (
            [b"Allow: GET\r\n"] if status == METHOD_NOT_ALLOWED else []
        )
        self._respond(status, [b"%d\n" % status], 4, headers)

    def _respond(self, status: int, body: list[BytesLike], size: int, headers: list[bytes]) -> None:
        close = self._closes_connection()
        if self.policy_field:
            headers, self.policy_field = [self.policy_field, *headers], b""
        self.transport.writelines(format_response(status, body, size, close, headers))
        self._response_written(close, LINGER_TIMEOUT_S, size > INITIAL_WINDOW_BYTES)

    def _closes_connection(self) -> bool:
        """Return whether the connection is closed after this response."""
        # The rest of an incomplete request is dropped: it must not be taken for another request.
        return (
            not self.keep_alive
            or self.context.closing
            or self.context.over_capacity
            or self.upload is not None
        )

    def _response_written(self, close: bool, patience: float, long: bool) -> None:
        """Finish the response, which is written but may still be unread.

        Args:
            close: Whether the connection is closed after the response.
            patience: Seconds that the client has to read the response.
            long: Whether part of the response may still be in the kernel.
        """
        context = self.context
        if self.upload:
            self.discarding = True
        self.upload, self.upload_paused = None, False
        flow = self._detach_flow()
        context.monitor.leases.release(self)
        self.idle_since = context.loop.time()
        # A pipelined request that has begun to arrive has its own timeout.
        self.expires_at = self.idle_since + (
            REQUEST_TIMEOUT_S if self.request_started else 2 * IDLE_TIMEOUT_S
        )
        self._count_unread(max(self.idle_since, flow.deadline if flow else 0.0) + patience)
        if close:
            self.ending = True
            self.reader.completed.clear()
            self.unparsed, self.offset = b"", 0
            # A close would reset the connection and destroy the response in transit if input is unread
            # (malformed, pipelined, or not yet read by the loop), or if more input arrives before the end of
            # the response has been sent.
            self.expires_at = context.loop.time() + patience
            if self.discarding or self.reading_paused or long or not self.has_no_input():
                self.transport.write_eof()
            else:
                self.transport.close()
        self.process_input()

    def _count_unread(self, expires: float) -> None:
        """Charge memory for the unread response; the connection expires at loop time `expires` in s."""
        if self.write_blocked and not self.charged_output:
            self.expires_at = expires
            self.charged_output = self.transport.get_write_buffer_size()
            self.context.account.charge(MemoryUse.WRITING, self.charged_output)

    def _detach_flow(self) -> Flow[Message, Message] | None:
        """Detach and return the request in flight, if any."""
        flow, self.flow = self.flow, None
        if flow:
            self.context.open_ids.discard(flow.request.fields[b"x-call-id"])
            self.context.account.charge(MemoryUse.FLOWS, -self.charged_flow)
        return flow

    def _reject_malformed(self, fault: HttpError) -> None:
        """Respond to malformed input and close the connection: what follows cannot be parsed reliably."""
        self.keep_alive, self.discarding = False, True
        self.context.engine.event_counts[f"turned down {fault.status}"] += 1
        self._respond_status(fault.status)

    def _release_output(self) -> None:
        """Release the memory charged for an unread response, which was accepted by the kernel or lost."""
        if self.charged_output:
            self.context.account.charge(MemoryUse.WRITING, -self.charged_output)
            self.charged_output = 0
