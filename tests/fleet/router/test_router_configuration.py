"""A router applies a configuration as a whole, also the first one after its start."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest

from firvane.core.logs import QUIET
from firvane.fleet.cluster.agent import Item
from firvane.fleet.configuration.item import pack_item
from firvane.fleet.router.router import CONFIGURATION_KEY, Router, RouterSettings
from tests.fleet.configuration.documents import make_document

ENGINE = {"slots": 40, "cache_tokens": 1000, "stride": 4}
LIMITS = {
    "max_header_bytes": 9_000,
    "max_body_bytes": 70_000,
    "header_timeout_ms": 700,
    "idle_timeout_ms": 900,
}


def make_router() -> Router:
    settings = RouterSettings(
        internal=("127.0.0.1", 1),
        client_address=("127.0.0.1", 2),
        readiness_address=("127.0.0.1", 3),
        seeds=(),
        zone="a",
        zones=("a",),
        incarnation=1,
        file_descriptors=4096,
        memory_mb=128.0,
        grace=8.0,
        retry_ratio=0.2,
        retry_slack=10.0,
    )
    return Router(asyncio.get_running_loop(), settings, QUIET)


def deliver(router: Router, version: int, **changes: Any) -> None:
    """Deliver a configuration as the controllers publish it."""
    document = json.dumps(make_document(version, **changes)).encode()
    router._on_item(Item(CONFIGURATION_KEY, version, pack_item(version, document)))


def run(scenario: Callable[[Router], None]) -> None:
    async def run_with_router() -> None:
        scenario(make_router())

    asyncio.run(run_with_router())


@pytest.mark.parametrize("version", [5, 9])
def test_all_limits_are_in_force_with_the_first_configuration(version: int) -> None:
    def scenario(router: Router) -> None:
        assert router.listener.limits is None and not router.is_ready()
        deliver(router, version, limits=LIMITS)
        limits = router.listener.limits
        assert limits is not None
        assert (limits.max_header_bytes, limits.max_body_bytes) == (9_000, 70_000)
        assert (router.listener.request_timeout, router.listener.idle_timeout) == (1.4, 0.9)
        assert router.listener.routes is not None and router.listener.routes.version == version

    run(scenario)


def test_absent_limits_return_to_their_defaults() -> None:
    # Guards against: limits that an operator takes out of the configuration stayed in force.
    def scenario(router: Router) -> None:
        deliver(router, 5, limits=LIMITS)
        deliver(router, 6, limits={})
        limits = router.listener.limits
        assert limits is not None
        assert (limits.max_header_bytes, limits.max_body_bytes) == (16_384, 4_194_304)
        assert (router.listener.request_timeout, router.listener.idle_timeout) == (6.0, 15.0)

    run(scenario)


def test_an_older_configuration_changes_nothing() -> None:
    def scenario(router: Router) -> None:
        deliver(router, 6, limits=LIMITS)
        deliver(router, 5, limits={})
        assert router.listener.limits is not None and router.listener.limits.max_body_bytes == 70_000

    run(scenario)


@pytest.mark.parametrize(
    ("field", "values", "attribute"),
    [
        ("slots", (40, 8, 60), "slots"),
        ("cache_tokens", (1000, 200, 3000), "cache_tokens"),
        ("connection_limit", (100, 30, 400), "connection_limit"),
    ],
)
def test_a_changed_field_of_a_service_reaches_placement(
    field: str, values: tuple[int, ...], attribute: str
) -> None:
    def scenario(router: Router) -> None:
        for version, value in enumerate((*values, 0), 5):
            service: dict[str, Any] = {"name": "writer", "engine": dict(ENGINE)}
            (service if field == "connection_limit" else service["engine"])[field] = value
            deliver(router, version, services=[service])
            assert getattr(router.balancer.services["writer"].info, attribute) == value

    run(scenario)
