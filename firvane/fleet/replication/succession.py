"""Repeated messages of a draining replica to its leader, and of a resigned leader to its successor."""

from __future__ import annotations

from firvane.fleet.replication.core import Core
from firvane.fleet.replication.messages import DrainNotice, TimeoutNow
from firvane.fleet.replication.types import Member

DRAIN_NOTICE_INTERVAL_S = 0.2
MAX_TIMEOUT_NOW_ATTEMPTS = 2
TIMEOUT_NOW_INTERVAL_S = 0.030


class Succession:
    """Sends `DrainNotice` to the leader, and `TimeoutNow` to the successor after a leadership transfer."""

    def __init__(self, core: Core, now: float) -> None:
        self.core = core
        self.draining = False  # the process is about to stop
        self._next_drain_notice_at = now
        self._successor: Member | None = None  # receives `TimeoutNow`
        self._attempts = 0
        self._next_attempt_at = now

    def set_successor(self, successor: Member, now: float) -> None:
        """Repeat `TimeoutNow` to the successor, since the first one may have been lost."""
        self._successor = successor
        self._attempts = 0
        self._next_attempt_at = now + TIMEOUT_NOW_INTERVAL_S

    def clear_successor(self) -> None:
        """Stop repeating `TimeoutNow`, since a leader or a higher term is known."""
        self._successor = None

    def deadline(self) -> float:
        """When `tick` is due next, in monotonic seconds."""
        due_at = self._next_drain_notice_at if self.draining else float("inf")
        return due_at if self._successor is None else min(due_at, self._next_attempt_at)

    def tick(self, leader: Member | None, now: float) -> None:
        """Send the messages that are due; `leader` is None if no leader is known."""
        if self.draining and now >= self._next_drain_notice_at:
            self._next_drain_notice_at = now + DRAIN_NOTICE_INTERVAL_S
            if leader is not None and self.core.self_is_voter:
                self.core.send(leader, DrainNotice(self.core.term))
        if self._successor is not None and now >= self._next_attempt_at:
            self._send_timeout_now(self._successor, now)

    def _send_timeout_now(self, successor: Member, now: float) -> None:
        self.core.send(successor, TimeoutNow(self.core.term))
        self._attempts += 1
        self._next_attempt_at = now + TIMEOUT_NOW_INTERVAL_S
        if self._attempts >= MAX_TIMEOUT_NOW_ATTEMPTS:
            self._successor = None
