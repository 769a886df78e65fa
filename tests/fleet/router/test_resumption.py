"""A broken response is resumed only if the client's position in it is known; otherwise it is truncated."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest

from firvane.core.net.dialer import reset_on_close
from firvane.fleet.configuration.routes import RouteKind
from tests.fleet.router.helpers import REQUEST, Backend, chunk, event, request_id, route, start_router

CLOSING = REQUEST.replace(b"Host:", b"Connection: close\r\nHost:") % b"one"
LAST_CHUNK = b"0\r\n\r\n"
LONG_BODY_BYTES = 100_000  # streamed, since it is too long for the router to buffer
STALL_S = 60.0
READ_TIME_S = 0.005
SEEDS = 400
SEEDS_PER_TEST = 50

Handler = Callable[[bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def head(request: bytes, *fields: bytes, status: int = 200, seal: bytes = b"first") -> bytes:
    lines = b"".join(field + b"\r\n" for field in fields)
    return b"HTTP/1.1 %d OK\r\nX-Request-Id: %s\r\nX-Server-Seal: %s\r\n%s\r\n" % (
        status,
        request_id(request),
        seal,
        lines,
    )


def broken_response(fields: tuple[bytes, ...], body: bytes) -> Handler:
    """Return a backend that ends its connection after a part of a response."""

    async def handle(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head(request, *fields) + body)
        if CLOSE in fields:
            await reset_connection(writer)
        else:
            writer.close()

    return handle


async def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection after a delay in which the written data is read: a reset discards unread data."""
    await writer.drain()
    reset_on_close(writer.transport)  # type: ignore[arg-type]
    await asyncio.sleep(READ_TIME_S)
    writer.transport.abort()


def complete_response(fields: tuple[bytes, ...], body: bytes) -> Handler:
    async def handle(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head(request, *fields, seal=b"second") + body)

    return handle


def response_until_close(fields: tuple[bytes, ...], body: bytes) -> Handler:
    async def handle(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head(request, *fields, seal=b"second") + body)
        writer.close()

    return handle


PLAIN, EVENTS = b"Content-Type: text/plain", b"Content-Type: text/event-stream"
CHUNKED, CLOSE = b"Transfer-Encoding: chunked", b"Connection: close"
ENCODED = b"Content-Encoding: gzip"
LONG_LENGTH = b"Content-Length: %d" % LONG_BODY_BYTES
COMPLETE_STREAM = b"".join(chunk(event(number)) for number in (1, 2, 3)) + LAST_CHUNK

NOT_RESUMABLE = {
    "chunked text": ((PLAIN, CHUNKED), chunk(b"piece 0\n")),
    "text with a length": ((PLAIN, LONG_LENGTH), b"piece 0\n"),
    "text delimited by the end of the connection": ((PLAIN, CLOSE), b"piece 0\n"),
    "no content type": ((CHUNKED,), chunk(b"piece 0\n")),
    "a content type that starts like that of event streams": (
        (b"Content-Type: text/event-streaming", CHUNKED),
        chunk(event(1)),
    ),
    "events with a length": ((EVENTS, b"Content-Length: 60"), event(1)),
    "encoded events": ((EVENTS, ENCODED, CHUNKED), chunk(event(1))),
    "events without ids": ((EVENTS, CHUNKED), chunk(b"data: a\n\n")),
    "an event without an id after one with an id": ((EVENTS, CHUNKED), chunk(event(1) + b"data: a\n\n")),
    "an id that is not a number": ((EVENTS, CHUNKED), chunk(event(1) + b"id: 2b\ndata: a\n\n")),
    "an id that is reset": ((EVENTS, CHUNKED), chunk(b"id: 1\nid\ndata: a\n\n")),
    "comments only": ((EVENTS, CHUNKED), chunk(b": ready\n\n")),
    "part of a large event": ((EVENTS, CHUNKED), chunk(event(1) + b"id: 2\ndata: " + b"x" * 2**21)),
}


@pytest.mark.parametrize("kind", (RouteKind.STREAMING, RouteKind.IDEMPOTENT))
@pytest.mark.parametrize("case", NOT_RESUMABLE)
def test_a_response_that_is_not_resumable_is_truncated_and_not_retried(case: str, kind: RouteKind) -> None:
    # Guards against: a broken response was completed with the remainder of another run's (MIXED).
    async def scenario() -> None:
        backends = [
            Backend("a", broken_response(*NOT_RESUMABLE[case])),
            Backend("b", complete_response((EVENTS, CHUNKED), COMPLETE_STREAM)),
        ]
        async with start_router(backends, (route(stream_resume=True, kind=kind),)) as router:
            response = parse(await router.fetch(CLOSING))
            assert response.seal == b"first" and not response.is_complete and not response.excess
            assert b"second" not in response.body and not backends[1].requests

    run(scenario())


UNFIT_TO_RESUME = {
    "chunked text": ((PLAIN, CHUNKED), chunk(b"piece 0\n") + LAST_CHUNK),
    "text with a short length": ((PLAIN, b"Content-Length: 8"), b"piece 0\n"),
    "text with a long length": ((PLAIN, LONG_LENGTH), b"x" * LONG_BODY_BYTES),
    "an empty body": ((PLAIN, b"Content-Length: 0"), b""),
    "encoded events": ((EVENTS, ENCODED, CHUNKED), COMPLETE_STREAM),
    "events without ids": ((EVENTS, CHUNKED), chunk(b"data: 1\n\ndata: 2\n\n") + LAST_CHUNK),
}


@pytest.mark.parametrize("case", UNFIT_TO_RESUME)
def test_only_an_event_stream_resumes_another(case: str) -> None:
    # Guards against: another run's status line and body appeared in the middle of a stream (MIXED).
    async def scenario() -> None:
        backends = [
            Backend("a", broken_response((EVENTS, CHUNKED), chunk(event(1)))),
            Backend("b", complete_response(*UNFIT_TO_RESUME[case])),
        ]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            response = parse(await router.fetch(CLOSING))
            assert response.body == event(1) and not response.is_complete and not response.excess
            assert b"Last-Event-Id: 1\r\n" in backends[1].requests[0]

    run(scenario())


TEXT_IN_EVENTS = (EVENTS, b"Content-Length: 8"), b"piece 0\n"
INCOMPLETE_RESUMPTIONS = {
    "text with the content type of events": (TEXT_IN_EVENTS, b""),
    "no event": (((EVENTS, CHUNKED), LAST_CHUNK), b""),
    "an empty body with a length": (((EVENTS, b"Content-Length: 0"), b""), b""),
    "events that the client already has": (((EVENTS, CHUNKED), chunk(event(1)) + LAST_CHUNK), b""),
    "comments only": (((EVENTS, CHUNKED), chunk(b": ready\n\n") + LAST_CHUNK), b": ready\n\n"),
    "part of an event": (((EVENTS, CHUNKED), chunk(b"id: 2\ndata: 2\n") + LAST_CHUNK), b""),
    "part of an event after a new event": (
        ((EVENTS, CHUNKED), chunk(event(2) + b"id: 3\n") + LAST_CHUNK),
        event(2),
    ),
    "part of a large event": (
        ((EVENTS, CHUNKED), chunk(event(2)) + chunk(b"data: " + b"x" * 2**21) + LAST_CHUNK),
        event(2) + b"data: " + b"x" * 2**21,
    ),
    "text delimited by the end of the connection": (((EVENTS, CLOSE), b"piece 0\n"), b""),
}


@pytest.mark.parametrize("case", INCOMPLETE_RESUMPTIONS)
def test_a_resumed_stream_must_end_after_a_complete_new_event(case: str) -> None:
    # Guards against: a second run's text completed a response that began with the first run's events (MIXED).
    (fields, body), forwarded = INCOMPLETE_RESUMPTIONS[case]
    second = response_until_close(fields, body) if CLOSE in fields else complete_response(fields, body)

    async def scenario() -> None:
        backends = [Backend("a", broken_response((EVENTS, CHUNKED), chunk(event(1)))), Backend("b", second)]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            response = parse(await router.fetch(CLOSING))
            assert not response.is_complete and not response.excess
            assert len(response.body) <= len(event(1) + forwarded)
            assert (event(1) + forwarded).startswith(response.body) and response.body.startswith(event(1))
            assert len(backends[1].requests) == 1

    run(scenario())


def test_a_resumption_without_a_new_event_is_retried() -> None:
    async def scenario() -> None:
        backends = [
            Backend("a", broken_response((EVENTS, CHUNKED), chunk(event(1)))),
            Backend("b", complete_response(*TEXT_IN_EVENTS)),
            Backend("c", complete_response((EVENTS, CHUNKED), COMPLETE_STREAM)),
        ]
        async with start_router(
            backends, (route(stream_resume=True, max_attempts=3),), max_attempts=3
        ) as router:
            response = parse(await router.fetch(CLOSING))
            assert response.is_complete and response.body == event(1) + event(2) + event(3)

    run(scenario())


@pytest.mark.parametrize("sent", (b"", chunk(b"id: 1\nda")))
def test_a_stream_that_breaks_before_its_first_event_is_replaced_by_the_next_run(sent: bytes) -> None:
    # Guards against: the complete stream of one run was sent with the head and seal of another (MIXED).
    async def scenario() -> None:
        backends = [
            Backend("a", broken_response((EVENTS, CHUNKED), sent)),
            Backend("b", complete_response((EVENTS, CHUNKED), COMPLETE_STREAM)),
        ]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            response = parse(await router.fetch(CLOSING))
            assert response.seal == b"second" and response.is_complete
            assert response.body == event(1) + event(2) + event(3)
            assert b"Last-Event-Id" not in backends[1].requests[0]

    run(scenario())


@pytest.mark.parametrize("media", (b"Text/Event-Stream", b"text/event-stream ; charset=utf-8"))
def test_the_media_type_is_compared_without_case_and_parameters(media: bytes) -> None:
    async def scenario() -> None:
        backends = [
            Backend(
                "a",
                broken_response((b"Content-Type: " + media, CHUNKED), chunk(event(1) + b": still here\n\n")),
            ),
            Backend("b", complete_response((EVENTS, CHUNKED), COMPLETE_STREAM)),
        ]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            response = parse(await router.fetch(CLOSING))
            assert response.body == event(1) + b": still here\n\n" + event(2) + event(3)
            assert response.seal == b"first" and response.is_complete

    run(scenario())


def test_a_stalled_response_that_is_not_an_event_stream_is_not_aborted() -> None:
    # Guards against: a slow response was aborted since only the route's setting was checked (LOST).
    go_on = asyncio.Event()

    async def stalls(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head(request, PLAIN, CHUNKED) + chunk(b"piece 0\n"))
        await go_on.wait()
        writer.write(chunk(b"piece 1\n") + LAST_CHUNK)

    async def scenario() -> None:
        async with start_router([Backend("a", stalls)], (route(stream_resume=True),)) as router:
            reader, writer = await router.connect()
            writer.write(CLOSING)
            received = await reader.readuntil(b"piece 0\n")
            router.upstreams.sweep(router.listener.loop.time() + STALL_S)
            go_on.set()
            response = parse(received + await reader.read())
            assert response.body == b"piece 0\npiece 1\n" and response.is_complete
            writer.close()

    run(scenario())


def test_a_resumed_response_is_paused_while_its_client_is_slow() -> None:
    # Guards against: another backend's stream was read without bound while the client read nothing.
    go_on = asyncio.Event()

    async def sends_one_event_and_waits(
        request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head(request, EVENTS, CHUNKED) + chunk(event(1)))
        await reader.read()

    async def sends_two_events(
        request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head(request, EVENTS, CHUNKED) + chunk(event(2)))
        await go_on.wait()
        writer.write(chunk(event(3)) + LAST_CHUNK)

    async def scenario() -> None:
        backends = [Backend("a", sends_one_event_and_waits), Backend("b", sends_two_events)]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            reader, writer = await router.connect()
            writer.write(CLOSING)
            await reader.readuntil(b"data: 1\n\n")
            (connection,) = router.listener.connections
            connection.pause_writing()  # type: ignore[attr-defined]
            (first,) = router.upstreams.streams
            first.transport.abort()
            while first in router.upstreams.streams or not router.upstreams.streams:
                await asyncio.sleep(0)
            (second,) = router.upstreams.streams
            assert second.paused
            go_on.set()
            connection.resume_writing()  # type: ignore[attr-defined]
            assert event(3) in await reader.readuntil(LAST_CHUNK)
            writer.close()

    run(scenario())


def test_a_truncated_response_is_counted_by_the_reason_why_it_was_not_resumed() -> None:
    async def scenario(case: str) -> dict[str, int]:
        backends = [Backend("a", broken_response(*NOT_RESUMABLE[case]))]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            await router.fetch(CLOSING)
            return dict(router.engine.event_counts)

    counts = {
        case: asyncio.run(scenario(case))
        for case in ("chunked text", "events with a length", "comments only")
    }
    assert counts["chunked text"]["truncated, not a stream of events"] == 1
    assert counts["events with a length"]["truncated, length announced"] == 1
    assert counts["comments only"]["truncated, position unknown"] == 1


# Random responses, checked against all allowed results


@dataclass(frozen=True)
class ClientResponse:
    """Data received by a client on a connection with one request."""

    seal: bytes
    body: bytes
    is_complete: bool
    excess: bytes


def parse(data: bytes) -> ClientResponse:
    """Parse one response by its framing (RFC 9112, 6 and 7)."""
    head_bytes, end, rest = data.partition(b"\r\n\r\n")
    assert end and head_bytes.startswith(b"HTTP/1.1 "), data[:100]
    fields = dict(line.split(b": ", 1) for line in head_bytes.lower().split(b"\r\n")[1:])
    seal = fields.get(b"x-server-seal", b"")
    if b"content-length" in fields:
        length = int(fields[b"content-length"])
        return ClientResponse(seal, rest[:length], len(rest) >= length, rest[length:])
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return ClientResponse(seal, body, rest.startswith(b"\r\n"), rest[2:])
        body += rest[:length]
        rest = rest[length + 2 :]
    return ClientResponse(seal, body, False, b"")


@dataclass(frozen=True)
class RandomResponse:
    """The response of one run: its events, each with its id or None, and how the backend sends them."""

    seal: bytes
    media: bytes
    framing: str
    events: tuple[tuple[int | None, bytes], ...]
    supports_resumption: bool
    sent_part: float  # part of its bytes that is sent before it breaks; 1 for a complete response

    def body(self, after: int | None = None) -> bytes:
        """Return the body, or the part of it after the event with an id."""
        ids = [number for number, _ in self.events]
        start = ids.index(after) + 1 if after in ids else 0
        return b"".join(event_data for _, event_data in self.events[start:])

    def is_resumable(self) -> bool:
        return self.media == EVENTS and self.framing != "length"

    async def handle(
        self, request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        body = self.body(last_event_id(request)) if self.supports_resumption else self.body()
        fields, data = frame(self.framing, body)
        data = head(request, self.media, *fields, seal=self.seal) + data
        writer.write(data[: int(self.sent_part * len(data))])
        if self.sent_part < 1:
            await reset_connection(writer)
        elif self.framing == "close":
            writer.close()


def frame(framing: str, body: bytes) -> tuple[tuple[bytes, ...], bytes]:
    if framing == "length":
        return (b"Content-Length: %d" % len(body),), body
    if framing == "close":
        return (CLOSE,), body
    half = len(body) // 2
    pieces = [piece for piece in (body[:half], body[half:]) if piece]
    return (CHUNKED,), b"".join(map(chunk, pieces)) + LAST_CHUNK


def last_event_id(request: bytes) -> int | None:
    for line in request.lower().split(b"\r\n"):
        if line.startswith(b"last-event-id:"):
            return int(line.split(b":")[1])
    return None


def random_response(rng: random.Random, seal: bytes, ids: list[int | None], breaks: bool) -> RandomResponse:
    padding = b"x" * rng.choice((0, 5, 20_000))
    events = tuple(
        (number, (b"id: %d\n" % number if number is not None else b"") + b"data: %s %s\n\n" % (seal, padding))
        for number in ids
    )
    return RandomResponse(
        seal,
        rng.choice((EVENTS, EVENTS, EVENTS, PLAIN)),
        rng.choice(("chunks", "chunks", "length", "close")),
        events,
        rng.random() < 0.7,
        rng.random() if breaks else 1.0,
    )


def allowed_bodies(runs: list[RandomResponse]) -> set[tuple[bytes, bytes]]:
    """Return the allowed (seal, body) of a complete response.

    It is the response of one run, or of several runs joined after an event with an id.
    """
    allowed = {(run.seal, run.body()) for run in runs}
    for index, first in enumerate(runs):
        if first.is_resumable():
            allowed |= {(first.seal, joined) for joined in joined_bodies(first, runs[index + 1 :])}
    return allowed


def joined_bodies(
    first: RandomResponse, others: list[RandomResponse], after: int | None = None
) -> set[bytes]:
    """Return all bodies that continue after an event id: of `first`, alone or joined with later runs."""
    complete = first.body(after)
    bodies = {complete}
    for number, _ in first.events:
        if number is None or (after is not None and number <= after):
            continue
        part = complete[: len(complete) - len(first.body(number))]
        for index, other in enumerate(others):
            if other.media == EVENTS:
                bodies |= {part + rest for rest in joined_bodies(other, others[index + 1 :], number)}
    return bodies


@pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
def test_a_complete_response_is_from_one_run_or_from_runs_joined_between_events(first: int) -> None:
    # Guards against: parts of two runs were sent as one complete response (MIXED, ORDER).
    async def scenario(seed: int) -> None:
        rng = random.Random(seed)
        ids = [number if rng.random() < 0.8 else None for number in range(1, rng.randrange(2, 7))]
        runs = [
            random_response(rng, b"run%d" % index, ids, breaks=index < 2 or rng.random() < 0.3)
            for index in range(3)
        ]
        backends = [Backend(run.seal.decode(), run.handle) for run in runs]
        async with start_router(
            backends, (route(stream_resume=True, max_attempts=3),), max_attempts=3
        ) as router:
            data = await router.fetch(CLOSING)
            response = parse(data)
            assert not response.excess, (seed, data)
            if response.is_complete and data.startswith(b"HTTP/1.1 200"):
                assert (response.seal, response.body) in allowed_bodies(runs), (seed, data, runs)

    for seed in range(first, first + SEEDS_PER_TEST):
        run(scenario(seed))


def run(coroutine: object) -> None:
    asyncio.run(asyncio.wait_for(coroutine, 10))  # type: ignore[arg-type]
