"""The proxy ends a client's connection while bytes cross its end: what was written before still arrives."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from pathlib import Path
from typing import Any

import pytest

from firvane.proxy.net.client_responses import INITIAL_WINDOW_BYTES
from tests.crossings.harness import CHUNKED, Link, Rig, play, request, rig

MORE = request("c2")  # what its client sends behind the request whose answer is the last


def body(size: int) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size


async def narrow(made: Rig) -> Link:
    """A client whose kernel takes little of an answer before it is read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    sock.setblocking(False)
    await made.loop.sock_connect(sock, made.proxy.acceptor.address())
    made.clients.append(Link(sock))
    return made.clients[-1]


async def whole(client: Link) -> bytes:
    """All that came up to the end of the connection, which is in order; the answer's body."""
    assert await client.gone() == "fin"
    head, _, rest = client.buffer.partition(b"\r\n\r\n")
    assert b" 200 " in head and b"Connection: close" in head
    return rest


@pytest.mark.parametrize("size", [2, 60_000])
@pytest.mark.parametrize("closing", [False, True], ids=["asked for", "at the end"])
@pytest.mark.parametrize("when", ["in the turn of the answer", "after the close"])
def test_bytes_behind_a_last_answer_do_not_destroy_it(
    tmp_path: Path, size: int, closing: bool, when: str
) -> None:
    # The system resets a connection that is closed over unread bytes, or gets more after its close: what the
    # client's kernel had not taken yet was lost, 58 kB of 60.
    async def work() -> None:
        async with rig(tmp_path) as made:
            await made.start()
            client = await narrow(made)
            await client.send(request("c1", more="" if closing else "Connection: close\r\n"))
            link = await made.targets[0].taken()
            made.proxy.limiter.closing = closing
            listener = await made.listener(client)
            if when == "in the turn of the answer":
                finish = listener._respond

                def crossed(*answer: Any) -> None:
                    client.sock.send(MORE)  # with the kernel, and the loop has yet to hear of it
                    finish(*answer)

                listener._respond = crossed
            await link.send(body(size))
            await made.see(lambda: listener.ending)
            if when == "after the close":
                for _ in range(3):  # turns: a transport is closed in the next
                    await asyncio.sleep(0)
                with contextlib.suppress(OSError):
                    client.sock.send(MORE)
            assert len(await whole(client)) == size
            assert made.targets[0].calls == ["c1"]  # what came behind it went nowhere
            client.fin()
            await made.see(lambda: made.at_rest() == (0, 0, 0))

    play(work())


@pytest.mark.parametrize("size", [2, INITIAL_WINDOW_BYTES, 60_000])
def test_a_client_that_stays_behind_its_last_answer_is_closed_on(tmp_path: Path, size: int) -> None:
    # What waits for a client's end must not wait for ever.
    async def work() -> None:
        async with rig(tmp_path) as made:
            await made.start()
            client = await made.client()
            await client.send(request("c1", more="Connection: close\r\n"))
            await (await made.targets[0].taken()).send(body(size))
            assert len(await whole(client)) == size
            await made.see(lambda: made.at_rest() == (0, 0, 0))

    play(work())


@pytest.mark.parametrize("ends", ["whole", "reset", "fin", "exit"])
@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
def test_a_client_can_tell_that_a_long_answer_without_a_length_was_cut(
    tmp_path: Path, version: bytes, ends: str
) -> None:
    # One that knows no chunks has only the end of its connection to go by: cut, it ended in order.
    async def work() -> None:
        async with rig(tmp_path) as made:
            await made.start()
            client, size = await made.client(), 80_000
            await client.send(request("c1").replace(b"HTTP/1.1", version))
            link = await made.targets[0].taken()
            await link.send(CHUNKED + b"%x\r\n%s\r\n" % (size, b"x" * size))
            await client.until(b"xxx")
            if ends == "whole":
                await link.send(b"0\r\n\r\n")
            elif ends == "exit":
                [listener] = made.proxy.limiter.connections
                listener.transport.abort()  # as the system closes what an exit leaves open
            else:
                link.leave(ends)
            if version == b"HTTP/1.0":
                assert await client.gone() == ("fin" if ends == "whole" else "reset")
                assert ends != "whole" or len(client.buffer) == size - 3
            elif ends == "whole":
                await client.until(b"\r\n0\r\n\r\n")
            else:
                assert await client.gone() and not client.buffer.endswith(b"0\r\n\r\n")
            client.fin()
            await made.see(lambda: made.at_rest() == (0, 0, 0))

    play(work())
