"""Has the owner of each service part keep what is published about the services of that part.

Rules that hold here:

1. Publication comes first and does not wait for this: a draining backend must leave every router in time.
2. Only the owner of a part proposes; whoever becomes the owner proposes what its part lacks.
3. For each part one proposal is under way at a time, always of the newest version.
4. What a part has kept and the cluster does not know is published again, once the part is known to be
   current: after all processes ended at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from firvane.core.logs import Log
from firvane.fleet.cluster.agent import Item
from firvane.fleet.controller.instance_records import item_key, service_of
from firvane.fleet.controller.replication import Proposal, ProposalStatus
from firvane.fleet.controller.service_part import PartError, ServicePart, ServiceRecord
from firvane.fleet.partitions import part_of

PROPOSE_TIMEOUT = 2.0  # s
RETRY_DELAY = 1.0  # s after a proposal that was not committed
PUBLISH_DELAY = 0.15  # s in which a record that was published arrives by itself
CURRENT_RETRY = 0.25  # s between looks whether a part is known to be current here


class Replication(Protocol):
    """What this needs of the replication host."""

    async def propose(self, group: int, payload: bytes, timeout: float) -> Proposal: ...

    def is_owner(self, group: int) -> bool: ...

    def is_current(self, group: int) -> bool: ...


class Dissemination(Protocol):
    """What this needs of the cluster agent."""

    def publish(self, item: Item) -> None: ...

    def item(self, key: bytes) -> Item | None: ...


class RecordKeeper:
    """Proposes published records to their parts, and publishes records that only the parts know."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        replication: Replication,
        agent: Dissemination,
        parts: Mapping[int, ServicePart],
        on_restored: Callable[[Item], None],
        log: Log,
    ) -> None:
        """`on_restored` is called with each record that a part has taken."""
        self._loop, self._replication, self._agent = loop, replication, agent
        self._parts, self._on_restored, self._log = parts, on_restored, log
        self._services: dict[int, set[str]] = {part: set() for part in parts}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._closed = False

    def published(self, item: Item) -> None:
        """An item was published, here or elsewhere."""
        service = service_of(item.key)
        if service is None:
            return
        part = part_of(service)
        self._services[part].add(service)
        self.store(part)

    def store(self, part: int) -> None:
        """Propose what the part lacks, if this controller owns it and no proposal is under way."""
        if self._closed or part in self._tasks or part not in self._parts:
            return
        if self._replication.is_owner(part) and self._outdated(part) is not None:
            self._tasks[part] = self._loop.create_task(self._store_all(part))

    def taken(self, record: ServiceRecord) -> None:
        """A part has taken a record, from its log or a snapshot."""
        self._services[part_of(record.service)].add(record.service)
        item = Item(item_key(record.service), record.version, record.payload)
        self._on_restored(item)
        self._loop.call_later(PUBLISH_DELAY, self._publish, item)

    def close(self) -> None:
        """Stop proposing."""
        self._closed = True
        for task in self._tasks.values():
            task.cancel()

    def _publish(self, item: Item) -> None:
        known = self._agent.item(item.key)
        service = service_of(item.key)
        if self._closed or service is None or (known is not None and known.version >= item.version):
            return
        part = part_of(service)
        if item.version < self._parts[part].version_of(service):
            return  # a later one was taken, which is published in its turn
        if not self._replication.is_current(part):
            self._loop.call_later(CURRENT_RETRY, self._publish, item)
            return
        self._log.info("instance_record_restored", service=service)
        self._agent.publish(item)

    def _outdated(self, part: int) -> ServiceRecord | None:
        """A record of this part that the cluster knows in a newer version than the part."""
        for service in sorted(self._services[part]):
            item = self._agent.item(item_key(service))
            if item is not None and item.version > self._parts[part].version_of(service):
                return ServiceRecord(service, item.version, item.payload)
        return None

    async def _store_all(self, part: int) -> None:
        try:
            while (record := self._outdated(part)) is not None:
                if not await self._store(part, record):
                    self._loop.call_later(RETRY_DELAY, self.store, part)
                    return
        except PartError as error:
            self._log.error("instance_record_not_replicated", part=part, reason=str(error))
        finally:
            del self._tasks[part]

    async def _store(self, part: int, record: ServiceRecord) -> bool:
        proposal = await self._replication.propose(part, record.pack(), PROPOSE_TIMEOUT)
        return proposal.status is ProposalStatus.COMMITTED
