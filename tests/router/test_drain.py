"""What a router does after SIGTERM: until when it takes requests, and that each has a whole answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tests.router.helpers import REQUEST, STREAM_HEAD, Backend, Rig, chunk, event, request_id, rig

SENT_LATEST = 3.0  # s after SIGTERM; a request that is sent later has to be answered whole


async def never_ends(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(STREAM_HEAD % request_id(request) + chunk(event(1)))
    await asyncio.Event().wait()


def play(scene: Callable[[Rig, Backend], Awaitable[None]]) -> None:
    async def whole() -> None:
        backend = Backend("a", never_ends)
        async with rig([backend]) as made:
            await scene(made, backend)

    asyncio.run(asyncio.wait_for(whole(), 10))


def drain(made: Rig, since: float, left: float = 3.0) -> None:
    """SIGTERM came `since` seconds ago, and `left` are left until the end."""
    now = made.front.loop.time()
    made.front.begin_drain(now - since, now + left)


def test_a_request_on_a_connection_made_long_after_sigterm_is_not_passed_on_but_refused() -> None:
    """The platform uses routers that say no while fewer than half of a zone say yes."""

    async def scene(made: Rig, backend: Backend) -> None:
        drain(made, since=SENT_LATEST + 1.0)
        answer = await made.ask(REQUEST % b"late")
        assert not backend.requests
        assert answer.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in answer

    play(scene)
