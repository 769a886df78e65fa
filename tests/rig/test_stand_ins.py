"""Boxes and discovery: they misbehave as asked, and only then."""

import asyncio
import json
from typing import Any

from benchmarks.rig.answers import Answers
from benchmarks.rig.backends import FLOOD, Box, Fleet
from benchmarks.rig.discovery import Agent
from tests.proxy.net.helpers import run


async def ask(port: int, query: bytes, size: int) -> bytes:
    """What a box sends, up to this many bytes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"POST /read/x%s HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi" % query)
    data = await reader.readexactly(size)
    writer.close()
    return data


def test_a_box_does_as_the_query_says() -> None:
    async def test() -> None:
        loop, fleet = asyncio.get_running_loop(), Fleet(10, 0.0, 1)
        server = await loop.create_server(lambda: Box(fleet, loop), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        plain = Fleet.answer(10)
        assert await ask(port, b"", len(plain)) == plain
        big = Fleet.answer(65_000)
        assert await ask(port, b"?size=65000", len(big)) == big
        dripped = Fleet.answer(2000)
        assert await ask(port, b"?do=drip", 5) == dripped[:5]
        interim = Answers()
        assert interim.feed(await ask(port, b"?do=interim&wait=1", 20 * len(FLOOD))) == []
        assert interim.interim == 20
        trailers = await ask(port, b"?do=trailers", 5000)
        assert trailers.count(b"\r\nX-More: ") >= 4 and b"\r\n\r\nX-More" not in trailers
        assert fleet.requests == 5
        server.close()

    run(test())


class Watch:
    """One watch of the list, read line by line."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def begin(cls, port: int) -> "Watch":
        watch = cls(*await asyncio.open_connection("127.0.0.1", port))
        watch.writer.write(b"GET /discovery/hosts?watch=1&from=0 HTTP/1.1\r\n\r\n")
        await watch.reader.readuntil(b"\r\n\r\n")
        return watch

    async def line(self) -> dict[str, Any]:
        size = int(await self.reader.readuntil(b"\r\n"), 16)
        told: dict[str, Any] = json.loads((await self.reader.readexactly(size + 2))[:-2])
        return told


def test_discovery_tells_the_whole_list_then_changes_then_what_is_ordered() -> None:
    async def test() -> None:
        agent = Agent([7001, 7002])
        server = await asyncio.start_server(agent.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        watch = await Watch.begin(port)
        first = await watch.line()
        assert first["snapshot"] and [e["address"] for e in first["endpoints"]] == [
            "127.0.0.1:7001",
            "127.0.0.1:7002",
        ]
        agent.order({"do": "churn", "every_ms": 1})
        change = await watch.line()
        assert not change["snapshot"] and change["index"] > first["index"]
        assert [e["status"] for e in change["endpoints"]] == ["removed", "up"]
        assert change["endpoints"][0]["name"] != change["endpoints"][1]["name"]
        agent.order({"do": "calm"})

        agent.order({"do": "bulk", "entries": 100, "lines": 4})
        assert not await watch.reader.read() or watch.reader.at_eof()
        watch = await Watch.begin(port)
        lines = [await watch.line() for _ in range(5)]
        assert [len(line["endpoints"]) for line in lines] == [2, 25, 25, 25, 25]
        assert [line["snapshot"] for line in lines] == [True, False, False, False, False]

        agent.order({"do": "endless"})
        watch = await Watch.begin(port)
        with_end = await watch.reader.readexactly(200_000)
        assert b"\n" not in with_end.replace(b"\r\n", b"")
        watch.writer.close()
        server.close()

    run(test())
