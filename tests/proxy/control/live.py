"""A control service on loopback with a scripted discovery service, for tests on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec

from firvane.core import logs, validation
from firvane.proxy.config.checks import CHECKS
from firvane.proxy.config.file import build_config
from firvane.proxy.config.model import File
from firvane.proxy.control.service import Control
from firvane.simulation.runner.receiver import Receiver
from firvane.simulation.runner.receiver_link import Link
from tests.proxy.net.helpers import HANG

TIMEOUT_S = HANG  # only a failing test waits this long


class Discovery:
    """A discovery service that sends the server list and each change of it to all watchers."""

    def __init__(self) -> None:
        self.index = 0
        self.backends: dict[str, dict[str, Any]] = {}
        self.writers: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)
        if self.index:
            self._write(writer, list(self.backends.values()), True)
        # A stopped service closes its watch; uvloop raises if a closed connection is written to.
        with contextlib.suppress(OSError):
            await reader.read()
        if writer in self.writers:
            self.writers.remove(writer)
        writer.close()

    def _write(self, writer: asyncio.StreamWriter, endpoints: list[dict[str, Any]], complete: bool) -> None:
        if writer.is_closing():  # the transport notices the close one loop iteration before `read` returns
            return
        line = json.dumps({"index": self.index, "snapshot": complete, "endpoints": endpoints}) + "\n"
        writer.write(f"{len(line):x}\r\n{line}\r\n".encode())

    def update(self, **backends: Any) -> None:
        """Send changes by backend name: a port (the backend is up), `draining`, or `removed`."""
        self.index += 1
        changed = []
        for name, change in backends.items():
            entry = self.backends.get(name, {})
            if isinstance(change, str):
                entry = {**entry, "status": change}
            else:
                entry = {
                    "name": name, "address": f"127.0.0.1:{change}", "zone": "a", "type": "m", "group": 0,
                    "status": "up", "weight": 1.0, "since_ms": 0,
                }  # fmt: skip
            changed.append(entry)
            self.backends[name] = entry
            if change == "removed":
                del self.backends[name]
        for writer in self.writers:
            self._write(writer, changed, False)

    def set_weight(self, name: str, weight: float) -> None:
        self.backends[name]["weight"] = weight
        self.update(**{name: self.backends[name]["status"]})

    def send_complete_list(self, *names: str) -> None:
        """Send a complete list with only these backends."""
        self.index += 1
        self.backends = {name: self.backends[name] for name in names}
        for writer in self.writers:
            self._write(writer, list(self.backends.values()), True)

    def close(self) -> None:
        """Close all watches and refuse connections."""
        assert self.server
        self.server.close()
        for writer in self.writers:
            writer.close()
        self.writers.clear()


FILE: dict[str, Any] = {
    "listen": "127.0.0.1:0",
    "seed": 1,
    "zone": "a",
    "zones": ["a", "b"],
    "control": {"service": "web", "settle_ms": 0.0, "report_s": 0.2, "keep_s": 0.6, "confirm_s": 0.5},
    "classes": [{"name": "read", "aim_ms": 500, "deadline_ms": 2000, "repeat": "safe"}],
}


def make_service(discovery: str, lines: list[str], **overrides: Any) -> Control:
    """Create a service without starting it; its log lines are appended to `lines`."""
    raw = {**FILE, "target_group": {"discovery": discovery}, **overrides}
    raw["control"] = {**FILE["control"], **overrides.get("control", {})}
    file = validation.build(msgspec.to_builtins(raw), File, "test.toml", CHECKS)
    assert file.control
    log = logs.make("info", "logfmt", lines.append)
    return Control(asyncio.get_running_loop(), build_config(file), file.control, log=log)


class Stage:
    """A discovery service, control services and receivers that are closed together."""

    def __init__(self) -> None:
        self.discovery = Discovery()
        self.lines: list[str] = []
        self.at = ""
        self.services: list[Control] = []
        self.links: list[Link] = []
        self._received = asyncio.Event()

    async def service(self, **overrides: Any) -> Control:
        service = make_service(self.at, self.lines, **overrides)
        await service.start()
        self.services.append(service)
        return service

    def receiver(
        self, *services: Control, loads: bool = False, credentials: Any = None, **overrides: Any
    ) -> Link:
        fields = {"name": f"r{len(self.links)}", "zone": "a", **overrides}
        addresses = [f"127.0.0.1:{service.port}" for service in services or self.services]
        options = (("grpc.ssl_target_name_override", "control"),) if credentials else ()
        link = Link(Receiver(**fields), addresses, lambda _: self._received.set(), credentials, options)
        link.start("web" if loads else "")
        self.links.append(link)
        return link

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait until the condition holds; it is checked after each response and every 20 ms."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                self._received.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.02):
                        await self._received.wait()

    def logged(self, event: str) -> list[str]:
        return [line for line in self.lines if f"event={event} " in line]


def ports(link: Link) -> set[int]:
    table = link.receiver.table("web")
    return {port for _, port in table.all()} if table else set()


@contextlib.asynccontextmanager
async def stage() -> AsyncIterator[Stage]:
    here = Stage()
    here.at = await here.discovery.start()
    try:
        yield here
    finally:
        for link in here.links:
            await link.stop()
        for service in here.services:
            await service.stop()
        here.discovery.close()
