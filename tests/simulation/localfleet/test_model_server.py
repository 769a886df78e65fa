"""A model server on loopback sockets; each test awaits responses."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

from firvane.simulation.localfleet.event_stream import StreamCheck, parse_event
from firvane.simulation.localfleet.http_client import ClientConnection, Response, fetch
from firvane.simulation.localfleet.instance_list import ListedInstance
from firvane.simulation.localfleet.layout import find_free_ports
from firvane.simulation.localfleet.model_connection import ServerState
from firvane.simulation.localfleet.model_server import ModelServer
from firvane.simulation.localfleet.profiles import ServerProfile
from firvane.simulation.localfleet.run_ledger import ServerRecords

QUICK = ServerProfile(slots=1, queue=1, step_ms=0.5, connection_limit=3)
SLOW = ServerProfile(slots=1, queue=0, step_ms=60_000.0)
HEADERS = {"X-Request-Id": "ab12", "X-Token-Count": "10,9", "X-Prompt-Prefix": "1:10", "X-Model": "m"}
BODY_DIGEST = 0xA8BF39B2  # CRC-32 of the body below
BODY = b"a body"


@asynccontextmanager
async def server(profile: ServerProfile = QUICK) -> AsyncIterator[ModelServer]:
    loop = asyncio.get_running_loop()
    address = ("127.0.1.200", find_free_ports(1, 1, 1).backend)
    instance = ListedInstance("i-1", "writer", address, "zone-a", profile.slots)
    made = ModelServer(loop, instance, profile, ServerRecords(), seed=1)
    await made.start()
    try:
        yield made
    finally:
        made.close()


async def ask(made: ModelServer, headers: Mapping[str, str] = HEADERS) -> Response:
    return await fetch(
        made.instance.address, "/draft/1", method="POST", headers=headers, body=BODY, timeout=5.0
    )


async def get(made: ModelServer, path: str) -> Response:
    return await fetch(made.instance.address, path, timeout=5.0)


def test_a_request_gets_its_stream() -> None:
    async def play() -> None:
        async with server() as made:
            response = await ask(made, {**HEADERS, "X-Target-Instance": "i-1", "Expect-Version": "1"})
            assert response.status == 200
            assert response.headers[b"x-request-id"] == b"ab12"
            assert response.headers[b"x-server-seal"]
            assert response.headers[b"versions"] == b"1"
            assert response.headers[b"keep-alive"] == b"timeout=8"
            assert response.headers[b"content-type"] == b"text/event-stream"
            events = [parse_event(text) for text in response.body.split(b"\n\n")[:-1]]
            assert [event.number for event in events] == [1, 2, 3]
            check = StreamCheck(events[0].digest)
            check.feed(response.body)
            check.end_response()
            assert [run.request_id for run in made.records.runs] == [b"ab12"]
            assert made.records.reading.tokens_read == 10

    asyncio.run(play())


def test_a_stream_is_resumed() -> None:
    async def play() -> None:
        async with server() as made:
            response = await ask(made, {**HEADERS, "Last-Event-Id": "2"})
            assert [parse_event(text).number for text in response.body.split(b"\n\n")[:-1]] == [3]
            rest = await ask(made, {**HEADERS, "Last-Event-Id": "3"})
            assert (rest.status, rest.body) == (200, b"")
            assert [run.events_before for run in made.records.runs] == [2, 3]

    asyncio.run(play())


def test_a_rejection_states_that_the_request_has_not_run() -> None:
    async def play() -> None:
        async with server() as made:
            without_id = {name: value for name, value in HEADERS.items() if name != "X-Request-Id"}
            answers = [
                await ask(made, {**HEADERS, "X-Target-Instance": "i-2"}),
                await ask(made, {**HEADERS, "Expect-Version": "2"}),
                await ask(made, without_id),
                await ask(made, {**HEADERS, "X-Token-Count": "11,9"}),
            ]
            made.state = ServerState.REFUSING
            answers.append(await ask(made))
            assert [answer.status for answer in answers] == [421, 421, 400, 400, 503]
            assert all(b"x-not-executed" in answer.headers for answer in answers)
            assert made.records.runs == []
            assert made.records.rejected == 5

    asyncio.run(play())


def test_a_full_server_rejects_and_a_closed_connection_frees_a_place() -> None:
    async def play() -> None:
        async with server(SLOW) as made:
            asking = asyncio.create_task(ask(made))
            while not made.is_full:
                await asyncio.sleep(0)
            refused = await ask(made)
            assert refused.status == 503
            assert b"x-not-executed" in refused.headers
            assert (await get(made, "/health")).status == 503
            asking.cancel()
            while made.is_full:
                await asyncio.sleep(0)
            assert made.records.cancelled == 1
            assert made.records.runs == []

    asyncio.run(play())


def test_health_and_report() -> None:
    async def play() -> None:
        async with server() as made:
            healthy = await get(made, "/health")
            assert (healthy.status, healthy.headers[b"x-instance-id"]) == (200, b"i-1")
            report = json.loads((await get(made, "/v1/report")).body)
            assert report["cache_total"] == QUICK.cache_tokens
            assert report["models"] == [{"name": "m", "config_version": 1, "adapters": []}]
            made.state = ServerState.DRAINING
            assert (await get(made, "/health")).status == 503

    asyncio.run(play())


def test_a_draining_server_serves_and_closes_the_connection() -> None:
    async def play() -> None:
        async with server() as made:
            made.state = ServerState.DRAINING
            response = await ask(made)
            assert response.status == 200
            assert response.headers[b"connection"] == b"close"

    asyncio.run(play())


def test_connections_beyond_the_limit_are_reset() -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        async with server() as made:
            connections: list[ClientConnection] = []
            for _ in range(QUICK.connection_limit):
                _, connection = await loop.create_connection(ClientConnection, *made.instance.address)
                connections.append(connection)
            while len(made.connections) < QUICK.connection_limit:
                await asyncio.sleep(0)
            try:
                await get(made, "/health")
            except OSError:
                pass
            else:
                raise AssertionError("a connection too many was served")
            for connection in connections:
                connection.close()

    asyncio.run(play())
