"""Clients that do not keep up with what is sent to them."""

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


def test_a_connection_is_read_again_after_a_stream_whose_client_did_not_keep_up(
    run: Callable[[Scenario], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: a stream whose client was slow at its end left the backend's connection unread for ever.
    write_body = ClientConnection.write_body

    def write_and_pause(client: ClientConnection, buffers: list[Any]) -> None:
        write_body(client, buffers)
        client.pause_writing()

    async def scenario() -> None:
        async def answers(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)) + LAST_CHUNK)

        backend = Backend("a", answers)
        async with start_router([backend]) as router:
            with monkeypatch.context() as patch:
                patch.setattr(ClientConnection, "write_body", write_and_pause)
                assert await fetch_stream(router, b"first") == event(1)
            assert await asyncio.wait_for(fetch_stream(router, b"second"), 2) == event(1)
            assert backend.connections == 1

    run(scenario())


RECEIVE_BUFFER_BYTES = 64 * 1024  # of the client; the kernel doubles it
WRITE_BUFFER_BYTES = 64 * 1024  # of a transport, above which its protocol is paused
DRAW_BOUND_BYTES = MAX_UNSENT_BYTES + WRITE_BUFFER_BYTES + 2 * RECEIVE_BUFFER_BYTES + 2 * MAX_READ_BYTES
BIG_EVENT = b"data: " + b"x" * 40_000 + b"\n\n"
BIG_EVENTS = 1_000
DRAWING_S = 0.3  # in which a send buffer without a bound grows to its full size


def test_a_client_that_reads_nothing_draws_no_more_than_a_bound(
    run: Callable[[Scenario], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: the kernel's send buffer grew, and clients that read nothing drew megabytes each.
    drawn: list[int] = []
    data_received = UpstreamConnection.data_received

    def count(connection: UpstreamConnection, data: bytes) -> None:
        drawn.append(len(data))
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
                await wait_until(lambda: any(not each.is_reading for each in router.upstreams.streams))
                await asyncio.sleep(DRAWING_S)
                assert sum(drawn) <= DRAW_BOUND_BYTES + len(BIG_EVENT)

    with monkeypatch.context() as patch:
        patch.setattr(UpstreamConnection, "data_received", count)
        run(scenario())
