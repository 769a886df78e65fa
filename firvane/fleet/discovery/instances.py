"""Backend instances, and the table of their states.

Invariants of the table:

1. A state only increases, READY < DRAINING < GONE, so that the tables of two pollers merge without conflict.
2. An id that is missing from a complete list becomes GONE and stays so. An id that was merged from another
   poller since the last list may be newer than the current list, so only the next list can make it GONE.
3. A new id at an address replaces the previous id at this address.
4. Ids that are GONE are evicted `GONE_RETENTION_S` after they were last seen, which bounds the table.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

from msgspec import Struct
from msgspec.structs import replace

from firvane.core.address import Address

GONE_RETENTION_S = 600.0


class InstanceState(enum.IntEnum):
    """The state of an instance, which only increases."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ModelVersion(Struct, frozen=True):
    """A model that an instance serves, with the version of its weights."""

    name: str
    version: int
    adapters: tuple[str, ...] = ()


class Instance(Struct, frozen=True):
    """One incarnation of a backend; `cold_remaining_ms` is its remaining warm-up time when listed."""

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    state: InstanceState
    software: str = ""
    cold_remaining_ms: int = 0
    models: tuple[ModelVersion, ...] = ()
    stage: str = ""

    def differs_from(self, other: Instance) -> bool:
        """Whether any field differs except the remaining warm-up time, which always decreases."""
        if self == other:
            return False
        return replace(self, cold_remaining_ms=0) != replace(other, cold_remaining_ms=0)


class InstanceTable:
    """All known instances by id; `now` is in monotonic seconds."""

    def __init__(self) -> None:
        self._by_id: dict[str, Instance] = {}
        self._gone_at: dict[str, float | None] = {}  # None: gone by a merge; the next list sets the time
        self._missing: set[str] = set()  # ids missing from the last list, which was not consistent
        self._merged: set[str] = set()  # ids merged from another poller since the last list

    def services(self) -> frozenset[str]:
        """The names of services that have an instance that is not gone."""
        return frozenset(
            instance.service for instance in self._by_id.values() if instance.state is not InstanceState.GONE
        )

    def live_instances_of(self, service: str) -> tuple[Instance, ...]:
        """The ready and draining instances of a service, ordered by id."""
        return tuple(
            instance for instance in self.instances_of(service) if instance.state is not InstanceState.GONE
        )

    def instances_of(self, service: str) -> tuple[Instance, ...]:
        """All instances of a service to publish, including those that are gone, ordered by id."""
        found = [instance for instance in self._by_id.values() if instance.service == service]
        return tuple(sorted(found, key=lambda instance: instance.id))

    def state_of(self, instance_id: str) -> InstanceState | None:
        """The state of an id; None if it is not known."""
        instance = self._by_id.get(instance_id)
        return instance.state if instance else None

    def observe(self, complete: Sequence[Instance], now: float, is_consistent: bool = True) -> frozenset[str]:
        """Merge a complete list; return the services whose instances changed.

        A list of several pages may have changed between pages and skipped an id. `is_consistent` is false for
        it, and a ready id becomes gone only if it is missing from the next list too.
        """
        changed: set[str] = set()
        self._retire_replaced(complete, now, changed)
        listed = {entry.id for entry in complete}
        for instance in complete:
            self._merge_instance(instance, changed)
        self._retire_absent(listed, now, is_consistent, changed)
        self._evict_gone(listed, now)
        return frozenset(changed)

    def merge(self, service: str, instances: Sequence[Instance]) -> bool:
        """Merge another poller's record of a service; return whether anything changed.

        The higher state wins. Ids missing from the record stay unchanged until the next list.
        """
        changed: set[str] = set()
        for instance in instances:
            if instance.service != service:
                continue
            if instance.id not in self._by_id:
                self._merged.add(instance.id)
            self._merge_instance(instance, changed)
        return bool(changed)

    def replace(self, service: str, instances: Sequence[Instance], now: float) -> bool:
        """Replace the record of a service by a newer one; return whether anything changed.

        For routers, which do not read the list. An id missing from the record is removed from the table: its
        retention has expired, or another poller took over and may list it again.
        """
        changed: set[str] = set()
        if self.merge(service, instances):
            changed.add(service)
        recorded = {instance.id for instance in instances}
        for known in self.live_instances_of(service):
            if known.id in recorded:
                continue
            if known.state is InstanceState.DRAINING:
                self._retire(known, now, changed)
            else:
                del self._by_id[known.id]
                changed.add(service)
        self._evict_gone(recorded, now)
        self._merged.clear()
        return bool(changed)

    def _merge_instance(self, instance: Instance, changed: set[str]) -> None:
        known = self._by_id.get(instance.id)
        if known is not None and known.state > instance.state:
            instance = known if known.state is InstanceState.GONE else replace(instance, state=known.state)
        if known is None or instance.differs_from(known):
            changed.add(instance.service)
            if known is not None:
                changed.add(known.service)
        self._by_id[instance.id] = instance
        if instance.state is InstanceState.GONE:
            self._gone_at.setdefault(instance.id, None)

    def _retire(self, instance: Instance, now: float, changed: set[str]) -> None:
        self._by_id[instance.id] = replace(instance, state=InstanceState.GONE, cold_remaining_ms=0)
        self._gone_at[instance.id] = now
        changed.add(instance.service)

    def _retire_replaced(self, complete: Sequence[Instance], now: float, changed: set[str]) -> None:
        """Mark as gone the known ids whose address belongs to a new id in the list."""
        new_owners = {
            instance.address: instance.id for instance in complete if instance.id not in self._by_id
        }
        if not new_owners:
            return
        for known in list(self._by_id.values()):
            if known.state is not InstanceState.GONE and new_owners.get(known.address, known.id) != known.id:
                self._retire(known, now, changed)

    def _retire_absent(self, listed: set[str], now: float, is_consistent: bool, changed: set[str]) -> None:
        missing: set[str] = set()
        for known in list(self._by_id.values()):
            if known.id in listed or known.id in self._merged or known.state is InstanceState.GONE:
                continue
            if is_consistent or known.state is InstanceState.DRAINING or known.id in self._missing:
                self._retire(known, now, changed)
            else:
                missing.add(known.id)
        self._missing = missing
        self._merged.clear()

    def _evict_gone(self, listed: set[str], now: float) -> None:
        for instance_id, gone_at in list(self._gone_at.items()):
            if gone_at is None or instance_id in listed:
                self._gone_at[instance_id] = now
            elif now - gone_at > GONE_RETENTION_S:
                del self._gone_at[instance_id]
                self._by_id.pop(instance_id, None)
