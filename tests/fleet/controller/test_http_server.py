"""The HTTP server of the operator API: fragmented requests, limits, timeouts, malformed input."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import pairwise
from typing import Any

import pytest
import uvloop
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from firvane.core.logs import QUIET
from firvane.core.net.http_message import Message
from firvane.core.net.http_reader import MessageReader
from firvane.fleet.controller.http_server import (
    CONTINUE_RESPONSE,
    Bounds,
    Connection,
    ConnectionState,
    HttpServer,
)
from firvane.fleet.controller.responses import Response
from tests.live_objects import OF_A_REQUEST, LiveObjects, alive, settle, wait_until

__all__ = ["alive"]

no_deadline = settings(suppress_health_check=[HealthCheck.too_slow], deadline=None)
LoopFactory = Callable[[], asyncio.AbstractEventLoop]
GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


class Timer:
    def __init__(self, at: float, callback: Callable[[], None]) -> None:
        self.at, self.callback, self.cancelled = at, callback, False

    def cancel(self) -> None:
        self.cancelled = True


class Clock:
    """The methods of an event loop that a connection uses, with simulated time and tasks run manually."""

    def __init__(self) -> None:
        self.now = 0.0
        self.timers: list[Timer] = []
        self.tasks: list[Any] = []

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        timer = Timer(self.now + delay, callback)
        self.timers.append(timer)
        return timer

    def create_task(self, coroutine: Any) -> Any:
        task = Task(coroutine)
        self.tasks.append(task)
        return task

    def pass_time(self, span: float) -> None:
        self.now += span
        for timer in list(self.timers):
            if not timer.cancelled and timer.at <= self.now:
                self.timers.remove(timer)
                timer.callback()

    def run_tasks(self) -> None:
        tasks, self.tasks = self.tasks, []
        for task in tasks:
            task.run()


class Task:
    def __init__(self, coroutine: Any) -> None:
        self.coroutine, self.cancelled = coroutine, False

    def cancel(self) -> None:
        self.cancelled = True
        self.coroutine.close()

    def run(self) -> None:
        if not self.cancelled:
            with pytest.raises(StopIteration):
                self.coroutine.send(None)


class Pipe(asyncio.Transport):
    """A transport that records the written data."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = bytearray()
        self.reading = True
        self.closed = False

    def write(self, data: Any) -> None:
        self.sent += data

    def close(self) -> None:
        self.closed = True

    abort = close

    def is_closing(self) -> bool:
        return self.closed

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


class Rig:
    """A server without sockets."""

    def __init__(self, bounds: Bounds | None = None) -> None:
        self.clock = Clock()
        self.requests: list[Message] = []
        self.server = HttpServer(self.clock, self.handle, QUIET, bounds)  # type: ignore[arg-type]

    async def handle(self, request: Message) -> Response:
        self.requests.append(request)
        if request.url == b"/fault":
            raise ValueError("handler failed")
        return Response(200, b"".join(request.body))

    def connect(self) -> tuple[Connection, Pipe]:
        connection, pipe = Connection(self.server), Pipe()
        connection.connection_made(pipe)
        return connection, pipe


def status_of(pipe: Pipe) -> int:
    return int(bytes(pipe.sent).split(b" ", 2)[1])


def chunked(body: bytes, size: int) -> bytes:
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    framed = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + framed + b"0\r\n\r\n"


def with_length(body: bytes) -> bytes:
    return b"POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@settings(no_deadline, max_examples=60)
@given(
    bodies=st.lists(st.binary(max_size=40), min_size=1, max_size=4),
    size=st.integers(1, 20),
    cuts=st.lists(st.integers(0, 600), max_size=8),
    in_chunks=st.booleans(),
)
def test_requests_split_anywhere_are_handled_in_order(
    bodies: list[bytes], size: int, cuts: list[int], in_chunks: bool
) -> None:
    rig = Rig()
    connection, pipe = rig.connect()
    data = b"".join(chunked(body, size) if in_chunks else with_length(body) for body in bodies)
    bounds = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for start, end in pairwise(bounds):
        if end > start:
            connection.data_received(data[start:end])
            rig.clock.run_tasks()
    while rig.clock.tasks:
        rig.clock.run_tasks()
    assert [b"".join(request.body) for request in rig.requests] == bodies
    assert pipe.sent.count(b"HTTP/1.1 200 OK") == len(bodies)
    assert pipe.reading and not pipe.closed


def test_a_large_chunked_body_is_received_completely() -> None:
    rig = Rig()
    connection, pipe = rig.connect()
    body = bytes(range(256)) * 12_000
    data = chunked(body, 10_000)
    for at in range(0, len(data), 65_536):
        connection.data_received(data[at : at + 65_536])
    rig.clock.run_tasks()
    assert b"".join(rig.requests[0].body) == body
    assert status_of(pipe) == 200


@settings(no_deadline, max_examples=100)
@given(st.lists(st.binary(min_size=1, max_size=60), max_size=6))
def test_the_server_survives_any_bytes(pieces: list[bytes]) -> None:
    rig = Rig()
    connection, pipe = rig.connect()
    for piece in pieces:
        connection.data_received(piece)
        rig.clock.run_tasks()
    rig.clock.pass_time(100)
    rig.clock.run_tasks()
    other, answer = rig.connect()
    other.data_received(GET)
    rig.clock.run_tasks()
    assert status_of(answer) == 200
    assert pipe.closed or not rig.server.buffered_body_bytes()


def test_malformed_bytes_are_answered_with_400_and_closed() -> None:
    rig = Rig()
    connection, pipe = rig.connect()
    connection.data_received(b"\x16\x03\x01\x02\x00\x01")
    assert status_of(pipe) == 400
    assert pipe.closed
    connection.data_received(GET)
    assert not rig.clock.tasks


def test_a_body_above_the_limit_is_rejected() -> None:
    rig = Rig(Bounds(body_bytes=1000))
    connection, pipe = rig.connect()
    connection.data_received(b"POST /x HTTP/1.1\r\nContent-Length: 1001\r\n\r\n")
    assert status_of(pipe) == 413
    assert pipe.closed


def test_the_total_size_of_bodies_is_bounded() -> None:
    rig = Rig(Bounds(body_bytes=1000, total_bytes=1500))
    first, _ = rig.connect()
    second, pipe = rig.connect()
    for connection in (first, second):
        connection.data_received(b"POST /x HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + bytes(900))
    assert status_of(pipe) == 503
    assert first.state is ConnectionState.BODY


def test_a_client_that_expects_100_continue_receives_it() -> None:
    rig = Rig()
    connection, pipe = rig.connect()
    connection.data_received(b"POST /x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    assert bytes(pipe.sent) == CONTINUE_RESPONSE
    connection.data_received(b"ab")
    rig.clock.run_tasks()
    assert b"".join(rig.requests[0].body) == b"ab"


def test_an_exception_of_the_handler_is_answered_with_500() -> None:
    rig = Rig()
    connection, pipe = rig.connect()
    connection.data_received(b"GET /fault HTTP/1.1\r\n\r\n")
    rig.clock.run_tasks()
    assert status_of(pipe) == 500


@pytest.mark.parametrize(
    ("received", "span", "answered"),
    [
        (b"", Bounds().idle_timeout_s, False),
        (b"POST /x HTT", Bounds().head_timeout_s, True),
        (b"POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", Bounds().body_timeout_s, True),
    ],
)
def test_idle_and_incomplete_requests_time_out(received: bytes, span: float, answered: bool) -> None:
    rig = Rig()
    connection, pipe = rig.connect()
    if received:
        connection.data_received(received)
    rig.clock.pass_time(span - 0.1)
    assert not pipe.closed
    rig.clock.pass_time(0.2)
    assert pipe.closed
    assert (b" 408 " in pipe.sent) is answered


def test_slowly_received_bytes_do_not_extend_the_timeout() -> None:
    rig = Rig()
    connection, pipe = rig.connect()
    for byte in b"GET /x HTTP":
        connection.data_received(bytes([byte]))
        rig.clock.pass_time(Bounds().head_timeout_s / 10)
    assert pipe.closed


def test_an_unread_response_pauses_reading_and_times_out() -> None:
    rig = Rig()
    connection, pipe = rig.connect()
    connection.data_received(GET * 3)
    connection.pause_writing()
    rig.clock.run_tasks()
    assert len(rig.requests) == 1
    assert not pipe.reading
    connection.resume_writing()
    rig.clock.run_tasks()
    assert len(rig.requests) == 2
    connection.pause_writing()
    connection.data_received(GET)
    rig.clock.run_tasks()
    rig.clock.pass_time(Bounds().write_timeout_s + 1)
    assert pipe.closed


def test_connections_above_the_limit_replace_idle_ones() -> None:
    rig = Rig(Bounds(connections=2))
    pipes = [rig.connect()[1] for _ in range(3)]
    assert sum(pipe.closed for pipe in pipes) == 1
    busy = Rig(Bounds(connections=1))
    connection, _ = busy.connect()
    connection.data_received(GET)
    _, rejected = busy.connect()
    assert rejected.closed
    busy.clock.run_tasks()


def test_shutdown_lets_active_requests_finish() -> None:
    rig = Rig()
    idle, idle_pipe = rig.connect()
    busy, busy_pipe = rig.connect()
    busy.data_received(GET)
    rig.server.stop_accepting()
    assert idle_pipe.closed and idle.state is ConnectionState.CLOSED
    assert not busy_pipe.closed
    rig.clock.run_tasks()
    assert b"Connection: close" in busy_pipe.sent
    assert busy_pipe.closed


@pytest.mark.parametrize("behind", [GET, with_length(b"order"), b"\r\n"])
def test_shutdown_answers_each_request_that_has_been_read(behind: bytes) -> None:
    rig = Rig()
    connection, pipe = rig.connect()
    connection.data_received(GET + behind)
    rig.server.stop_accepting()
    rig.clock.run_tasks()
    rig.clock.run_tasks()  # the pipelined request, if any
    expected = 1 if behind.isspace() else 2
    assert pipe.sent.count(b"HTTP/1.1 200 ") == expected
    assert pipe.sent.count(b"Connection: close") == expected - 1
    assert pipe.closed


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_over_a_real_socket(loop_factory: LoopFactory) -> None:
    async def scenario() -> bytes:
        loop = asyncio.get_running_loop()

        async def handle(request: Message) -> Response:
            return Response(307, b"{}", {"Location": "http://127.0.0.1:1/x"})

        server = HttpServer(loop, handle, QUIET)
        await server.start(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*server.address())
        writer.write(with_length(bytes(300_000)))
        head = await reader.readuntil(b"\r\n\r\n")
        body = await reader.readexactly(2)
        server.stop_accepting()
        await server.drain(1.0)
        rest = await reader.read()
        writer.close()
        server.close()
        return head + body + rest

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        answer = runner.run(scenario())
    assert answer.startswith(b"HTTP/1.1 307 Temporary Redirect\r\n")
    assert b"Location: http://127.0.0.1:1/x\r\n" in answer
    assert answer.endswith(b"{}")


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_drain_waits_for_a_request_that_is_still_being_received(loop_factory: LoopFactory) -> None:
    async def scenario() -> bytes:
        loop = asyncio.get_running_loop()
        handled = asyncio.Event()

        async def handle(request: Message) -> Response:
            await handled.wait()
            return Response(200, b"{}")

        server = HttpServer(loop, handle, QUIET)
        await server.start(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*server.address())
        order = with_length(bytes(1000))
        writer.write(order[:-1])
        while not any(connection.state is ConnectionState.BODY for connection in server.connections):
            await asyncio.sleep(0)
        server.stop_accepting()
        drain_task = loop.create_task(server.drain(5.0))
        writer.write(order[-1:])
        while not any(connection.state is ConnectionState.HANDLING for connection in server.connections):
            await asyncio.sleep(0)
        assert not drain_task.done()
        handled.set()
        await drain_task
        server.close()
        answer = await reader.read()
        writer.close()
        return answer

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        answer = runner.run(scenario())
    assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"{}")


def test_drain_ends_at_its_timeout() -> None:
    async def scenario() -> None:
        async def handle(request: Message) -> Response:
            raise AssertionError("no complete request is sent")

        server = HttpServer(asyncio.get_running_loop(), handle, QUIET)
        await server.start(("127.0.0.1", 0))
        _, writer = await asyncio.open_connection(*server.address())
        writer.write(b"POST ")
        while not any(connection.state is ConnectionState.HEAD for connection in server.connections):
            await asyncio.sleep(0)
        server.stop_accepting()
        await server.drain(0.02)
        assert server.connections
        server.close()
        writer.close()

    asyncio.run(asyncio.wait_for(scenario(), 10))


@pytest.mark.parametrize("leaves", (False, True))
@pytest.mark.parametrize("loop_factory", (asyncio.new_event_loop, uvloop.new_event_loop))
def test_a_request_body_is_released_after_its_request(
    loop_factory: LoopFactory, leaves: bool, alive: LiveObjects
) -> None:
    # Guards against reference cycles that keep bodies of finished requests until the garbage collector runs.
    order = b"x" * 1_000_000

    async def handler(request: Message) -> Response:
        return Response(200, b"taken")

    async def scenario() -> dict[str, int]:
        server = HttpServer(asyncio.get_running_loop(), handler, QUIET)
        await server.start(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*server.address())
        writer.write(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(order))
        writer.write(order[: len(order) // 2] if leaves else order)
        if leaves:
            await writer.drain()
            await settle()
        else:
            await reader.readuntil(b"taken")
            await settle()
            assert alive.count() == {}  # on an open connection
        writer.transport.abort()
        await wait_until(lambda: not server.connections)
        await settle()
        left = alive.count((*OF_A_REQUEST, Connection, MessageReader))
        server.close()
        return left

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert runner.run(asyncio.wait_for(scenario(), 10)) == {}
