"""A bound on the staleness of a replica's state, by a linearizable read that is repeated periodically.

When such a read completes, the applied state is known to contain all that was committed when the read began.
Neither another machine's clock nor the latency of messages enters the bound.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from firvane.fleet.replication.replica import Replica

FRESHNESS_READ_INTERVAL_S = 0.3
READ_TIMEOUT_S = 0.4  # then a new read replaces it
REPLICATING_WITHIN_S = 1.0  # since the last append; then a replica counts as outside the group


class _Read(Struct):
    token: int
    begun_at: float
    index: int | None = None  # must be applied; None until the leader has answered


class FreshnessTracker:
    """The last proof of contact with a majority. Times are monotonic seconds of this machine."""

    def __init__(self, replica: Replica, new_token: Callable[[], int]) -> None:
        self._replica = replica
        self._new_token = new_token
        self._quorum_reached_at = float("-inf")  # a leader with a quorum has answered
        self._current_at = float("-inf")  # and all that it had committed is applied
        self._read: _Read | None = None
        self._next_read_at = float("-inf")

    def quorum_reached_at(self, now: float) -> float:
        """When a majority was last reached, directly or through the leader; -inf if never."""
        return max(self._quorum_reached_at, self._replica.confirmed_at(now))

    def current_at(self, applied_index: int, now: float) -> float:
        """When the applied state was last known to contain every committed entry; -inf if never."""
        if applied_index < self._replica.commit_index:  # a leader, too, may have more to apply
            return self._current_at
        return max(self._current_at, self._replica.confirmed_at(now))

    def is_replicating(self, now: float) -> bool:
        """Whether this replica receives the log, as leader, voter or learner."""
        return now - self._replica.last_append_at(now) <= REPLICATING_WITHIN_S

    def on_read_ready(self, token: int, index: int) -> bool:
        """Take the answer to a read; returns whether the read was begun by this object."""
        read = self._read
        if read is None or read.token != token:
            return False
        read.index = index
        return True

    def advance(self, applied_index: int, now: float) -> None:
        """Complete the current read if it can be, or begin one that is due.

        A replica outside the group applies nothing: its read completes with the answer.
        """
        read = self._read
        if read is not None and read.index is not None:
            self._quorum_reached_at = max(self._quorum_reached_at, read.begun_at)
            if applied_index >= read.index:
                self._current_at = max(self._current_at, read.begun_at)
            if applied_index >= read.index or not self.is_replicating(now):
                self._read = None
        elif now >= self._next_read_at and self._replica.leader is not None:
            self._begin(now)

    def _begin(self, now: float) -> None:
        if self._replica.leadership is not None:  # its followers' acknowledgements prove the same
            self._read = None
            return
        self._next_read_at = now + (FRESHNESS_READ_INTERVAL_S if self._read is None else READ_TIMEOUT_S)
        self._read = _Read(self._new_token(), now)
        self._replica.read(self._read.token, now)
