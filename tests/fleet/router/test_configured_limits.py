"""The limits of a configuration are in force for the next request, on kept connections as on new ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from firvane.core.body_leases import BodyLeases
from firvane.fleet.router import client, leased_receiver
from tests.fleet.router.helpers import Backend, RouterHarness, start_router
from tests.fleet.router.limited_clients import (
    BODY,
    LARGE,
    PIECE_BYTES,
    SMALL,
    Client,
    MovableClock,
    client_connections,
    configure,
    connect,
    respond,
    set_movable_clock,
)
from tests.fleet.router.loop_fixtures import Scenario, run
from tests.live_objects import wait_until

__all__ = ["run"]

# max_body_bytes


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("used", [False, True], ids=["unused connection", "kept connection"])
def test_a_raised_body_limit_is_in_force_on_open_connections(
    used: bool, chunked: bool, run: Callable[[Scenario], None]
) -> None:
    # Guards against: connections kept the body limit of the time when they were accepted (CONFIG).
    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router:
            configure(router, max_body_bytes=SMALL)
            async with connect(router) as kept, connect(router) as rejected:
                assert not used or await kept.fetch() == 200
                assert await rejected.fetch(BODY, chunked=chunked) == 413
                configure(router, 3, max_body_bytes=LARGE)
                assert [await kept.fetch(BODY, chunked=chunked) for _ in range(3)] == [200] * 3
            async with connect(router) as new:
                assert await new.fetch(BODY, chunked=chunked) == 200

    run(scenario())


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("used", [False, True], ids=["unused connection", "kept connection"])
def test_a_lowered_body_limit_is_in_force_on_open_connections(
    used: bool, chunked: bool, run: Callable[[Scenario], None]
) -> None:
    # Guards against: connections kept the body limit of the time when they were accepted (CONFIG).
    async def scenario() -> None:
        backend = Backend("a", respond)
        async with start_router([backend]) as router:
            configure(router, max_body_bytes=LARGE)
            async with connect(router) as kept:
                assert not used or await kept.fetch(BODY, chunked=chunked) == 200
                configure(router, 3, max_body_bytes=SMALL)
                sent = len(backend.requests)
                assert await kept.fetch(bytes(SMALL), chunked=chunked) == 200
                assert await kept.fetch(BODY, chunked=chunked) == 413
            async with connect(router) as new:
                assert await new.fetch(BODY, chunked=chunked) == 413
            assert len(backend.requests) == sent + 1

    run(scenario())


def test_a_request_keeps_the_body_limit_with_which_it_began() -> None:
    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router:
            configure(router, max_body_bytes=LARGE)
            async with connect(router) as kept:
                kept.send_head(len(BODY))
                kept.writer.write(BODY[:1000])
                await wait_until(lambda: any(each.receiving for each in client_connections(router)))
                configure(router, 3, max_body_bytes=SMALL)
                kept.writer.write(BODY[1000:])
                assert await kept.read_status() == 200
                assert await kept.fetch(BODY) == 413

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_a_pipelined_request_has_the_limits_in_force_when_the_one_before_it_is_answered() -> None:
    go_on = asyncio.Event()

    async def waits(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await go_on.wait()
        await respond(request, reader, writer)

    async def scenario() -> None:
        async with start_router([Backend("a", waits)]) as router:
            configure(router, max_body_bytes=SMALL)
            async with connect(router) as kept:
                kept.send_head(4)
                kept.writer.write(b"body")
                kept.send_head(len(BODY))
                kept.writer.write(BODY)
                await wait_until(lambda: router.engine.unanswered == 1)
                configure(router, 3, max_body_bytes=LARGE)
                go_on.set()
                assert [await kept.read_status(), await kept.read_status()] == [200, 200]

    asyncio.run(asyncio.wait_for(scenario(), 20))


# A router that has just started knows no limits


@pytest.mark.parametrize(("limit", "status"), [(SMALL, 413), (LARGE, 200), (8 * LARGE, 200)])
def test_a_request_before_the_first_configuration_is_checked_against_its_limits(
    limit: int, status: int, run: Callable[[Scenario], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: a router that had just restarted rejected bodies that the configuration allows (DENIED).
    monkeypatch.setattr(client, "CONFIGURATION_WAIT_S", 10.0)
    body = bytes(5_000_000) if limit > LARGE else BODY

    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router:
            listener = router.listener
            listener.routes = listener.limits = None
            async with connect(router) as new:
                response = asyncio.create_task(new.fetch(body))
                await wait_until(lambda: any(each.unrouted for each in client_connections(router)))
                configure(router, 3, max_body_bytes=limit)
                assert await response == status
                if status == 200:
                    assert await new.fetch(b"body") == 200

    run(scenario())


def test_a_router_without_a_configuration_asks_for_another_try(run: Callable[[Scenario], None]) -> None:
    # Guards against: a router that had just restarted rejected bodies that the configuration allows (DENIED).
    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router:
            router.listener.routes = router.listener.limits = None
            for chunked in (False, True):
                async with connect(router) as new:
                    assert await new.fetch(bytes(5_000_000), chunked=chunked) == 503

    run(scenario())


# The client reads the rejection


@pytest.mark.parametrize("length", [len(BODY), 3_000_000])
def test_a_client_that_sends_its_whole_body_first_reads_the_rejection(
    length: int, run: Callable[[Scenario], None]
) -> None:
    # Guards against: the connection was closed with unread data, and the reset discarded the response.
    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router:
            clock = set_movable_clock(router)
            configure(router, max_body_bytes=SMALL)
            async with connect(router) as sending:
                sending.send_head(length)
                pieces = length // PIECE_BYTES
                for _ in range(pieces):
                    await send_discarded_piece(sending, router, clock)
                    clock.move(2 * client.LINGER_S / pieces)
                assert await sending.read_status() == 413
            await wait_until(lambda: not router.listener.connections)

    run(scenario())


def test_a_client_that_never_stops_sending_is_disconnected(run: Callable[[Scenario], None]) -> None:
    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router:
            clock = set_movable_clock(router)
            configure(router, max_body_bytes=SMALL)
            async with connect(router) as sending:
                sending.send_head(10**9)
                started_at = clock.now
                while router.listener.connections or clock.now == started_at:
                    await send_discarded_piece(sending, router, clock)
                    clock.move(client.LINGER_S / 2)
                assert clock.now - started_at <= client.MAX_LINGER_S + client.LINGER_S

    run(scenario())


async def send_discarded_piece(sending: Client, router: RouterHarness, clock: MovableClock) -> None:
    """Send a piece of a rejected body, and wait until the router has read it or closed the connection."""
    sending.writer.write(bytes(PIECE_BYTES))
    await sending.writer.drain()
    await wait_until(lambda: all(each.discarded_at == clock.now for each in client_connections(router)))


# Memory at the largest limits


def test_chunked_bodies_are_served_whatever_the_limit_is(run: Callable[[Scenario], None]) -> None:
    # Guards against: a limit above the memory for bodies rejected every long body in chunks.
    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router:
            router.listener.leases = BodyLeases(LARGE // 4)
            configure(router, max_body_bytes=2**53)
            async with connect(router) as kept:
                assert await kept.fetch(BODY, chunked=True) == 200
                assert await kept.fetch(bytes(LARGE // 4), chunked=True) == 200
                assert await kept.fetch(bytes(LARGE // 2), chunked=True) == 503

    run(scenario())


def test_the_lease_of_a_chunked_body_grows_with_it(
    run: Callable[[Scenario], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(leased_receiver, "CHUNKED_LEASE_BYTES", 100_000)

    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router:
            leases = router.listener.leases = BodyLeases(1_000_000)
            configure(router, max_body_bytes=2**53)
            async with connect(router) as kept:
                assert await kept.fetch(bytes(900_000), chunked=True) == 200
                assert leases.free == leases.total
                leases.request("other", lambda: None, 700_000)
                assert await kept.fetch(bytes(190_000), chunked=True) == 200
                assert await kept.fetch(bytes(500_000), chunked=True) == 503
            await wait_until(lambda: leases.free == 300_000 and not leases.queue)

    run(scenario())


def test_many_chunked_bodies_at_the_largest_limit_stay_within_the_memory(
    run: Callable[[Scenario], None],
) -> None:
    # Guards against: bodies of unknown length were not bounded together.
    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router:
            leases = router.listener.leases = BodyLeases(2 * LARGE)
            configure(router, max_body_bytes=2**53)
            statuses = await asyncio.gather(*(upload(router, 3 * LARGE // 2) for _ in range(8)))
            assert set(statuses) <= {200, 503} and 200 in statuses
            await wait_until(lambda: leases.free == leases.total)

    async def upload(router: RouterHarness, size: int) -> int:
        async with connect(router) as sending:
            return await sending.fetch(bytes(size), chunked=True)

    run(scenario())
