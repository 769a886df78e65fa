"""The members that one process knows: records, the ring, and checksums of buckets. Does no I/O."""

from __future__ import annotations

import bisect
import functools
import struct
import zlib
from collections.abc import Iterator

from msgspec import Struct

from firvane.core.address import Address
from firvane.fleet.membership.codec import encode_record
from firvane.fleet.membership.members import Member, Record, Role, Stamp, Status

BUCKET_COUNT = 32
"""Number of buckets, each with a checksum by which two tables are compared."""
_STATE = struct.Struct(">QIB")
_State = tuple[int, int, int]
"""Incarnation, counter and status of a live member, which the checksums cover."""
_RingKey = tuple[str, int, Address]


@functools.lru_cache(maxsize=1024)
def _hash(address: Address) -> int:
    return zlib.crc32(f"{address[0]}:{address[1]}".encode())


class Entry(Struct):
    """The latest record of another member, and when its last message arrived."""

    member: Member
    counter: int
    status: Status
    since: float
    """When the member got this status; for a suspected member, when the suspicion began."""
    last_received_at: float
    """When the last message of the member arrived, or when it became known."""
    _encoded: bytes = b""

    @property
    def stamp(self) -> Stamp:
        """Incarnation and counter, by which records of one address are ordered."""
        return self.member.incarnation, self.counter

    @property
    def is_live(self) -> bool:
        """Whether the member counts as live, as a suspected member still does."""
        return self.status <= Status.SUSPECT

    def with_status(self, status: Status, since: float) -> Entry:
        """Return an entry of the same member and stamp with another status."""
        return Entry(self.member, self.counter, status, since, self.last_received_at)

    def encoded(self, now: float) -> bytes:
        """Return the encoded record, to be sent to other members."""
        if self.status is Status.SUSPECT:
            return encode_record(Record(self.member, self.counter, self.status, now - self.since))
        if not self._encoded:
            self._encoded = encode_record(Record(self.member, self.counter, self.status))
        return self._encoded


class Table:
    """All known members except the owner of the table, with tombstones of members that died or left.

    Live members and the owner form a ring, ordered by zone and then by a hash of the address, so that
    neighbours are mostly in the same zone. Checksums cover the live members and the owner itself.
    """

    def __init__(self, own: Member) -> None:
        self._own_key = self._ring_key(own)
        self._entries: dict[Address, Entry] = {}
        self._ring: list[_RingKey] = [self._own_key]
        self._keys: dict[Address, _RingKey] = {}
        self._buckets: list[dict[Address, _State]] = [{} for _ in range(BUCKET_COUNT)]
        self._checksums = [0] * BUCKET_COUNT
        self._dirty_buckets: set[int] = set()
        self._summary = 0
        self._live_entries: dict[Address, Entry] = {}
        self._live: list[Entry] | None = None
        self.live_controllers = 0
        """The number of live controllers, without the owner of the table."""
        self.version = 0
        """A number that rises when the set of live members, or the identity of a live member, changes."""
        self.update_own(own, 0)

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, address: Address) -> Entry | None:
        """Return the entry of an address, or None."""
        return self._entries.get(address)

    def live(self) -> list[Entry]:
        """Return the entries of live members, suspected ones included; callers must not change the list."""
        if self._live is None:
            self._live = list(self._live_entries.values())
        return self._live

    def put(self, entry: Entry) -> None:
        """Add or replace an entry."""
        address = entry.member.address
        before = self._entries.get(address)
        was_live = address in self._keys
        if was_live and before is not None:
            self.live_controllers -= before.member.role is Role.CONTROLLER
        if entry.is_live:
            self.live_controllers += entry.member.role is Role.CONTROLLER
        if entry.is_live != was_live or before is None or before.member != entry.member:
            self.version += 1
        self._entries[address] = entry
        self._live = None
        self._update_ring(entry)
        bucket = _hash(address) % BUCKET_COUNT
        if entry.is_live:
            self._live_entries[address] = entry
            self._buckets[bucket][address] = (*entry.stamp, entry.status)
        else:
            self._live_entries.pop(address, None)
            self._buckets[bucket].pop(address, None)
        self._dirty_buckets.add(bucket)

    def all(self) -> list[Entry]:
        """Return all entries, tombstones included."""
        return list(self._entries.values())

    def remove(self, address: Address) -> None:
        """Remove a tombstone; the entry of a live member stays."""
        entry = self._entries.get(address)
        if entry is not None and not entry.is_live:
            del self._entries[address]

    def update_own(self, own: Member, counter: int) -> None:
        """Set the owner's stamp that the checksums cover."""
        bucket = _hash(own.address) % BUCKET_COUNT
        self._buckets[bucket][own.address] = (own.incarnation, counter, Status.ALIVE)
        self._dirty_buckets.add(bucket)

    def predecessors(self) -> Iterator[Entry]:
        """Yield the live members before the owner in the ring, nearest first."""
        position = bisect.bisect_left(self._ring, self._own_key)
        for step in range(1, len(self._ring)):
            yield self._entries[self._ring[position - step][2]]

    def successor(self) -> Entry | None:
        """Return the next live member in the ring that is not suspected, or None."""
        count = len(self._ring)
        position = bisect.bisect_left(self._ring, self._own_key)
        for step in range(1, count):
            entry = self._entries[self._ring[(position + step) % count][2]]
            if entry.status is Status.ALIVE:
                return entry
        return None

    def checksums(self) -> tuple[int, ...]:
        """Return the checksum of each bucket, over address, stamp and status of its live members."""
        for bucket in self._dirty_buckets:
            content = sorted(self._buckets[bucket].items())
            self._checksums[bucket] = zlib.crc32(
                b"".join(f"{host}:{port}".encode() + _STATE.pack(*state) for (host, port), state in content)
            )
        if self._dirty_buckets:
            self._dirty_buckets.clear()
            self._summary = zlib.crc32(struct.pack(f">{BUCKET_COUNT}I", *self._checksums))
        return tuple(self._checksums)

    def summary(self) -> int:
        """Return one checksum over all buckets."""
        if self._dirty_buckets:
            self.checksums()
        return self._summary

    def entries_in_buckets(self, buckets: set[int]) -> list[Entry]:
        """Return the entries of these buckets, tombstones included."""
        return [
            entry for entry in self._entries.values() if _hash(entry.member.address) % BUCKET_COUNT in buckets
        ]

    def _update_ring(self, entry: Entry) -> None:
        address = entry.member.address
        old = self._keys.get(address)
        new = self._ring_key(entry.member) if entry.is_live else None
        if old == new:
            return
        if old is not None:
            self._ring.pop(bisect.bisect_left(self._ring, old))
            del self._keys[address]
        if new is not None:
            bisect.insort(self._ring, new)
            self._keys[address] = new

    @staticmethod
    def _ring_key(member: Member) -> _RingKey:
        return member.zone, _hash(member.address), member.address
