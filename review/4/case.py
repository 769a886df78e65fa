# ruff: noqa: D102, D103, PLR2004
"""A backend is killed in the middle of an event; its answer has no length: the stream ends as complete."""

from __future__ import annotations

import asyncio
import signal
import sys
from asyncio.subprocess import PIPE
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))

from fleet import (
    BACKEND,
    FRONT,
    CaseNotRunError,
    Fleet,
    Message,
    Record,
    configuration,
    format_request,
    main,
    read_head,
    route,
)

HARNESS = Path(__file__).resolve().parents[1] / "harness-2"
EVENTS = 20
PAUSE_AT = 8  # the event in which the first backend is killed
REQUESTS = 10
LAST_EVENT = f"id: {EVENTS}\ndata: piece {EVENTS} last\n\n".encode()
ALL_IDS = list(range(1, EVENTS + 1))


class StreamServer:
    """A backend process."""

    def __init__(self, fleet: Fleet, record: Record, number: int) -> None:
        self.fleet, self.record = fleet, record
        self.name, self.host = f"i-{number}", f"127.0.10.{number}"
        self.port = fleet.first_port + BACKEND
        self.process: asyncio.subprocess.Process | None = None
        self.halves = 0
        self.half = asyncio.Event()
        self.reading: asyncio.Task[None] | None = None

    async def start(self, pause_at: int) -> None:
        arguments = (self.name, self.host, str(self.port), str(EVENTS), str(pause_at))
        script = str(HARNESS / "stream_server.py")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", script, *arguments, stdout=PIPE
        )
        self.reading = asyncio.create_task(self._read_output(self.process))

    async def _read_output(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            text = line.decode().strip()
            self.record.write(f"{self.name}: {text}")
            if text.startswith("half"):
                self.halves += 1
                self.half.set()

    async def kill(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
            self.record.write(f"{self.name} killed")

    def instance(self) -> dict[str, object]:
        return {
            "id": self.name,
            "service": "llm",
            "address": f"{self.host}:{self.port}",
            "zone": "zone-a",
            "config_version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
        }


async def read_stream(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Read a body in chunks; return it, and whether its end says that it is complete."""
    body = b""
    try:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False
    return body, True


async def send(fleet: Fleet, record: Record, name: str) -> bool:
    """Send a request, and return whether its stream ended as complete before its last event."""
    address = fleet.port(fleet.routers[0], FRONT)
    reader, writer = await asyncio.open_connection(*address)
    headers = {"Host": "chat.example", "X-Request-Id": name, "X-Deadline-Ms": "8000"}
    writer.write(format_request(address, "POST", "/chips/1", headers, b"{}"))
    answer: Message = await read_head(reader)
    if answer.status != 200:
        record.write(f"{name}: {answer.status}")
        writer.close()
        return False
    body, complete = await read_stream(reader)
    writer.close()
    ids = [int(part.split(b"\n")[0][4:]) for part in body.split(b"\n\n") if part.startswith(b"id: ")]
    broken = complete and not (body.endswith(LAST_EVENT) and ids == ALL_IDS)
    end = "complete" if complete else "cut off"
    record.write(f"{name}: 200, {len(ids)} events, {end}, ends with {body[-30:]!r}{' BROKEN' * broken}")
    return broken


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    servers = [StreamServer(fleet, record, number) for number in (1, 2)]
    try:
        for server in servers:
            await server.start(PAUSE_AT if trouble and server is servers[0] else 0)
        fleet.platform.publish([server.instance() for server in servers], at_once=True)
        await fleet.start()
        routes = [route("chips", "/chips/", kind="streaming", timeout_ms=8000, stream_resume=True)]
        if await fleet.send_order(configuration(1, routes), 0, 20) != 200:
            raise CaseNotRunError("the first configuration was not acknowledged")
        await fleet.wait_ready(15)
        requests = [asyncio.create_task(send(fleet, record, f"r-{number}")) for number in range(REQUESTS)]
        if trouble:
            async with asyncio.timeout(10):
                await servers[0].half.wait()
            await servers[0].kill()
        broken = sum(await asyncio.gather(*requests))
        record.write(f"{broken} of {REQUESTS} streams ended as complete before their last event")
        return broken == 0
    finally:
        for server in servers:
            await server.kill()


async def case(record: Record, trouble: bool) -> bool:
    fleet = Fleet(record, controllers=3, routers=1)
    try:
        return await play(fleet, record, trouble)
    finally:
        await fleet.close()


if __name__ == "__main__":
    main(case)
