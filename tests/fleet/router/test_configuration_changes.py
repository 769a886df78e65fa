"""A changed field of a configuration is in force for the next request, on kept and on new connections."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from msgspec.structs import replace

from firvane.fleet.configuration.routes import (
    Configuration,
    Limits,
    RouteKind,
    RouteTable,
    Target,
    Tenant,
    key_digest,
)
from firvane.fleet.placement.events import PromptRequest, RequestKind
from tests.fleet.router.helpers import Backend, RouterHarness, route, start_router
from tests.fleet.router.limited_clients import Client, client_connections, connect, respond
from tests.fleet.router.test_admission import Controllers, parse_fields, run_scenario
from tests.live_objects import wait_until

KEY, OTHER_KEY = "tram", "other"
CLIENT_DEADLINE_MS = 5000


def configure(router: RouterHarness, version: int, **changes: Any) -> None:
    """Apply a configuration with one route, and change fields of it."""
    limits = changes.pop("limits", Limits())
    configuration = Configuration(version, (route(**changes),), limits=limits)
    router.listener.configure(RouteTable(configuration), configuration.limits)


# Routes: (field, values of two versions, attribute of the event for placement, its expected values)
ROUTE_FIELDS = [
    ("priority", (1, 4), "priority", (1, 4)),
    ("target_latency_ms", (400.0, 900.0), "latency_target", (0.4, 0.9)),
    ("gap_aim_ms", (200.0, 50.0), "event_gap_target", (0.2, 0.05)),
    ("max_attempts", (1, 3), "max_attempts", (1, 3)),
    ("stream_resume", (False, True), "resumable", (False, True)),
    (
        "kind",
        (RouteKind.STREAMING, RouteKind.IDEMPOTENT),
        "kind",
        (RequestKind.STREAM, RequestKind.IDEMPOTENT),
    ),
    ("targets", ((Target("s", 1.0),), (Target("t", 2.0),)), "services", ((("s", 1.0),), (("t", 2.0),))),
]


@pytest.mark.parametrize(
    ("field", "values", "attribute", "expected"), ROUTE_FIELDS, ids=[f[0] for f in ROUTE_FIELDS]
)
def test_a_changed_route_is_in_force_for_the_next_request(
    field: str, values: tuple[Any, Any], attribute: str, expected: tuple[Any, Any]
) -> None:
    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router, connect(router) as kept:
            for version, index in ((2, 0), (3, 1), (4, 0)):
                configure(router, version, **{field: values[index]})
                assert await kept.fetch() == 200
                assert getattr(last_request(router), attribute) == expected[index]
                async with connect(router) as new:
                    assert await new.fetch() == 200
                assert getattr(last_request(router), attribute) == expected[index]

    asyncio.run(asyncio.wait_for(scenario(), 20))


def last_request(router: RouterHarness) -> PromptRequest:
    return [event for event in router.policy.events if isinstance(event, PromptRequest)][-1]


@pytest.mark.parametrize(
    "changes", [{"host": "other.example"}, {"path_prefix": "/other/"}], ids=["host", "path_prefix"]
)
def test_a_moved_route_is_in_force_for_the_next_request(changes: dict[str, str]) -> None:
    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router, connect(router) as kept:
            for version, route_changes, status in ((2, {}, 200), (3, changes, 404), (4, {}, 200)):
                configure(router, version, **route_changes)
                assert await kept.fetch() == status
                async with connect(router) as new:
                    assert await new.fetch() == status

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_a_changed_timeout_is_in_force_for_the_next_request() -> None:
    async def scenario() -> None:
        backend = Backend("a", respond)
        async with start_router([backend]) as router, connect(router) as kept:
            for version, timeout_ms in ((2, 3000.0), (3, 700.0), (4, 60_000.0)):
                configure(router, version, timeout_ms=timeout_ms)
                for client in (kept, Client(*await router.connect())):
                    assert await client.fetch() == 200
                    given = int(backend.requests[-1].lower().split(b"x-deadline-ms: ")[1].split(b"\r\n")[0])
                    longest = min(timeout_ms, CLIENT_DEADLINE_MS)
                    assert longest - 500 < given <= longest
                client.writer.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_a_request_that_has_begun_keeps_its_route() -> None:
    go_on = asyncio.Event()

    async def waits(request: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await go_on.wait()
        await respond(request, reader, writer)

    async def scenario() -> None:
        async with start_router([Backend("a", waits)]) as router, connect(router) as kept:
            configure(router, 2)
            response = asyncio.create_task(kept.fetch())
            await wait_until(lambda: router.engine.unanswered == 1)
            configure(router, 3, path_prefix="/other/")
            go_on.set()
            assert await response == 200
            assert await kept.fetch() == 404

    asyncio.run(asyncio.wait_for(scenario(), 20))


# Time-outs of clients


@pytest.mark.parametrize("used", [False, True], ids=["unused connection", "kept connection"])
def test_a_changed_idle_time_out_is_in_force_on_open_connections(used: bool) -> None:
    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router, connect(router) as kept:
            configure(router, 2, limits=Limits(idle_timeout_ms=15_000.0))
            assert not used or await kept.fetch() == 200
            await wait_until(lambda: len(router.listener.connections) == 1)
            now = router.listener.loop.time()
            router.listener.sweep(now + 14.0)
            assert is_open(router)
            configure(router, 3, limits=Limits(idle_timeout_ms=60_000.0))
            router.listener.sweep(now + 50.0)
            assert is_open(router)
            configure(router, 4, limits=Limits(idle_timeout_ms=5_000.0))
            router.listener.sweep(now + 4.0)
            assert is_open(router)
            router.listener.sweep(now + 6.0)
            assert not is_open(router)
            assert await kept.reader.read() == b""

    asyncio.run(asyncio.wait_for(scenario(), 20))


def is_open(router: RouterHarness) -> bool:
    """Return whether the only connection is open."""
    (connection,) = client_connections(router)
    return not connection.closing


@pytest.mark.parametrize("used", [False, True], ids=["unused connection", "kept connection"])
def test_a_changed_header_time_out_is_in_force_on_open_connections(used: bool) -> None:
    # a request may take twice the time of its head
    async def scenario() -> None:
        async with start_router([Backend("a", respond)]) as router, connect(router) as kept:
            configure(router, 2, limits=Limits(header_timeout_ms=3_000.0))
            assert not used or await kept.fetch() == 200
            kept.writer.write(b"POST /p/a HTTP/1.1\r\nHost: h.example\r\n")
            await wait_until(lambda: any(each.receiving for each in client_connections(router)))
            now = router.listener.loop.time()
            configure(router, 3, limits=Limits(header_timeout_ms=10_000.0))
            router.listener.sweep(now + 19.0)
            assert is_open(router)
            configure(router, 4, limits=Limits(header_timeout_ms=1_000.0))
            router.listener.sweep(now + 1.5)
            assert is_open(router)
            router.listener.sweep(now + 2.5)
            assert await kept.read_status() == 408

    asyncio.run(asyncio.wait_for(scenario(), 20))


# Tenants

TRAMS = Tenant(
    "trams",
    (key_digest(KEY.encode()),),
    priority=3,
    counts_tokens=True,
    uncached_tokens=200,
    rate=1e6,
    burst=1e6,
)
OTHERS = {
    "name": replace(TRAMS, name="buses"),
    "api_keys": replace(TRAMS, key_digests=(key_digest(OTHER_KEY.encode()),)),
    "priority": replace(TRAMS, priority=7),
    "unit": replace(TRAMS, counts_tokens=False),
    "uncached_tokens": replace(TRAMS, uncached_tokens=900),
    "rate_per_s": replace(TRAMS, rate=0.0),
}
# status, tenant, priority, cost in the latest quota request; None: there was none
Seen = tuple[int, str | None, int | None, int | None]
FIRST: Seen = (200, "trams", 3, 200)
SECOND: dict[str, Seen] = {
    "name": (200, "buses", 3, 200),
    "api_keys": (401, None, None, None),
    "priority": (200, "trams", 7, 200),
    "unit": (200, "trams", 3, 1),
    "uncached_tokens": (200, "trams", 3, 900),
    "rate_per_s": (200, "trams", 3, None),
}


def configure_tenants(
    router: RouterHarness,
    controllers: Controllers,
    version: int,
    tenants: tuple[Tenant, ...] | None,
    anonymous: bool = False,
) -> None:
    controllers.version = version
    configuration = Configuration(version, (route(anonymous=anonymous),), tenants=tenants)
    controllers.admission.configure(configuration)
    router.listener.configure(RouteTable(configuration), configuration.limits)


@pytest.mark.parametrize("field", OTHERS)
def test_a_changed_tenant_is_in_force_for_the_next_request(field: str) -> None:
    backend = Backend("b", respond)

    async def scenario(router: RouterHarness, controllers: Controllers) -> None:
        async with connect(router) as kept:
            steps = ((TRAMS, FIRST), (OTHERS[field], SECOND[field]), (TRAMS, FIRST))
            for version, (tenant, expected) in enumerate(steps, 2):
                configure_tenants(router, controllers, version, (tenant,))
                async with connect(router) as new:
                    for client in (kept, new):
                        assert await see(client, backend, controllers) == expected

    asyncio.run(run_scenario(scenario, [backend], tenants=(TRAMS,)))


async def see(client: Client, backend: Backend, controllers: Controllers) -> Seen:
    """Send a request, and return what became of it."""
    backend.requests.clear()
    controllers.quota_requests.clear()
    status = await client.fetch(fields=f"Authorization: Bearer {KEY}\r\n".encode())
    costs = [record.cost for _, record in controllers.quota_requests if record.cost]
    if not backend.requests:
        return status, None, None, None
    fields = parse_fields(backend.requests[0])
    return status, fields["x-tenant"], int(fields["priority"]), costs[-1] if costs else None


def test_tenants_that_are_added_and_removed_are_in_force_for_the_next_request() -> None:
    async def scenario(router: RouterHarness, controllers: Controllers) -> None:
        async with connect(router) as kept:
            steps = ((None, 200), ((TRAMS,), 401), ((), 401), (None, 200))
            for version, (tenants, status) in enumerate(steps, 2):
                configure_tenants(router, controllers, version, tenants)
                async with connect(router) as new:
                    assert [await kept.fetch(), await new.fetch()] == [status, status]

    asyncio.run(run_scenario(scenario, [Backend("b", respond)], tenants=None))


def test_a_route_that_becomes_anonymous_needs_no_key_any_more() -> None:
    async def scenario(router: RouterHarness, controllers: Controllers) -> None:
        async with connect(router) as kept:
            for version, anonymous, status in ((2, False, 401), (3, True, 200), (4, False, 401)):
                configure_tenants(router, controllers, version, (TRAMS,), anonymous=anonymous)
                async with connect(router) as new:
                    assert [await kept.fetch(), await new.fetch()] == [status, status]

    asyncio.run(run_scenario(scenario, [Backend("b", respond)], tenants=(TRAMS,)))
