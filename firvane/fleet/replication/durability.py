"""Tracks which of a replica's writes are synced, and how long the oldest unsynced write has waited."""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from firvane.fleet.replication.types import HardState


class _PendingWrite(Struct):
    sequence: int
    issued_at: float
    last_index: int
    hard_state: HardState


class WriteTracker:
    """Numbers the writes of one replica; the driver syncs them in order and confirms each number.

    State recovered at a start counts as unsynced until the first write is confirmed: the previous process may
    have been killed with bytes that are only in the page cache.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.synced_sequence = 0
        self.synced_index = 0  # the index of the last synced entry of the current log
        self.synced_hard_state = HardState()
        self._pending: deque[_PendingWrite] = deque()

    def issue(self, last_index: int, hard_state: HardState, now: float) -> int:
        """Number a write that is issued to the driver; returns the sequence number."""
        self.sequence += 1
        self._pending.append(_PendingWrite(self.sequence, now, last_index, hard_state))
        return self.sequence

    def mark_unsynced_from(self, index: int) -> None:
        """Count the entries from `index` on as unsynced, since they are about to be replaced."""
        self.synced_index = min(self.synced_index, index - 1)
        for write in self._pending:
            write.last_index = min(write.last_index, index - 1)

    def confirm(self, sequence: int, now: float) -> None:
        """Record that all writes up to `sequence` are synced."""
        while self._pending and self._pending[0].sequence <= sequence:
            write = self._pending.popleft()
            self.synced_sequence = write.sequence
            self.synced_index = write.last_index
            self.synced_hard_state = write.hard_state
        if self._pending:  # the disk made progress, so the next write's wait counts from now
            self._pending[0].issued_at = max(self._pending[0].issued_at, now)

    def pending_since(self) -> float | None:
        """When the oldest unsynced write was issued; None if all are synced."""
        return self._pending[0].issued_at if self._pending else None
