"""A response that broke off is continued only where it shows what the client has; else it ends short."""

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
LONG_BODY_BYTES = 100_000  # too long to be buffered in the router
STALL_S = 60.0
READING_S = 0.005
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


def breaks_off(fields: tuple[bytes, ...], body: bytes) -> Handler:
    """A backend that ends its connection after this much of a response."""

    async def handle(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head(request, *fields) + body)
        if CLOSE in fields:
            await break_off(writer)
        else:
            writer.close()

    return handle


async def break_off(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset, once what was written has probably been read: a reset overtakes it."""
    await writer.drain()
    reset_on_close(writer.transport)  # type: ignore[arg-type]
    await asyncio.sleep(READING_S)
    writer.transport.abort()


def answers(fields: tuple[bytes, ...], body: bytes) -> Handler:
    async def handle(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head(request, *fields, seal=b"second") + body)

    return handle


def closes(fields: tuple[bytes, ...], body: bytes) -> Handler:
    async def handle(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head(request, *fields, seal=b"second") + body)
        writer.close()

    return handle


PLAIN, EVENTS = b"Content-Type: text/plain", b"Content-Type: text/event-stream"
CHUNKED, CLOSE = b"Transfer-Encoding: chunked", b"Connection: close"
ENCODED = b"Content-Encoding: gzip"
LONG_LENGTH = b"Content-Length: %d" % LONG_BODY_BYTES
WHOLE_STREAM = b"".join(chunk(event(number)) for number in (1, 2, 3)) + LAST_CHUNK

NOT_CONTINUED = {
    "text in chunks": ((PLAIN, CHUNKED), chunk(b"piece 0\n")),
    "text of a length": ((PLAIN, LONG_LENGTH), b"piece 0\n"),
    "text until the end of the connection": ((PLAIN, CLOSE), b"piece 0\n"),
    "no type": ((CHUNKED,), chunk(b"piece 0\n")),
    "a type that only begins like that of events": (
        (b"Content-Type: text/event-streaming", CHUNKED),
        chunk(event(1)),
    ),
    "events of a length": ((EVENTS, b"Content-Length: 60"), event(1)),
    "encoded events": ((EVENTS, ENCODED, CHUNKED), chunk(event(1))),
    "events without ids": ((EVENTS, CHUNKED), chunk(b"data: a\n\n")),
    "an event without an id behind one": ((EVENTS, CHUNKED), chunk(event(1) + b"data: a\n\n")),
    "an id that is no number": ((EVENTS, CHUNKED), chunk(event(1) + b"id: 2b\ndata: a\n\n")),
    "an id that is taken back": ((EVENTS, CHUNKED), chunk(b"id: 1\nid\ndata: a\n\n")),
    "comments only": ((EVENTS, CHUNKED), chunk(b": ready\n\n")),
    "a part of a large event": ((EVENTS, CHUNKED), chunk(event(1) + b"id: 2\ndata: " + b"x" * 2**21)),
}


@pytest.mark.parametrize("kind", (RouteKind.STREAMING, RouteKind.IDEMPOTENT))
@pytest.mark.parametrize("case", NOT_CONTINUED)
def test_a_response_that_cannot_be_continued_ends_short_and_no_second_run_is_joined(
    case: str, kind: RouteKind
) -> None:
    # Guards against: the rest of a response that broke off was taken from another run's (MIXED).
    async def scenario() -> None:
        backends = [
            Backend("a", breaks_off(*NOT_CONTINUED[case])),
            Backend("b", answers((EVENTS, CHUNKED), WHOLE_STREAM)),
        ]
        async with start_router(backends, (route(stream_resume=True, kind=kind),)) as router:
            answer = parse(await router.fetch(CLOSING))
            assert answer.seal == b"first" and not answer.is_complete and not answer.surplus
            assert b"second" not in answer.body and not backends[1].requests

    run(scenario())


NO_CONTINUATION = {
    "text in chunks": ((PLAIN, CHUNKED), chunk(b"piece 0\n") + LAST_CHUNK),
    "text of a short length": ((PLAIN, b"Content-Length: 8"), b"piece 0\n"),
    "text of a long length": ((PLAIN, LONG_LENGTH), b"x" * LONG_BODY_BYTES),
    "an empty body": ((PLAIN, b"Content-Length: 0"), b""),
    "encoded events": ((EVENTS, ENCODED, CHUNKED), WHOLE_STREAM),
    "events without ids": ((EVENTS, CHUNKED), chunk(b"data: 1\n\ndata: 2\n\n") + LAST_CHUNK),
}


@pytest.mark.parametrize("case", NO_CONTINUATION)
def test_what_is_no_stream_of_events_continues_none(case: str) -> None:
    # Guards against: another run's status line and body stood in the middle of a stream (MIXED).
    async def scenario() -> None:
        backends = [
            Backend("a", breaks_off((EVENTS, CHUNKED), chunk(event(1)))),
            Backend("b", answers(*NO_CONTINUATION[case])),
        ]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            answer = parse(await router.fetch(CLOSING))
            assert answer.body == event(1) and not answer.is_complete and not answer.surplus
            assert b"Last-Event-Id: 1\r\n" in backends[1].requests[0]

    run(scenario())


TEXT_IN_EVENTS = (EVENTS, b"Content-Length: 8"), b"piece 0\n"
CONTINUED_SHORT = {
    "a text that calls itself events": (TEXT_IN_EVENTS, b""),
    "no event": (((EVENTS, CHUNKED), LAST_CHUNK), b""),
    "nothing of a length": (((EVENTS, b"Content-Length: 0"), b""), b""),
    "events that the client has": (((EVENTS, CHUNKED), chunk(event(1)) + LAST_CHUNK), b""),
    "comments only": (((EVENTS, CHUNKED), chunk(b": ready\n\n") + LAST_CHUNK), b": ready\n\n"),
    "a part of an event": (((EVENTS, CHUNKED), chunk(b"id: 2\ndata: 2\n") + LAST_CHUNK), b""),
    "a part behind a new event": (((EVENTS, CHUNKED), chunk(event(2) + b"id: 3\n") + LAST_CHUNK), event(2)),
    "a part of a large event": (
        ((EVENTS, CHUNKED), chunk(event(2)) + chunk(b"data: " + b"x" * 2**21) + LAST_CHUNK),
        event(2) + b"data: " + b"x" * 2**21,
    ),
    "a text until the end of the connection": (((EVENTS, CLOSE), b"piece 0\n"), b""),
}


@pytest.mark.parametrize("case", CONTINUED_SHORT)
def test_what_brings_no_whole_new_event_does_not_complete_a_stream(case: str) -> None:
    # Guards against: a second run's text stood behind the first run's events as a complete answer (MIXED).
    (fields, body), passed_on = CONTINUED_SHORT[case]
    second = closes(fields, body) if CLOSE in fields else answers(fields, body)

    async def scenario() -> None:
        backends = [Backend("a", breaks_off((EVENTS, CHUNKED), chunk(event(1)))), Backend("b", second)]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            answer = parse(await router.fetch(CLOSING))
            assert not answer.is_complete and not answer.surplus
            assert len(answer.body) <= len(event(1) + passed_on)
            assert (event(1) + passed_on).startswith(answer.body) and answer.body.startswith(event(1))
            assert len(backends[1].requests) == 1

    run(scenario())


def test_a_run_that_brings_no_new_event_is_followed_by_another() -> None:
    async def scenario() -> None:
        backends = [
            Backend("a", breaks_off((EVENTS, CHUNKED), chunk(event(1)))),
            Backend("b", answers(*TEXT_IN_EVENTS)),
            Backend("c", answers((EVENTS, CHUNKED), WHOLE_STREAM)),
        ]
        async with start_router(
            backends, (route(stream_resume=True, max_attempts=3),), max_attempts=3
        ) as router:
            answer = parse(await router.fetch(CLOSING))
            assert answer.is_complete and answer.body == event(1) + event(2) + event(3)

    run(scenario())


@pytest.mark.parametrize("sent", (b"", chunk(b"id: 1\nda")))
def test_a_stream_that_breaks_off_before_its_first_event_leaves_the_whole_of_the_next(sent: bytes) -> None:
    # Guards against: the whole stream of one run was given under the head and seal of another (MIXED).
    async def scenario() -> None:
        backends = [
            Backend("a", breaks_off((EVENTS, CHUNKED), sent)),
            Backend("b", answers((EVENTS, CHUNKED), WHOLE_STREAM)),
        ]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            answer = parse(await router.fetch(CLOSING))
            assert answer.seal == b"second" and answer.is_complete
            assert answer.body == event(1) + event(2) + event(3)
            assert b"Last-Event-Id" not in backends[1].requests[0]

    run(scenario())


@pytest.mark.parametrize("media", (b"Text/Event-Stream", b"text/event-stream ; charset=utf-8"))
def test_a_media_type_is_compared_without_case_and_parameters(media: bytes) -> None:
    async def scenario() -> None:
        backends = [
            Backend(
                "a", breaks_off((b"Content-Type: " + media, CHUNKED), chunk(event(1) + b": still here\n\n"))
            ),
            Backend("b", answers((EVENTS, CHUNKED), WHOLE_STREAM)),
        ]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            answer = parse(await router.fetch(CLOSING))
            assert answer.body == event(1) + b": still here\n\n" + event(2) + event(3)
            assert answer.seal == b"first" and answer.is_complete

    run(scenario())


def test_a_stalled_response_that_is_no_stream_of_events_is_not_given_up() -> None:
    # Guards against: a slow answer was cut since only the route was asked whether it can be continued (LOST).
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
            answer = parse(received + await reader.read())
            assert answer.body == b"piece 0\npiece 1\n" and answer.is_complete
            writer.close()

    run(scenario())


def test_a_response_that_is_continued_waits_for_a_client_that_does_not_keep_up() -> None:
    # Guards against: another backend's stream was read without bound while the client took nothing.
    go_on = asyncio.Event()

    async def holds_on(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head(request, EVENTS, CHUNKED) + chunk(event(1)))
        await reader.read()

    async def goes_on(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head(request, EVENTS, CHUNKED) + chunk(event(2)))
        await go_on.wait()
        writer.write(chunk(event(3)) + LAST_CHUNK)

    async def scenario() -> None:
        backends = [Backend("a", holds_on), Backend("b", goes_on)]
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


def test_a_truncated_response_is_counted_by_what_kept_it_from_being_continued() -> None:
    async def scenario(case: str) -> dict[str, int]:
        backends = [Backend("a", breaks_off(*NOT_CONTINUED[case]))]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            await router.fetch(CLOSING)
            return dict(router.engine.event_counts)

    counted = {
        case: asyncio.run(scenario(case))
        for case in ("text in chunks", "events of a length", "comments only")
    }
    assert counted["text in chunks"]["truncated, not a stream of events"] == 1
    assert counted["events of a length"]["truncated, length announced"] == 1
    assert counted["comments only"]["truncated, position unknown"] == 1


# Drawn responses, with an oracle


@dataclass(frozen=True)
class Answer:
    """What a client has received on a connection of one request."""

    seal: bytes
    body: bytes
    is_complete: bool
    surplus: bytes


def parse(data: bytes) -> Answer:
    """Read one response by its framing (RFC 9112, 6 and 7)."""
    top, end, rest = data.partition(b"\r\n\r\n")
    assert end and top.startswith(b"HTTP/1.1 "), data[:100]
    fields = dict(line.split(b": ", 1) for line in top.lower().split(b"\r\n")[1:])
    seal = fields.get(b"x-server-seal", b"")
    if b"content-length" in fields:
        length = int(fields[b"content-length"])
        return Answer(seal, rest[:length], len(rest) >= length, rest[length:])
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return Answer(seal, body, rest.startswith(b"\r\n"), rest[2:])
        body += rest[:length]
        rest = rest[length + 2 :]
    return Answer(seal, body, False, b"")


@dataclass(frozen=True)
class Drawn:
    """One run's response: its blocks, each with its id or None, and how the backend sends them."""

    seal: bytes
    media: bytes
    framing: str
    blocks: tuple[tuple[int | None, bytes], ...]
    heeds_last_event_id: bool
    cut_part: float  # of its bytes after which it breaks off; 1 where it does not

    def body(self, after: int | None = None) -> bytes:
        """Its body, or what follows the event of an id."""
        ids = [number for number, _ in self.blocks]
        start = ids.index(after) + 1 if after in ids else 0
        return b"".join(block for _, block in self.blocks[start:])

    def is_continuable(self) -> bool:
        return self.media == EVENTS and self.framing != "length"

    async def handle(
        self, request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        body = self.body(last_event_id(request)) if self.heeds_last_event_id else self.body()
        fields, data = frame(self.framing, body)
        data = head(request, self.media, *fields, seal=self.seal) + data
        writer.write(data[: int(self.cut_part * len(data))])
        if self.cut_part < 1:
            await break_off(writer)
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


def draw(dice: random.Random, seal: bytes, ids: list[int | None], breaks: bool) -> Drawn:
    padding = b"x" * dice.choice((0, 5, 20_000))
    blocks = tuple(
        (number, (b"id: %d\n" % number if number is not None else b"") + b"data: %s %s\n\n" % (seal, padding))
        for number in ids
    )
    return Drawn(
        seal,
        dice.choice((EVENTS, EVENTS, EVENTS, PLAIN)),
        dice.choice(("chunks", "chunks", "length", "close")),
        blocks,
        dice.random() < 0.7,
        dice.random() if breaks else 1.0,
    )


def allowed_bodies(runs: list[Drawn]) -> set[tuple[bytes, bytes]]:
    """The (seal, body) of a complete response: one run's, or of runs joined behind an event with an id."""
    allowed = {(one.seal, one.body()) for one in runs}
    for place, first in enumerate(runs):
        if first.is_continuable():
            allowed |= {(first.seal, joined) for joined in joined_bodies(first, runs[place + 1 :])}
    return allowed


def joined_bodies(first: Drawn, others: list[Drawn], after: int | None = None) -> set[bytes]:
    """Bodies of the blocks of `first` behind an id, up to another id, and what later runs go on with."""
    whole = first.body(after)
    bodies = {whole}
    for number, _ in first.blocks:
        if number is None or (after is not None and number <= after):
            continue
        part = whole[: len(whole) - len(first.body(number))]
        for place, other in enumerate(others):
            if other.media == EVENTS:
                bodies |= {part + rest for rest in joined_bodies(other, others[place + 1 :], number)}
    return bodies


@pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
def test_a_complete_response_is_one_run_s_or_continued_without_a_seam(first: int) -> None:
    # Guards against: parts of two runs were given as one complete response (MIXED, ORDER).
    async def scenario(seed: int) -> None:
        dice = random.Random(seed)
        ids = [number if dice.random() < 0.8 else None for number in range(1, dice.randrange(2, 7))]
        runs = [
            draw(dice, b"run%d" % place, ids, breaks=place < 2 or dice.random() < 0.3) for place in range(3)
        ]
        backends = [Backend(one.seal.decode(), one.handle) for one in runs]
        async with start_router(
            backends, (route(stream_resume=True, max_attempts=3),), max_attempts=3
        ) as router:
            data = await router.fetch(CLOSING)
            answer = parse(data)
            assert not answer.surplus, (seed, data)
            if answer.is_complete and data.startswith(b"HTTP/1.1 200"):
                assert (answer.seal, answer.body) in allowed_bodies(runs), (seed, data, runs)

    for seed in range(first, first + SEEDS_PER_TEST):
        run(scenario(seed))


def run(coroutine: object) -> None:
    asyncio.run(asyncio.wait_for(coroutine, 10))  # type: ignore[arg-type]
