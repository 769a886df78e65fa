"""The founding of a group at the first start of the whole system.

The seed with the lowest address founds it, once it has been told the incarnations of all seeds, by writing
the first entry of the log, which names them as the voters. Only a replica whose folder was new at the first
start may do so, and it does so once, since the entry is on its disk before anything is said on the strength
of it. The others take the entry from it like any other entry.
"""

from __future__ import annotations

from collections.abc import Sequence

from firvane.core.address import Address
from firvane.fleet.replication.core import Core
from firvane.fleet.replication.members_codec import encode_members
from firvane.fleet.replication.messages import Introduction
from firvane.fleet.replication.types import Entry, EntryKind, Member

FOUNDING_INDEX = 1
FOUNDING_TERM = 0


class Founding:
    """Introductions among the seeds; of use only while the replica knows of no group."""

    def __init__(self, core: Core, seeds: Sequence[Address], now: float) -> None:
        self.core = core
        self.seeds = tuple(sorted(set(seeds)))
        self.next_introduction = now
        self._known: dict[Address, Member] = {core.identity.address: core.identity}

    @property
    def waiting(self) -> bool:
        """Whether this replica is a seed that knows of no group."""
        return not self.core.log.members and self.core.identity.address in self.seeds

    def on_introduction(self, sender: Member) -> None:
        """A seed tells its incarnation; a later one replaces an earlier one."""
        if sender.address in self.seeds:
            self._known[sender.address] = sender

    def tick(self, now: float) -> bool:
        """Introduce this replica, or found the group; True where it has been founded now."""
        if now < self.next_introduction:
            return False
        core = self.core
        self.next_introduction = now + core.timing.introduction
        founder = self.seeds[0]
        if core.identity.address != founder:
            core.send_to_address(founder, Introduction(core.term))
            return False
        if not core.founder or len(self._known) < len(self.seeds):
            return False
        members = [self._known[seed] for seed in self.seeds]
        entry = Entry(FOUNDING_INDEX, FOUNDING_TERM, EntryKind.MEMBERS, encode_members(members))
        core.append((entry,), now)
        core.log_event("group founded", voters=len(members))
        return True
