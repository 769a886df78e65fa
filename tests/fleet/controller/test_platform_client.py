"""The platform client: persistent connections, all forms of replies, and failures."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from firvane.fleet.controller.platform_client import PlatformClient, PlatformError, PlatformReply

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def play(script: Script, requests: int = 1, timeout: float = 5.0) -> list[PlatformReply | PlatformError]:
    """Send requests sequentially to a server that runs the script on each connection."""

    async def scenario() -> list[PlatformReply | PlatformError]:
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        client = PlatformClient(asyncio.get_running_loop(), address, timeout)
        outcomes: list[PlatformReply | PlatformError] = []
        for _ in range(requests):
            try:
                outcomes.append(await client.get("/instances?page_token=a"))
            except PlatformError as error:
                outcomes.append(error)
        client.close()
        server.close()
        return outcomes

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(scenario())


def scripted_replies(*texts: bytes, end: bool = False) -> tuple[Script, list[bytes]]:
    """Return a script that sends these replies on one connection, and the list of heads that it reads."""
    heads: list[bytes] = []

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            for text in texts:
                heads.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(text)
            if not end:
                await reader.read()
        except asyncio.IncompleteReadError:
            pass
        writer.close()

    return script, heads


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def test_requests_share_one_connection() -> None:
    script, heads = scripted_replies(OK, OK)
    replies = play(script, 2)
    assert replies == [PlatformReply(200, b"{}"), PlatformReply(200, b"{}")]
    assert heads[0].startswith(b"GET /instances?page_token=a HTTP/1.1\r\nHost: 127.0.0.1:")


@pytest.mark.parametrize(
    "text",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
    ],
)
def test_bodies_of_all_forms(text: bytes) -> None:
    script, _ = scripted_replies(text, end=True)
    assert play(script) == [PlatformReply(200, b"{}")]


def test_a_persistent_connection_that_was_closed_is_replaced() -> None:
    script, heads = scripted_replies(OK, end=True)
    assert play(script, 3) == [PlatformReply(200, b"{}")] * 3
    assert len(heads) == 3


def test_a_429_reply_has_its_retry_after() -> None:
    script, _ = scripted_replies(
        b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"
    )
    assert play(script) == [PlatformReply(429, b"", 0.5)]


@pytest.mark.parametrize("text", [b"no answer\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"])
def test_a_malformed_or_truncated_reply_is_an_error(text: bytes) -> None:
    script, _ = scripted_replies(text, end=True)
    (outcome,) = play(script)
    assert isinstance(outcome, PlatformError)


def test_a_missing_reply_times_out() -> None:
    script, _ = scripted_replies(b"")
    (outcome,) = play(script, timeout=0.02)
    assert str(outcome) == "timed out"


def test_a_refused_connection_is_an_error() -> None:
    async def scenario() -> None:
        client = PlatformClient(asyncio.get_running_loop(), ("127.0.0.1", 1))
        with pytest.raises(PlatformError):
            await client.get("/instances")

    asyncio.run(scenario())


def test_another_address_is_used_from_the_next_request_on() -> None:
    async def scenario() -> list[int]:
        counts = [0, 0]

        def counting(number: int) -> Script:
            async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                counts[number] += 1
                writer.write(OK)
                await reader.read()
                writer.close()

            return script

        servers = [await asyncio.start_server(counting(number), "127.0.0.1", 0) for number in range(2)]
        first, second = (server.sockets[0].getsockname()[:2] for server in servers)
        client = PlatformClient(asyncio.get_running_loop(), first)
        await client.get("/instances")
        client.set_address(second)
        await client.get("/instances")
        client.close()
        for server in servers:
            server.close()
        return counts

    assert asyncio.run(scenario()) == [1, 1]
