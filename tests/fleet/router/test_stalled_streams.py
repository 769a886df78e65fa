"""A stalled stream is aborted only if another backend would resume it."""

from __future__ import annotations

import asyncio

import pytest

from tests.fleet.router.helpers import (
    REQUEST,
    STREAM_HEAD,
    Backend,
    chunk,
    event,
    request_id,
    route,
    start_router,
)

LAST_CHUNK = b"0\r\n\r\n"
STALL_S = 60.0


@pytest.mark.parametrize("resumable", (False, True))
def test_a_stalled_stream_is_not_aborted_if_no_backend_would_resume_it(resumable: bool) -> None:
    go_on = asyncio.Event()

    async def stalls(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)))
        await go_on.wait()
        writer.write(chunk(event(2)) + LAST_CHUNK)

    async def resumes(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD % request_id(request) + chunk(event(2)) + LAST_CHUNK)

    async def scenario() -> None:
        backends = [Backend("a", stalls), Backend("b", resumes)]
        async with start_router(backends, (route(stream_resume=True),)) as router:
            router.upstreams.may_resume = lambda request: resumable
            reader, writer = await router.connect()
            writer.write(REQUEST % b"one")
            await reader.readuntil(b"data: 1\n\n")
            router.upstreams.sweep(router.listener.loop.time() + STALL_S)
            if not resumable:
                go_on.set()
            rest = await reader.readuntil(LAST_CHUNK)
            assert event(2) in rest
            assert len(backends[1].requests) == int(resumable)
            writer.close()

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_the_request_of_a_stream_has_the_id_of_its_flow() -> None:
    flow_ids = list[int]()

    async def stalls(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)))
        await asyncio.Event().wait()

    async def scenario() -> None:
        async with start_router([Backend("a", stalls)], (route(stream_resume=True),)) as router:
            router.upstreams.may_resume = lambda request: bool(flow_ids.append(request.flow_id))
            reader, writer = await router.connect()
            writer.write(REQUEST % b"one")
            await reader.readuntil(b"data: 1\n\n")
            router.upstreams.sweep(router.listener.loop.time() + STALL_S)
            assert flow_ids == list(router.engine.flows) and len(flow_ids) == 1
            writer.close()

    asyncio.run(asyncio.wait_for(scenario(), 10))
