"""Draining after SIGTERM: until when requests are accepted, and that each gets a complete response."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from firvane.fleet.router.drain import Drain
from tests.fleet.router.helpers import (
    REQUEST,
    STREAM_HEAD,
    Backend,
    RouterHarness,
    chunk,
    event,
    request_id,
    start_router,
)

LAST_CHUNK = b"0\r\n\r\n"
LATEST_SEND_S = 3.0  # s after SIGTERM; every request sent later must get a complete response


async def endless_stream(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)))
    await asyncio.Event().wait()


async def complete_stream(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)) + LAST_CHUNK)


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0)


def run_scenario(scenario: Callable[[RouterHarness, Backend], Awaitable[None]]) -> None:
    async def main() -> None:
        backend = Backend("a", endless_stream)
        async with start_router([backend]) as router:
            await scenario(router, backend)

    asyncio.run(asyncio.wait_for(main(), 10))


def drain(router: RouterHarness, since: float, remaining: float = 3.0) -> None:
    """Start draining as if SIGTERM came `since` seconds ago, with `remaining` seconds until the deadline."""
    now = router.listener.loop.time()
    router.listener.drain.start(now - since, now + remaining)


def test_a_request_on_a_connection_accepted_long_after_sigterm_is_rejected() -> None:
    """The platform also uses routers that are not ready if fewer than half of a zone are ready."""

    async def scenario(router: RouterHarness, backend: Backend) -> None:
        drain(router, since=LATEST_SEND_S + 1.0)
        response = await router.fetch(REQUEST % b"late")
        assert not backend.requests
        assert response.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in response

    run_scenario(scenario)


def test_a_request_on_a_kept_connection_is_served_early_and_rejected_late() -> None:
    async def scenario(router: RouterHarness, backend: Backend) -> None:
        backend.handler = complete_stream
        for since, status in ((1.0, b"200"), (LATEST_SEND_S + 0.5, b"503")):
            reader, writer = await router.connect()
            writer.write(REQUEST % b"before")
            await reader.readuntil(LAST_CHUNK)
            drain(router, since)
            writer.write(REQUEST % b"after")
            response = await reader.read()
            assert response.startswith(b"HTTP/1.1 " + status)
            assert b"Connection: close" in response
            assert response.endswith(LAST_CHUNK if status == b"200" else b"503\n")
            router.listener.drain = Drain()
            writer.close()
        assert [request_id(request) for request in backend.requests] == [b"before", b"after", b"before"]

    run_scenario(scenario)


def test_a_request_pipelined_before_sigterm_gets_a_complete_response() -> None:
    """The head of the first response was sent before SIGTERM, without `Connection: close`."""

    async def scenario(router: RouterHarness, backend: Backend) -> None:
        go_on = asyncio.Event()

        async def in_two_parts(
            request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)))
            await go_on.wait()
            writer.write(chunk(event(2)) + LAST_CHUNK)

        backend.handler = in_two_parts
        reader, writer = await router.connect()
        writer.write(REQUEST % b"first" + REQUEST % b"second")
        head = await reader.readuntil(b"data: 1\n\n")
        assert b"Connection: close" not in head
        drain(router, since=LATEST_SEND_S + 1.0)
        go_on.set()
        rest = await reader.read()
        first, _, second = rest.partition(LAST_CHUNK)
        assert b"data: 2\n\n" in first
        assert second.startswith(b"HTTP/1.1 503 ") and second.endswith(b"503\n")
        assert [request_id(request) for request in backend.requests] == [b"first"]
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("parts", (1, 2))
def test_each_request_received_before_a_response_with_connection_close_gets_a_response(parts: int) -> None:
    """This includes a request received only in part when the head of the previous response is sent."""

    async def scenario(router: RouterHarness, backend: Backend) -> None:
        backend.handler = complete_stream
        drain(router, since=1.0)
        reader, writer = await router.connect()
        second = REQUEST % b"second"
        cut = len(second) if parts == 1 else 20
        writer.write(REQUEST % b"first" + second[:cut])
        responses = await reader.readuntil(LAST_CHUNK)
        assert b"Connection: close" not in responses
        if parts == 2:
            writer.write(second[cut:])
        last = await reader.read()
        assert last.startswith(b"HTTP/1.1 200 ") and last.endswith(LAST_CHUNK)
        assert b"Connection: close" in last
        assert [request_id(request) for request in backend.requests] == [b"first", b"second"]
        writer.close()

    run_scenario(scenario)


def test_late_pipelined_requests_are_all_rejected() -> None:
    async def scenario(router: RouterHarness, backend: Backend) -> None:
        drain(router, since=LATEST_SEND_S + 1.0)
        responses = await router.fetch(REQUEST % b"first" + REQUEST % b"second" + REQUEST % b"third")
        assert responses.count(b"HTTP/1.1 503 ") == 3 and responses.count(b"Connection: close") == 1
        assert responses.rpartition(b"HTTP/1.1 503 ")[2].count(b"Connection: close") == 1
        assert not backend.requests

    run_scenario(scenario)


def test_a_request_completed_late_gets_a_complete_response_and_is_not_forwarded() -> None:
    async def scenario(router: RouterHarness, backend: Backend) -> None:
        reader, writer = await router.connect()
        request = REQUEST % b"slow"
        writer.write(request[:-2])
        await wait_until(lambda: any(connection.receiving for connection in router.listener.connections))
        drain(router, since=LATEST_SEND_S + 1.0)
        router.listener.close_idle()  # does not close the connection with the partial request
        writer.write(request[-2:])
        response = await reader.read()
        assert response.startswith(b"HTTP/1.1 503 ") and response.endswith(b"503\n") and not backend.requests
        writer.close()

    run_scenario(scenario)


def test_a_connection_closes_after_the_response_in_flight_once_no_request_is_accepted() -> None:
    async def scenario(router: RouterHarness, backend: Backend) -> None:
        go_on = asyncio.Event()

        async def waits(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)))
            await go_on.wait()
            writer.write(LAST_CHUNK)

        backend.handler = waits
        reader, writer = await router.connect()
        writer.write(REQUEST % b"first")
        await reader.readuntil(b"data: 1\n\n")
        drain(router, since=LATEST_SEND_S + 1.0)
        go_on.set()
        assert (await reader.read()).endswith(LAST_CHUNK)  # the connection ends without another request
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize(("grace", "accepted_for"), ((7.2, 2.8), (4.0, 2.0), (0.5, 0.25)))
def test_requests_are_accepted_until_a_bound_that_depends_on_the_grace_period(
    grace: float, accepted_for: float
) -> None:
    """The bound is below 3 s, and at most half of the grace period so that requests can still be served."""

    async def scenario(router: RouterHarness, backend: Backend) -> None:
        router.listener.drain.start(100.0, 100.0 + grace)
        assert router.listener.drain.accepts_requests(100.0 + accepted_for - 0.001)
        assert not router.listener.drain.accepts_requests(100.0 + accepted_for)

    run_scenario(scenario)
