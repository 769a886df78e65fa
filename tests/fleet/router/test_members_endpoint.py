"""The members endpoint for operators, on the readiness port of a router."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

import uvloop

from firvane.fleet.router.members_endpoint import (
    CACHE_LIFETIME_S,
    MAX_UNREAD_RESPONSES,
    OVERLOADED,
    READ_TIMEOUT_S,
    MembersEndpoint,
    encode_response,
)
from firvane.fleet.router.readiness import NOT_FOUND, READY, ReadinessConnection

MEMBERS = b"GET /v1/fleet/members HTTP/1.1\r\nHost: a\r\n\r\n"
READINESS = b"GET /v1/readiness HTTP/1.1\r\nHost: a\r\n\r\n"


def run_scenario(scenario: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]) -> None:
    """Run a scenario on one connection to a router that is ready and has an empty members report."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        members = MembersEndpoint(loop, lambda: b"{}")
        server = await loop.create_server(lambda: ReadinessConnection(lambda: True, members), "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        try:
            async with asyncio.timeout(10.0):
                await scenario(reader, writer)
        finally:
            writer.close()
            server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


def test_the_members_report_is_sent_and_the_connection_closed() -> None:
    async def scenario(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(READINESS + MEMBERS + READINESS)
        assert await reader.read() == READY + encode_response(b"{}")

    run_scenario(scenario)


def test_responses_that_were_read_do_not_count_as_unread() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        members = MembersEndpoint(loop, lambda: b"{}")
        server = await loop.create_server(lambda: ReadinessConnection(lambda: True, members), "127.0.0.1", 0)
        for _ in range(2 * MAX_UNREAD_RESPONSES):
            reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
            writer.write(MEMBERS)
            assert await reader.read() == encode_response(b"{}")
            writer.close()
        server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


def test_other_paths_and_methods_get_404() -> None:
    for request in (
        b"POST /v1/fleet/members HTTP/1.1\r\n\r\n",
        b"GET /v1/fleet/membersX HTTP/1.1\r\n\r\n",
        b"GET /v1/fleet/parts HTTP/1.1\r\n\r\n",
        b"\xff\x00\r\n\r\n",
    ):

        async def scenario(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes = request
        ) -> None:
            writer.write(request)
            assert await reader.read() == NOT_FOUND

        run_scenario(scenario)


class Timer:
    def __init__(self, due: float, callback: Callable[[], None]) -> None:
        self.due, self.callback, self.cancelled = due, callback, False

    def cancel(self) -> None:
        self.cancelled = True


class Loop:
    """An event loop with a manual clock and recorded timers."""

    def __init__(self) -> None:
        self.now = 100.0
        self.timers: list[Timer] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        self.timers.append(Timer(self.now + delay, callback))
        return self.timers[-1]


class Client:
    """The transport of a client that reads nothing."""

    def __init__(self) -> None:
        self.written = b""
        self.closing = self.aborted = False

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        self.closing = True

    def abort(self) -> None:
        self.aborted = True


class EndpointHarness:
    def __init__(self) -> None:
        self.loop = Loop()
        self.reports = 0
        self.endpoint = MembersEndpoint(cast(asyncio.AbstractEventLoop, self.loop), self.report)

    def report(self) -> bytes:
        self.reports += 1
        return b"%d" % self.reports

    def request(self) -> Client:
        client = Client()
        self.endpoint.respond(cast(asyncio.Transport, client))
        return client

    def disconnect(self, client: Client) -> None:
        self.endpoint.connection_lost(cast(asyncio.Transport, client))


def test_unread_responses_are_limited_in_number_and_in_time() -> None:
    harness = EndpointHarness()
    clients = [harness.request() for _ in range(MAX_UNREAD_RESPONSES + 1)]
    assert [client.written == OVERLOADED for client in clients] == [False] * MAX_UNREAD_RESPONSES + [True]
    assert all(client.closing for client in clients)
    assert [timer.due for timer in harness.loop.timers] == [
        harness.loop.now + READ_TIMEOUT_S
    ] * MAX_UNREAD_RESPONSES
    harness.loop.timers[0].callback()
    assert clients[0].aborted
    harness.disconnect(clients[0])
    harness.disconnect(clients[-1])
    assert harness.request().written != OVERLOADED
    harness.disconnect(clients[1])
    assert [timer.cancelled for timer in harness.loop.timers] == [True, True, False, False, False]


def test_the_report_is_built_at_most_twice_a_second() -> None:
    harness = EndpointHarness()
    bodies = []
    for _ in range(3):
        client = harness.request()
        harness.disconnect(client)
        bodies.append(client.written[-1:])
        harness.loop.now += 0.6 * CACHE_LIFETIME_S
    assert bodies == [b"1", b"1", b"2"]
