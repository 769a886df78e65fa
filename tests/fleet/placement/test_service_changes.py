"""A change of a service's configuration is in force for the backends that are already known."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from firvane.core import interface as api
from firvane.fleet.discovery.instances import Instance
from firvane.fleet.placement.events import InstancesChanged, ServiceInfo
from firvane.fleet.placement.service_view import CACHE_MEMORY_RATIO, DEFAULT_SLOTS
from tests.fleet.placement.helpers import SERVICE, Harness, instances, only


def without_slots(count: int) -> tuple[Instance, ...]:
    return tuple(replace(each, slots=0) for each in instances(count))


def info(slots: int = 64, cache_tokens: int = 400_000, connection_limit: int = 360) -> ServiceInfo:
    return ServiceInfo(SERVICE, slots, cache_tokens, 4, connection_limit)


def slots_of(router: Harness) -> set[int]:
    return {server.slots for server in router.balancer.services[SERVICE].servers.values()}


@pytest.mark.parametrize("slots", [8, 200, 0])
def test_changed_slots_are_in_force_for_known_backends(slots: int) -> None:
    # Guards against: the slots of a backend were read once, when it was first listed.
    router = Harness(0)
    router.handle(InstancesChanged(SERVICE, without_slots(3)))
    assert slots_of(router) == {64}
    router.handle(info(slots=slots))
    assert slots_of(router) == {slots or DEFAULT_SLOTS}
    router.handle(InstancesChanged(SERVICE, without_slots(4)))
    assert slots_of(router) == {slots or DEFAULT_SLOTS}


def test_the_slots_in_the_list_of_the_platform_take_precedence() -> None:
    router = Harness(3)
    router.handle(info(slots=8))
    assert slots_of(router) == {64}


def test_a_service_that_is_configured_after_its_backends_are_listed_has_its_slots() -> None:
    # Guards against: after a restart the list came first, and the configured slots were never read.
    router = Harness(0)
    router.handle(info(slots=0))
    router.handle(InstancesChanged(SERVICE, without_slots(2)))
    assert slots_of(router) == {DEFAULT_SLOTS}
    router.handle(info(slots=40))
    assert slots_of(router) == {40}


@pytest.mark.parametrize("tokens", [100_000, 1_000_000])
def test_a_changed_cache_is_in_force_for_known_backends(tokens: int) -> None:
    router = Harness(3)
    router.handle(info(cache_tokens=tokens))
    servers = router.balancer.services[SERVICE].servers.values()
    assert {server.prefix_cache.capacity_tokens for server in servers} == {CACHE_MEMORY_RATIO * tokens}


def test_a_raised_connection_limit_sends_queued_requests_at_once() -> None:
    # Guards against: requests waited for the end of another one, although the new limit had room for them.
    router = Harness(2, peers=(1, 2, 3, 4, 5, 6, 7, 8, 9, 10))
    router.handle(info(connection_limit=100))
    sends = [action for _ in range(40) for action in only(router.submit(), api.Send)]
    assert len(sends) == 18 and len(router.balancer.queue) == 22
    assert len(only(router.handle(info(connection_limit=200)), api.Send)) == 18
    assert len(router.balancer.queue) == 4
    assert len(only(router.handle(info(connection_limit=0)), api.Send)) == 4


def test_a_lowered_connection_limit_is_in_force_for_the_next_request() -> None:
    router = Harness(2, peers=(1, 2, 3, 4, 5, 6, 7, 8, 9, 10))
    sends = [action for _ in range(40) for action in only(router.submit(), api.Send)]
    assert len(sends) == 40
    router.handle(info(connection_limit=100))
    assert not only(router.submit(), api.Send) and len(router.balancer.queue) == 1
