"""The message reader and client connections: valid input, split anywhere, and invalid input."""

from __future__ import annotations

import re
from collections import Counter
from typing import Any

import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core import interface as api
from firvane.core.flows import Flow
from firvane.core.net import http_message, http_reader, http_writer
from firvane.core.request_counters import RequestCounters
from firvane.proxy.limits.loop_budget import DECISION_UNITS, ITERATION_UNITS, LOW_PRIORITY_UNITS, READ_UNITS
from firvane.proxy.net.client_connection import ClientConnection
from firvane.proxy.net.connection_limiter import ConnectionLimiter
from tests.helpers import settings
from tests.proxy.net.helpers import (
    PAY,
    READ,
    Clock,
    Wire,
    cut,
    garbage,
    make_monitor,
    make_places,
    places,
    seeded,
)

HEAD = "GET /read/x?a=1 HTTP/1.1\r\nHost: app\r\nX-Call-Id: 9b1f\r\nX-Caller: acme\r\nX-Budget-Ms: 480\r\n"
GET = (HEAD + "X-Route-Hash: 7f\r\nX-Call-Cost: 12000\r\nX-Again: 1\r\n\r\n").encode()
POST = GET.replace(b"GET /read", b"POST /pay").replace(b"\r\n\r\n", b"\r\nContent-Length: 4\r\n\r\nbody")

FRAMED = (b"Content-Length: 5\r\n\r\nhello", b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")


class RecordingEngine:
    """An engine that only records calls."""

    def __init__(self) -> None:
        self.flows: list[tuple[Flow[Any, Any], api.Request]] = []
        self.left: list[Flow[Any, Any]] = []
        self.request_counters = RequestCounters()
        self.event_counts = Counter[str]()

    def accept_request(self, flow: Flow[Any, Any], request: api.Request) -> None:
        self.flows.append((flow, request))

    def on_client_disconnected(self, flow: Flow[Any, Any]) -> None:
        self.left.append(flow)


def make_connection() -> tuple[ClientConnection, Wire, RecordingEngine]:
    engine = RecordingEngine()
    config = settings(classes=(READ, PAY), tenants=(api.Tenant("acme"),))
    clock = Clock()
    limiter = ConnectionLimiter(clock, engine, config, make_monitor(clock))  # type: ignore[arg-type]
    limiter.ready = True
    made = limiter.accept()
    return made, Wire(made), engine


def statuses(wire: Wire) -> list[int]:
    return [int(code) for code in re.findall(rb"HTTP/1.1 (\d+)", wire.written)]


def answer(body: bytes = b"hello") -> http_message.Message:
    message = http_message.Message()
    message.status, message.body, message.size = 200, [body], len(body)
    message.headers = [(b"Content-Type", b"text/html"), (b"Connection", b"close")]
    return message


@seeded
@given(places)
def test_requests_are_complete_however_they_are_split(split_at: list[int]) -> None:
    made, wire, engine = make_connection()
    for piece in cut(GET + POST, split_at):
        made.data_received(piece)
    ((flow, request),) = engine.flows  # the second request waits for the first
    assert flow.request.url == b"/read/x?a=1" and flow.deadline == pytest.approx(1000.48)
    assert (request.key, request.work, request.is_retry, request.tenant) == ("7f", 0.012, True, 0)
    made.on_response(answer())
    made.context.loop.advance(0.0)  # type: ignore[attr-defined]
    assert wire.written.endswith(b"Content-Type: text/html\r\nContent-Length: 5\r\n\r\nhello")
    assert b"".join(engine.flows[1][0].request.body) == b"body"


def test_white_space_around_a_value_is_removed() -> None:
    # Guards against rejecting requests of clients that pad field values.
    made, _, engine = make_connection()
    padded = b"\r\n".join(line + b" \t" if b": " in line else line for line in GET.split(b"\r\n"))
    made.data_received(padded.replace(b": ", b":  "))
    ((flow, request),) = engine.flows
    assert request.tenant == 0 and flow.name.strip() == flow.name


@seeded
@given(garbage, places)
def test_invalid_input_from_clients_is_answered_with_an_error(data: bytes, split_at: list[int]) -> None:
    made, wire, engine = make_connection()
    for piece in cut(data + b"\r\n\r\n\r\n", split_at):
        made.data_received(piece)
    assert not engine.flows
    # Hypothesis also draws constants of the sources: the readiness path is answered.
    up = {200, 503} if b"/up" in data else set[int]()
    assert set(statuses(wire)) <= {400, 404, 405, 413, 431} | up


@seeded
@given(st.sampled_from(FRAMED), places)
def test_responses_are_complete_however_they_are_split(rest: bytes, split_at: list[int]) -> None:
    reader = http_reader.MessageReader(httptools.HttpResponseParser)
    for piece in cut(b"HTTP/1.1 200 OK\r\nX-Hit: 1\r\n" + rest, split_at):
        reader.feed(piece)
    (message,) = reader.completed
    assert (
        message.status == 200
        and b"".join(message.body) == b"hello"
        and message.keep_alive
        and message.is_framed
    )


@seeded
@given(garbage, places)
def test_invalid_data_from_targets_raises_only_http_errors(data: bytes, split_at: list[int]) -> None:
    reader = http_reader.MessageReader(httptools.HttpResponseParser)
    try:
        for piece in cut(data, split_at):
            reader.feed(piece)
    except http_message.HttpError:
        pass


@pytest.mark.parametrize(
    ("data", "status", "closes"),
    [
        (GET.replace(b"/read", b"/none"), 404, True),
        (GET.replace(b"GET", b"POST"), 405, True),
        (GET.replace(b"480", b"soon"), 400, True),
        (GET.replace(b"480", b"-1"), 400, True),
        (GET.replace(b"X-Call-Id: 9b1f\r\n", b""), 400, True),
        (GET.replace(b"X-Call-Id: 9b1f\r\n", b"X-Call-Id: 9b1f\r\nx-call-id: 9b1e\r\n"), 400, True),
        (GET.replace(b"acme", b"emca"), 400, True),
        (GET.replace(b"\r\n\r\n", b"\r\nContent-Length: 4\r\n\r\nbody"), 400, True),
        (POST.replace(b"Length: 4", b"Length: 4\r\nTransfer-Encoding: chunked"), 400, True),
        (POST.replace(b"Length: 4", b"Length: 4\r\nContent-Length: 4"), 400, True),
        (POST.replace(b"Length: 4", b"Length: -4"), 400, True),
        (
            POST.replace(
                b"Content-Length: 4\r\n\r\nbody", b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"
            ),
            400,
            True,
        ),
        (b"GET /read HTTP/1.1\r\nbad header\r\n\r\n", 400, True),
        (POST.replace(b"Length: 4", b"Length: 33554433"), 413, True),
        (b"GET /read HTTP/1.1\r\nX-A: " + b"a" * 20000 + b"\r\n\r\n", 431, True),
        (b"GET /up HTTP/1.1\r\n\r\n", 200, False),
        (b"POST /up HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405, False),
    ],
)
def test_invalid_input_gets_its_status(data: bytes, status: int, closes: bool) -> None:
    made, wire, engine = make_connection()
    made.data_received(data)
    assert statuses(wire) == [status] and not engine.flows and wire.eof is closes
    if not closes:
        made.data_received(GET)
        assert len(engine.flows) == 1


def test_the_id_of_a_request_in_flight_is_rejected() -> None:
    # Guards against two flows with one id: a response of a target could be for either.
    first, wire, engine = make_connection()
    first.data_received(GET)
    second = ClientConnection(first.context)
    other = Wire(second)
    second.data_received(GET)
    assert statuses(other) == [409] and other.eof and len(engine.flows) == 1
    first.on_response(answer())
    assert statuses(wire) == [200]
    third = ClientConnection(first.context)
    Wire(third).protocol.data_received(GET)
    assert len(engine.flows) == 2


def later(limiter: ConnectionLimiter, span: float) -> None:
    limiter.loop.advance(span)  # type: ignore[attr-defined]
    limiter.sweep()


@pytest.mark.parametrize(("sent", "answers"), [(b"", []), (b"GET /read", [408]), (GET[:-2], [408])])
def test_a_client_without_a_request_within_three_seconds_is_disconnected(
    sent: bytes, answers: list[int]
) -> None:
    made, wire, _ = make_connection()
    made.data_received(sent[:3])
    later(made.context, 2.0)
    assert not wire.closed and not wire.eof
    made.data_received(sent[3:])  # more data of an incomplete request does not extend its time
    later(made.context, 0.8)
    assert statuses(wire) == answers and (wire.closed or wire.eof)
    later(made.context, 2.5)
    assert wire.closed


def test_connections_without_requests_are_evicted_first() -> None:
    made, wire, engine = make_connection()
    limiter = made.context
    make_places(limiter.monitor, 4)
    made.data_received(GET)
    made.on_response(answer())  # idle after a request
    busy, silent = ClientConnection(limiter), ClientConnection(limiter)
    wires = [Wire(busy), Wire(silent)]
    busy.data_received(GET)
    limiter.loop.advance(1.0)  # type: ignore[attr-defined]
    wires += [Wire(ClientConnection(limiter)) for _ in range(3)]  # two more than there are descriptors
    assert not any(w.closed for w in wires)
    limiter.loop.advance(0.03)  # type: ignore[attr-defined]
    assert [w.closed for w in (wire, *wires)] == [True, False, True, True, False, False]
    assert not engine.left


def test_a_connection_with_an_unsent_response_is_not_evicted() -> None:
    # Guards against an accepted request that is never answered.
    made, wire, _ = make_connection()
    make_places(made.context.monitor, 1)
    made.data_received(GET)
    wire.buffered = 9
    made.on_response(answer())
    Wire(ClientConnection(made.context))
    assert not wire.closed and made.context.accepting_paused


@pytest.mark.parametrize(("asked", "kept"), [(0, 0.3), (1, 0.05), (2, 1.9)])
def test_idle_timeouts_are_shortened_when_connections_run_short(asked: int, kept: float) -> None:
    # Guards against clients that send one request and stay, and take all descriptors from active clients.
    made, wire, _ = make_connection()
    for _ in range(asked):
        made.data_received(GET)
        made.on_response(answer())
    later(made.context, 50.0 if asked else 2.0)
    assert not wire.closed
    make_places(made.context.monitor, 2)
    made.idle_since = made.context.loop.time()
    later(made.context, kept)
    assert not wire.closed
    later(made.context, 0.3)
    assert wire.closed


def test_an_endless_head_is_rejected() -> None:
    # The parser buffers fields of any length; only the limit on raw bytes ends them.
    made, wire, _ = make_connection()
    for _ in range(20):
        made.data_received(b"GET /read HTTP/1.1\r\nX-A: " if not made.request_started else b"a" * 1000)
    assert statuses(wire) == [431] and wire.eof


@pytest.mark.parametrize(
    ("message", "status"),
    [
        (b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1;" + b"e" * 20000, 413),
        (b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + b"A: b\r\n" * 3000, 413),
        (b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: " + b"b" * 20000, 413),
        (b"GET /read HTTP/1.1\r\n" + b"a:b\r\n" * 131, 431),
    ],
)
def test_endless_parts_of_a_message_are_rejected(message: bytes, status: int) -> None:
    # The parser skips chunk extensions and buffers trailers without a limit.
    made, wire, _ = make_connection()
    for piece in cut(message, list(range(0, len(message), 1000))):
        made.data_received(piece)
        turn(made)
    assert statuses(wire) == [status]


def test_a_body_in_chunks_of_one_byte_takes_few_buffers() -> None:
    reader = http_reader.MessageReader(httptools.HttpRequestParser)
    reader.feed(b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 30000)
    assert reader.message and reader.message.size == 30000 and len(reader.message.body) < 40


def turn(made: ClientConnection) -> None:
    made.context.loop.turn()  # type: ignore[attr-defined]


def test_pipelined_requests_stay_unparsed_and_reading_is_paused() -> None:
    # Guards against parsing all input at once: a single connection used a gigabyte of memory within 8 s.
    made, wire, engine = make_connection()
    made.data_received(GET.replace(b"9b1f", b"0") + GET * 9)
    assert len(engine.flows) == 1 and not made.reader.completed and wire.paused
    for n in range(1, 10):
        made.unparsed = made.unparsed.replace(b"9b1f", b"%d" % n, 1)
        made.on_response(answer())
        turn(made)
        assert len(engine.flows) == n + 1 and wire.paused is (n < 9)


class RejectingEngine(RecordingEngine):
    """An engine that rejects each request at once."""

    def accept_request(self, flow: Flow[Any, Any], request: api.Request) -> None:
        super().accept_request(flow, request)
        flow.client.on_rejected(0.0)


def test_the_work_of_an_iteration_is_bounded_and_shared_by_connections() -> None:
    # Guards against rejecting 10,000 requests of one segment at once, which blocked the loop for a second.
    made, wire, _ = make_connection()
    made.context.engine = rejecting = RejectingEngine()  # type: ignore[assignment]
    made.data_received(GET * 2000)
    share = LOW_PRIORITY_UNITS // (
        READ_UNITS + DECISION_UNITS
    )  # of a turn, for what is sent behind another request
    assert len(rejecting.flows) == 1 and wire.paused
    make_places(made.context.monitor, 1000)
    loop_budget = ITERATION_UNITS // (READ_UNITS + DECISION_UNITS)
    others = [Wire(ClientConnection(made.context)) for _ in range(3 * loop_budget)]
    for other in others:
        other.protocol.data_received(GET)
    assert len(rejecting.flows) == loop_budget
    before = len(statuses(wire))
    for _ in range(4):
        turn(made)
    assert all(statuses(other) == [503] for other in others)
    assert len(statuses(wire)) <= before + 5 * share
    while made.unparsed:
        turn(made)
    assert len(statuses(wire)) == 2000 and not wire.paused


def test_no_request_is_accepted_while_the_last_response_is_unread() -> None:
    # Guards against unbounded memory for responses to a client that sends requests and never reads.
    made, wire, engine = make_connection()
    wire.stuck = True
    made.data_received(GET * 3)
    made.on_response(answer())
    turn(made)
    assert len(engine.flows) == 1 and wire.paused and not made.is_idle()
    wire.unstick()
    turn(made)
    assert len(engine.flows) == 2
    wire.stuck = True
    made.on_response(answer())
    later(made.context, 2.4)  # the request's deadline has passed, and the client has some more time to read
    assert not wire.closed
    later(made.context, 0.2)
    assert wire.closed and len(engine.flows) == 2


def test_an_error_after_a_request_is_answered_after_its_response() -> None:
    made, wire, engine = make_connection()
    made.data_received(GET + b"rubbish\r\n\r\n")
    assert len(engine.flows) == 1 and not wire.written and not wire.closed
    made.on_rejected(0.25)
    made.context.loop.advance(0.0)  # type: ignore[attr-defined]
    assert statuses(wire) == [503, 400] and b"Retry-After: 0.250\r\n" in wire.written


def test_a_draining_proxy_serves_its_connections_until_the_drain_deadline() -> None:
    # Guards against closing at once while no other proxy is back yet to serve the clients.
    made, wire, engine = make_connection()
    made.context.draining, made.context.drain_deadline = True, 1000.2
    for _ in range(2):
        made.data_received(GET)
        assert engine.flows[-1][0].deadline == 1000.2
        made.on_response(answer())
    assert not wire.closed and b"Connection: close" not in wire.written and len(engine.flows) == 2


def test_while_closing_a_response_ends_the_connection() -> None:
    made, wire, engine = make_connection()
    made.data_received(GET)
    made.context.closing = True
    made.context.close_idle()
    assert not wire.closed
    made.on_response(answer())
    assert b"Connection: close" in wire.written and wire.closed and not engine.left


def test_a_disconnected_client_ends_its_request() -> None:
    made, wire, engine = make_connection()
    made.data_received(GET)
    wire.close()
    assert engine.left == [engine.flows[0][0]]


def test_hop_by_hop_fields_are_not_forwarded() -> None:
    reader = http_reader.MessageReader(httptools.HttpRequestParser)
    reader.feed(GET.replace(b"Host: app", b"Host: app\r\nConnection: keep-alive, X-Own\r\nX-Own: 1\r\nTE: x"))
    head = b"".join(http_writer.format_request_head(reader.completed[0], 77, b"h:1"))
    assert head.startswith(b"GET /read/x?a=1 HTTP/1.1\r\n") and b"X-Call-Id: 9b1f\r\n" in head
    assert b"X-Own" not in head and b"TE:" not in head and b"Budget-Ms: 480" not in head
    assert head.endswith(b"X-Budget-Ms: 77\r\n\r\n")
