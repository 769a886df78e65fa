"""Replacement of a proxy process under load: two real processes share one listening socket."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from pathlib import Path

from tests.proxy.admin_api.test_server import call_admin
from tests.proxy.net.helpers import run
from tests.proxy.test_program import address, config, listen_address, start_discovery, wait_for_log

# Concurrent clients, few enough for one target; requests of each after the replacement.
CLIENTS, REQUESTS_AFTER = 2, 50
HEAD = b"GET /read/x HTTP/1.1\r\nX-Call-Id: %d-%d\r\nX-Budget-Ms: 60000\r\n\r\n"


async def start(
    env: dict[str, str], listener: socket.socket
) -> tuple[asyncio.subprocess.Process, asyncio.StreamReader]:
    descriptor = listener.fileno()
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "firvane", env={**os.environ, **env, "NODE_SOCKET_FD": str(descriptor)},
        pass_fds=(descriptor,), stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert process.stderr
    return process, process.stderr


class Client:
    """Sends one request after the other, on one connection as long as the proxy keeps it open."""

    def __init__(self, number: int, port: int) -> None:
        self.number, self.port, self.requests_sent, self.resent = number, port, 0, 0
        self.remaining = -1  # requests still to send; negative: no limit yet

    async def send_requests(self) -> None:
        reader = writer = None
        while self.remaining:
            self.remaining -= self.remaining > 0
            self.requests_sent += 1
            for _ in range(2):  # a request that crosses a close is sent once more, as HTTP allows
                if writer is None or writer.is_closing():
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                assert reader
                writer.write(HEAD % (self.number, self.requests_sent))
                try:
                    head = await reader.readuntil(b"\r\n\r\n")
                except (asyncio.IncompleteReadError, ConnectionError):
                    self.resent += 1
                    writer.close()
                    continue
                break
            assert head.startswith(b"HTTP/1.1 200 "), head
            await reader.readexactly(2)
            if b"Connection: close" in head:
                writer.close()
        if writer:
            writer.close()


def test_a_replacement_under_load_loses_no_request(tmp_path: Path) -> None:
    # Guards the hand-over: the accept queue is shared, idle connections are closed, open requests complete.
    async def scenario() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError):
                while await reader.read(4096):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            writer.close()

        targets = await asyncio.start_server(serve, "127.0.0.1", 0)
        discovery = await start_discovery(3, targets.sockets[0].getsockname()[1], [])
        env = config(tmp_path, discovery=address(discovery), ops="127.0.0.1:0")
        with socket.create_server(("127.0.0.1", 0), backlog=256) as listener:
            processes = [await start(env, listener)]
            try:
                await wait_for_log(processes[0][1], "event=ready")
                clients = [Client(n, listener.getsockname()[1]) for n in range(CLIENTS)]
                async with asyncio.TaskGroup() as tasks:
                    for client in clients:
                        tasks.create_task(client.send_requests())
                    processes.append(await start(env, listener))
                    host, port = listen_address(await wait_for_log(processes[1][1], "event=ops"))
                    await wait_for_log(processes[1][1], "event=ready")
                    assert (await call_admin((host, int(port)), b"ready\n")).startswith(b"+OK")
                    processes[0][0].send_signal(signal.SIGTERM)
                    assert "handing over" in await wait_for_log(processes[0][1], "event=state")
                    assert await processes[0][0].wait() == 0
                    for client in clients:
                        client.remaining = REQUESTS_AFTER
                assert sum(client.requests_sent for client in clients) > CLIENTS * REQUESTS_AFTER
                # At most one request of each client crosses a close.
                assert sum(client.resent for client in clients) <= CLIENTS
            finally:
                for process, _ in processes:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

    run(scenario())
