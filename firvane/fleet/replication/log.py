"""The replicated log in memory: a snapshot, the entries after it, and the voters that the entries name."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from firvane.fleet.replication.members_codec import decode_members
from firvane.fleet.replication.types import Entry, EntryKind, Members, Snapshot

ENTRY_OVERHEAD = 40  # bytes counted for an entry in addition to its payload


class MembersAt(NamedTuple):
    """The voters in force from the entry `entry_index` on."""

    entry_index: int
    members: Members


NO_MEMBERS = MembersAt(0, ())


class ReplicatedLog:
    """Entries `base_index + 1` to `last_index`; older entries are only in the snapshot.

    Compaction retains some entries that the snapshot covers, for followers that lag slightly.
    """

    def __init__(self, snapshot: Snapshot | None, entries: Iterable[Entry]) -> None:
        self._load(snapshot, entries)

    def _load(self, snapshot: Snapshot | None, entries: Iterable[Entry]) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self.size = 0  # bytes of the entries in memory
        self._entries: list[Entry] = []
        self._membership_history = [MembersAt(snapshot.members_index, snapshot.members)] if snapshot else []
        self.append(entries)

    @property
    def last_index(self) -> int:
        """The index of the last entry; that of the snapshot if no entry follows it."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry; that of the snapshot if no entry follows it."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> Members:
        """The voters in force: those of the last MEMBERS entry, committed or not."""
        return self._membership_history[-1].members if self._membership_history else ()

    @property
    def members_index(self) -> int:
        """The index of the entry that named the voters in force; 0 if there is none."""
        return self._membership_history[-1].entry_index if self._membership_history else 0

    def members_at(self, index: int) -> MembersAt:
        """The voters that were in force after the entry `index`, and the entry that named them."""
        position = bisect_right(self._membership_history, index, key=lambda change: change.entry_index)
        return self._membership_history[position - 1] if position else NO_MEMBERS

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None if the entry is compacted or beyond the end."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> Entry:
        """The entry at an index above `base_index`."""
        return self._entries[index - self.base_index - 1]

    def entries_from(self, index: int, max_bytes: int) -> tuple[Entry, ...]:
        """Entries from `index` on: the first one if it exists, and further ones while `max_bytes` suffice."""
        start = index - self.base_index - 1
        total = 0
        end = start
        while end < len(self._entries):
            total += len(self._entries[end].payload) + ENTRY_OVERHEAD
            if end > start and total > max_bytes:
                break
            end += 1
        return tuple(self._entries[start:end])

    def append(self, entries: Iterable[Entry]) -> None:
        """Append entries; raises `ValueError` if their indexes do not continue the log."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} does not follow entry {self.last_index}")
            self._entries.append(entry)
            self.size += len(entry.payload) + ENTRY_OVERHEAD
            if entry.kind is EntryKind.MEMBERS:
                self._membership_history.append(MembersAt(entry.index, decode_members(entry.payload)))

    def truncate_from(self, index: int) -> None:
        """Remove the entry `index` and all that follow."""
        keep_count = index - self.base_index - 1
        self.size -= sum(len(entry.payload) + ENTRY_OVERHEAD for entry in self._entries[keep_count:])
        del self._entries[keep_count:]
        while self._membership_history and self._membership_history[-1].entry_index >= index:
            self._membership_history.pop()

    def compact(self, snapshot: Snapshot, keep_bytes: int) -> None:
        """Adopt a snapshot of committed entries; retain up to `keep_bytes` of the entries that it covers."""
        self.snapshot = snapshot
        drop_count = snapshot.index - self.base_index
        retained_bytes = 0
        while drop_count > 0:
            retained_bytes += len(self._entries[drop_count - 1].payload) + ENTRY_OVERHEAD
            if retained_bytes > keep_bytes:
                break
            drop_count -= 1
        if drop_count > 0:
            self._drop_first(drop_count)
        self._membership_history = [MembersAt(snapshot.members_index, snapshot.members)] + [
            change for change in self._membership_history if change.entry_index > snapshot.index
        ]

    def install(self, snapshot: Snapshot) -> None:
        """Replace everything that another replica's snapshot covers.

        Entries after it are retained only if the log matches the snapshot.
        """
        tail: Sequence[Entry] = ()
        if self.term_at(snapshot.index) == snapshot.term:
            tail = self._entries[snapshot.index - self.base_index :]
        self._load(snapshot, tail)

    def after(self, index: int) -> tuple[Entry, ...]:
        """All entries after `index`."""
        return tuple(self._entries[index - self.base_index :])

    def _drop_first(self, count: int) -> None:
        last = self._entries[count - 1]
        self.size -= sum(len(entry.payload) + ENTRY_OVERHEAD for entry in self._entries[:count])
        del self._entries[:count]
        self.base_index, self.base_term = last.index, last.term
