"""One proxy between stand-ins that stop at a named point and go on when told: crossings forced.

The proxy is either whole in the test's own loop (`Rig`, where a seam must be held: a dial, a lease, a turn)
or the program as a process (`Program`, for signals and ends). Everything is a socket on port 0. Stand-ins do
nothing by themselves: a test awaits what came and says what follows, byte for byte. What reached a target is
counted at the target. Nothing sleeps in place of an order; `LIMIT` is there only so that a hang fails.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tomllib
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any

import uvloop

from firvane.core import logs
from firvane.core.net.dialer import Dialing
from firvane.core.terminations import Termination
from firvane.proxy.config.platform import read_config
from firvane.proxy.limits.descriptors import Use
from firvane.proxy.net.resource_monitor import ProcessUsage, Usage
from firvane.proxy.net.upstream_pool import REUSE_DELAY_S
from firvane.proxy.proxy import Proxy
from tests.proxy.net.helpers import endpoint

ROOT = Path(__file__).resolve().parents[2]
LIMIT = 20.0  # s after which what a test waits for will not come
MS = 1_000_000  # ns, as the settings count
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
FULL = b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def play(work: Coroutine[Any, Any, None]) -> None:
    """One test's work on the loop that the program uses."""

    async def guarded() -> None:
        async with asyncio.timeout(LIMIT):
            await work

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(guarded())


def a_class(name: str, **changes: Any) -> dict[str, Any]:
    """One class of the settings; `repeat` is "pure" (GET), "token" or "side_effect" (POST)."""
    base = {"name": name, "slo-ns": 500 * MS, "give-up-ns": 2000 * MS, "repeat": "pure", "worth": 1.0}
    return {**base, **changes}


def params(**changes: Any) -> dict[str, Any]:
    """The settings: classes `read` (safe) and `pay` (unsafe); `limits`, `obligations` are merged by key."""
    limits = {
        "send-cap": 3, "cancel": True, "second-copies": True, "retry-after": True, "probing": False,
        "peers": False, "max-retry-after-ns": 1200 * MS, "dial-timeout-ns": 250 * MS,
        "conn-idle-ns": 30_000 * MS,
    }  # fmt: skip
    obligations = {
        "answer-slack-ns": 20 * MS, "cold-ns": 8000 * MS, "drain-grace-ns": 250 * MS, "fall-multiple": 2.5,
        "fall-ns": 1500 * MS, "start-capacity": 0.3,
    }  # fmt: skip
    base = {
        "me": 0, "siblings": 1, "tick-ns": 5 * MS, "discovery": "push", "dcs": ["a"],
        "machine-types": ["big"], "classes": [a_class("read"), a_class("pay", repeat="side_effect")],
    }  # fmt: skip
    return {
        **base,
        **changes,
        "limits": limits | changes.get("limits", {}),
        "obligations": obligations | changes.get("obligations", {}),
    }


def request(
    call: str, path: str = "/read/x", budget: int = 1900, method: str = "", body: bytes = b"", more: str = ""
) -> bytes:
    """One request's bytes; POST where the path is not of class `read`, unless told. `more`: header lines,
    each with its CRLF."""
    method = method or ("GET" if path.startswith("/read") else "POST")
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    head = f"{method} {path} HTTP/1.1\r\nHost: app\r\nX-Call-Id: {call}\r\nX-Budget-Ms: {budget}\r\n"
    return f"{head}{more}{length}\r\n".encode() + body


class Link:
    """One end of a connection, driven by hand on a bare socket."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.loop = sock, asyncio.get_running_loop()
        self.buffer = b""  # what has come and has not been taken
        self.ended = ""  # how the other side ended it: "fin" or "reset"

    async def send(self, data: bytes) -> None:
        await self.loop.sock_sendall(self.sock, data)

    async def more(self) -> bool:
        """Wait for something to come; whether it was bytes, not the end."""
        if self.ended:
            return False
        try:
            data = await self.loop.sock_recv(self.sock, 1 << 16)
        except ConnectionError:
            self.ended = "reset"
            return False
        self.buffer += data
        if not data:
            self.ended = "fin"
        return bool(data)

    async def until(self, mark: bytes) -> bytes:
        """What came up to and with the mark; `EOFError` where the connection ends first."""
        while mark not in self.buffer:
            if not await self.more():
                raise EOFError(f"{self.ended} before {mark!r}; got {self.buffer!r}")
        end = self.buffer.index(mark) + len(mark)
        taken, self.buffer = self.buffer[:end], self.buffer[end:]
        return taken

    async def exactly(self, size: int) -> bytes:
        while len(self.buffer) < size:
            if not await self.more():
                raise EOFError(f"{self.ended} before {size} bytes; got {self.buffer!r}")
        taken, self.buffer = self.buffer[:size], self.buffer[size:]
        return taken

    async def gone(self) -> str:
        """How the other side ended it, once it has; what still came is in `buffer`."""
        while await self.more():
            pass
        return self.ended

    def fin(self) -> None:
        """Close in order: nothing more is sent, nor read."""
        self.sock.close()

    def half(self) -> None:
        """Send no more, and read on."""
        self.sock.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Break it: the other side hears a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def leave(self, how: str) -> None:
        """By "fin" or "reset"."""
        (self.fin if how == "fin" else self.reset)()


class Party:
    """A listening stand-in; who connects waits until the test takes it."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.sock.setblocking(False)
        self.links: list[Link] = []

    @property
    def port(self) -> int:
        return int(self.sock.getsockname()[1])

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def link(self) -> Link:
        """The next connection, accepted."""
        sock, _ = await self.loop.sock_accept(self.sock)
        self.links.append(Link(sock))
        return self.links[-1]

    def waiting(self) -> bool:
        """Whether somebody has connected and has not been taken."""
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            return False
        self.links.append(Link(sock))  # the test's from now on
        return True

    def close(self) -> None:
        self.sock.close()
        for link in self.links:
            link.sock.close()


class Target(Party):
    """A target. `served` answers by itself until the test ends; else each connection is the test's."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[str] = []  # ids of the requests that have come whole, in order
        self.times: list[float] = []  # when, on the loop's clock

    async def ask(self, link: Link) -> bytes:
        """The next whole request on a connection: its head and its body, counted."""
        head = await link.until(b"\r\n\r\n")
        length = head.lower().partition(b"\r\ncontent-length: ")[2].partition(b"\r\n")[0]
        body = await link.exactly(int(length)) if length else b""
        if call := head.partition(b"X-Call-Id: ")[2].partition(b"\r\n")[0]:
            self.calls.append(call.decode())
            self.times.append(self.loop.time())
        return head + body

    async def taken(self) -> Link:
        """The next connection, with its first request read."""
        link = await self.link()
        await self.ask(link)
        return link

    async def next(self) -> Link:
        """The connection on which the next whole request comes, whether it is a new one or not."""
        while True:
            self.waiting()
            for link in self.links:
                with contextlib.suppress(OSError):
                    if link.buffer or link.sock.recv(1, socket.MSG_PEEK):
                        await self.ask(link)
                        return link
            await asyncio.sleep(0)

    async def serve(self, answer: bytes = OK) -> None:
        """Answer everybody alike, for ever, on the connections taken before as well: run as a task."""

        async def one(link: Link) -> None:
            with contextlib.suppress(EOFError, OSError, ValueError):  # one that the test has ended
                while link.sock.fileno() >= 0:
                    await self.ask(link)
                    await link.send(answer)

        async with asyncio.TaskGroup() as tasks:
            for link in self.links:
                tasks.create_task(one(link))
            while True:
                tasks.create_task(one(await self.link()))


class Watch(Link):
    """One watch, as the agent holds it."""

    query = ""  # of its request: "watch=1&from=0"

    async def raw(self, data: bytes) -> None:
        """One chunk with these bytes, whatever they hold."""
        await self.send(b"%x\r\n%s\r\n" % (len(data), data))

    async def tell(
        self, index: int, *endpoints: dict[str, Any], snapshot: bool = True, indent: int | None = None
    ) -> None:
        body = {"index": index, "snapshot": snapshot, "endpoints": list(endpoints)}
        await self.raw(json.dumps(body, indent=indent).encode() + b"\n")

    async def beat(self) -> None:
        """The empty line of every 2 s."""
        await self.raw(b"\n")


class Agent(Party):
    """Discovery's agent: it says what the test says, on each watch for itself."""

    async def watch(self, headed: bool = True) -> Watch:
        """The next watch that is opened, with the head of its answer sent."""
        sock, _ = await self.loop.sock_accept(self.sock)
        made = Watch(sock)
        self.links.append(made)
        made.query = (await made.until(b"\r\n\r\n")).split()[1].decode().partition("?")[2]
        if headed:
            await made.send(CHUNKED)
        return made


def entry(name: str, target: Party, **more: Any) -> dict[str, Any]:
    """A target in discovery's form; `status` is "up", "draining" or "removed"."""
    return endpoint(name, target.port, **more)


class HoldingDialer:
    """A dialer that keeps each dial to itself until it is let go: it connects late, or never."""

    def __init__(self, real: Any) -> None:
        self.real, self.holding = real, False
        self.waiting: list[tuple[Callable[[], Any], Dialing]] = []
        self.came = asyncio.Event()  # a dial is held

    def dial(self, address: Any, deadline: float, factory: Any, up: Any, ended: Any) -> Any:
        if not self.holding:
            return self.real.dial(address, deadline, factory, up, ended)
        handle = HeldDial(lambda d: self.real.dial(address, deadline, factory, up, ended), ended)
        self.waiting.append((handle.go, handle))  # type: ignore[arg-type]
        self.came.set()
        return handle

    def let_go(self) -> None:
        """All that are held go out to their addresses now, and none is held any more."""
        self.holding = False
        waiting, self.waiting = self.waiting, []
        self.came.clear()
        for go, _ in waiting:
            go()


class HeldDial:
    def __init__(self, dial: Callable[[Any], Any], ended: Callable[..., Any]) -> None:
        self.dial, self.ended, self.real, self.closed = dial, ended, None, False

    def go(self) -> None:
        if not self.closed:
            self.real = self.dial(None)

    def close(self) -> None:
        if self.real:
            self.real.close()
        elif not self.closed:
            self.closed = True
            self.ended(Termination.CANCELLED)


def configured(folder: Path, agent: Party | None, settings: dict[str, Any], **changes: Any) -> dict[str, str]:
    """The platform's file for one proxy, written, and the environment that names it."""
    data = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": agent.address if agent else "127.0.0.1:1",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings, **changes,
    }  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps(data))
    return {"NODE_CONFIG": str(path)}


class UsageFromHere:
    """What this process uses beyond what it held when this was made.

    The limit of memory is one proxy's, while all tests share a process that may hold more by itself.
    """

    def __init__(self) -> None:
        self.read = ProcessUsage()
        self.held = self.read().memory

    def __call__(self) -> Usage:
        usage = self.read()
        return usage._replace(memory=max(0, usage.memory - self.held))


class Rig:
    """A whole proxy in this loop, one agent, and targets `s1`, `s2`, …; `proxy`, `dialer` are its seams."""

    def __init__(
        self,
        folder: Path,
        targets: int,
        settings: dict[str, Any],
        changes: dict[str, Any],
        env: dict[str, str] | None = None,
    ) -> None:
        self.loop, self.folder = asyncio.get_running_loop(), folder
        self.agent = Agent()
        self.targets = [Target() for _ in range(targets)]
        self.lines: list[str] = []  # the log's
        self.port = 0  # for clients
        self.env = configured(folder, self.agent, settings, **changes) | (env or {})
        log = logs.make("info", "logfmt", self._logged)
        self.proxy = Proxy(self.loop, read_config(self.env), log=log)
        self.proxy.monitor.usage = UsageFromHere()
        self.dialer = HoldingDialer(self.proxy.dialer)
        self.proxy.upstream_pools.dialer = self.dialer  # type: ignore[assignment]
        self.clients: list[Link] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.changed = asyncio.Event()

    def read_again(self) -> Any:
        """The file as it is now, as SIGHUP reads it."""
        return read_config(self.env, again=True)

    def _logged(self, line: str) -> None:
        self.lines.append(line)
        self.changed.set()

    async def said(self, *words: str, after: int = 0) -> str:
        """The first line of the log, from line `after` on, that has all of these words."""
        while True:
            self.changed.clear()
            for line in self.lines[after:]:
                if all(word in line for word in words):
                    return line
            await self.changed.wait()

    def entries(self, **statuses: str) -> list[dict[str, Any]]:
        """All targets as the list has them, `up` but where told."""
        return [
            entry(f"s{n}", target, status=statuses.get(f"s{n}", "up"))
            for n, target in enumerate(self.targets, 1)
        ]

    async def start(self) -> Watch:
        """Started, told of all targets, ready; its watch."""
        starting = self.later(self.proxy.start())
        watch = await self.agent.watch()
        await watch.tell(1, *self.entries())
        await starting
        return watch

    def later(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        self.tasks.append(self.loop.create_task(work))
        return self.tasks[-1]

    async def client(self) -> Link:
        """A connection to the proxy; `ConnectionRefusedError` where its door is closed."""
        self.port = (
            self.port or self.proxy.acceptor.address()[1]
        )  # which a closed door does not tell any more
        link = await connect(self.port)
        self.clients.append(link)
        return link

    async def listener(self, link: Link) -> Any:
        """The proxy's own end of a client's connection, once there is one."""
        name = link.sock.getsockname()

        def found() -> Any:
            all_of_them = self.proxy.limiter.connections
            return next((c for c in all_of_them if c.transport.get_extra_info("peername") == name), None)

        return await self.see(found)

    async def see(self, what: Callable[[], Any]) -> Any:
        """Turn the loop until this is true: for what only the proxy's own state tells."""
        while not (found := what()):
            await asyncio.sleep(0)
        return found

    async def rested(self) -> None:
        """Connections to targets that were given back may be used again; a request before that dials."""
        pools = self.proxy.upstream_pools.pools.values()
        idle = [connection for pool in pools for connection in pool.idle]
        await self.see(lambda: all(one.idle_since + REUSE_DELAY_S < self.loop.time() for one in idle))

    def at_rest(self) -> tuple[int, int, int]:
        """What has to be back where it was: flows open, flows known, clients' descriptors held."""
        held = self.proxy.monitor.descriptors.open
        return self.proxy.engine.unanswered, len(self.proxy.engine.flows), held[Use.CLIENTS]

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.proxy._stop()
        self.proxy.acceptor.close()
        for party in (self.agent, *self.targets):
            party.close()
        for client in self.clients:
            client.sock.close()
        for connection in list(self.proxy.limiter.connections):
            connection.transport.abort()


async def connect(port: int) -> Link:
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return Link(sock)


@contextlib.asynccontextmanager
async def rig(
    folder: Path,
    targets: int = 1,
    settings: dict[str, Any] | None = None,
    env: dict[str, str] | None = None,
    **changes: Any,
) -> AsyncIterator[Rig]:
    """Made, not started: `start` does that. `changes` go into the platform's file, `env` beside its name."""
    made = Rig(folder, targets, settings or params(), changes, env)
    try:
        yield made
    finally:
        made.close()
        await asyncio.sleep(0)


class Program:
    """The program as a process, by the platform's own `run`; its log is read as it comes."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process, self.lines = process, list[str]()
        assert process.stderr
        self.log = process.stderr

    async def said(self, *words: str) -> str:
        """The next line of its log that has all of these words; `AssertionError` where it ends first."""
        while True:
            line = (await self.log.readline()).decode()
            assert line, f"it ended before it said {words}: {''.join(self.lines[-20:])}"
            self.lines.append(line)
            if all(word in line for word in words):
                return line

    async def ready(self) -> int:
        """The port for clients, once it takes them."""
        line = await self.said("event=ready")
        return int(line.partition("listen=")[2].split()[0].partition(":")[2])

    def signal(self, *numbers: signal.Signals) -> None:
        for number in numbers:
            self.process.send_signal(number)

    async def executed(self) -> None:
        """The shell is gone: the interpreter has its number, and may not have run a line yet."""
        while os.readlink(f"/proc/{self.process.pid}/exe") != os.path.realpath(sys.executable):
            await asyncio.sleep(0)

    def hears(self, number: signal.Signals) -> bool:
        """Whether a handler of its own is there for a signal, by the kernel's word."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        caught = int(status.partition("SigCgt:")[2].split()[0], 16)
        return bool(caught >> number - 1 & 1)

    async def ended(self) -> int:
        """Its exit code; the rest of its log is in `lines`."""
        self.lines += [line.decode() async for line in self.log]
        return await self.process.wait()


@contextlib.asynccontextmanager
async def program(env: dict[str, str], **more: Any) -> AsyncIterator[Program]:
    """Started; killed at the end of the test if it still runs."""
    line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    line = line.replace(".venv/bin/python", sys.executable)  # which is that one in CI
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", line, env={**os.environ, **env}, stderr=asyncio.subprocess.PIPE, **more
    )
    try:
        yield Program(process)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
