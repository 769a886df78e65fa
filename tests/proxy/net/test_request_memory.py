"""The memory of a request in a complete proxy is freed at its end, without the cyclic garbage collector."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from firvane.core.net.http_reader import MessageReader
from firvane.proxy.net.client_connection import ClientConnection
from firvane.proxy.net.upstream_pool import Connection
from tests.live_objects import OF_A_REQUEST, LiveObjects, alive, settle, wait_until
from tests.proxy.net.helpers import run
from tests.proxy.net.test_long_messages import BODY, GET, PUT, Serve, Stage, chunks, opened, whole

__all__ = ["alive"]
OF_A_CONNECTION = (ClientConnection, Connection, MessageReader)
SHORT_BODY = b"x" * 40_000
SHORT_PUT = PUT + b"Content-Length: %d\r\n" % len(SHORT_BODY)
LONG_PUT = PUT + b"Content-Length: %d\r\n" % len(BODY)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


def respond_after(length: int, answer: bytes = OK) -> Serve:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(length)
        writer.write(answer)
        await writer.drain()

    return serve


async def never_respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()


async def break_response(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(BODY)[: len(BODY) // 2])
    await writer.drain()


async def served(stage: Stage) -> None:
    assert (await whole(await stage.client(SHORT_PUT, SHORT_BODY)))[1] == b"done"


async def served_after_a_long_body(stage: Stage) -> None:
    assert (await whole(await stage.client(LONG_PUT, BODY)))[1] == b"done"


async def served_with_a_long_body(stage: Stage) -> None:
    assert (await whole(await stage.client(GET)))[1] == BODY


async def truncated(stage: Stage) -> None:
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
        await whole(await stage.client(GET))


async def failed(stage: Stage) -> None:
    head, _ = await whole(await stage.client(SHORT_PUT, SHORT_BODY))
    assert head.split()[1] == b"502"


async def rejected_as_too_long(stage: Stage) -> None:
    head = await (await stage.client(PUT + b"Content-Length: 999999999999\r\n")).readuntil(b"\r\n\r\n")
    assert head.split()[1] == b"413"


async def client_disconnects(stage: Stage) -> None:
    await stage.client(SHORT_PUT, SHORT_BODY)
    await wait_until(lambda: bool(stage.heads))
    stage.writers[-1].transport.abort()


async def client_disconnects_during_its_body(stage: Stage) -> None:
    await stage.client(SHORT_PUT, SHORT_BODY[:20_000])
    await settle()
    stage.writers[-1].transport.abort()


SCENARIOS: dict[str, tuple[Callable[[Stage], Awaitable[None]], Serve]] = {
    "served": (served, respond_after(len(SHORT_BODY))),
    "served behind a long body": (served_after_a_long_body, respond_after(len(BODY))),
    "served at length": (
        served_with_a_long_body,
        respond_after(0, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY),
    ),
    "broken off": (truncated, break_response),
    "failed": (failed, respond_after(len(SHORT_BODY), b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")),
    "too long": (rejected_as_too_long, respond_after(0)),
    "client gone": (client_disconnects, never_respond),
    "client gone during its body": (client_disconnects_during_its_body, never_respond),
}


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_all_objects_of_a_request_are_freed_at_its_end(
    scenario: str, alive: LiveObjects, tmp_path: Path
) -> None:
    # Guards against reference cycles that keep the bodies of ended requests until the collector runs.
    act, serve = SCENARIOS[scenario]

    async def work() -> None:
        stage = await opened(tmp_path, serve)
        await act(stage)
        for writer in stage.writers:
            writer.close()
        await wait_until(lambda: not stage.proxy.engine.flows)
        await settle()
        assert alive.count(OF_A_REQUEST) == {}
        stage.close()
        await settle()
        assert alive.count(OF_A_REQUEST + OF_A_CONNECTION) == {}

    run(work())
