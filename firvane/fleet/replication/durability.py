"""Which of a replica's writes are synced to its disk, and how long the oldest unsynced one has waited."""

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

    State recovered at a start counts as unsynced until the first write is confirmed: a killed process may
    have left bytes that are only in the page cache.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.synced_sequence = 0
        self.synced_index = 0  # the last entry of the current log that is synced
        self.synced_hard_state = HardState()
        self._pending: deque[_PendingWrite] = deque()

    def issue(self, last_index: int, hard_state: HardState, now: float) -> int:
        """Number a write that is issued to the driver; returns the sequence number."""
        self.sequence += 1
        self._pending.append(_PendingWrite(self.sequence, now, last_index, hard_state))
        return self.sequence

    def truncated_from(self, index: int) -> None:
        """The entries from `index` on are replaced: earlier writes of them no longer count as synced."""
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
        if self._pending:  # the disk made progress: the next write's wait counts from now
            self._pending[0].issued_at = max(self._pending[0].issued_at, now)

    def pending_since(self) -> float | None:
        """When the oldest unsynced write was issued; None if all are synced."""
        return self._pending[0].issued_at if self._pending else None
