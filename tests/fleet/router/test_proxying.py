"""Requests through a router on loopback, with scripted backends."""

from __future__ import annotations

import asyncio

from firvane.fleet.configuration.routes import Configuration
from tests.fleet.router.helpers import (
    REQUEST,
    STREAM_HEAD,
    Backend,
    chunk,
    event,
    request_id,
    route,
    start_router,
)

CLOSING = REQUEST.replace(b"Host:", b"Connection: close\r\nHost:")
LAST_CHUNK = b"0\r\n\r\n"


async def complete_stream(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(STREAM_HEAD % request_id(request))
    for number in (1, 2, 3):
        writer.write(chunk(event(number)))
    writer.write(LAST_CHUNK)


def decode_body(response: bytes) -> bytes:
    _, _, rest = response.partition(b"\r\n\r\n")
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return body


def run(coroutine: object) -> None:
    asyncio.run(asyncio.wait_for(coroutine, 10))  # type: ignore[arg-type]


def test_the_response_and_the_request_are_forwarded_with_their_headers_and_bodies() -> None:
    async def scenario() -> None:
        backend = Backend("a", complete_stream)
        async with start_router([backend]) as router:
            response = await router.fetch(CLOSING % b"one")
            assert response.startswith(b"HTTP/1.1 200") and b"X-Server-Seal: s" in response
            assert decode_body(response) == b"".join(map(event, (1, 2, 3))) and response.endswith(LAST_CHUNK)
            (request,) = backend.requests
            assert request.startswith(b"POST /p/a HTTP/1.1\r\n") and request.endswith(b"\r\n\r\nbody")
            for line in (b"X-Target-Instance: a", b"Priority: 1", b"X-Request-Id: one", b"Host: h.example"):
                assert line in request
            remaining = next(line for line in request.split(b"\r\n") if line.startswith(b"X-Deadline-Ms"))
            assert 4000 < int(remaining.split(b":")[1]) <= 5000
            assert request.count(b"X-Deadline-Ms") == 1

    run(scenario())


def test_connections_to_a_backend_are_reused() -> None:
    async def scenario() -> None:
        backend = Backend("a", complete_stream)
        async with start_router([backend]) as router:
            reader, writer = await router.connect()
            for name in (b"one", b"two"):
                writer.write(REQUEST % name)
                assert (await reader.readuntil(LAST_CHUNK)).startswith(b"HTTP/1.1 200")
            writer.close()
            assert len(backend.requests) == 2 and backend.connections == 1

    run(scenario())


def test_a_resumable_stream_that_breaks_inside_an_event_is_resumed_by_another_backend() -> None:
    async def breaks(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)) + chunk(event(2)[:5]))
        await writer.drain()
        writer.transport.abort()

    async def resumes(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert b"Last-Event-Id: 1\r\n" in request
        writer.write(STREAM_HEAD % request_id(request) + chunk(event(2)) + chunk(event(3)) + LAST_CHUNK)

    async def scenario() -> None:
        backends = [Backend("a", breaks), Backend("b", resumes)]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            response = await router.fetch(CLOSING % b"one")
            assert decode_body(response) == b"".join(map(event, (1, 2, 3)))
            assert response.count(b"HTTP/1.1") == 1 and len(backends[1].requests) == 1

    run(scenario())


def test_the_progress_of_a_stream_is_reported_at_intervals_not_for_each_event() -> None:
    async def scenario() -> None:
        reported, go_on = list[str](), asyncio.Event()

        async def in_two_parts(
            request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)))
            await go_on.wait()
            for number in (2, 3):
                writer.write(chunk(event(number)))
                await writer.drain()
            writer.write(LAST_CHUNK)

        async with start_router([Backend("a", in_two_parts)]) as router:
            router.upstreams.on_progress = reported.append
            reader, writer = await router.connect()
            writer.write(REQUEST % b"one")
            await reader.readuntil(b"data: 1\n\n")
            assert not reported  # the start of a response is reported separately
            go_on.set()
            await reader.readuntil(LAST_CHUNK)
            assert reported == ["a"]
            writer.close()

    run(scenario())


def test_a_stream_that_is_not_resumable_is_truncated_and_never_retried() -> None:
    async def breaks(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)))
        await writer.drain()
        writer.transport.abort()

    async def scenario() -> None:
        backends = [Backend("a", breaks), Backend("b", complete_stream)]
        async with start_router(backends) as router:
            response = await router.fetch(CLOSING % b"one")
            assert not response.endswith(LAST_CHUNK) and not backends[1].requests

    run(scenario())


def test_a_response_to_an_earlier_request_is_dropped() -> None:
    async def late(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD % b"earlier" + chunk(event(9)) + LAST_CHUNK)
        await complete_stream(request, reader, writer)

    async def scenario() -> None:
        async with start_router([Backend("a", late)]) as router:
            response = await router.fetch(CLOSING % b"one")
            assert decode_body(response) == b"".join(map(event, (1, 2, 3))) and b"earlier" not in response

    run(scenario())


def test_a_request_that_no_backend_ran_is_rejected_with_retry_after() -> None:
    async def full(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
            % request_id(request)
        )

    async def scenario() -> None:
        async with start_router([Backend("a", full)]) as router:
            response = await router.fetch(CLOSING % b"one")
            assert response.startswith(b"HTTP/1.1 503") and b"Retry-After: 0.250" in response

    run(scenario())


def test_a_request_that_may_have_run_fails_without_retry_after() -> None:
    async def fails(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 500 E\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n" % request_id(request))

    async def scenario() -> None:
        async with start_router([Backend("a", fails)]) as router:
            assert (await router.fetch(CLOSING % b"one")).startswith(b"HTTP/1.1 502")

    run(scenario())


def test_a_client_that_disconnects_cancels_its_request_at_the_backend() -> None:
    async def stalls(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1)
        raise ConnectionResetError

    async def scenario() -> None:
        backend = Backend("a", stalls)
        async with start_router([backend]) as router:
            _, writer = await router.connect()
            writer.write(REQUEST % b"one")
            while not backend.requests:
                await asyncio.sleep(0)
            writer.close()
            await backend.disconnected.wait()
            assert router.engine.unanswered == 0 and not router.engine.flows

    run(scenario())


def test_the_time_out_of_a_route_ends_an_endless_stream() -> None:
    async def endless(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)))
        await reader.read(1)

    async def scenario() -> None:
        async with start_router([Backend("a", endless)], (route(timeout_ms=60.0),)) as router:
            response = await router.fetch(CLOSING % b"one")
            assert decode_body(response) == event(1) and not response.endswith(LAST_CHUNK)

    run(scenario())


def test_a_request_without_a_route_gets_404_and_one_without_a_configuration_gets_503() -> None:
    async def scenario() -> None:
        async with start_router([Backend("a", complete_stream)]) as router:
            assert (await router.fetch(CLOSING.replace(b"/p/a", b"/q/a") % b"one")).startswith(
                b"HTTP/1.1 404"
            )
            router.listener.routes = None
            response = await router.fetch(CLOSING % b"two")
            assert response.startswith(b"HTTP/1.1 503") and b"Retry-After" in response

    run(scenario())


def test_waiting_for_the_first_configuration_reduces_the_remaining_time_of_a_request() -> None:
    async def scenario() -> None:
        backend = Backend("a", complete_stream)
        async with start_router([backend]) as router:
            routes, router.listener.routes = router.listener.routes, None
            assert routes is not None
            reader, writer = await router.connect()
            writer.write(REQUEST % b"one" + REQUEST % b"two")
            while not any(connection.unrouted for connection in router.listener.connections):
                await asyncio.sleep(0)
            (connection,) = router.listener.connections
            assert not connection.is_idle()
            connection.received_at -= 1.0  # as if it had waited for one second
            router.listener.configure(routes, Configuration(1).limits)
            for _ in range(2):
                assert (await reader.readuntil(LAST_CHUNK)).startswith(b"HTTP/1.1 200")
            assert [request_id(request) for request in backend.requests] == [b"one", b"two"]
            remaining = [
                int(line.split(b":")[1])
                for request in backend.requests
                for line in request.split(b"\r\n")
                if line.startswith(b"X-Deadline-Ms")
            ]
            assert 3000 < remaining[0] <= 4000 < remaining[1] <= 5000
            writer.close()

    run(scenario())


def test_a_client_that_disconnects_before_the_first_configuration_causes_no_request() -> None:
    async def scenario() -> None:
        backend = Backend("a", complete_stream)
        async with start_router([backend]) as router:
            routes, router.listener.routes = router.listener.routes, None
            assert routes is not None
            _, writer = await router.connect()
            writer.write(REQUEST % b"one")
            while not any(connection.unrouted for connection in router.listener.connections):
                await asyncio.sleep(0)
            writer.transport.abort()
            while router.listener.connections:
                await asyncio.sleep(0)
            router.listener.configure(routes, Configuration(1).limits)
            assert (await router.fetch(CLOSING % b"two")).startswith(b"HTTP/1.1 200")
            assert [request_id(request) for request in backend.requests] == [b"two"]

    run(scenario())


def test_chunked_bodies_are_forwarded_and_malformed_requests_are_rejected() -> None:
    async def scenario() -> None:
        backend = Backend("a", complete_stream)
        async with start_router([backend]) as router:
            head = (CLOSING % b"one").replace(b"Content-Length: 4", b"Transfer-Encoding: chunked")
            response = await router.fetch(
                head.replace(b"\r\n\r\nbody", b"\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n" + LAST_CHUNK)
            )
            assert response.startswith(b"HTTP/1.1 200") and backend.requests[0].endswith(b"\r\n\r\nbody")
            assert (await router.fetch(b"\x00\xff nonsense\r\n\r\n")).startswith(b"HTTP/1.1 400")
            two_lengths = (CLOSING % b"one").replace(b"Host:", b"Content-Length: 4\r\nHost:")
            assert (await router.fetch(two_lengths)).startswith(b"HTTP/1.1 400")
            assert len(backend.requests) == 1

    run(scenario())


def test_a_repeated_rejection_is_not_taken_for_the_response_to_the_next_attempt() -> None:
    """The repeated rejection has the same request id as the next attempt on the same backend."""
    rejection = b"HTTP/1.1 503 Busy\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    first: list[asyncio.StreamWriter] = []

    async def reject_twice(
        request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not first:
            first.append(writer)
            writer.write(rejection % request_id(request))
            return
        first[0].write(rejection % request_id(request))  # the repeated rejection arrives before the response
        await first[0].drain()
        await complete_stream(request, reader, writer)

    async def scenario() -> None:
        backend = Backend("a", reject_twice)
        async with start_router([backend]) as router:
            router.policy.backends.append("a")  # the next attempt goes to the same backend
            response = await router.fetch(CLOSING % b"one")
            assert response.startswith(b"HTTP/1.1 200")
            assert decode_body(response) == b"".join(map(event, (1, 2, 3)))
            assert len(backend.requests) == 2 and backend.connections == 2

    run(scenario())
