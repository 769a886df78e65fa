"""The operators' door on real sockets, and the proxy behind it."""

from __future__ import annotations

import asyncio
import json
import socket
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from firvane.core.logs import QUIET
from firvane.proxy import proxy as proxies
from firvane.proxy.admin_api import server
from firvane.proxy.admin_api.server import MAX_CONNECTIONS
from firvane.proxy.config.platform import read_config
from firvane.proxy.proxy import Proxy
from tests.proxy.net.helpers import endpoint, run
from tests.proxy.test_program import config


async def ask(address: tuple[str, int], *pieces: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0)
    answer = await reader.read()
    writer.close()
    return answer


def told(folder: Path, **more: Any) -> Any:
    known = {"index": 1, "snapshot": True, "endpoints": [endpoint("s-1", 9)]}
    given = read_config(config(folder, ops="127.0.0.1:0", known=known, **more))
    return replace(given, discovery=None)


def test_each_call_has_its_answer(tmp_path: Path) -> None:
    # Guards the words that staff and platform go by, before the start, at work and on leave.
    async def work() -> None:
        proxy = Proxy(asyncio.get_running_loop(), told(tmp_path), log=QUIET)
        await proxy.start()
        at = proxy.admin_acceptor.address()
        assert (await ask(at, b"rea", b"dy\r", b"\n")).startswith(b"+OK")
        assert (await ask(at, b"nonsense\n")).startswith(b"-ERR")
        assert (await ask(at, b"x" * 5000)).startswith(b"-ERR")
        unset = b"-ERR no policy is agreed on here: [policy] is not set\n"
        assert await ask(at, b"policy-sta", b"tus\n") == await ask(at, b"policy-history\r\n") == unset
        figures, end, rest = (await ask(at, b"show-stat\n")).split(b"\n")
        assert (end, rest) == (b".", b"")
        assert json.loads(figures)["known_backends"] == 1
        assert (await ask(at, b"drain\n")).startswith(b"+OK")
        assert proxy.limiter.draining
        assert (await ask(at, b"resume\n")).startswith(b"+OK")
        assert not proxy.limiter.draining and not proxy.limiter.closing
        proxy._stop()

    run(work())


def test_silent_callers_keep_nobody_out(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against hundreds that call and say nothing, or half a call, while one asks. None of them goes by
    # itself: who asks is answered because the oldest make room, however long that takes on a busy machine.
    monkeypatch.setattr(server, "CONNECTION_TIMEOUT_S", 3600.0)

    async def work() -> None:
        proxy = Proxy(asyncio.get_running_loop(), told(tmp_path), log=QUIET)
        await proxy.start()
        at = proxy.admin_acceptor.address()
        stalled = [await asyncio.open_connection(*at) for _ in range(5 * MAX_CONNECTIONS)]
        for _, writer in stalled[::2]:
            writer.write(b"dra")
        assert (await ask(at, b"ready\n")).startswith(b"+OK")
        assert len(proxy.admin_server.connections) <= MAX_CONNECTIONS
        assert not proxy.limiter.draining
        for _, writer in stalled:
            writer.close()
        proxy._stop()

    run(work())


def test_an_inherited_socket_is_adopted_and_outlives_its_user(tmp_path: Path) -> None:
    # Guards the replacement: the queue of clients belongs to whoever comes next.
    async def work() -> None:
        with socket.create_server(("127.0.0.1", 0)) as held:
            given = replace(told(tmp_path), inherited=socket.fromfd(held.fileno(), 2, 1).detach())
            proxy = Proxy(asyncio.get_running_loop(), given, log=QUIET)
            await proxy.start()
            assert proxy.acceptor.address() == held.getsockname()
            reader, writer = await asyncio.open_connection(*held.getsockname())
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await reader.readline()).split()[1] == b"200"
            writer.close()
            await proxy.drain()
            with socket.create_connection(held.getsockname(), timeout=1):  # the next one's client
                held.settimeout(1)
                held.accept()[0].close()

    run(work())


def test_clients_are_left_to_the_process_before_until_the_list_is_here(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a successor that takes clients from the queue that it has nothing to offer. It starts
    # when discovery speaks, and not because its patience ends while the test looks.
    monkeypatch.setattr(proxies, "SNAPSHOT_LIST_TIMEOUT_S", 3600.0)

    async def work() -> None:
        speaks = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await speaks.wait()
            line = json.dumps({"index": 2, "snapshot": True, "endpoints": [endpoint("s-1", 9)]}) + "\n"
            head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(f"{head}{len(line):x}\r\n{line}\r\n".encode())

        silent = await asyncio.start_server(serve, "127.0.0.1", 0)
        with socket.create_server(("127.0.0.1", 0)) as held:
            inherited = socket.fromfd(held.fileno(), 2, 1).detach()
            given = replace(told(tmp_path), inherited=inherited, discovery=silent.sockets[0].getsockname())
            proxy = Proxy(asyncio.get_running_loop(), given, log=QUIET)
            start = asyncio.get_running_loop().create_task(proxy.start())
            while not proxy.target_group.servers:
                await asyncio.sleep(0)
            reader, writer = await asyncio.open_connection(*held.getsockname())
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            assert not proxy.limiter.connections and not proxy.limiter.ready
            assert (await ask(proxy.admin_acceptor.address(), b"ready\n")).startswith(b"-ERR")
            speaks.set()
            await start
            assert (await reader.readline()).split()[1] == b"200"
            writer.close()
            proxy._stop()
        silent.close()

    run(work())


def test_a_descriptor_that_is_no_listening_socket_is_one_plain_line(tmp_path: Path) -> None:
    async def work() -> None:
        with socket.socket() as plain, open(tmp_path / "config.json") as file:
            for number in (plain.fileno(), file.fileno(), 9999):
                with pytest.raises(OSError, match="NODE_SOCKET_FD"):
                    Proxy(asyncio.get_running_loop(), replace(given, inherited=number), log=QUIET)

    given = told(tmp_path)
    run(work())
