# ruff: noqa: D103, PLR2004
"""Kept connections go on with the body limit of the configuration in force when they were accepted."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))

from fleet import (
    FRONT,
    Backend,
    CaseNotRunError,
    Fleet,
    Message,
    Node,
    Record,
    answer_headers,
    configuration,
    format_request,
    main,
    read_body,
    read_head,
    route,
    write_response,
)

CONNECTIONS = 20
REQUESTS_PER_CONNECTION = 5
SMALL_LIMIT, LARGE_LIMIT = 65_536, 4_194_304  # bytes of a body
LARGE_BODY = bytes(200_000)
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
DENIED_ALLOWED = 5  # and one in 500 of all requests


async def answer(
    backend: Backend, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    write_response(writer, 200, b"done\n", answer_headers(request))
    return True


class Client:
    """A client that keeps its connection, and opens a new one only if the router has closed it."""

    def __init__(self, fleet: Fleet, router: Node, name: str) -> None:
        self.address = fleet.port(router, FRONT)
        self.name = name
        self.sent = 0
        self.connections = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(self, body: bytes) -> tuple[str, int]:
        """Send one request, and return its id and the status of its answer."""
        if self.reader is None or self.writer is None or self.reader.at_eof():
            self.reader, self.writer = await asyncio.open_connection(*self.address)
            self.connections += 1
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        headers = {"Host": "chat.example", "X-Request-Id": request_id, "X-Deadline-Ms": "5000"}
        self.writer.write(format_request(self.address, "POST", "/letters/1", headers, body))
        async with asyncio.timeout(6):
            response = await read_head(self.reader)
            await read_body(self.reader, response)
        if response.headers.get("connection") == "close":
            self.writer.close()
            self.reader = self.writer = None
        return request_id, response.status


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    backend = fleet.add_backend("i-1", answer)
    fleet.platform.publish([fleet.instance(backend, "llm")], at_once=True)
    await fleet.start()
    routes = [route("letters", "/letters/")]
    first_limit = SMALL_LIMIT if trouble else LARGE_LIMIT
    if await fleet.send_order(configuration(1, routes, max_body_bytes=first_limit), 0, 20) != 200:
        raise CaseNotRunError("the first configuration was not acknowledged")
    await fleet.wait_ready(15)
    await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
    clients = [Client(fleet, fleet.routers[i % len(fleet.routers)], f"c{i}") for i in range(CONNECTIONS)]
    statuses = [(await client.send(b"small"))[1] for client in clients]
    if statuses != [200] * CONNECTIONS:
        raise CaseNotRunError(f"small requests were answered {statuses}")
    record.write(f"{CONNECTIONS} small requests on {CONNECTIONS} connections: 200")
    if trouble and await fleet.send_order(configuration(2, routes, max_body_bytes=LARGE_LIMIT), 1, 10) != 200:
        raise CaseNotRunError("the second configuration was not acknowledged")
    acknowledged_at = time.monotonic()
    await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
    total, denied = CONNECTIONS, 0
    for _ in range(REQUESTS_PER_CONNECTION):
        for client in clients:
            age = time.monotonic() - acknowledged_at
            connections = client.connections
            request_id, status = await client.send(LARGE_BODY)
            total += 1
            denied += 300 <= status < 500 and status not in (408, 421, 429)
            kind = "kept" if client.connections == connections else "new"
            record.write(
                f"{request_id}: {len(LARGE_BODY)} bytes on a {kind} connection, {age:.1f} s after the "
                f"acknowledgement: {status}"
            )
    allowed = DENIED_ALLOWED + total / 500
    record.write(f"{denied} of {total} proper requests denied, {allowed:.1f} are allowed")
    return denied <= allowed


async def case(record: Record, trouble: bool) -> bool:
    fleet = Fleet(record, controllers=3, routers=2)
    try:
        return await play(fleet, record, trouble)
    finally:
        await fleet.close()


if __name__ == "__main__":
    main(case)
