"""How old the state of a replica may be: a linearizable read that is repeated while a leader is heard.

The state is known to have been the newest of a majority at the moment at which the last such read was begun.
No clock of another machine takes part, and neither does the time that messages are on their way.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from firvane.fleet.replication.replica import Replica

CONTACT_INTERVAL = 0.3  # seconds between two reads
ANSWER_PATIENCE = 0.4  # seconds after which a read without an answer is given up for a new one
FED_WITHIN = 1.0  # seconds without anything of the log after which a replica counts as outside the group


class _Read(Struct):
    token: int
    begun_at: float
    index: int | None = None  # what must be applied, once the leader has told it


class Contact:
    """The last proof that a majority was reached. Times are monotonic seconds of this machine."""

    def __init__(self, replica: Replica, new_token: Callable[[], int]) -> None:
        self._replica = replica
        self._new_token = new_token
        self._reached_at = float("-inf")  # a leader that a majority follows has answered
        self._current_at = float("-inf")  # and all that it had committed is applied here
        self._read: _Read | None = None
        self._next_read = float("-inf")

    def reached_at(self, now: float) -> float:
        """When a majority was last reached, directly or through its leader; -inf if never."""
        return max(self._reached_at, self._replica.confirmed_at(now))

    def current_at(self, applied_index: int, now: float) -> float:
        """When what is applied here was last known to be the newest of a majority; -inf if never."""
        if applied_index < self._replica.commit_index:  # also a leader may have more to apply
            return self._current_at
        return max(self._current_at, self._replica.confirmed_at(now))

    def is_fed(self, now: float) -> bool:
        """Whether this replica gets the log: as a leader, a voter or a learner."""
        return now - self._replica.fed_at(now) <= FED_WITHIN

    def read_is_ready(self, token: int, index: int) -> bool:
        """Take the answer to a read; whether the read was one of this object."""
        read = self._read
        if read is None or read.token != token:
            return False
        read.index = index
        return True

    def advance(self, applied_index: int, now: float) -> None:
        """Note a read that is complete, and begin one that is due.

        A replica outside the group applies nothing: its read is over with the answer.
        """
        read = self._read
        if read is not None and read.index is not None:
            self._reached_at = max(self._reached_at, read.begun_at)
            if applied_index >= read.index:
                self._current_at = max(self._current_at, read.begun_at)
            if applied_index >= read.index or not self.is_fed(now):
                self._read = None
        elif now >= self._next_read and self._replica.leader is not None:
            self._begin(now)

    def _begin(self, now: float) -> None:
        if self._replica.leadership is not None:  # its followers' answers show the same
            self._read = None
            return
        self._next_read = now + (CONTACT_INTERVAL if self._read is None else ANSWER_PATIENCE)
        self._read = _Read(self._new_token(), now)
        self._replica.read(self._read.token, now)
