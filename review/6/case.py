# ruff: noqa: D103, PLR2004
"""A configuration raises the limit of a request's head: the routers go on with a limit of their own."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))

from fleet import (
    FRONT,
    Backend,
    CaseNotRunError,
    Fleet,
    Message,
    Record,
    answer_headers,
    configuration,
    fetch,
    main,
    route,
    write_response,
)

REQUESTS = 60
SMALL_LIMIT, LARGE_LIMIT = 16_384, 65_536  # bytes of a head
SMALL_HEAD, LARGE_HEAD = 12_000, 20_000  # bytes of one header of a request
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
DENIED_ALLOWED = 5  # and one in 500 of all requests


async def answer(
    backend: Backend, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    write_response(writer, 200, b"done\n", answer_headers(request))
    return True


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    backend = fleet.add_backend("i-1", answer)
    fleet.platform.publish([fleet.instance(backend, "llm")], at_once=True)
    await fleet.start()
    routes = [route("letters", "/letters/")]
    if await fleet.send_order(configuration(1, routes, max_header_bytes=SMALL_LIMIT), 0, 20) != 200:
        raise CaseNotRunError("the first configuration was not acknowledged")
    await fleet.wait_ready(15)
    if trouble:
        second = configuration(2, routes, max_header_bytes=LARGE_LIMIT)
        if await fleet.send_order(second, 1, 10) != 200:
            raise CaseNotRunError("the second configuration was not acknowledged")
    await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
    size = LARGE_HEAD if trouble else SMALL_HEAD
    denied = 0
    for number in range(REQUESTS):
        address = fleet.port(fleet.routers[number % len(fleet.routers)], FRONT)
        headers = {"Host": "chat.example", "X-Request-Id": f"r-{number}", "X-Profile": "p" * size}
        async with asyncio.timeout(6):
            response = await fetch(address, "POST", "/letters/1", headers, b"{}")
        denied += 300 <= response.status < 500 and response.status not in (408, 421, 429)
        record.write(f"r-{number}: a header of {size} bytes: {response.status}")
    allowed = DENIED_ALLOWED + REQUESTS / 500
    record.write(f"{denied} of {REQUESTS} proper requests denied, {allowed:.1f} are allowed")
    return denied <= allowed


async def case(record: Record, trouble: bool) -> bool:
    fleet = Fleet(record, controllers=3, routers=2)
    try:
        return await play(fleet, record, trouble)
    finally:
        await fleet.close()


if __name__ == "__main__":
    main(case)
