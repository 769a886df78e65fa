"""The follower's side of replication: entries and snapshots from the leader, acknowledged once synced."""

from __future__ import annotations

from firvane.fleet.replication.core import Core
from firvane.fleet.replication.errors import ReplicationInvariantError
from firvane.fleet.replication.messages import Append, AppendReply, InstallSnapshot
from firvane.fleet.replication.types import Entry, Member


class Follower:
    """Replication from one leader in one term; another leader or term gets a new object."""

    def __init__(self, core: Core, leader: Member) -> None:
        self.core = core
        self.leader = leader
        self.last_append_at = float("-inf")  # monotonic seconds of the last append, heartbeat or snapshot
        self._matched_index = 0  # the log is known to match the leader's up to this index
        self._pending_echo: float | None = None  # the echo of an acknowledgement that awaits a sync
        self._pending_write = 0  # the sequence number of the write that the acknowledgement awaits

    def on_append(self, message: Append, now: float) -> None:
        """Append the entries, or reject them with a hint from which index the leader should resend."""
        self.last_append_at = now
        log = self.core.log
        entries = message.entries
        previous = message.previous_index
        if previous < log.base_index:  # committed and compacted, so the previous entry matches
            entries = entries[log.base_index - previous :]
            previous = log.base_index
        elif previous > log.last_index:
            self._reject(message.sent_at, log.last_index, now)
            return
        elif log.term_at(previous) != message.previous_term:
            self._reject(message.sent_at, min(self.core.commit_index, previous - 1), now)
            return
        self._append_new(entries, now)
        end_index = message.previous_index + len(message.entries)
        self._matched_index = max(self._matched_index, end_index)
        self.core.commit_index = max(self.core.commit_index, min(message.commit_index, end_index))
        if entries:
            self._acknowledge_when_synced(message.sent_at, now)
        else:
            self._acknowledge(message.sent_at, now)

    def on_snapshot(self, message: InstallSnapshot, now: float) -> None:
        """Replace the entries that the snapshot covers, unless all of them are committed here already."""
        self.last_append_at = now
        core = self.core
        snapshot = message.snapshot
        if snapshot.index > core.commit_index:
            core.writes.mark_unsynced_from(core.log.base_index + 1)
            core.log.install(snapshot)
            core.commit_index = snapshot.index
            core.persist(now, core.log.after(snapshot.index), snapshot)
            core.outputs.installed = snapshot
        self._matched_index = max(self._matched_index, snapshot.index)
        self._acknowledge_when_synced(message.sent_at, now)

    def on_synced(self, now: float) -> None:
        """Send the pending acknowledgement, if the write that it awaits is synced."""
        if self._pending_echo is not None and self.core.writes.synced_sequence >= self._pending_write:
            self._acknowledge(self._pending_echo, now)

    def _append_new(self, entries: tuple[Entry, ...], now: float) -> None:
        log = self.core.log
        matching = 0
        while matching < len(entries) and log.term_at(entries[matching].index) == entries[matching].term:
            matching += 1
        new_entries = entries[matching:]
        if not new_entries:
            return
        first_index = new_entries[0].index
        if first_index <= log.last_index:
            if first_index <= self.core.commit_index:
                raise ReplicationInvariantError(f"leader would replace the committed entry {first_index}")
            self.core.writes.mark_unsynced_from(first_index)
            log.truncate_from(first_index)
        self.core.append(new_entries, now)

    def _acknowledge_when_synced(self, echo: float, now: float) -> None:
        writes = self.core.writes
        if writes.synced_sequence >= writes.sequence:
            self._acknowledge(echo, now)
            return
        self._pending_echo = echo if self._pending_echo is None else max(self._pending_echo, echo)
        self._pending_write = writes.sequence

    def _acknowledge(self, echo: float, now: float) -> None:
        if self._pending_echo is not None and self.core.writes.synced_sequence >= self._pending_write:
            echo = max(echo, self._pending_echo)
            self._pending_echo = None
        core = self.core
        synced = min(core.writes.synced_index, self._matched_index)
        disk_fault = core.disk_fault(now)
        core.send(self.leader, AppendReply(core.term, echo, True, self._matched_index, synced, disk_fault))

    def _reject(self, echo: float, hint: int, now: float) -> None:
        core = self.core
        disk_fault = core.disk_fault(now)
        core.send(self.leader, AppendReply(core.term, echo, False, hint, 0, disk_fault))
