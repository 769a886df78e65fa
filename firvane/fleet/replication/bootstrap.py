"""Bootstrap of a group at the first start of the whole system.

The seed with the lowest address bootstraps the group: once it knows the incarnations of all seeds, it writes
the first entry of the log, which names them as the voters. Only a replica whose folder was created at the
first start may do so, and only once, since the entry is synced before any message depends on it. The other
seeds replicate this entry like any other entry.
"""

from __future__ import annotations

from collections.abc import Sequence

from firvane.core.address import Address
from firvane.fleet.replication.core import Core
from firvane.fleet.replication.members_codec import encode_members
from firvane.fleet.replication.messages import Introduction
from firvane.fleet.replication.types import Entry, EntryKind, Member

BOOTSTRAP_INDEX = 1
BOOTSTRAP_TERM = 0


class Bootstrap:
    """Exchanges introductions with the other seeds until this replica's log names the voters of the group."""

    def __init__(self, core: Core, seeds: Sequence[Address], now: float) -> None:
        self.core = core
        self.seeds = tuple(sorted(set(seeds)))
        self.next_introduction_at = now
        self._members_by_seed: dict[Address, Member] = {core.identity.address: core.identity}

    @property
    def is_pending(self) -> bool:
        """Whether this replica is a seed whose log names no voters yet."""
        return not self.core.log.members and self.core.identity.address in self.seeds

    def on_introduction(self, sender: Member) -> None:
        """Record a seed's incarnation; a later one replaces an earlier one."""
        if sender.address in self.seeds:
            self._members_by_seed[sender.address] = sender

    def tick(self, now: float) -> bool:
        """Introduce this replica or bootstrap the group; returns True if this call bootstrapped the group."""
        if now < self.next_introduction_at:
            return False
        core = self.core
        self.next_introduction_at = now + core.timing.introduction_interval_s
        first_seed = self.seeds[0]
        if core.identity.address != first_seed:
            core.send_to_address(first_seed, Introduction(core.term))
            return False
        if not core.may_bootstrap or len(self._members_by_seed) < len(self.seeds):
            return False
        members = [self._members_by_seed[seed] for seed in self.seeds]
        entry = Entry(BOOTSTRAP_INDEX, BOOTSTRAP_TERM, EntryKind.MEMBERS, encode_members(members))
        core.append((entry,), now)
        core.log_event("group_bootstrapped", voters=len(members))
        return True
