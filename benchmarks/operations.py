"""What the operators' parts cost: `python benchmarks/operations.py memory|door|replace`, on loopback alone.

memory   held beyond the idle program, against the number and the length of long answers that are read slowly
door     the slowest `ready` and `show-stat` while clients ask for more than can be served and callers stall
replace  requests lost or sent again in ten replacements of a process under load
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PIECE = bytes(64 * 1024)
CLASS = {"name": "get", "slo-ns": 500_000_000, "give-up-ns": 2_500_000_000, "repeat": "pure"}
SETTINGS = {
    "me": 0, "siblings": 1, "tick-ns": 5_000_000, "classes": [CLASS], "discovery": "push", "dcs": ["a"],
    "machine-types": ["big"], "limits": {"send-cap": 3, "cancel": True, "retry-after": True},
    "obligations": {"answer-slack-ns": 20_000_000, "cold-ns": 8_000_000_000, "drain-grace-ns": 500_000_000,
                    "fall-multiple": 2.5, "fall-ns": 1_500_000_000, "start-capacity": 0.3},
}  # fmt: skip


def address(server: asyncio.Server) -> str:
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])


class Scene:
    """Targets, discovery, and proxies that are started on one listening socket."""

    def __init__(self, folder: Path, long: int) -> None:
        self.folder, self.long = folder, long
        self.held = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.port = self.held.getsockname()[1]

    async def _target(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.long)
                for at in range(0, self.long, len(PIECE)):
                    writer.write(PIECE[: self.long - at])
                    await writer.drain()
        writer.close()

    async def _agent(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        boxes = [
            {"name": f"s{n}", "address": address(server), "zone": "a", "type": "big", "group": 0,
             "status": "up", "weight": 1.0, "since_ms": 0}
            for n, server in enumerate(self.targets)
        ]  # fmt: skip
        line = json.dumps({"index": 1, "snapshot": True, "endpoints": boxes}).encode() + b"\n"
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line))

    async def open(self) -> None:
        self.targets = [await asyncio.start_server(self._target, "127.0.0.1", 0) for _ in range(16)]
        agent = await asyncio.start_server(self._agent, "127.0.0.1", 0)
        told = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": address(agent),
            "ops": "127.0.0.1:0", "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 512},
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(told))

    async def start(self) -> tuple[asyncio.subprocess.Process, int]:
        """A proxy that says it is ready, and the port of its door."""
        number = self.held.fileno()
        env = {**os.environ, "NODE_CONFIG": str(self.folder / "config.json"), "NODE_SOCKET_FD": str(number)}
        made = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "firvane", cwd=ROOT, env=env, pass_fds=(number,),
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert made.stderr
        port = 0
        while line := (await made.stderr.readline()).decode():
            if "event=ops" in line:
                port = int(line.rpartition(":")[2])
            if "event=ready" in line:
                self.drained = asyncio.ensure_future(made.stderr.read())
                return made, port
        raise SystemExit("the proxy did not start")

    async def ask(self, call: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=4096)
        writer.write(b"GET /get/x HTTP/1.1\r\nX-Call-Id: %s\r\nX-Budget-Ms: 2400\r\n\r\n" % call.encode())
        return reader, writer


@asynccontextmanager
async def scene(long: int) -> AsyncIterator[Scene]:
    with tempfile.TemporaryDirectory() as folder:
        made = Scene(Path(folder), long)
        await made.open()
        yield made
        made.held.close()


def own(pid: int) -> int:
    """Bytes that are a process's own, as the platform counts them."""
    resident, shared = Path(f"/proc/{pid}/statm").read_text().split()[1:3]
    return (int(resident) - int(shared)) * resource.getpagesize()


async def memory() -> None:
    print("answers   MB each   begun   held beyond idle, MB")
    for count, length in ((4, 1), (4, 32), (16, 1), (16, 32), (64, 1), (64, 32)):
        async with scene(length << 20) as made:
            process, _ = await made.start()
            idle = most = own(process.pid)
            open_ = [await made.ask(f"{n}") for n in range(count)]
            heads = [await reader.readuntil(b"\r\n\r\n") for reader, _ in open_]
            for _ in range(40):
                for reader, _ in open_:
                    await reader.read(1024)
                most = max(most, own(process.pid))
                await asyncio.sleep(0.02)
            begun = sum(b" 200 " in head for head in heads)
            print(f"{count:7} {length:9} {begun:7} {(most - idle) / 2**20:12.1f}")
            process.kill()
            await process.wait()


async def call(port: int, line: bytes) -> float:
    since = asyncio.get_running_loop().time()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(line + b"\n")
    assert await reader.read(64)
    writer.close()
    return asyncio.get_running_loop().time() - since


async def flood(made: Scene, name: str, until: float, got: list[int]) -> None:
    """As fast as answers come."""
    loop = asyncio.get_running_loop()
    count = 0
    while loop.time() < until:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await made.ask(f"{name}-{count}")
            while loop.time() < until:
                await reader.readuntil(b"\r\n\r\n")
                got[0] += 1
                count += 1
                writer.write(b"GET /get/x HTTP/1.1\r\nX-Call-Id: %s-%d\r\nX-Budget-Ms: 400\r\n\r\n"
                             % (name.encode(), count))  # fmt: skip
            writer.close()


async def door() -> None:
    async with scene(0) as made:
        process, port = await made.start()
        loop, got = asyncio.get_running_loop(), [0]
        until = loop.time() + 4.0
        floods = [asyncio.ensure_future(flood(made, f"c{n}", until, got)) for n in range(150)]
        stalled = [await asyncio.open_connection("127.0.0.1", port) for _ in range(200)]
        took: dict[bytes, list[float]] = {b"ready": [], b"show-stat": []}
        while loop.time() < until:
            for line, times in took.items():
                times.append(await call(port, line))
            await asyncio.sleep(0.05)
        await asyncio.gather(*floods)
        print(f"{got[0] / 4:.0f} answers a second to 150 clients, {len(stalled)} callers that say nothing")
        for line, times in took.items():
            print(f"{line.decode():10} {len(times)} calls, slowest {1000 * max(times):.0f} ms")
        process.kill()
        await process.wait()


async def client(made: Scene, name: str, over: asyncio.Event, told: dict[str, int]) -> None:
    count, pair = 0, None
    while not over.is_set():
        count += 1
        if pair and pair[0].at_eof():
            pair = None  # closed between requests, and seen to be
        for again in range(2):
            try:
                if pair is None:
                    pair = await made.ask(f"{name}-{count}-{again}")
                else:
                    pair[1].write(b"GET /get/x HTTP/1.1\r\nX-Call-Id: %s-%d-%d\r\nX-Budget-Ms: 2400\r\n\r\n"
                                  % (name.encode(), count, again))  # fmt: skip
                head = await pair[0].readuntil(b"\r\n\r\n")
            except (ConnectionError, asyncio.IncompleteReadError):
                told["sent again" if not again else "lost"] += 1
                pair = None
                continue
            told["served" if b" 200 " in head else "refused"] += 1
            if b"Connection: close" in head:
                pair[1].close()
                pair = None
            elif b" 503 " in head:
                await pair[0].readexactly(8)
            break
        await asyncio.sleep(0.005)


async def replace() -> None:
    async with scene(0) as made:
        process, _ = await made.start()
        over, told = asyncio.Event(), dict.fromkeys(("served", "refused", "sent again", "lost"), 0)
        clients = [asyncio.ensure_future(client(made, f"c{n}", over, told)) for n in range(20)]
        for _ in range(10):
            following, _ = await made.start()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            process = following
        over.set()
        await asyncio.gather(*clients)
        print("ten replacements: " + ", ".join(f"{n} {name}" for name, n in told.items()))
        process.kill()
        await process.wait()


if __name__ == "__main__":
    works = {"memory": memory, "door": door, "replace": replace}
    if len(sys.argv) != 2 or sys.argv[1] not in works:
        sys.exit((__doc__ or "").strip())
    asyncio.run(works[sys.argv[1]]())
