"""What the controllers publish about the instances of each service, and in which order.

Rules that hold here:

1. Every controller merges what is published, so that a new holder of the poll duty knows what the last did.
2. Only the holder publishes. A version is the term of its part and a sequence: a later holder's is above.
3. After taking over, the first list makes the holder publish every service, changed or not.
4. A service whose instances have all gone is published as such.
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
    """The service whose instances a key stands for; None for any other key."""
    if not key.startswith(INSTANCES_PREFIX):
        return None
    try:
        return key[len(INSTANCES_PREFIX) :].decode()
    except UnicodeDecodeError:
        return None


class InstanceRecords:
    """The table of instances, and the items that follow from it. Pure; `now` is in monotonic seconds."""

    def __init__(self, log: Log) -> None:
        self.table = InstanceTable()
        self._log = log
        self._services: set[str] = set()  # all that have ever been known
        self._term: int | None = None  # of the duty, while it is held here
        self._sequence = 0  # goes on over all terms: the same term may be held twice
        self._publish_all = False

    @property
    def holds_duty(self) -> bool:
        """Whether this controller holds the poll duty."""
        return self._term is not None

    def take_over(self, term: int) -> None:
        """The poll duty is this controller's from now on, in this term of its part."""
        self._term = term
        self._publish_all = True

    def release(self) -> None:
        """The poll duty is no longer this controller's."""
        self._term = None

    def observe(self, listed: CompleteList, now: float) -> list[Item]:
        """Take a complete list; the items to publish."""
        changed = self.table.observe(listed.instances, now, listed.certain)
        self._services |= changed
        if not self.holds_duty:
            return []
        services = self._services if self._publish_all else changed
        self._publish_all = False
        return [item for item in map(self._item, sorted(services)) if item is not None]

    def learn(self, item: Item) -> list[Item]:
        """Take what another controller has published; the items to publish for it."""
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
        if not (changed and self.holds_duty):
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
