"""The records of instances that controllers publish for each service, and their versions.

Invariants:

1. Every controller merges what is published, so that a new owner of the poll role knows what the last knew.
2. Only the owner of the role publishes. A version combines the term of the role's partition with a sequence
   number, so that the versions of a later owner are higher.
3. After the role is acquired, the first list makes the owner publish every service, changed or not.
4. A service without instances is published as such.
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
    """The service of a key of instances; None for any other key."""
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
        self._services: set[str] = set()  # all that were ever known
        self._term: int | None = None  # of the poll role, while this controller owns it
        self._sequence = 0  # never reset: the role may be acquired twice in a term
        self._publish_all = False

    @property
    def owns_role(self) -> bool:
        """Whether this controller owns the poll role."""
        return self._term is not None

    def acquire(self, term: int) -> None:
        """Acquire the poll role, in this term of its partition."""
        self._term = term
        self._publish_all = True

    def release(self) -> None:
        """Release the poll role."""
        self._term = None

    def observe(self, listed: CompleteList, now: float) -> list[Item]:
        """Merge a complete list; returns the items to publish."""
        changed = self.table.observe(listed.instances, now, listed.is_consistent)
        self._services |= changed
        if not self.owns_role:
            return []
        services = self._services if self._publish_all else changed
        self._publish_all = False
        return [item for item in map(self._item, sorted(services)) if item is not None]

    def learn(self, item: Item) -> list[Item]:
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
        own = self._item(service)
        return [own] if own else []

    def _item(self, service: str) -> Item | None:
        assert self._term is not None
        try:
            payload = encode_instances(self.table.record_of(service))
        except InstanceRecordError as error:
            self._log.error("instance_record_not_published", service=service, reason=str(error))
            return None
        self._sequence += 1
        return Item(item_key(service), (self._term << SEQUENCE_BITS) | self._sequence, payload)
