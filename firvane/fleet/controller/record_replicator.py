"""Replicates published instance records to the service partitions, and publishes records restored from them.

Invariants:

1. Publication does not wait for replication: routers must stop using a draining backend in time.
2. Only the owner of a partition proposes; a new owner proposes the records missing from its partition.
3. Each partition has at most one proposal in flight, always of the newest version.
4. A record that is stored in a partition but missing from the cluster, after a shutdown of all processes, is
   published again once the partition is known to be current.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from firvane.core.logs import Log
from firvane.fleet.cluster.agent import Item
from firvane.fleet.controller.instance_records import item_key, service_of
from firvane.fleet.controller.replication_host import ProposalResult, ProposalStatus
from firvane.fleet.controller.service_partition import PartitionError, ServicePartition, ServiceRecord
from firvane.fleet.partitions import partition_of

PROPOSE_TIMEOUT_S = 2.0
RETRY_DELAY_S = 1.0  # after a proposal that was not committed
PUBLISH_DELAY_S = 0.15  # a published record usually arrives earlier
CURRENT_RETRY_INTERVAL_S = 0.25


class Replication(Protocol):
    """The methods of the replication host that the replicator uses."""

    async def propose(self, group: int, payload: bytes, timeout_s: float) -> ProposalResult:
        """Propose a command and return the result of its commit."""

    def is_owner(self, group: int) -> bool:
        """Whether this controller owns the group."""

    def is_current(self, group: int) -> bool:
        """Whether the applied state recently held every committed entry."""


class Dissemination(Protocol):
    """The methods of the cluster agent that the replicator uses."""

    def publish(self, item: Item) -> None:
        """Publish an item to the cluster."""

    def item(self, key: bytes) -> Item | None:
        """The newest known item of a key."""


class RecordReplicator:
    """Proposes published records to their partitions, and publishes records found only in partitions."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        replication: Replication,
        agent: Dissemination,
        partitions: Mapping[int, ServicePartition],
        on_restored: Callable[[Item], None],
        log: Log,
    ) -> None:
        """Create the replicator; `on_restored` is called with each record that a partition has stored."""
        self._loop = loop
        self._replication = replication
        self._agent = agent
        self._partitions = partitions
        self._on_restored = on_restored
        self._log = log
        self._services: dict[int, set[str]] = {partition: set() for partition in partitions}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._closed = False

    def on_published(self, item: Item) -> None:
        """Replicate an item that was published, by this or another controller."""
        service = service_of(item.key)
        if service is None:
            return
        partition = partition_of(service)
        self._services[partition].add(service)
        self.replicate(partition)

    def replicate(self, partition: int) -> None:
        """As the owner, propose the records missing from the partition, unless a proposal is in flight."""
        if self._closed or partition in self._tasks or partition not in self._partitions:
            return
        if self._replication.is_owner(partition) and self._next_outdated(partition) is not None:
            self._tasks[partition] = self._loop.create_task(self._propose_outdated(partition))

    def on_stored(self, record: ServiceRecord) -> None:
        """Publish a record stored by a partition (from log or snapshot), if missing from the cluster."""
        self._services[partition_of(record.service)].add(record.service)
        item = Item(item_key(record.service), record.version, record.payload)
        self._on_restored(item)
        self._loop.call_later(PUBLISH_DELAY_S, self._publish, item)

    def close(self) -> None:
        """Cancel all proposals."""
        self._closed = True
        for task in self._tasks.values():
            task.cancel()

    def _publish(self, item: Item) -> None:
        published = self._agent.item(item.key)
        service = service_of(item.key)
        if self._closed or service is None or (published is not None and published.version >= item.version):
            return
        partition = partition_of(service)
        if item.version < self._partitions[partition].version_of(service):
            return  # a newer record is stored and will be published
        if not self._replication.is_current(partition):
            self._loop.call_later(CURRENT_RETRY_INTERVAL_S, self._publish, item)
            return
        self._log.info("instance_record_restored", service=service)
        self._agent.publish(item)

    def _next_outdated(self, partition: int) -> ServiceRecord | None:
        """A record that is newer in the cluster than in the partition; None if there is none."""
        for service in sorted(self._services[partition]):
            item = self._agent.item(item_key(service))
            if item is not None and item.version > self._partitions[partition].version_of(service):
                return ServiceRecord(service, item.version, item.payload)
        return None

    async def _propose_outdated(self, partition: int) -> None:
        try:
            while (record := self._next_outdated(partition)) is not None:
                if not await self._propose(partition, record):
                    self._loop.call_later(RETRY_DELAY_S, self.replicate, partition)
                    return
        except PartitionError as error:
            self._log.error("instance_record_not_replicated", partition=partition, reason=str(error))
        finally:
            del self._tasks[partition]

    async def _propose(self, partition: int, record: ServiceRecord) -> bool:
        proposal = await self._replication.propose(partition, record.pack(), PROPOSE_TIMEOUT_S)
        return proposal.status is ProposalStatus.COMMITTED
