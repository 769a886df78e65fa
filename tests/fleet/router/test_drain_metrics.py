"""The drain's metrics and log events: requests by connection, and truncated responses."""

from __future__ import annotations

import asyncio
from typing import Any

from firvane.core.logs import Log
from tests.fleet.router.helpers import REQUEST, STREAM_HEAD, Backend, chunk, event, request_id, start_router


class RecordingLog(Log):
    """A log that records its events."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))


def test_a_drain_counts_requests_and_logs_each_truncated_response() -> None:
    started = asyncio.Event()

    async def stays_open(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)))
        started.set()
        await asyncio.Event().wait()

    async def scenario() -> None:
        async with start_router([Backend("a", stays_open)]) as router:
            log = router.listener.log = RecordingLog()
            kept, kept_writer = await router.connect()
            kept_writer.write(REQUEST % b"before")
            await started.wait()
            (connection,) = router.listener.connections
            connection.connected_at -= 2.0
            now = router.listener.loop.time()
            router.listener.drain.start(now - 0.5, now + 60.0)  # times below 0.5 ms would be rounded to 0.0
            new, new_writer = await router.connect()
            new_writer.write(REQUEST % b"after")
            await new.readuntil(b"data: 1\n\n")
            router.engine.shorten_deadlines(router.listener.loop.time())
            assert not (await new.read()).endswith(b"0\r\n\r\n")
            await kept.read()
            metrics = router.listener.drain.metrics
            assert metrics.connections_accepted == metrics.requests_received == 1
            assert metrics.requests_on_new_connections == 1 and metrics.truncated_responses == 2
            assert metrics.last_on_new_connection_s >= 0.5 and metrics.last_on_kept_connection_s == 0.0
            logged = {
                fields["request"]: fields
                for event, fields in log.events
                if event == "drain_response_truncated"
            }
            assert logged.keys() == {"before", "after"}
            assert logged["before"]["connected_s"] <= -1.0 < 0.5 <= logged["after"]["connected_s"]
            for writer in (kept_writer, new_writer):
                writer.close()

    asyncio.run(asyncio.wait_for(scenario(), 10))
