"""One process's view of all members, and the rules by which it merges records. Does no I/O.

New records are collected in `pending_updates`; the caller forwards them in messages.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from msgspec.structs import replace

from firvane.core.address import Address
from firvane.fleet.membership.codec import MAX_COUNTER, MAX_INCARNATION, encode_record
from firvane.fleet.membership.failed_members import FailedMembers
from firvane.fleet.membership.members import Member, Record, Status
from firvane.fleet.membership.table import Entry, Table

SUSPICION_TIMEOUT_S = 1.0
"""Seconds from the start of a suspicion until the member counts as dead."""
TOMBSTONE_LIFETIME_S = 30.0
"""Seconds for which the record of a dead or left member is kept."""
MAX_MEMBERS = 4096
"""Maximum number of addresses in a view, tombstones included; records of further addresses are ignored."""
TIME_TOLERANCE_S = 1e-6
"""Seconds of rounding error in sums of floating-point times."""


class MemberView:
    """The records of all other members, and this process's own record."""

    def __init__(self, own: Member, rng: random.Random) -> None:
        self.own = own
        """This process's identity; its incarnation rises if the cluster knows a higher one of its address."""
        self.table = Table(own)
        self.failed_members = FailedMembers(rng)
        self.pending_updates: dict[Address, None] = {}
        """Addresses whose new records have not been forwarded yet, oldest first."""
        self._counter = 0
        self._suspects: set[Address] = set()
        self._tombstones: dict[Address, float] = {}

    def own_record(self, status: Status = Status.ALIVE) -> bytes:
        """Return this process's own record, encoded."""
        return encode_record(Record(self.own, self._counter, status))

    def records(self, addresses: Sequence[Address], now: float) -> list[bytes]:
        """Return the encoded records of those `addresses` that are known, among them this process's."""
        found = []
        for address in addresses:
            entry = self.table.get(address)
            if entry is not None:
                found.append(entry.encoded(now))
            elif address == self.own.address:
                found.append(self.own_record())
        return found

    def is_up_to_date(self, record: Record) -> bool:
        """Return False if the record here is newer than the member's own, or not alive at equal stamps."""
        entry = self.table.get(record.member.address)
        if entry is None or record.stamp > entry.stamp or record.status is Status.LEFT:
            return True
        return record.stamp == entry.stamp and entry.status is Status.ALIVE

    def merge(self, record: Record, now: float, is_update: bool = True) -> bool:
        """Merge a record; return True if it reports dead a member that is live here and must now be probed.

        Such a report alone does not override a live record: after a partition each side believes the other
        dead. The record of an unknown member is forwarded if it is an update, not if it comes from
        anti-entropy.
        """
        if record.member.address == self.own.address:
            self._refute(record)
            return False
        entry = self.table.get(record.member.address)
        if entry is not None and not self._is_newer(record, entry):
            return False
        if record.status is Status.DEAD and entry is not None and entry.is_live:
            return entry.status is Status.ALIVE
        self._adopt(record, entry, now, is_update or entry is not None)
        return False

    def was_partitioned(self, sender: Record, records: Iterable[Record]) -> bool:
        """Return whether sender and this process believe each other dead in their current incarnations."""
        entry = self.table.get(sender.member.address)
        if entry is None or entry.status is not Status.DEAD or entry.stamp != sender.stamp:
            return False
        own_stamp = (self.own.incarnation, self._counter)
        return any(
            record.member.address == self.own.address
            and record.status is Status.DEAD
            and record.stamp == own_stamp
            for record in records
        )

    def remove_dead_members(self) -> None:
        """Remove the tombstones of dead members after a partition, to accept records of them again.

        The addresses are still probed.
        """
        for address in list(self._tombstones):
            entry = self.table.get(address)
            if entry is not None and entry.status is Status.DEAD:
                del self._tombstones[address]
                self.table.remove(address)

    def suspect(self, address: Address, now: float) -> None:
        """Mark an alive member as suspected, since it did not answer its probes."""
        entry = self.table.get(address)
        if entry is not None and entry.status is Status.ALIVE:
            self._put(entry.with_status(Status.SUSPECT, now), now)
            self.pending_updates[address] = None

    def mark_dead(self, address: Address, now: float) -> None:
        """Mark a live member as dead that another member reports dead and that answered no probe."""
        entry = self.table.get(address)
        if entry is not None and entry.is_live:
            self._put(entry.with_status(Status.DEAD, now), now)

    def confirm_deaths(self, now: float) -> list[Address]:
        """End expired suspicions: mark the members as dead that sent no message meanwhile.

        Returns the members that sent a message meanwhile: their suspicion restarts, and they must be probed.
        """
        active = []
        for address in list(self._suspects):
            entry = self.table.get(address)
            if entry is None or now < entry.since + SUSPICION_TIMEOUT_S - TIME_TOLERANCE_S:
                continue
            if entry.last_received_at > entry.since:
                entry.since = now
                active.append(address)
            else:
                self._put(entry.with_status(Status.DEAD, now), now)
        return active

    def deadline(self) -> float:
        """Return when the next suspicion ends; infinite without suspicions."""
        due = float("inf")
        for address in self._suspects:
            entry = self.table.get(address)
            if entry is not None:
                due = min(due, entry.since + SUSPICION_TIMEOUT_S)
        return due

    def remove_expired_tombstones(self, now: float) -> None:
        """Remove expired tombstones."""
        for address in [address for address, due in self._tombstones.items() if due <= now]:
            del self._tombstones[address]
            self.table.remove(address)

    def reset_after_freeze(self, now: float) -> None:
        """Restart all time-outs after this process was suspended."""
        for entry in self.table.live():
            entry.last_received_at = now
            if entry.status is Status.SUSPECT:
                entry.since = now

    @staticmethod
    def _is_newer(record: Record, entry: Entry) -> bool:
        return record.stamp > entry.stamp or (record.stamp == entry.stamp and record.status > entry.status)

    def _refute(self, record: Record) -> None:
        """Refute a report about this process by raising its stamp, unless the report is outdated."""
        own_stamp = (self.own.incarnation, self._counter)
        is_report = record.status is not Status.ALIVE
        if record.stamp < own_stamp or (record.stamp == own_stamp and not is_report):
            return
        if record.member.incarnation > self.own.incarnation or record.counter >= MAX_COUNTER:
            if record.member.incarnation >= MAX_INCARNATION:
                return
            self.own = replace(self.own, incarnation=record.member.incarnation + 1)
            self._counter = 0
        else:
            self._counter = record.counter + 1
        self.table.update_own(self.own, self._counter)
        self.pending_updates[self.own.address] = None

    def _adopt(self, record: Record, before: Entry | None, now: float, is_update: bool) -> None:
        if before is None and len(self.table) >= MAX_MEMBERS:
            return
        received_at = before.last_received_at if before is not None and before.is_live else now
        self._put(Entry(record.member, record.counter, record.status, now - record.age, received_at), now)
        if is_update and (before is not None or record.is_live):
            self.pending_updates[record.member.address] = None

    def _put(self, entry: Entry, now: float) -> None:
        address = entry.member.address
        self.table.put(entry)
        self._suspects.discard(address)
        if entry.status is Status.SUSPECT:
            self._suspects.add(address)
        if entry.is_live:
            self._tombstones.pop(address, None)
        else:
            self._tombstones[address] = now + TOMBSTONE_LIFETIME_S
        if entry.status is Status.DEAD:
            self.failed_members.add(address, now)
        else:
            self.failed_members.discard(address)
