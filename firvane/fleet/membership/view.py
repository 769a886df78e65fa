"""What one process believes of all others, and of its own standing: merging of records by their stamps. Pure.

Knows no messages. What is new here is collected in `fresh`, to be passed on by the caller.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from msgspec.structs import replace

from firvane.core.address import Address
from firvane.fleet.membership.codec import MAX_COUNTER, MAX_INCARNATION, encode_record
from firvane.fleet.membership.failed_members import LostMembers
from firvane.fleet.membership.members import Member, Record, Status
from firvane.fleet.membership.table import Entry, Table

SUSPICION_TIME = 1.0
"""Seconds from the first suspicion until a member counts as dead."""
TOMBSTONE_TIME = 30.0
"""Seconds for which the record of a dead or left member is kept."""
MAX_MEMBERS = 4096
"""Addresses a view holds, tombstones included; records of further ones are ignored."""
EPSILON = 1e-6
"""Seconds by which sums of floating-point times may be off."""


class MemberView:
    """The records of all other members, and the own one."""

    def __init__(self, own: Member, rng: random.Random) -> None:
        self.own = own
        """This process; its incarnation rises if the cluster knows a higher one of its address."""
        self.table = Table(own)
        self.lost = LostMembers(rng)
        self.fresh: dict[Address, None] = {}
        """Addresses of which something new is known that was not passed on yet, oldest first."""
        self._counter = 0
        self._suspects: set[Address] = set()
        self._tombstones: dict[Address, float] = {}

    def own_record(self, status: Status = Status.ALIVE) -> bytes:
        """The own record, encoded."""
        return encode_record(Record(self.own, self._counter, status))

    def records(self, addresses: Sequence[Address], now: float) -> list[bytes]:
        """The encoded records of those addresses that are known, the own one included."""
        found = []
        for address in addresses:
            entry = self.table.get(address)
            if entry is not None:
                found.append(entry.encoded(now))
            elif address == self.own.address:
                found.append(self.own_record())
        return found

    def is_believed(self, record: Record) -> bool:
        """Whether a member's own record is news or agrees with what is known; else it must be told."""
        entry = self.table.get(record.member.address)
        if entry is None or record.stamp > entry.stamp or record.status is Status.LEFT:
            return True
        return record.stamp == entry.stamp and entry.status is Status.ALIVE

    def merge(self, record: Record, now: float, is_rumour: bool = True) -> bool:
        """Take a report. True if it calls a member dead that is live here: the member must be probed.

        Such a report is not believed by itself: after a cut both sides believe the other one dead. A member
        that was unknown is passed on if the report is a rumour, not if it belongs to a compared table.
        """
        if record.member.address == self.own.address:
            self._refute(record)
            return False
        entry = self.table.get(record.member.address)
        if entry is not None and not self._is_newer(record, entry):
            return False
        if record.status is Status.DEAD and entry is not None and entry.is_live:
            return entry.status is Status.ALIVE
        self._adopt(record, entry, now, is_rumour or entry is not None)
        return False

    def was_cut_off(self, sender: Record, records: Iterable[Record]) -> bool:
        """Whether sender and owner each believe that the other one died in its present life."""
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

    def forget_deaths(self) -> None:
        """What looked like deaths was a cut: take what others report. The addresses are still probed."""
        for address in list(self._tombstones):
            entry = self.table.get(address)
            if entry is not None and entry.status is Status.DEAD:
                del self._tombstones[address]
                self.table.remove(address)

    def suspect(self, address: Address, now: float) -> None:
        """A live member did not answer; it is suspected from now on."""
        entry = self.table.get(address)
        if entry is not None and entry.status is Status.ALIVE:
            self._put(entry.with_status(Status.SUSPECT, now), now)
            self.fresh[address] = None

    def bury(self, address: Address, now: float) -> None:
        """A live member did not answer, and others have confirmed its death."""
        entry = self.table.get(address)
        if entry is not None and entry.is_live:
            self._put(entry.with_status(Status.DEAD, now), now)

    def confirm_deaths(self, now: float) -> list[Address]:
        """End suspicions that have lasted long enough.

        Returns members that were heard meanwhile: their suspicion begins anew, and they must be probed.
        """
        heard = []
        for address in list(self._suspects):
            entry = self.table.get(address)
            if entry is None or now < entry.since + SUSPICION_TIME - EPSILON:
                continue
            if entry.heard > entry.since:
                entry.since = now
                heard.append(address)
            else:
                self._put(entry.with_status(Status.DEAD, now), now)
        return heard

    def deadline(self) -> float:
        """When the next suspicion ends; infinite if nobody is suspected."""
        due = float("inf")
        for address in self._suspects:
            entry = self.table.get(address)
            if entry is not None:
                due = min(due, entry.since + SUSPICION_TIME)
        return due

    def forget(self, now: float) -> None:
        """Remove tombstones that are old enough."""
        for address in [address for address, due in self._tombstones.items() if due <= now]:
            del self._tombstones[address]
            self.table.remove(address)

    def wake(self, now: float) -> None:
        """This process was frozen: nobody is to blame for silence until now."""
        for entry in self.table.live():
            entry.heard = now
            if entry.status is Status.SUSPECT:
                entry.since = now

    @staticmethod
    def _is_newer(record: Record, entry: Entry) -> bool:
        return record.stamp > entry.stamp or (record.stamp == entry.stamp and record.status > entry.status)

    def _refute(self, record: Record) -> None:
        """A report about this process itself: raise the own stamp above it, unless it is outdated."""
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
        self.fresh[self.own.address] = None

    def _adopt(self, record: Record, before: Entry | None, now: float, is_news: bool) -> None:
        if before is None and len(self.table) >= MAX_MEMBERS:
            return
        heard = before.heard if before is not None and before.is_live else now
        self._put(Entry(record.member, record.counter, record.status, now - record.age, heard), now)
        if is_news and (before is not None or record.is_live):
            self.fresh[record.member.address] = None

    def _put(self, entry: Entry, now: float) -> None:
        address = entry.member.address
        self.table.put(entry)
        self._suspects.discard(address)
        if entry.status is Status.SUSPECT:
            self._suspects.add(address)
        if entry.is_live:
            self._tombstones.pop(address, None)
        else:
            self._tombstones[address] = now + TOMBSTONE_TIME
        if entry.status is Status.DEAD:
            self.lost.add(address, now)
        else:
            self.lost.discard(address)
