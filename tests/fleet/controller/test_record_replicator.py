"""Service partitions store published records, which are published again after all processes restart."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from firvane.core.logs import QUIET
from firvane.fleet.cluster.agent import Item
from firvane.fleet.controller.instance_records import item_key
from firvane.fleet.controller.record_replicator import RecordReplicator
from firvane.fleet.controller.replication_host import ProposalResult, ProposalStatus
from firvane.fleet.controller.service_partition import ServicePartition, ServiceRecord
from firvane.fleet.partitions import partition_of

SERVICE = "a"
PARTITION = partition_of(SERVICE)


class Rig:
    """A replicator with one partition, fakes of the host, agent and event loop, and timers fired manually."""

    def __init__(self) -> None:
        self.partitions = {PARTITION: ServicePartition(lambda record: self.replicator.on_stored(record))}
        self.items: dict[bytes, Item] = {}
        self.published: list[Item] = []
        self.restored: list[Item] = []
        self.owned = True
        self.current = True
        self.status = ProposalStatus.COMMITTED
        self.proposals = 0
        self.timers: list[Callable[[], Any]] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.replicator = RecordReplicator(self, self, self, self.partitions, self.restored.append, QUIET)  # type: ignore[arg-type]

    # the event loop
    def create_task(self, coroutine: Any) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    def call_later(self, delay: float, callback: Callable[..., Any], *arguments: Any) -> None:
        self.timers.append(lambda: callback(*arguments))

    def pass_time(self) -> None:
        timers, self.timers = self.timers, []
        for callback in timers:
            callback()

    # the replication host
    def is_owner(self, group: int) -> bool:
        return self.owned

    def is_current(self, group: int) -> bool:
        return self.current

    async def propose(self, group: int, payload: bytes, timeout: float) -> ProposalResult:
        self.proposals += 1
        await asyncio.sleep(0)
        if self.status is ProposalStatus.COMMITTED:
            self.partitions[group].apply(self.proposals, payload)
        return ProposalResult(self.status)

    # the cluster agent
    def publish(self, item: Item) -> None:
        self.published.append(item)
        self.items[item.key] = item

    def item(self, key: bytes) -> Item | None:
        return self.items.get(key)

    def receive_published(self, version: int) -> None:
        item = Item(item_key(SERVICE), version, b"payload %d" % version)
        self.items[item.key] = item
        self.replicator.on_published(item)

    async def settle(self) -> None:
        while self.tasks:
            await asyncio.gather(*self.tasks)
            self.tasks = [task for task in self.tasks if not task.done()]


def test_the_owner_stores_published_records() -> None:
    async def scenario() -> None:
        rig = Rig()
        for version in (1, 2, 3):
            rig.receive_published(version)
        await rig.settle()
        assert rig.partitions[PARTITION].version_of(SERVICE) == 3
        assert rig.proposals <= 2
        rig.pass_time()
        assert rig.published == []

    asyncio.run(scenario())


def test_a_new_owner_proposes_missing_records() -> None:
    async def scenario() -> None:
        rig = Rig()
        rig.owned = False
        rig.receive_published(1)
        assert rig.tasks == []
        rig.owned = True
        rig.replicator.replicate(PARTITION)
        await rig.settle()
        assert rig.partitions[PARTITION].version_of(SERVICE) == 1

    asyncio.run(scenario())


def test_a_proposal_that_is_not_committed_is_retried() -> None:
    async def scenario() -> None:
        rig = Rig()
        rig.status = ProposalStatus.UNCLEAR
        rig.receive_published(1)
        await rig.settle()
        assert rig.proposals == 1
        rig.status = ProposalStatus.COMMITTED
        rig.pass_time()
        await rig.settle()
        assert rig.partitions[PARTITION].version_of(SERVICE) == 1

    asyncio.run(scenario())


def test_a_record_found_only_in_the_partition_is_published() -> None:
    async def scenario() -> None:
        before, after = Rig(), Rig()
        before.receive_published(4)
        await before.settle()
        after.partitions[PARTITION].load(before.partitions[PARTITION].save())
        assert after.restored == [Item(item_key(SERVICE), 4, b"payload 4")]
        after.pass_time()
        assert after.published == after.restored

    asyncio.run(scenario())


def test_close_leaves_no_task() -> None:
    async def scenario() -> None:
        rig = Rig()
        rig.receive_published(1)
        rig.replicator.close()
        await asyncio.gather(*rig.tasks, return_exceptions=True)
        rig.receive_published(2)
        assert rig.proposals == 0
        assert all(task.done() for task in rig.tasks)

    asyncio.run(scenario())


def test_other_items_are_ignored() -> None:
    rig = Rig()
    rig.replicator.on_published(Item(b"configuration", 1, b""))
    assert rig.proposals == 0


def test_a_possibly_outdated_record_waits_until_its_partition_is_current() -> None:
    rig = Rig()
    rig.current = False
    rig.partitions[PARTITION].apply(1, ServiceRecord(SERVICE, 7, b"kept").pack())
    for _ in range(4):
        rig.pass_time()
    assert rig.published == []
    rig.partitions[PARTITION].apply(2, ServiceRecord(SERVICE, 9, b"newer").pack())
    rig.current = True
    rig.pass_time()
    assert [item.version for item in rig.published] == [9]
    rig.pass_time()
    assert rig.timers == []
