"""A control service on loopback with discovery that is told what to say, for tests on real sockets."""

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

PATIENCE = HANG  # s: only a failure waits for it


class Discovery:
    """Writes the list, and each change of it, to whoever watches."""

    def __init__(self) -> None:
        self.index = 0
        self.boxes: dict[str, dict[str, Any]] = {}
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
            self._write(writer, list(self.boxes.values()), True)
        # A service that ends takes its watch along; uvloop raises where a closed one is written to.
        with contextlib.suppress(OSError):
            await reader.read()
        if writer in self.writers:
            self.writers.remove(writer)
        writer.close()

    def _write(self, writer: asyncio.StreamWriter, endpoints: list[dict[str, Any]], whole: bool) -> None:
        if writer.is_closing():  # its end is known to the transport a turn before it is read here
            return
        line = json.dumps({"index": self.index, "snapshot": whole, "endpoints": endpoints}) + "\n"
        writer.write(f"{len(line):x}\r\n{line}\r\n".encode())

    def tell(self, **boxes: Any) -> None:
        """Changes by name: a port (it is up there), `draining`, or `removed`."""
        self.index += 1
        changed = []
        for name, what in boxes.items():
            entry = self.boxes.get(name, {})
            if isinstance(what, str):
                entry = {**entry, "status": what}
            else:
                entry = {
                    "name": name, "address": f"127.0.0.1:{what}", "zone": "a", "type": "m", "group": 0,
                    "status": "up", "weight": 1.0, "since_ms": 0,
                }  # fmt: skip
            changed.append(entry)
            self.boxes[name] = entry
            if what == "removed":
                del self.boxes[name]
        for writer in self.writers:
            self._write(writer, changed, False)

    def weigh(self, name: str, weight: float) -> None:
        self.boxes[name]["weight"] = weight
        self.tell(**{name: self.boxes[name]["status"]})

    def whole(self, *names: str) -> None:
        """The whole list, with nothing in it but these."""
        self.index += 1
        self.boxes = {name: self.boxes[name] for name in names}
        for writer in self.writers:
            self._write(writer, list(self.boxes.values()), True)

    def cut(self) -> None:
        """It is away: watches end, nobody can come."""
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


def made(discovery: str, lines: list[str], **more: Any) -> Control:
    """A service that is not started yet; its log goes into `lines`."""
    raw = {**FILE, "target_group": {"discovery": discovery}, **more}
    raw["control"] = {**FILE["control"], **more.get("control", {})}
    file = validation.build(msgspec.to_builtins(raw), File, "test.toml", CHECKS)
    assert file.control
    log = logs.make("info", "logfmt", lines.append)
    return Control(asyncio.get_running_loop(), build_config(file), file.control, log=log)


class Stage:
    """Discovery, services and receivers that are closed together."""

    def __init__(self) -> None:
        self.discovery = Discovery()
        self.lines: list[str] = []
        self.at = ""
        self.services: list[Control] = []
        self.links: list[Link] = []
        self._moved = asyncio.Event()

    async def service(self, **more: Any) -> Control:
        service = made(self.at, self.lines, **more)
        await service.start()
        self.services.append(service)
        return service

    def receiver(self, *services: Control, loads: bool = False, credentials: Any = None, **more: Any) -> Link:
        given = {"name": f"r{len(self.links)}", "zone": "a", **more}
        addresses = [f"127.0.0.1:{one.port}" for one in services or self.services]
        options = (("grpc.ssl_target_name_override", "control"),) if credentials else ()
        link = Link(Receiver(**given), addresses, lambda _: self._moved.set(), credentials, options)
        link.start("web" if loads else "")
        self.links.append(link)
        return link

    async def until(self, what: Callable[[], object]) -> None:
        """Wait for it: looked at after each answer, and now and then."""
        async with asyncio.timeout(PATIENCE):
            while not what():
                self._moved.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.02):
                        await self._moved.wait()

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
        here.discovery.cut()
