"""The end of a replica's part in its group: departures that are announced, successors that are called."""

from __future__ import annotations

from firvane.fleet.replication.core import Core
from firvane.fleet.replication.messages import Leave, TimeoutNow
from firvane.fleet.replication.types import Member

LEAVE_INTERVAL = 0.2  # seconds between two announcements of a departure
TIMEOUT_NOW_REPEATS = 2
TIMEOUT_NOW_INTERVAL = 0.030  # seconds


class Succession:
    """What a replica says until its end, and to the successor that it has named as a leader."""

    def __init__(self, core: Core, now: float) -> None:
        self.core = core
        self.leaving = False  # this process is about to stop
        self._next_leave = now
        self._successor: Member | None = None  # told to stand for election, and may not have heard it
        self._calls = 0
        self._next_call = now

    def name(self, successor: Member, now: float) -> None:
        """Leadership has passed to this replica; it is called again in case the first call was lost."""
        self._successor = successor
        self._calls = 0
        self._next_call = now + TIMEOUT_NOW_INTERVAL

    def forget_successor(self) -> None:
        """Another leader or term is known: the successor need not be called."""
        self._successor = None

    def deadline(self) -> float:
        """When `tick` is due next."""
        due = self._next_leave if self.leaving else float("inf")
        return due if self._successor is None else min(due, self._next_call)

    def tick(self, leader: Member | None, now: float) -> None:
        """Announce the departure to the leader, None where there is none to tell; call the successor."""
        if self.leaving and now >= self._next_leave:
            self._next_leave = now + LEAVE_INTERVAL
            if leader is not None and self.core.is_own_voter:
                self.core.send(leader, Leave(self.core.term))
        if self._successor is not None and now >= self._next_call:
            self._call(self._successor, now)

    def _call(self, successor: Member, now: float) -> None:
        self.core.send(successor, TimeoutNow(self.core.term))
        self._calls += 1
        self._next_call = now + TIMEOUT_NOW_INTERVAL
        if self._calls >= TIMEOUT_NOW_REPEATS:
            self._successor = None
