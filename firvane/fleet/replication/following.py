"""A follower's side of replication: entries and snapshots from the leader, acknowledged once synced."""

from __future__ import annotations

from firvane.fleet.replication.core import Core
from firvane.fleet.replication.errors import ReplicationInvariantError
from firvane.fleet.replication.messages import Append, AppendReply, InstallSnapshot
from firvane.fleet.replication.types import Entry, Member


class Follower:
    """What one leader's term has brought; a new one is made for each leader."""

    def __init__(self, core: Core, leader: Member) -> None:
        self.core = core
        self.leader = leader
        self.fed_at = float("-inf")  # when the leader last sent something of its log, a heartbeat included
        self._agreed = 0  # the log is known to agree with the leader's up to here
        self._owed: float | None = None  # an acknowledgement that waits for the disk; the echo it will carry
        self._owed_write = 0  # the write that it waits for

    def on_append(self, message: Append, now: float) -> None:
        """Take the entries in, or tell the leader from where to try."""
        self.fed_at = now
        log = self.core.log
        entries = message.entries
        previous = message.previous_index
        if previous < log.base_index:  # committed and compacted here: it agrees
            entries = entries[log.base_index - previous :]
            previous = log.base_index
        elif previous > log.last_index:
            self._refuse(message.sent_at, log.last_index, now)
            return
        elif log.term_at(previous) != message.previous_term:
            self._refuse(message.sent_at, min(self.core.commit_index, previous - 1), now)
            return
        self._take_in(entries, now)
        end = message.previous_index + len(message.entries)
        self._agreed = max(self._agreed, end)
        self.core.commit_index = max(self.core.commit_index, min(message.commit_index, end))
        if entries:
            self._acknowledge_when_synced(message.sent_at, now)
        else:
            self._acknowledge(message.sent_at, now)

    def on_snapshot(self, message: InstallSnapshot, now: float) -> None:
        """Replace what the snapshot covers."""
        self.fed_at = now
        core = self.core
        snapshot = message.snapshot
        if snapshot.index > core.commit_index:
            core.writes.truncated_from(core.log.base_index + 1)
            core.log.install(snapshot)
            core.commit_index = snapshot.index
            core.persist(now, core.log.after(snapshot.index), snapshot)
            core.outputs.installed = snapshot
        self._agreed = max(self._agreed, snapshot.index)
        self._acknowledge_when_synced(message.sent_at, now)

    def on_synced(self, now: float) -> None:
        """Send the acknowledgement that waited for the disk."""
        if self._owed is not None and self.core.writes.synced_sequence >= self._owed_write:
            self._acknowledge(self._owed, now)

    def _take_in(self, entries: tuple[Entry, ...], now: float) -> None:
        log = self.core.log
        known = 0
        while known < len(entries) and log.term_at(entries[known].index) == entries[known].term:
            known += 1
        fresh = entries[known:]
        if not fresh:
            return
        first = fresh[0].index
        if first <= log.last_index:
            if first <= self.core.commit_index:
                raise ReplicationInvariantError(f"entry {first} is committed and would be replaced")
            self.core.writes.truncated_from(first)
            log.truncate_from(first)
        self.core.append(fresh, now)

    def _acknowledge_when_synced(self, echo: float, now: float) -> None:
        writes = self.core.writes
        if writes.synced_sequence >= writes.sequence:
            self._acknowledge(echo, now)
            return
        self._owed = echo if self._owed is None else max(self._owed, echo)
        self._owed_write = writes.sequence

    def _acknowledge(self, echo: float, now: float) -> None:
        if self._owed is not None and self.core.writes.synced_sequence >= self._owed_write:
            echo = max(echo, self._owed)
            self._owed = None
        core = self.core
        synced = min(core.writes.synced_index, self._agreed)
        trouble = core.disk_trouble(now)
        core.send(self.leader, AppendReply(core.term, echo, True, self._agreed, synced, trouble))

    def _refuse(self, echo: float, hint: int, now: float) -> None:
        core = self.core
        trouble = core.disk_trouble(now)
        core.send(self.leader, AppendReply(core.term, echo, False, hint, 0, trouble))
