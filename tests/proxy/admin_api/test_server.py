"""The admin server of a proxy on real sockets, and inherited listening sockets."""

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


async def call_admin(address: tuple[str, int], *pieces: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0)
    response = await reader.read()
    writer.close()
    return response


def make_config(folder: Path, **overrides: Any) -> Any:
    endpoint_list = {"index": 1, "snapshot": True, "endpoints": [endpoint("s-1", 9)]}
    proxy_config = read_config(config(folder, ops="127.0.0.1:0", known=endpoint_list, **overrides))
    return replace(proxy_config, discovery=None)


def test_each_call_gets_its_response(tmp_path: Path) -> None:
    # Guards the responses on which operators and the platform rely, while the proxy serves and drains.
    async def scenario() -> None:
        proxy = Proxy(asyncio.get_running_loop(), make_config(tmp_path), log=QUIET)
        await proxy.start()
        admin_address = proxy.admin_acceptor.address()
        assert (await call_admin(admin_address, b"rea", b"dy\r", b"\n")).startswith(b"+OK")
        assert (await call_admin(admin_address, b"nonsense\n")).startswith(b"-ERR")
        assert (await call_admin(admin_address, b"x" * 5000)).startswith(b"-ERR")
        unset = b"-ERR no policy is agreed on here: [policy] is not set\n"
        assert (
            await call_admin(admin_address, b"policy-sta", b"tus\n")
            == await call_admin(admin_address, b"policy-history\r\n")
            == unset
        )
        metrics, end, rest = (await call_admin(admin_address, b"show-stat\n")).split(b"\n")
        assert (end, rest) == (b".", b"")
        assert json.loads(metrics)["known_backends"] == 1
        assert (await call_admin(admin_address, b"drain\n")).startswith(b"+OK")
        assert proxy.limiter.draining
        assert (await call_admin(admin_address, b"resume\n")).startswith(b"+OK")
        assert not proxy.limiter.draining and not proxy.limiter.closing
        proxy._stop()

    run(scenario())


def test_stalled_connections_do_not_block_other_callers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against many connections that send nothing, or an incomplete call, and block a valid call. The
    # long time-out does not close them: the call is answered because the oldest connections are closed.
    monkeypatch.setattr(server, "CONNECTION_TIMEOUT_S", 3600.0)

    async def scenario() -> None:
        proxy = Proxy(asyncio.get_running_loop(), make_config(tmp_path), log=QUIET)
        await proxy.start()
        admin_address = proxy.admin_acceptor.address()
        stalled = [await asyncio.open_connection(*admin_address) for _ in range(5 * MAX_CONNECTIONS)]
        for _, writer in stalled[::2]:
            writer.write(b"dra")
        assert (await call_admin(admin_address, b"ready\n")).startswith(b"+OK")
        assert len(proxy.admin_server.connections) <= MAX_CONNECTIONS
        assert not proxy.limiter.draining
        for _, writer in stalled:
            writer.close()
        proxy._stop()

    run(scenario())


def test_an_inherited_socket_stays_open_after_the_proxy_drains(tmp_path: Path) -> None:
    # Guards the replacement of a process: its successor gets the queue of client connections.
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            proxy_config = replace(
                make_config(tmp_path), inherited=socket.fromfd(listener.fileno(), 2, 1).detach()
            )
            proxy = Proxy(asyncio.get_running_loop(), proxy_config, log=QUIET)
            await proxy.start()
            assert proxy.acceptor.address() == listener.getsockname()
            reader, writer = await asyncio.open_connection(*listener.getsockname())
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await reader.readline()).split()[1] == b"200"
            writer.close()
            await proxy.drain()
            with socket.create_connection(listener.getsockname(), timeout=1):  # a client of the successor
                listener.settimeout(1)
                listener.accept()[0].close()

    run(scenario())


def test_a_successor_accepts_no_clients_before_its_first_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a successor that accepts clients while it knows no endpoints. The time-out is so long
    # that only the endpoint list of discovery can complete the start.
    monkeypatch.setattr(proxies, "SNAPSHOT_LIST_TIMEOUT_S", 3600.0)

    async def scenario() -> None:
        list_available = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await list_available.wait()
            line = json.dumps({"index": 2, "snapshot": True, "endpoints": [endpoint("s-1", 9)]}) + "\n"
            head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(f"{head}{len(line):x}\r\n{line}\r\n".encode())

        discovery_server = await asyncio.start_server(serve, "127.0.0.1", 0)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            inherited = socket.fromfd(listener.fileno(), 2, 1).detach()
            proxy_config = replace(
                make_config(tmp_path),
                inherited=inherited,
                discovery=discovery_server.sockets[0].getsockname(),
            )
            proxy = Proxy(asyncio.get_running_loop(), proxy_config, log=QUIET)
            start = asyncio.get_running_loop().create_task(proxy.start())
            while not proxy.target_group.servers:
                await asyncio.sleep(0)
            reader, writer = await asyncio.open_connection(*listener.getsockname())
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            assert not proxy.limiter.connections and not proxy.limiter.ready
            assert (await call_admin(proxy.admin_acceptor.address(), b"ready\n")).startswith(b"-ERR")
            list_available.set()
            await start
            assert (await reader.readline()).split()[1] == b"200"
            writer.close()
            proxy._stop()
        discovery_server.close()

    run(scenario())


def test_an_invalid_inherited_descriptor_is_reported(tmp_path: Path) -> None:
    async def scenario() -> None:
        with socket.socket() as unbound, open(tmp_path / "config.json") as file:
            for number in (unbound.fileno(), file.fileno(), 9999):
                with pytest.raises(OSError, match="NODE_SOCKET_FD"):
                    Proxy(asyncio.get_running_loop(), replace(proxy_config, inherited=number), log=QUIET)

    proxy_config = make_config(tmp_path)
    run(scenario())
