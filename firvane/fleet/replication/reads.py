"""Linearizable reads at the leader: answered at once under the lease, else once a majority has replied.

The answer to a read is its read index (Raft): the commit index of the leader.
"""

from __future__ import annotations

from msgspec import Struct

from firvane.fleet.replication.core import Core, ReadReady
from firvane.fleet.replication.messages import ReadReply
from firvane.fleet.replication.types import Member

MAX_PENDING_READS = 1_024  # at a leader; further ones are dropped, and their requesters retry


class _PendingRead(Struct):
    token: int
    requested_at: float
    requester: Member | None  # None: this replica itself


class LeaderReads:
    """Reads that the leader has not answered yet."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self._pending: list[_PendingRead] = []

    def add(self, token: int, requester: Member | None, now: float) -> None:
        """Add a read; `requester` is None if this replica requested it. Drops it if too many are pending."""
        if len(self._pending) < MAX_PENDING_READS:
            self._pending.append(_PendingRead(token, now, requester))

    @property
    def has_pending(self) -> bool:
        """Whether any read is pending."""
        return bool(self._pending)

    def answer(self, confirmed_at: float, lease_until: float, now: float) -> None:
        """Answer all reads if the lease is valid, else those requested no later than `confirmed_at`."""
        still_pending = []
        for read in self._pending:
            if now < lease_until or read.requested_at <= confirmed_at:
                self._answer(read)
            else:
                still_pending.append(read)
        self._pending = still_pending

    def _answer(self, read: _PendingRead) -> None:
        core = self.core
        if read.requester is None:
            core.outputs.reads.append(ReadReady(read.token, core.commit_index))
        else:
            core.send(read.requester, ReadReply(core.term, read.token, core.commit_index))
