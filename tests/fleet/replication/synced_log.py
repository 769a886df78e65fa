"""The synced state of each replica, recorded independently of what the replica reports."""

from __future__ import annotations

from dataclasses import dataclass, field

from firvane.fleet.replication.core import Recovered, Write
from firvane.fleet.replication.types import NO_HARD_STATE, Entry, HardState, Snapshot


@dataclass
class SyncedLog:
    """The term, vote and entries that one incarnation has synced to its disk."""

    hard_state: HardState = NO_HARD_STATE
    base_index: int = 0
    terms: dict[int, int] = field(default_factory=dict)  # by index

    def on_recovered(self, recovered: Recovered) -> None:
        """Record that the state recovered at a start is synced."""
        self.hard_state = recovered.hard_state
        self._replace(recovered.snapshot, recovered.entries)

    def on_write_synced(self, write: Write) -> None:
        """Record that a write is synced."""
        if write.hard_state is not None:
            self.hard_state = write.hard_state
        if write.snapshot is not None:
            self._replace(write.snapshot, write.entries)
        else:
            self._append(write.entries)

    def has_entry(self, index: int, term: int | None) -> bool:
        """Whether an entry is synced, or covered by a synced snapshot; `term` None matches any term."""
        if index <= self.base_index:
            return True
        return index in self.terms and term in (None, self.terms[index])

    def has_voted(self, term: int, incarnation: int) -> bool:
        """Whether a vote is synced, or a later term, which rules out another vote in this term."""
        state = self.hard_state
        return state.term > term or (state.term, state.vote) == (term, incarnation)

    def _replace(self, snapshot: Snapshot | None, entries: tuple[Entry, ...]) -> None:
        self.base_index = snapshot.index if snapshot else 0
        self.terms = {}
        self._append(entries)

    def _append(self, entries: tuple[Entry, ...]) -> None:
        if entries:
            first = entries[0].index
            for index in range(first, first + len(self.terms)):
                if self.terms.pop(index, None) is None:
                    break
        for entry in entries:
            self.terms[entry.index] = entry.term
