"""Fixtures for tests with real sockets, which run on asyncio's event loop and on uvloop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop

from tests.fleet.router.helpers import REQUEST, RouterHarness

LAST_CHUNK = b"0\r\n\r\n"
Scenario = Coroutine[Any, Any, None]


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def run(request: pytest.FixtureRequest) -> Callable[[Scenario], None]:
    def run_scenario(scenario: Scenario) -> None:
        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(asyncio.wait_for(scenario, 20))

    return run_scenario


async def fetch_stream(router: RouterHarness, name: bytes) -> bytes:
    """Send a request with this id, and return the body of the chunked response."""
    reader, writer = await router.connect()
    writer.write(REQUEST % name)
    await reader.readuntil(b"\r\n\r\n")
    body = b""
    while length := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(length)
        await reader.readexactly(2)
    writer.close()
    return body
