"""The clients' side: requests in, one answer each out.

Rules that hold here and nowhere else:

1. A connection answers its requests in their order, one at a time; what comes behind one waits unread.
2. Who closes its connection has gone away, and nothing of its request goes on any more.
3. Once the head of an answer is out, a failure ends the connection short of the answer's end, so that no cut
   answer passes for a whole one.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import cast

import httptools

from firvane.core.flows import Flow
from firvane.core.net.dialer import resets
from firvane.core.net.http import (
    LAST_CHUNK,
    Buffered,
    Fault,
    Message,
    Piece,
    Reader,
    Stream,
    answer,
    answer_head,
    framed,
)
from firvane.fleet.configuration.routes import Route, RouteTable
from firvane.fleet.router.admission import OPEN, Admitted
from firvane.fleet.router.client_side import ClientSide
from firvane.fleet.router.drain import LATE_PAUSE
from firvane.fleet.router.requests import (
    REQUEST_ID,
    ProxiedRequest,
    check_framing,
    client_deadline_ms,
)

READ_AHEAD = 256 * 1024  # bytes kept of what comes behind a request
NO_CONFIGURATION_HOLD = 0.4  # s that a request waits for the first configuration of a new router
NO_CONFIGURATION_RETRY = 1.0  # s asked for after that: a client comes again but a few times


class ClientConnection(Buffered):
    """One client's connection."""

    def __init__(self, front: ClientSide) -> None:
        self.front = front
        self.reader = Reader(httptools.HttpRequestParser, front.max_body, front.max_body)
        self.pending = b""  # bytes that came, of which those from `position` on are not read yet
        self.position = 0
        self.flow: Flow[ProxiedRequest, Message] | None = None
        self.unrouted: Message | None = None  # a whole request that waits for the first configuration
        self.applicant: _Applicant | None = None  # one that waits to be admitted
        self.admission = OPEN  # of the request that is under way
        self.keep = True  # the connection lives on after this answer
        self.head_sent = False
        self.chunked = False
        self.bare = False  # the answer's end is the connection's
        self.source: Stream | None = None  # what the answer's body comes from
        self.paused = False
        self.choked = False
        self.closing = False
        self.asked = 0
        self.taken_at = 0.0  # when the newest request was here whole
        self.made_at = front.loop.time()
        self.since = self.made_at  # when it was made, fell idle, or began to send a request
        self.reading = False  # part of a request is here
        self.busy = False
        self.continued: Message | None = None
        self.transport: asyncio.Transport

    # Life of the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.front.connections[self] = None

    def connection_lost(self, error: Exception | None) -> None:
        self.front.connections.pop(self, None)
        self.closing = True
        self.pending = b""
        self.reader.drop()
        self.source = self.unrouted = self.applicant = None
        flow, self.flow = self.flow, None
        if flow:
            self.front.engine.on_client_disconnected(flow)

    def is_idle(self) -> bool:
        return not (self._is_asking() or self.pending or self.reading or self.closing)

    def _is_asking(self) -> bool:
        """Whether a whole request is here that has no answer yet."""
        return bool(self.flow or self.unrouted or self.applicant)

    def close(self) -> None:
        self.closing = True
        self.transport.close()

    def expire(self, now: float) -> None:
        """Close a connection that has stood idle, or has kept a request half sent, for too long."""
        if self.closing or self._is_asking():
            return
        if self.reading and now > self.since + self.front.header_timeout:
            self.keep = False
            self._finish(408)
        elif not self.reading and now > self.since + self.front.idle_timeout:
            self.close()

    # Reading

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        self.pending = self.pending + data if self.pending else data
        self._advance()
        if len(self.pending) > READ_AHEAD and not self.paused and not self.closing:
            self.paused = True
            self.transport.pause_reading()

    def _advance(self) -> None:
        if self.busy:
            return
        self.busy = True
        while self._has_more() and not (self._is_asking() or self.closing or self.choked):
            try:
                self.position = self.reader.step(self.pending, self.position)
            except Fault as fault:
                self.position = len(self.pending)
                self._turn_down(fault)
                break
            self._note_reading()
            if self.reader.done:
                message = self.reader.done.pop(0)
                self.reading = False
                self._take(message)
        self.pending = b"" if self.closing else self.pending[self.position :]
        self.position = 0
        self.busy = False
        if self.paused and len(self.pending) <= READ_AHEAD and not self.closing:
            self.paused = False
            self.transport.resume_reading()

    def _has_more(self) -> bool:
        """Whether bytes have come that are not read yet, such as the next request."""
        return self.position < len(self.pending)

    def _note_reading(self) -> None:
        message = self.reader.message
        if message is None:
            return
        if not self.reading:
            self.reading = True
            self.since = self.front.loop.time()
        if not self.reader.in_head and b"expect" in message.fields and not message.continued:
            message.continued = True
            if not message.body:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _take(self, message: Message) -> None:
        """Take up a request that is here whole."""
        front = self.front
        self.keep = message.keep
        self.head_sent = False
        self.asked += 1
        try:
            check_framing(message)
        except Fault as fault:
            self._turn_down(fault)
            return
        request_id = message.fields.get(REQUEST_ID)
        if not request_id:
            self._finish(400)
            return
        self.taken_at = front.loop.time()
        front.drain.note_request(self.made_at, self.taken_at)
        if not front.drain.takes_requests(self.taken_at):
            self.on_rejected(LATE_PAUSE)
            return
        if front.routes is None:
            self.unrouted = message
            front.loop.call_later(NO_CONFIGURATION_HOLD, self._refuse_unrouted, message)
            return
        self._route(message, front.routes)

    def _refuse_unrouted(self, message: Message) -> None:
        if self.unrouted is message:
            self.unrouted = None
            self.on_rejected(NO_CONFIGURATION_RETRY)

    def resume(self) -> None:
        """The first configuration has come: go on with the request that waits for it."""
        message, self.unrouted = self.unrouted, None
        if message and self.front.routes and not self.closing:
            self._route(message, self.front.routes)

    def _route(self, message: Message, routes: RouteTable) -> None:
        """Find the route of a request, and whether its client may ask."""
        front = self.front
        route = routes.find(message.fields.get(b"host", b""), message.url)
        if route is None:
            front.engine.event_counts["no route"] += 1
            self._finish(404)
            return
        if front.admission is None:
            self.take_up(message, route, OPEN)
            return
        self.applicant = _Applicant(self, message, route)
        front.admission.admit(self.applicant, message, route)

    def take_up(self, message: Message, route: Route, admission: Admitted) -> None:
        """Hand an admitted request over to the engine."""
        front, tenant, request_id = self.front, admission.tenant, message.fields[REQUEST_ID]
        self.applicant, self.admission = None, admission
        waits_ms = client_deadline_ms(message)
        limit_ms = route.timeout_ms if waits_ms is None else min(waits_ms, route.timeout_ms)
        deadline = min(self.taken_at + limit_ms / 1000, front.drain.end_by)
        request = ProxiedRequest(message, route, request_id, priority=route.priority)
        request.is_private = admission.is_private
        if tenant is not None:
            request.tenant = tenant.name.encode()
            request.priority = route.priority if tenant.priority is None else tenant.priority
            request.on_repeat = partial(front.runs_again, admission)
        flow = Flow[ProxiedRequest, Message](request, self, deadline, request_id)
        flow.is_bounded = True
        flow.is_resumable = route.stream_resume
        self.flow = flow
        front.engine.accept_request(flow, front.prompt_request(request))
        request.flow_id = flow.id

    def _turn_down(self, fault: Fault) -> None:
        self.keep = False
        self._finish(fault.status)

    # Answers: the engine's side

    def on_response(self, message: Message) -> None:
        headers = list(message.passed_on())
        self._write_whole(message.status, message.body, message.size, headers)

    def on_response_started(self, message: Message) -> None:
        stream = message.stream
        if self.flow is None or stream is None:
            return
        if not self.head_sent:
            self._write_head(message)
        self.source = stream
        stream.pour(self)

    def _write_head(self, message: Message) -> None:
        length = message.length()
        self.head_sent = True
        self.chunked = (
            length is None and self.flow is not None and self.flow.request.message.version == b"1.1"
        )
        self.bare = length is None and not self.chunked
        self.keep = self._is_kept() and not self.bare
        if self.bare:
            resets(self.transport)
        self.transport.writelines(answer_head(message, self.chunked, not self.keep))

    def more(self, pieces: list[Piece]) -> None:
        if self.flow and not self.transport.is_closing():
            self.transport.writelines(framed(pieces, self.chunked))

    def last(self) -> None:
        if self.flow and self.chunked and not self.transport.is_closing():
            self.transport.write(LAST_CHUNK)

    def on_response_finished(self) -> None:
        self._over()

    def on_response_aborted(self) -> None:
        """The answer ends short of what its head has said."""
        self._report_cut()
        self.flow = self.source = None
        self.closing = True
        if self.bare:
            self.transport.abort()
        else:
            self.transport.close()

    def _report_cut(self) -> None:
        """An answer that ends short while the router drains tells how its request came to be here."""
        drain = self.front.drain
        if not drain.has_begun or self.flow is None:
            return
        drain.figures.cut += 1
        self.front.log.info(
            "drain: answer cut.",
            request=self.flow.request.request_id.decode("latin-1"),
            taken=drain.since(self.taken_at),
            connected=drain.since(self.made_at),
            requests=self.asked,
        )

    def on_rejected(self, retry_after: float) -> None:
        if self.flow and self.front.admission:
            self.front.admission.give_back(self.admission)
        self._refuse(503, retry_after)

    def turned_away(self, status: int, retry_after: float) -> None:
        """The request is not admitted."""
        self.applicant = None
        self._refuse(status, retry_after)

    def _refuse(self, status: int, retry_after: float) -> None:
        extra = [b"Retry-After: %.3f\r\n" % retry_after] if retry_after > 0 else []
        self._finish(status, extra)

    def on_failed(self) -> None:
        self._finish(502)

    def on_bad_request(self) -> None:
        self._finish(400)

    def _finish(self, status: int, headers: list[bytes] | None = None) -> None:
        """An answer of the router's own, with its status as a short body."""
        if self.head_sent:
            self.on_response_aborted()
            return
        body = b"%d\n" % status
        self._write_whole(status, [body], len(body), headers or [])

    def _write_whole(self, status: int, body: list[Piece], size: int, headers: list[bytes]) -> None:
        self.keep = self._is_kept()
        self.transport.writelines(answer(status, body, size, not self.keep, headers))
        self._over()

    def _is_kept(self) -> bool:
        """Whether the connection lives on after the answer whose head is about to be written.

        While the router drains only for requests that are here already: their client could not know of it.
        """
        return self.keep and (not self.front.drain.has_begun or self._has_more())

    def _over(self) -> None:
        """The answer is written: the connection is closed, or the next request is taken up."""
        self.flow = self.source = None
        self.head_sent = False
        self.since = self.front.loop.time()
        if not self.keep:
            self.close()
        elif self.pending and not self.busy:
            self._advance()
        if self.is_idle() and not self.front.drain.takes_requests(self.since):
            self.close()

    # Flow control

    def pause_writing(self) -> None:
        self.choked = True
        if self.source:
            self.source.choke(True)

    def resume_writing(self) -> None:
        self.choked = False
        if self.source:
            self.source.choke(False)
        elif self.pending and not self._is_asking():
            self._advance()


class _Applicant:
    """A request on its way through admission; its connection may be gone by the end."""

    def __init__(self, connection: ClientConnection, message: Message, route: Route) -> None:
        self._connection, self._message, self._route = connection, message, route

    def admitted(self, admission: Admitted) -> None:
        connection = self._connection
        if connection.applicant is self:
            connection.take_up(self._message, self._route, admission)
        elif connection.front.admission:
            connection.front.admission.give_back(admission)

    def turned_away(self, status: int, retry_after: float) -> None:
        if self._connection.applicant is self:
            self._connection.turned_away(status, retry_after)
