"""Flow control for clients that read too slowly."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest

from firvane.core.net.http_reader import MAX_READ_BYTES
from firvane.core.net.listening import MAX_UNSENT_BYTES
from firvane.fleet.router.client import ClientConnection
from firvane.fleet.router.upstream_connection import UpstreamConnection
from tests.fleet.router.helpers import REQUEST, STREAM_HEAD, Backend, chunk, event, request_id, start_router
from tests.fleet.router.loop_fixtures import LAST_CHUNK, Scenario, fetch_stream, run
from tests.live_objects import wait_until

__all__ = ["run"]


def test_a_backend_connection_is_read_again_after_a_stream_to_a_slow_client(
    run: Callable[[Scenario], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: after a client was slow at the end of a stream, the backend's connection stayed paused.
    write_body = ClientConnection.write_body

    def write_and_pause(client: ClientConnection, buffers: list[Any]) -> None:
        write_body(client, buffers)
        client.pause_writing()

    async def scenario() -> None:
        async def responds(
            request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)) + LAST_CHUNK)

        backend = Backend("a", responds)
        async with start_router([backend]) as router:
            with monkeypatch.context() as patch:
                patch.setattr(ClientConnection, "write_body", write_and_pause)
                assert await fetch_stream(router, b"first") == event(1)
            assert await asyncio.wait_for(fetch_stream(router, b"second"), 2) == event(1)
            assert backend.connections == 1

    run(scenario())


RECEIVE_BUFFER_BYTES = 64 * 1024  # requested for the client's socket; the kernel doubles it
WRITE_BUFFER_BYTES = 64 * 1024  # high-water mark of a transport, above which its protocol is paused
MAX_BUFFERED_BYTES = MAX_UNSENT_BYTES + WRITE_BUFFER_BYTES + 2 * RECEIVE_BUFFER_BYTES + 2 * MAX_READ_BYTES
BIG_EVENT = b"data: " + b"x" * 40_000 + b"\n\n"
BIG_EVENTS = 1_000
SETTLE_S = 0.3  # an unbounded send buffer grows to its full size within this time


def test_the_data_buffered_for_a_client_that_reads_nothing_is_bounded(
    run: Callable[[Scenario], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: the kernel's send buffer grew, and clients that read nothing took megabytes each.
    received: list[int] = []
    data_received = UpstreamConnection.data_received

    def count(connection: UpstreamConnection, data: bytes) -> None:
        received.append(len(data))
        data_received(connection, data)

    async def streams(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD % request_id(request))
        for _ in range(BIG_EVENTS):
            writer.write(chunk(BIG_EVENT))
            await writer.drain()

    async def scenario() -> None:
        async with start_router([Backend("a", streams)]) as router:
            loop = asyncio.get_running_loop()
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                client.setblocking(False)
                await loop.sock_connect(client, ("127.0.0.1", router.port))
                await loop.sock_sendall(client, REQUEST % b"one")
                await wait_until(lambda: any(not stream.is_reading for stream in router.upstreams.streams))
                await asyncio.sleep(SETTLE_S)
                assert sum(received) <= MAX_BUFFERED_BYTES + len(BIG_EVENT)

    with monkeypatch.context() as patch:
        patch.setattr(UpstreamConnection, "data_received", count)
        run(scenario())
