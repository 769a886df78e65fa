"""Linearizable reads at the leader: answered at once under a lease, else after a majority has answered."""

from __future__ import annotations

from msgspec import Struct

from firvane.fleet.replication.core import Core, ReadReady
from firvane.fleet.replication.messages import ReadReply
from firvane.fleet.replication.types import Member

MAXIMUM_READS = 1_024  # reads that wait at a leader; more are dropped, and their askers ask again


class _PendingRead(Struct):
    token: int
    asked_at: float
    asker: Member | None  # None: this replica itself


class LeaderReads:
    """Reads that the leader has not yet answered."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self._pending: list[_PendingRead] = []

    def add(self, token: int, asker: Member | None, now: float) -> None:
        """Take a read in."""
        if len(self._pending) < MAXIMUM_READS:
            self._pending.append(_PendingRead(token, now, asker))

    @property
    def waiting(self) -> bool:
        """Whether any read waits."""
        return bool(self._pending)

    def answer(self, confirmed_at: float, lease_until: float, now: float) -> None:
        """Answer what is safe; `confirmed_at`: a majority has answered what was sent then."""
        waiting = []
        for read in self._pending:
            if now < lease_until or read.asked_at <= confirmed_at:
                self._answer(read)
            else:
                waiting.append(read)
        self._pending = waiting

    def _answer(self, read: _PendingRead) -> None:
        core = self.core
        if read.asker is None:
            core.outputs.reads.append(ReadReady(read.token, core.commit_index))
        else:
            core.send(read.asker, ReadReply(core.term, read.token, core.commit_index))
