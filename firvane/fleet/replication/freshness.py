"""A bound on the staleness of a replica's state, from a linearizable read that is repeated periodically.

When such a read completes, the applied state contains every entry that was committed when the read started.
The bound depends neither on other machines' clocks nor on message latency.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from firvane.fleet.replication.replica import Replica

FRESHNESS_READ_INTERVAL_S = 0.3
READ_TIMEOUT_S = 0.4  # of a pending read; after it a new read replaces the pending one
REPLICATING_WITHIN_S = 1.0  # since the last append; after it a replica counts as outside the group


class _PendingRead(Struct):
    token: int
    started_at: float
    index: int | None = None  # the read index, which must be applied; None until the leader has replied


class FreshnessTracker:
    """Tracks contact with a majority and the age of the applied state.

    Times are monotonic seconds of this machine.
    """

    def __init__(self, replica: Replica, new_token: Callable[[], int]) -> None:
        self._replica = replica
        self._new_token = new_token
        self._quorum_reached_at = float("-inf")  # start of the last read that a leader with a quorum answered
        self._current_at = float("-inf")  # start of the last read whose read index is applied
        self._read: _PendingRead | None = None
        self._next_read_at = float("-inf")

    def quorum_reached_at(self, now: float) -> float:
        """When a majority was last reached, directly or through the leader; -inf if never."""
        return max(self._quorum_reached_at, self._replica.confirmed_at(now))

    def current_at(self, applied_index: int, now: float) -> float:
        """When the applied state was last known to contain every committed entry; -inf if never."""
        if applied_index < self._replica.commit_index:  # a leader, too, may lag behind its commit index
            return self._current_at
        return max(self._current_at, self._replica.confirmed_at(now))

    def is_replicating(self, now: float) -> bool:
        """Whether this replica receives the log, as leader, voter or learner."""
        return now - self._replica.last_append_at(now) <= REPLICATING_WITHIN_S

    def on_read_ready(self, token: int, index: int) -> bool:
        """Record the read index of a read; returns whether this tracker started that read."""
        read = self._read
        if read is None or read.token != token:
            return False
        read.index = index
        return True

    def advance(self, applied_index: int, now: float) -> None:
        """Complete the pending read if its read index is applied, or start a read that is due.

        A replica outside the group applies no entries: its read completes once the leader has replied.
        """
        read = self._read
        if read is not None and read.index is not None:
            self._quorum_reached_at = max(self._quorum_reached_at, read.started_at)
            if applied_index >= read.index:
                self._current_at = max(self._current_at, read.started_at)
            if applied_index >= read.index or not self.is_replicating(now):
                self._read = None
        elif now >= self._next_read_at and self._replica.leader is not None:
            self._start_read(now)

    def _start_read(self, now: float) -> None:
        if self._replica.leadership is not None:  # acknowledgements of the followers replace the reads
            self._read = None
            return
        self._next_read_at = now + (FRESHNESS_READ_INTERVAL_S if self._read is None else READ_TIMEOUT_S)
        self._read = _PendingRead(self._new_token(), now)
        self._replica.read(self._read.token, now)
