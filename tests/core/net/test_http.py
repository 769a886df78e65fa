"""The shared reader, and the listener on it: valid messages however cut, and garbage."""

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


class Taken:
    """An engine that only collects."""

    def __init__(self) -> None:
        self.flows: list[tuple[Flow[Any, Any], api.Request]] = []
        self.left: list[Flow[Any, Any]] = []
        self.request_counters = RequestCounters()
        self.event_counts = Counter[str]()

    def accept_request(self, flow: Flow[Any, Any], request: api.Request) -> None:
        self.flows.append((flow, request))

    def on_client_disconnected(self, flow: Flow[Any, Any]) -> None:
        self.left.append(flow)


def listener() -> tuple[ClientConnection, Wire, Taken]:
    taken = Taken()
    config = settings(classes=(READ, PAY), tenants=(api.Tenant("acme"),))
    clock = Clock()
    limiter = ConnectionLimiter(clock, taken, config, make_monitor(clock))  # type: ignore[arg-type]
    limiter.ready = True
    made = limiter.accept()
    return made, Wire(made), taken


def statuses(wire: Wire) -> list[int]:
    return [int(code) for code in re.findall(rb"HTTP/1.1 (\d+)", wire.written)]


def answer(body: bytes = b"hello") -> http_message.Message:
    message = http_message.Message()
    message.status, message.body, message.size = 200, [body], len(body)
    message.headers = [(b"Content-Type", b"text/html"), (b"Connection", b"close")]
    return message


@seeded
@given(places)
def test_requests_come_out_whole_however_they_are_cut(where: list[int]) -> None:
    made, wire, taken = listener()
    for piece in cut(GET + POST, where):
        made.data_received(piece)
    ((flow, request),) = taken.flows  # the second waits for the first
    assert flow.request.url == b"/read/x?a=1" and flow.deadline == pytest.approx(1000.48)
    assert (request.key, request.work, request.is_retry, request.tenant) == ("7f", 0.012, True, 0)
    made.on_response(answer())
    made.context.loop.advance(0.0)  # type: ignore[attr-defined]
    assert wire.written.endswith(b"Content-Type: text/html\r\nContent-Length: 5\r\n\r\nhello")
    assert b"".join(taken.flows[1][0].request.body) == b"body"


def test_white_space_round_a_value_is_none_of_it() -> None:
    # Guards against a usual request that gets 400 since its client pads what it sends.
    made, _, taken = listener()
    padded = b"\r\n".join(line + b" \t" if b": " in line else line for line in GET.split(b"\r\n"))
    made.data_received(padded.replace(b": ", b":  "))
    ((flow, request),) = taken.flows
    assert request.tenant == 0 and flow.name.strip() == flow.name


@seeded
@given(garbage, places)
def test_garbage_from_clients_is_answered_and_hung_up_on(data: bytes, where: list[int]) -> None:
    made, wire, taken = listener()
    for piece in cut(data + b"\r\n\r\n\r\n", where):
        made.data_received(piece)
    assert not taken.flows
    # Among what is drawn are words of the sources, and the path that asks whether it is ready has an answer.
    up = {200, 503} if b"/up" in data else set[int]()
    assert set(statuses(wire)) <= {400, 404, 405, 413, 431} | up


@seeded
@given(st.sampled_from(FRAMED), places)
def test_answers_come_out_whole_however_they_are_cut(rest: bytes, where: list[int]) -> None:
    reader = http_reader.MessageReader(httptools.HttpResponseParser)
    for piece in cut(b"HTTP/1.1 200 OK\r\nX-Hit: 1\r\n" + rest, where):
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
def test_garbage_from_targets_is_a_fault_at_worst(data: bytes, where: list[int]) -> None:
    reader = http_reader.MessageReader(httptools.HttpResponseParser)
    try:
        for piece in cut(data, where):
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
def test_bad_input_gets_its_status(data: bytes, status: int, closes: bool) -> None:
    made, wire, taken = listener()
    made.data_received(data)
    assert statuses(wire) == [status] and not taken.flows and wire.eof is closes
    if not closes:
        made.data_received(GET)
        assert len(taken.flows) == 1


def test_an_id_that_is_open_is_turned_down_until_it_is_answered() -> None:
    # Two flows under one id: a target's answer, or its refusal, could be for either.
    first, wire, taken = listener()
    first.data_received(GET)
    second = ClientConnection(first.context)
    other = Wire(second)
    second.data_received(GET)
    assert statuses(other) == [409] and other.eof and len(taken.flows) == 1
    first.on_response(answer())
    assert statuses(wire) == [200]
    third = ClientConnection(first.context)
    Wire(third).protocol.data_received(GET)
    assert len(taken.flows) == 2


def later(limiter: ConnectionLimiter, span: float) -> None:
    limiter.loop.advance(span)  # type: ignore[attr-defined]
    limiter.sweep()


@pytest.mark.parametrize(("sent", "answers"), [(b"", []), (b"GET /read", [408]), (GET[:-2], [408])])
def test_who_does_not_ask_within_three_seconds_is_hung_up_on(sent: bytes, answers: list[int]) -> None:
    made, wire, _ = listener()
    made.data_received(sent[:3])
    later(made.context, 2.0)
    assert not wire.closed and not wire.eof
    made.data_received(sent[3:])  # more of the same half does not win more time
    later(made.context, 0.8)
    assert statuses(wire) == answers and (wire.closed or wire.eof)
    later(made.context, 2.5)
    assert wire.closed


def test_the_silent_make_room_first_and_the_usual_clients_last() -> None:
    made, wire, taken = listener()
    limiter = made.context
    make_places(limiter.monitor, 4)
    made.data_received(GET)
    made.on_response(answer())  # has asked and is idle
    busy, silent = ClientConnection(limiter), ClientConnection(limiter)
    wires = [Wire(busy), Wire(silent)]
    busy.data_received(GET)
    limiter.loop.advance(1.0)  # type: ignore[attr-defined]
    wires += [Wire(ClientConnection(limiter)) for _ in range(3)]  # two more than there are places
    assert not any(w.closed for w in wires)
    limiter.loop.advance(0.03)  # type: ignore[attr-defined]
    assert [w.closed for w in (wire, *wires)] == [True, False, True, True, False, False]
    assert not taken.left


def test_an_answer_on_its_way_is_not_thrown_away_to_make_room() -> None:
    # It would be a request taken and never answered.
    made, wire, _ = listener()
    make_places(made.context.monitor, 1)
    made.data_received(GET)
    wire.buffered = 9
    made.on_response(answer())
    Wire(ClientConnection(made.context))
    assert not wire.closed and made.context.accepting_paused


@pytest.mark.parametrize(("asked", "kept"), [(0, 0.3), (1, 0.05), (2, 1.9)])
def test_unused_connections_are_kept_for_long_only_where_there_is_room(asked: int, kept: float) -> None:
    # Clients that ask once and stay took all the places that clients may have: those with requests had none.
    made, wire, _ = listener()
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


def test_a_head_without_an_end_is_cut_off() -> None:
    # The parser gathers a field of any length; only the count of raw bytes ends it.
    made, wire, _ = listener()
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
def test_no_part_of_a_message_goes_on_without_an_end(message: bytes, status: int) -> None:
    # The parser passes over extensions and gathers trailers for as long as they come.
    made, wire, _ = listener()
    for piece in cut(message, list(range(0, len(message), 1000))):
        made.data_received(piece)
        turn(made)
    assert statuses(wire) == [status]


def test_a_body_in_chunks_of_one_byte_costs_little_more_than_its_bytes() -> None:
    reader = http_reader.MessageReader(httptools.HttpRequestParser)
    reader.feed(b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 30000)
    assert reader.message and reader.message.size == 30000 and len(reader.message.body) < 40


def turn(made: ClientConnection) -> None:
    made.context.loop.turn()  # type: ignore[attr-defined]


def test_what_is_pipelined_waits_unread_and_reading_stops() -> None:
    # Parsed as it came, one connection took the proxy to a gigabyte in 8 s.
    made, wire, taken = listener()
    made.data_received(GET.replace(b"9b1f", b"0") + GET * 9)
    assert len(taken.flows) == 1 and not made.reader.completed and wire.paused
    for n in range(1, 10):
        made.unparsed = made.unparsed.replace(b"9b1f", b"%d" % n, 1)
        made.on_response(answer())
        turn(made)
        assert len(taken.flows) == n + 1 and wire.paused is (n < 9)


class Refusing(Taken):
    """An engine that refuses whatever comes, at once."""

    def accept_request(self, flow: Flow[Any, Any], request: api.Request) -> None:
        super().accept_request(flow, request)
        flow.client.on_rejected(0.0)


def test_a_turn_of_the_loop_has_an_end_and_each_connection_its_part() -> None:
    # 10,000 requests in one segment were refused in one go, which stopped everything else for a second.
    made, wire, _ = listener()
    made.context.engine = refusing = Refusing()  # type: ignore[assignment]
    made.data_received(GET * 2000)
    share = LOW_PRIORITY_UNITS // (
        READ_UNITS + DECISION_UNITS
    )  # of a turn, for what is sent behind another request
    assert len(refusing.flows) == 1 and wire.paused
    make_places(made.context.monitor, 1000)
    loop_budget = ITERATION_UNITS // (READ_UNITS + DECISION_UNITS)
    others = [Wire(ClientConnection(made.context)) for _ in range(3 * loop_budget)]
    for other in others:
        other.protocol.data_received(GET)
    assert len(refusing.flows) == loop_budget
    before = len(statuses(wire))
    for _ in range(4):
        turn(made)
    assert all(statuses(other) == [503] for other in others)
    assert len(statuses(wire)) <= before + 5 * share
    while made.unparsed:
        turn(made)
    assert len(statuses(wire)) == 2000 and not wire.paused


def test_no_request_is_taken_up_while_the_last_answer_is_unread() -> None:
    # Answers to a client that asks on and never reads were kept in memory without a bound.
    made, wire, taken = listener()
    wire.stuck = True
    made.data_received(GET * 3)
    made.on_response(answer())
    turn(made)
    assert len(taken.flows) == 1 and wire.paused and not made.is_idle()
    wire.unstick()
    turn(made)
    assert len(taken.flows) == 2
    wire.stuck = True
    made.on_response(answer())
    later(made.context, 2.4)  # the flow's own time is up, and it has a while more to read
    assert not wire.closed
    later(made.context, 0.2)
    assert wire.closed and len(taken.flows) == 2


def test_a_fault_behind_a_request_waits_for_its_answer() -> None:
    made, wire, taken = listener()
    made.data_received(GET + b"rubbish\r\n\r\n")
    assert len(taken.flows) == 1 and not wire.written and not wire.closed
    made.on_rejected(0.25)
    made.context.loop.advance(0.0)  # type: ignore[attr-defined]
    assert statuses(wire) == [503, 400] and b"Retry-After: 0.250\r\n" in wire.written


def test_an_ending_proxy_serves_who_is_here_but_owes_nothing_past_its_end() -> None:
    # Closed at once, its clients had nobody to go to where the proxy before it was not back yet.
    made, wire, taken = listener()
    made.context.draining, made.context.drain_deadline = True, 1000.2
    for _ in range(2):
        made.data_received(GET)
        assert taken.flows[-1][0].deadline == 1000.2
        made.on_response(answer())
    assert not wire.closed and b"Connection: close" not in wire.written and len(taken.flows) == 2


def test_while_closing_an_answer_ends_the_connection_and_not_before() -> None:
    made, wire, taken = listener()
    made.data_received(GET)
    made.context.closing = True
    made.context.close_idle()
    assert not wire.closed
    made.on_response(answer())
    assert b"Connection: close" in wire.written and wire.closed and not taken.left


def test_a_client_that_hangs_up_leaves() -> None:
    made, wire, taken = listener()
    made.data_received(GET)
    wire.close()
    assert taken.left == [taken.flows[0][0]]


def test_what_holds_for_one_connection_is_not_passed_on() -> None:
    reader = http_reader.MessageReader(httptools.HttpRequestParser)
    reader.feed(GET.replace(b"Host: app", b"Host: app\r\nConnection: keep-alive, X-Own\r\nX-Own: 1\r\nTE: x"))
    head = b"".join(http_writer.format_request_head(reader.completed[0], 77, b"h:1"))
    assert head.startswith(b"GET /read/x?a=1 HTTP/1.1\r\n") and b"X-Call-Id: 9b1f\r\n" in head
    assert b"X-Own" not in head and b"TE:" not in head and b"Budget-Ms: 480" not in head
    assert head.endswith(b"X-Budget-Ms: 77\r\n\r\n")
