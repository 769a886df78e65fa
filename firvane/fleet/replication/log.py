"""The replicated log in memory: a snapshot, the entries after it, and the voters that they name."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Sequence

from firvane.fleet.replication.members_codec import decode_members
from firvane.fleet.replication.types import Entry, EntryKind, Members, Snapshot

ENTRY_OVERHEAD = 40  # bytes counted for an entry beside its payload


class ReplicatedLog:
    """Entries `base_index + 1` to `last_index`; what lies before is only in the snapshot.

    After a compaction some entries that the snapshot covers stay, for followers that are a little behind.
    """

    def __init__(self, snapshot: Snapshot | None, entries: Iterable[Entry]) -> None:
        self._load(snapshot, entries)

    def _load(self, snapshot: Snapshot | None, entries: Iterable[Entry]) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self.size = 0  # bytes of the entries in memory
        self._entries: list[Entry] = []
        self._members: list[tuple[int, Members]] = (
            [(snapshot.members_index, snapshot.members)] if snapshot else []
        )
        self.append(entries)

    @property
    def last_index(self) -> int:
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> Members:
        """The voters in force: those of the last entry that names any, committed or not."""
        return self._members[-1][1] if self._members else ()

    @property
    def members_index(self) -> int:
        """The entry that put the voters in force; 0 where none is known."""
        return self._members[-1][0] if self._members else 0

    def members_at(self, index: int) -> tuple[int, Members]:
        """The voters that were in force after the entry `index`, and the entry that named them."""
        position = bisect_right(self._members, index, key=lambda item: item[0])
        return self._members[position - 1] if position else (0, ())

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is not known here."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> Entry:
        """An entry that is in memory."""
        return self._entries[index - self.base_index - 1]

    def entries_from(self, index: int, most_bytes: int) -> tuple[Entry, ...]:
        """Entries from `index` on: one at least if there is one, then as many as fit."""
        start = index - self.base_index - 1
        total = 0
        end = start
        while end < len(self._entries):
            total += len(self._entries[end].payload) + ENTRY_OVERHEAD
            if end > start and total > most_bytes:
                break
            end += 1
        return tuple(self._entries[start:end])

    def append(self, entries: Iterable[Entry]) -> None:
        """Add entries that follow the last one."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
            self._entries.append(entry)
            self.size += len(entry.payload) + ENTRY_OVERHEAD
            if entry.kind is EntryKind.MEMBERS:
                self._members.append((entry.index, decode_members(entry.payload)))

    def truncate_from(self, index: int) -> None:
        """Drop the entry `index` and all that follow."""
        keep = index - self.base_index - 1
        self.size -= sum(len(entry.payload) + ENTRY_OVERHEAD for entry in self._entries[keep:])
        del self._entries[keep:]
        while self._members and self._members[-1][0] >= index:
            self._members.pop()

    def compact(self, snapshot: Snapshot, keep_bytes: int) -> None:
        """Take a snapshot of entries that are committed; keep so many bytes of the entries that it covers."""
        self.snapshot = snapshot
        drop = snapshot.index - self.base_index
        kept = 0
        while drop > 0:
            kept += len(self._entries[drop - 1].payload) + ENTRY_OVERHEAD
            if kept > keep_bytes:
                break
            drop -= 1
        if drop > 0:
            self._drop_first(drop)
        self._members = [(snapshot.members_index, snapshot.members)] + [
            item for item in self._members if item[0] > snapshot.index
        ]

    def install(self, snapshot: Snapshot) -> None:
        """Put another replica's snapshot in the place of everything it covers.

        Entries after it stay only where the log agrees with the snapshot.
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
