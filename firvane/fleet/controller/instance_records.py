"""The instance records that controllers publish for each service, and their versions.

Invariants:

1. Every controller merges all published records, so that a new owner of the poll role has the state of the
   previous one.
2. Only the owner of the role publishes. A version combines the term of the role's partition with a sequence
   number, so that the versions of a later owner are higher.
3. On the first list after acquiring the role, the owner publishes every service, changed or not.
4. A service that has no instances left is still published.
"""

from __future__ import annotations

from firvane.core.logs import Log
from firvane.fleet.cluster.agent import Item
from firvane.fleet.discovery.codec import InstanceRecordError, decode_instances, encode_instances
from firvane.fleet.discovery.instances import InstanceTable
from firvane.fleet.discovery.pages import CompleteList

INSTANCES_PREFIX = b"instances/"
SEQUENCE_BITS = 32


def item_key(service: str) -> bytes:
    """The key under which the instances of a service are published."""
    return INSTANCES_PREFIX + service.encode()


def service_of(key: bytes) -> str | None:
    """The service of a key made by `item_key`; None for any other key."""
    if not key.startswith(INSTANCES_PREFIX):
        return None
    try:
        return key[len(INSTANCES_PREFIX) :].decode()
    except UnicodeDecodeError:
        return None


class InstanceRecords:
    """The table of instances, and the items to publish; `now` is in monotonic seconds."""

    def __init__(self, log: Log) -> None:
        self.table = InstanceTable()
        self._log = log
        self._services: set[str] = set()  # every service that was ever listed or published
        self._term: int | None = None  # of the poll role's partition, while this controller owns the role
        self._sequence = 0  # never reset: the role may be acquired twice in a term
        self._publish_all_services = False

    @property
    def owns_role(self) -> bool:
        """Whether this controller owns the poll role."""
        return self._term is not None

    def acquire(self, term: int) -> None:
        """Acquire the poll role, in this term of its partition."""
        self._term = term
        self._publish_all_services = True

    def release(self) -> None:
        """Release the poll role."""
        self._term = None

    def observe(self, listed: CompleteList, now: float) -> list[Item]:
        """Merge a complete list; returns the items to publish."""
        changed = self.table.observe(listed.instances, now, listed.is_consistent)
        self._services |= changed
        if not self.owns_role:
            return []
        services = self._services if self._publish_all_services else changed
        self._publish_all_services = False
        return [item for item in map(self._item, sorted(services)) if item is not None]

    def merge_published(self, item: Item) -> list[Item]:
        """Merge an item that another controller has published; returns the items to publish in turn."""
        service = service_of(item.key)
        if service is None:
            return []
        try:
            instances = decode_instances(item.payload)
        except InstanceRecordError as error:
            self._log.warning("instance_record_unreadable", service=service, reason=str(error))
            return []
        self._services.add(service)
        changed = self.table.merge(service, instances)
        if not (changed and self.owns_role):
            return []
        updated = self._item(service)
        return [updated] if updated else []

    def _item(self, service: str) -> Item | None:
        assert self._term is not None
        try:
            payload = encode_instances(self.table.instances_of(service))
        except InstanceRecordError as error:
            self._log.error("instance_record_not_published", service=service, reason=str(error))
            return None
        self._sequence += 1
        return Item(item_key(service), (self._term << SEQUENCE_BITS) | self._sequence, payload)
