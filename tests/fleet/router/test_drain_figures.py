"""What the log tells of a drain: what still came, on which connections, and what was cut."""

from __future__ import annotations

import asyncio
from typing import Any

from firvane.core.logs import Log
from tests.fleet.router.helpers import REQUEST, STREAM_HEAD, Backend, chunk, event, request_id, rig


class Recorded(Log):
    """A log that keeps its events."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))


def test_a_drain_counts_what_comes_and_tells_of_each_answer_that_is_cut() -> None:
    begun = asyncio.Event()

    async def stays_open(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)))
        begun.set()
        await asyncio.Event().wait()

    async def scene() -> None:
        async with rig([Backend("a", stays_open)]) as made:
            log = made.front.log = Recorded()
            kept, kept_writer = await made.connect()
            kept_writer.write(REQUEST % b"before")
            await begun.wait()
            (connection,) = made.front.connections
            connection.made_at -= 2.0
            now = made.front.loop.time()
            made.front.drain.begin(now - 0.5, now + 60.0)  # what comes within 0.5 ms would count as 0.0
            new, new_writer = await made.connect()
            new_writer.write(REQUEST % b"after")
            await new.readuntil(b"data: 1\n\n")
            made.engine.shorten_deadlines(made.front.loop.time())
            assert not (await new.read()).endswith(b"0\r\n\r\n")
            await kept.read()
            figures = made.front.drain.figures
            assert (figures.accepted, figures.taken, figures.taken_on_new, figures.cut) == (1, 1, 1, 2)
            assert figures.last_on_new >= 0.5 and figures.last_on_kept == 0.0
            told = {fields["request"]: fields for text, fields in log.events if text == "drain: answer cut."}
            assert told.keys() == {"before", "after"}
            assert told["before"]["connected"] <= -1.0 < 0.5 <= told["after"]["connected"]
            for writer in (kept_writer, new_writer):
                writer.close()

    asyncio.run(asyncio.wait_for(scene(), 10))
