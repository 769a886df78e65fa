"""Random lists against a simple model of the table, and merges between tables of two pollers."""

from __future__ import annotations

import random
from collections.abc import Sequence

import pytest
from msgspec.structs import replace

from firvane.fleet.discovery.codec import decode_instances, encode_instances
from firvane.fleet.discovery.instances import Instance, InstanceState, InstanceTable

SERVICES = ("writer", "reader")


class Platform:
    """A platform whose backends start, drain, end, and reuse addresses, and its list of instances."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.listed: dict[str, Instance] = {}
        self.started = 0

    def step(self) -> None:
        draw = self.random.random()
        if draw < 0.4 or not self.listed:
            self.start()
            return
        name = self.random.choice(sorted(self.listed))
        if draw < 0.6:
            self.listed[name] = replace(self.listed[name], state=InstanceState.DRAINING)
        elif draw < 0.8:
            del self.listed[name]
        else:
            self.listed[name] = replace(self.listed[name], cold_remaining_ms=self.random.randrange(9))

    def start(self) -> None:
        self.started += 1
        free = set(range(1, 12)) - {each.address[1] for each in self.listed.values()}
        if not free:
            return
        address = ("10.0.0.1", self.random.choice(sorted(free)))
        service = self.random.choice(SERVICES)
        name = f"i-{self.started}"
        self.listed[name] = Instance(name, service, address, "a", 8, InstanceState.READY)

    def list(self) -> list[Instance]:
        entries = list(self.listed.values())
        self.random.shuffle(entries)
        return entries


def states(table: InstanceTable) -> dict[str, InstanceState]:
    return {each.id: each.state for service in SERVICES for each in table.instances_of(service)}


def live(table: InstanceTable) -> dict[str, InstanceState]:
    return {each.id: each.state for service in SERVICES for each in table.live_instances_of(service)}


def assert_not_lowered(before: dict[str, InstanceState], after: dict[str, InstanceState]) -> None:
    for name, state in before.items():
        assert after[name] >= state, name


@pytest.mark.parametrize("seed", range(30))
def test_the_table_follows_the_list_and_states_only_increase(seed: int) -> None:
    platform, table = Platform(seed), InstanceTable()
    before: dict[str, InstanceState] = {}
    for now in range(150):
        for _ in range(platform.random.randrange(3)):
            platform.step()
        changed_before = {service: table.live_instances_of(service) for service in SERVICES}
        changed = table.observe(platform.list(), float(now))
        assert live(table) == {name: each.state for name, each in platform.listed.items()}
        for service in SERVICES:
            previous = [replace(each, cold_remaining_ms=0) for each in changed_before[service]]
            expected = [replace(each, cold_remaining_ms=0) for each in table.live_instances_of(service)]
            assert (service in changed) == (previous != expected)
        assert_not_lowered(before, states(table))
        before = states(table)


@pytest.mark.parametrize("seed", range(30))
def test_two_pollers_with_lists_of_different_age_never_lower_a_state(seed: int) -> None:
    platform = Platform(seed)
    tables = (InstanceTable(), InstanceTable())
    lists: list[Sequence[Instance]] = [[]]
    before = [states(table) for table in tables]
    for now in range(120):
        platform.step()
        lists.append(platform.list())
        table = platform.random.choice(tables)
        if platform.random.random() < 0.5:
            table.observe(platform.random.choice(lists[-3:]), float(now))
        else:
            other = tables[0] if table is tables[1] else tables[1]
            service = platform.random.choice(SERVICES)
            table.merge(service, decode_instances(encode_instances(other.instances_of(service))))
        after = [states(each) for each in tables]
        for earlier, later in zip(before, after, strict=True):
            assert_not_lowered(earlier, later)
        before = after
    for service in SERVICES:  # after merging in both directions the tables are equal
        tables[0].merge(service, tables[1].instances_of(service))
        tables[1].merge(service, tables[0].instances_of(service))
    assert states(tables[0]) == states(tables[1])


@pytest.mark.parametrize("seed", range(20))
def test_routers_that_miss_records_never_use_a_draining_instance_again(seed: int) -> None:
    platform, poller = Platform(seed), InstanceTable()
    routers = [InstanceTable() for _ in range(3)]
    drained: list[set[str]] = [set() for _ in routers]
    for now in range(150):
        platform.step()
        changed = poller.observe(platform.list(), float(now))
        for router, seen in zip(routers, drained, strict=True):
            for service in changed:
                if platform.random.random() < 0.6:
                    router.replace(
                        service, decode_instances(encode_instances(poller.instances_of(service))), now
                    )
            for name, state in live(router).items():
                assert not (state is InstanceState.READY and name in seen)
                if state is InstanceState.DRAINING:
                    seen.add(name)
    for router in routers:
        for service in SERVICES:
            router.replace(service, poller.instances_of(service), 150.0)
        assert live(router) == live(poller)
