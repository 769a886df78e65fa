"""A process is replaced by another under load: two real processes and one listening socket."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from pathlib import Path

from tests.proxy.admin_api.test_server import ask
from tests.proxy.net.helpers import run
from tests.proxy.test_program import address, config, listen_address, start_discovery, wait_for_log

CLIENTS, AFTER = 2, 50  # at once, which one target takes from the start; requests of each afterwards
HEAD = b"GET /read/x HTTP/1.1\r\nX-Call-Id: %d-%d\r\nX-Budget-Ms: 60000\r\n\r\n"


async def start(
    env: dict[str, str], held: socket.socket
) -> tuple[asyncio.subprocess.Process, asyncio.StreamReader]:
    number = held.fileno()
    made = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "firvane", env={**os.environ, **env, "NODE_SOCKET_FD": str(number)},
        pass_fds=(number,), stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert made.stderr
    return made, made.stderr


class Client:
    """Asks one request after the other, on one connection for as long as the proxy keeps it."""

    def __init__(self, number: int, port: int) -> None:
        self.number, self.port, self.asked, self.resent = number, port, 0, 0
        self.more = -1  # requests still to make, once that is known

    async def work(self) -> None:
        reader = writer = None
        while self.more:
            self.more -= self.more > 0
            self.asked += 1
            for _ in range(2):  # what crosses a close is sent once more, as the protocol has it
                if writer is None or writer.is_closing():
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                assert reader
                writer.write(HEAD % (self.number, self.asked))
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


def test_a_replacement_under_load_costs_nobody_a_request(tmp_path: Path) -> None:
    # Guards the hand-over: the queue is shared, idle connections end, what is out is finished.
    async def work() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError):
                while await reader.read(4096):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            writer.close()

        targets = await asyncio.start_server(serve, "127.0.0.1", 0)
        discovery = await start_discovery(3, targets.sockets[0].getsockname()[1], [])
        env = config(tmp_path, discovery=address(discovery), ops="127.0.0.1:0")
        with socket.create_server(("127.0.0.1", 0), backlog=256) as held:
            processes = [await start(env, held)]
            try:
                await wait_for_log(processes[0][1], "event=ready")
                clients = [Client(n, held.getsockname()[1]) for n in range(CLIENTS)]
                async with asyncio.TaskGroup() as tasks:
                    for client in clients:
                        tasks.create_task(client.work())
                    processes.append(await start(env, held))
                    host, port = listen_address(await wait_for_log(processes[1][1], "event=ops"))
                    await wait_for_log(processes[1][1], "event=ready")
                    assert (await ask((host, int(port)), b"ready\n")).startswith(b"+OK")
                    processes[0][0].send_signal(signal.SIGTERM)
                    assert "handing over" in await wait_for_log(processes[0][1], "event=state")
                    assert await processes[0][0].wait() == 0
                    for client in clients:
                        client.more = AFTER
                assert sum(client.asked for client in clients) > CLIENTS * AFTER
                assert (
                    sum(client.resent for client in clients) <= CLIENTS
                )  # each has crossed a close at most once
            finally:
                for process, _ in processes:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

    run(work())
