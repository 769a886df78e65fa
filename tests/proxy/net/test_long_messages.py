"""Long messages through a complete proxy on real sockets: integrity, memory use and broken connections."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from firvane.core.logs import QUIET
from firvane.proxy.admin_api.lifecycle import Event
from firvane.proxy.config.platform import read_config
from firvane.proxy.limits.memory_account import MemoryUse
from firvane.proxy.proxy import Proxy
from tests.proxy.net.helpers import endpoint, run
from tests.proxy.test_program import config
from tests.proxy.test_simulator_adapter import PARAMS

BODY = bytes(range(256)) * 4096  # 1 MiB
BUDGET = 60_000  # ms: long, so that no test depends on the speed of the machine
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Stage:
    """A proxy with one target, whose behavior the test defines."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.heads: list[bytes] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def open(self, serve: Serve) -> None:
        async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
                await serve(reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            writer.close()

        server = await asyncio.start_server(connected, "127.0.0.1", 0)
        known = {
            "index": 1,
            "snapshot": True,
            "endpoints": [endpoint("s", server.sockets[0].getsockname()[1])],
        }
        base = PARAMS["classes"][0]
        classes = [
            {**base, "name": "get", "repeat": "pure", "give-up-ns": 1e6 * BUDGET},
            {**base, "name": "put", "repeat": "side_effect", "give-up-ns": 1e6 * BUDGET},
        ]
        alone = {"discovery": "push", "siblings": 1, "me": 0, "dcs": ["a"], "machine-types": ["big"]}
        settings = {**PARAMS, **alone,
                    "classes": classes, "tenants": []}  # fmt: skip
        read_settings = replace(
            read_config(config(self.folder, known=known, settings=settings)), discovery=None
        )
        self.proxy = Proxy(asyncio.get_running_loop(), read_settings, log=QUIET)
        await self.proxy.start()

    async def client(
        self, head: bytes, body: bytes = b""
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(*self.proxy.acceptor.address(), limit=1 << 16)
        self.writers.append(writer)
        more = b"\r\nX-Call-Id: 1\r\nX-Budget-Ms: %d\r\n" % BUDGET
        writer.write(head.replace(b"\r\n", more, 1) + b"\r\n" + body)
        return reader

    def close(self) -> None:
        for writer in self.writers:
            writer.close()
        self.proxy._stop()

    def counted(self) -> dict[str, dict[str, int]]:
        return {
            k: v
            for k, v in json.loads(self.proxy.collect_metrics().text())["handled"].items()
            if any(v.values())
        }


async def opened(folder: Path, serve: Serve) -> Stage:
    stage = Stage(folder)
    await stage.open(serve)
    return stage


async def until(found: Callable[[], object]) -> None:
    """Wait until the condition holds; `run` bounds the time."""
    while not found():
        await asyncio.sleep(0.001)


async def whole(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return the head and the body of a response with any framing."""
    head = await reader.readuntil(b"\r\n\r\n")
    if b"Content-Length" in head:
        return head, await reader.readexactly(int(head.split(b"Content-Length: ")[1].split(b"\r")[0]))
    if b"chunked" not in head:
        return head, await reader.read()
    body = b""
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
    return head, body


def chunks(body: bytes) -> bytes:
    pieces = (body[at : at + 5000] for at in range(0, len(body), 5000))
    return b"".join(b"%x;x=y\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\nX-T: 1\r\n\r\n"


GET = b"GET /get/x HTTP/1.1\r\nHost: a\r\n"
PUT = b"POST /put/x HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize("client", [GET, GET.replace(b"1.1", b"1.0")])
@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(BODY),
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BODY,
    ],
)
def test_a_long_response_is_forwarded_unchanged(reply: bytes, client: bytes, tmp_path: Path) -> None:
    # Guards every framing that a target may use, for clients with and without support for chunked coding.
    async def work() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(reply)
            await writer.drain()

        stage = await opened(tmp_path, serve)
        reader = await stage.client(client)
        head, body = await whole(reader)
        assert head.startswith(b"HTTP/1.1 200 ") and body == BODY
        await asyncio.sleep(0)
        assert stage.counted() == {"get": {"passed": 1, "dropped": 0, "bad_gateway": 0}}
        stage.close()

    run(work())


@pytest.mark.parametrize("chunked", [False, True])
def test_a_long_request_is_forwarded_as_it_arrives(chunked: bool, tmp_path: Path) -> None:
    # Guards the body, its framing, the budget counted from its last byte, and the request that follows.
    async def work() -> None:
        got: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                got.append((await whole(reader_with(stage.heads[-1], reader)))[1])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
                stage.heads.append(await reader.readuntil(b"\r\n\r\n"))

        stage = await opened(tmp_path, serve)
        framing = b"Transfer-Encoding: chunked\r\n" if chunked else b"Content-Length: %d\r\n" % len(BODY)
        data = chunks(BODY) if chunked else BODY
        reader = await stage.client(PUT + framing, data[: len(data) // 2])
        writer = stage.writers[0]
        await until(lambda: stage.proxy.collect_metrics().in_progress == 1)
        assert stage.proxy.collect_metrics().upstream_attempts() == 0
        last = asyncio.get_running_loop().time()
        writer.write(data[len(data) // 2 :])
        assert (await whole(reader))[1] == b"hi"
        took = asyncio.get_running_loop().time() - last
        small = PUT.replace(b"\r\n", b"\r\nX-Call-Id: 2\r\nX-Budget-Ms: 60000\r\nContent-Length: 3\r\n", 1)
        writer.write(small + b"\r\nabc")
        assert (await whole(reader))[1] == b"hi"
        assert got == [BODY, b"abc"]
        # The budget has decreased by no more than the time since the last byte was sent.
        left = int(stage.heads[0].split(b"X-Budget-Ms: ")[1].split(b"\r")[0])
        assert BUDGET - 1000 * took - 1 <= left <= BUDGET
        assert stage.proxy.collect_metrics().upstream_attempts() == 2
        stage.close()

    run(work())


def reader_with(head: bytes, reader: asyncio.StreamReader) -> Any:
    """Return a reader that yields the head again."""

    class Again:
        async def readuntil(self, end: bytes) -> bytes:
            return head

        def __getattr__(self, name: str) -> Any:
            return getattr(reader, name)

    return Again()


def test_a_broken_long_response_is_truncated_and_counted_as_failed(tmp_path: Path) -> None:
    # Guards against a truncated response that is taken for complete, and against a hidden second attempt.
    async def work() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(BODY)[: len(BODY) // 2]
            )
            await writer.drain()

        stage = await opened(tmp_path, serve)
        reader = await stage.client(GET)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
            await whole(reader)
        assert stage.counted() == {"get": {"passed": 0, "dropped": 0, "bad_gateway": 1}}
        assert len(stage.heads) == 1
        stage.close()

    run(work())


def test_a_streamed_body_is_not_sent_again(tmp_path: Path) -> None:
    # Guards the single attempt: a partial body must never be sent in another request.
    async def work() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(200_000)

        stage = await opened(tmp_path, serve)
        reader = await stage.client(PUT + b"Content-Length: %d\r\n" % len(BODY), BODY)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.split()[1] in (b"502", b"503")
        assert len(stage.heads) == 1
        stage.close()

    run(work())


def test_a_client_that_does_not_read_pauses_its_target(tmp_path: Path) -> None:
    # Guards the memory, which must not depend on the length of a response or on how slowly it is read.
    async def work() -> None:
        sent = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 * len(BODY)))
            for _ in range(32):
                writer.write(BODY)
                await writer.drain()
                sent += 1

        stage = await opened(tmp_path, serve)
        reader = await stage.client(GET)
        await reader.readuntil(b"\r\n\r\n")
        seen, same = -1, 0
        while same < 5:
            same, seen = (same + 1 if sent == seen else 0), sent
            await asyncio.sleep(0.02)
        assert sent < 32
        [connection] = stage.proxy.limiter.connections
        assert connection.transport.get_write_buffer_size() <= 64 * 1024
        assert sum(stage.proxy.monitor.account.bytes_by_use) < 1 << 20
        _, body = b"", await reader.readexactly(32 * len(BODY))
        assert body == 32 * BODY
        by = stage.proxy.monitor.account.bytes_by_use
        await until(lambda: not by[MemoryUse.FLOWS] and not by[MemoryUse.ANSWERS])
        stage.close()

    run(work())


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 33554433\r\n",
        b"Content-Length: 3000000000\r\n",
        b"Content-Length: 9%s\r\n" % (b"9" * 40),
    ],
)
def test_a_request_with_too_large_a_length_is_rejected_at_once(framing: bytes, tmp_path: Path) -> None:
    async def work() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None: ...

        stage = await opened(tmp_path, serve)
        reader = await stage.client(PUT + framing, b"x" * 100_000)
        assert (await reader.readuntil(b"\r\n\r\n")).split()[1] in (b"413", b"400")
        assert not stage.heads
        stage.close()

    run(work())


def test_a_drain_completes_a_long_response_and_closes_the_connection(tmp_path: Path) -> None:
    # Guards against a drain that truncates a response in transit, and against a connection left idle after
    # it.
    async def work() -> None:
        may_continue = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY[:100_000])
            await may_continue.wait()
            writer.write(BODY[100_000:])
            await writer.drain()

        stage = await opened(tmp_path, serve)
        reader = await stage.client(GET)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert stage.proxy._apply_event(Event.DRAIN)
        stage.proxy._close_drained(stage.proxy.drain_started_at)
        may_continue.set()
        assert await reader.readexactly(len(BODY)) == BODY
        assert await reader.read() == b""  # the sweep closes idle connections
        assert stage.counted() == {"get": {"passed": 1, "dropped": 0, "bad_gateway": 0}}
        stage.close()

    run(work())
