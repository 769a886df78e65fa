"""What a router does after SIGTERM: until when it takes requests, and that each has a whole answer."""

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
SENT_LATEST = 3.0  # s after SIGTERM; a request that is sent later has to be answered whole


async def never_ends(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)))
    await asyncio.Event().wait()


async def whole_stream(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)) + LAST_CHUNK)


async def until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0)


def play(scenario: Callable[[RouterHarness, Backend], Awaitable[None]]) -> None:
    async def whole() -> None:
        backend = Backend("a", never_ends)
        async with start_router([backend]) as router:
            await scenario(router, backend)

    asyncio.run(asyncio.wait_for(whole(), 10))


def drain(router: RouterHarness, since: float, left: float = 3.0) -> None:
    """SIGTERM came `since` seconds ago, and `left` are left until the end."""
    now = router.listener.loop.time()
    router.listener.drain.start(now - since, now + left)


def test_a_request_on_a_connection_made_long_after_sigterm_is_rejected() -> None:
    """The platform uses routers that say no while fewer than half of a zone say yes."""

    async def scenario(router: RouterHarness, backend: Backend) -> None:
        drain(router, since=SENT_LATEST + 1.0)
        answer = await router.fetch(REQUEST % b"late")
        assert not backend.requests
        assert answer.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in answer

    play(scenario)


def test_a_request_on_a_kept_connection_is_served_early_and_rejected_late() -> None:
    async def scenario(router: RouterHarness, backend: Backend) -> None:
        backend.handler = whole_stream
        for since, status in ((1.0, b"200"), (SENT_LATEST + 0.5, b"503")):
            reader, writer = await router.connect()
            writer.write(REQUEST % b"before")
            await reader.readuntil(LAST_CHUNK)
            drain(router, since)
            writer.write(REQUEST % b"after")
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 " + status)
            assert b"Connection: close" in answer
            assert answer.endswith(LAST_CHUNK if status == b"200" else b"503\n")
            router.listener.drain = Drain()
            writer.close()
        assert [request_id(each) for each in backend.requests] == [b"before", b"after", b"before"]

    play(scenario)


def test_a_pipelined_request_behind_a_response_from_before_sigterm_gets_a_complete_response() -> None:
    """The head of the first answer could not say yet that the connection will be closed."""

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
        drain(router, since=SENT_LATEST + 1.0)
        go_on.set()
        rest = await reader.read()
        first, _, second = rest.partition(LAST_CHUNK)
        assert b"data: 2\n\n" in first
        assert second.startswith(b"HTTP/1.1 503 ") and second.endswith(b"503\n")
        assert [request_id(each) for each in backend.requests] == [b"first"]
        writer.close()

    play(scenario)


@pytest.mark.parametrize("parts", (1, 2))
def test_each_request_received_before_a_response_says_close_is_answered(parts: int) -> None:
    """Also where only a part of it is here when the head of the answer before it goes out."""

    async def scenario(router: RouterHarness, backend: Backend) -> None:
        backend.handler = whole_stream
        drain(router, since=1.0)
        reader, writer = await router.connect()
        second = REQUEST % b"second"
        cut = len(second) if parts == 1 else 20
        writer.write(REQUEST % b"first" + second[:cut])
        answers = await reader.readuntil(LAST_CHUNK)
        assert b"Connection: close" not in answers
        if parts == 2:
            writer.write(second[cut:])
        last = await reader.read()
        assert last.startswith(b"HTTP/1.1 200 ") and last.endswith(LAST_CHUNK)
        assert b"Connection: close" in last
        assert [request_id(each) for each in backend.requests] == [b"first", b"second"]
        writer.close()

    play(scenario)


def test_late_pipelined_requests_are_all_rejected() -> None:
    async def scenario(router: RouterHarness, backend: Backend) -> None:
        drain(router, since=SENT_LATEST + 1.0)
        answers = await router.fetch(REQUEST % b"first" + REQUEST % b"second" + REQUEST % b"third")
        assert answers.count(b"HTTP/1.1 503 ") == 3 and answers.count(b"Connection: close") == 1
        assert answers.rpartition(b"HTTP/1.1 503 ")[2].count(b"Connection: close") == 1
        assert not backend.requests

    play(scenario)


def test_a_request_completed_late_gets_a_complete_response_and_is_not_forwarded() -> None:
    async def scenario(router: RouterHarness, backend: Backend) -> None:
        reader, writer = await router.connect()
        request = REQUEST % b"slow"
        writer.write(request[:-2])
        await until(lambda: any(each.receiving for each in router.listener.connections))
        drain(router, since=SENT_LATEST + 1.0)
        router.listener.close_idle()  # it is not idle
        writer.write(request[-2:])
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 503 ") and answer.endswith(b"503\n") and not backend.requests
        writer.close()

    play(scenario)


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
        drain(router, since=SENT_LATEST + 1.0)
        go_on.set()
        assert (await reader.read()).endswith(LAST_CHUNK)  # and nothing is waited for
        writer.close()

    play(scenario)


@pytest.mark.parametrize(("grace", "taken_for"), ((7.2, 2.8), (4.0, 2.0), (0.5, 0.25)))
def test_until_when_requests_are_accepted(grace: float, taken_for: float) -> None:
    """Within the 3 s in which a late end is excused, and with time to answer where the grace is short."""

    async def scenario(router: RouterHarness, backend: Backend) -> None:
        router.listener.drain.start(100.0, 100.0 + grace)
        assert router.listener.drain.accepts_requests(100.0 + taken_for - 0.001)
        assert not router.listener.drain.accepts_requests(100.0 + taken_for)

    play(scenario)
