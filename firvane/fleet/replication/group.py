"""A replica with its state machine: applies committed entries, and resolves proposals and reads.

Invariants:

1. A proposal is appended at most once; it is COMMITTED only when the entry applied at its index has its term.
2. NOT_OWNER and UNAVAILABLE are reported only for proposals that were never appended, or whose index was
   taken by another committed entry.
3. Ownership is reported once every earlier committed entry is applied, and withdrawn when leadership ends.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from msgspec import Struct, field

from firvane.core.address import Address
from firvane.fleet.replication.core import LogEvent, Outputs, Write
from firvane.fleet.replication.freshness import FreshnessTracker
from firvane.fleet.replication.log import ENTRY_OVERHEAD
from firvane.fleet.replication.messages import Message, Outgoing
from firvane.fleet.replication.proposals import (
    PendingProposal,
    PendingRead,
    ProposalResult,
    ProposalStatus,
    Resolved,
    StateMachine,
)
from firvane.fleet.replication.replica import Replica
from firvane.fleet.replication.transfer import TransferStart
from firvane.fleet.replication.types import EntryKind, Member

COMPACTION_BYTES = 1_000_000  # applied since the last snapshot; twice the snapshot's size if that is larger
COMPACTION_ENTRIES = 64  # applied since the last snapshot: bounds the replay after a restart
MAX_ENTRIES_PER_APPLY = 8  # so that a lagging replica still processes heartbeats in between
RETAINED_LOG_BYTES = 200_000  # of entries before a snapshot, for followers that lag slightly
LOST_LEADERSHIP_GRACE_S = 1.0  # after leadership ends, for pending entries to turn out committed
READ_RETRY_INTERVAL_S = 0.1  # between a follower's read requests to the leader


class OwnershipChange(NamedTuple):
    """Whether this replica owns the group from now on, and in which term."""

    owned: bool
    term: int


class Actions(Struct):
    """The work that an input leaves for the driver, to be done in the order of the fields."""

    writes: list[Write] = field(default_factory=list)
    messages: list[Outgoing] = field(default_factory=list)
    resolved: list[Resolved] = field(default_factory=list)
    owner_changes: list[OwnershipChange] = field(default_factory=list)
    events: list[LogEvent] = field(default_factory=list)


class Submission(NamedTuple):
    """The token of a proposal or read, under which `Actions.resolved` reports its result."""

    token: int
    actions: Actions


class TransferAttempt(NamedTuple):
    """Whether a leadership transfer has started, with the work for the driver."""

    start: TransferStart
    actions: Actions


class ReplicatedGroup:
    """One replication group on one controller."""

    def __init__(self, replica: Replica, state_machine: StateMachine, first_token: int) -> None:
        self.replica = replica
        self.state_machine = state_machine
        self.applied_index = 0
        self._next_token = first_token
        self.freshness = FreshnessTracker(replica, self._new_token)
        self._queued: list[PendingProposal] = []
        self._appended: dict[int, PendingProposal] = {}  # by index
        self._reads: dict[int, PendingRead] = {}
        self._owned_term = 0  # the term for which ownership was reported; 0 for none
        self._last_snapshot_size = 0
        self._applied_bytes = 0  # of the entries applied since the last snapshot
        self._applied_entries = 0
        snapshot = replica.core.log.snapshot
        if snapshot is not None:
            state_machine.load(snapshot.state)
            self.applied_index = snapshot.index
            self._last_snapshot_size = len(snapshot.state)

    # State

    def is_owner(self, now: float) -> bool:
        """Whether this replica holds the lease and has applied all entries committed before its term."""
        return bool(self._owned_term) and now < self.replica.lease_until(now)

    def has_quorum_contact(self, now: float, max_age_s: float) -> bool:
        """Whether a majority was reached, directly or through the owner, at most `max_age_s` seconds ago.

        On a replica that receives the log, every entry committed by then must also be applied.
        """
        if self.freshness.is_replicating(now):
            proven_at = self.freshness.current_at(self.applied_index, now)
        else:
            proven_at = self.freshness.quorum_reached_at(now)
        return now - proven_at <= max_age_s

    def is_current(self, now: float, max_age_s: float) -> bool:
        """Whether the applied state contained every committed entry at most `max_age_s` seconds ago."""
        return self.freshness.is_replicating(now) and self.has_quorum_contact(now, max_age_s)

    def state_age(self, now: float) -> float | None:
        """Seconds since the applied state last provably contained every committed entry; None if unknown."""
        if not self.freshness.is_replicating(now):
            return None
        age = now - self.freshness.current_at(self.applied_index, now)
        return age if age < float("inf") else None

    @property
    def owner(self) -> Address | None:
        """The address of the owner; None if this replica does not know it."""
        return self.replica.leader

    def unapplied(self) -> list[bytes]:
        """Return the commands in the log that are not applied yet, in order; some may never be committed."""
        log = self.replica.core.log
        indexes = range(self.applied_index + 1, log.last_index + 1)
        entries = (log.entry(index) for index in indexes)
        return [entry.payload for entry in entries if entry.kind is EntryKind.COMMAND]

    def deadline(self) -> float:
        """When `tick` is due next."""
        if self.applied_index < self.replica.commit_index:
            return float("-inf")
        due_at = self.replica.deadline()
        for pending in self._queued:
            due_at = min(due_at, pending.deadline)
        for pending in self._appended.values():
            due_at = min(due_at, pending.deadline)
        for read in self._reads.values():
            due_at = min(due_at, read.deadline, read.retry_at if read.index is None else read.deadline)
        return due_at

    # Inputs; each returns the work for the driver

    def receive(self, sender: Member, to_incarnation: int, message: Message, now: float) -> Actions:
        """Process a message."""
        self.replica.receive(sender, to_incarnation, message, now)
        return self._collect_actions(now)

    def tick(self, live_controllers: Sequence[Address], now: float) -> Actions:
        """Run the due timers. `live_controllers` are in order of preference as group members."""
        self.replica.live_controllers = live_controllers
        self.replica.tick(now)
        return self._collect_actions(now)

    def confirm(self, sequence: int, now: float) -> Actions:
        """Record that the disk has synced all writes up to `sequence`."""
        self.replica.confirm(sequence, now)
        return self._collect_actions(now)

    def on_disk_error(self, now: float) -> Actions:
        """Record that the disk has rejected a write."""
        self.replica.on_disk_error(now)
        return self._collect_actions(now)

    def propose(self, payload: bytes, timeout_s: float, now: float) -> Submission:
        """Propose a command; `Actions.resolved` reports the result under the returned token."""
        token = self._new_token()
        self._queued.append(PendingProposal(token, payload, now + timeout_s))
        return Submission(token, self._collect_actions(now))

    def read(self, timeout_s: float, now: float) -> Submission:
        """Request a linearizable read; `Actions.resolved` reports the result under the returned token."""
        token = self._new_token()
        self._reads[token] = PendingRead(token, now + timeout_s, now)
        return Submission(token, self._collect_actions(now))

    def start_draining(self, now: float) -> Actions:
        """Announce that this process is about to stop, and transfer leadership."""
        self.replica.start_draining(now)
        return self._collect_actions(now)

    def transfer(self, successor: Address | None, now: float) -> TransferAttempt:
        """Transfer leadership to `successor`, or to any healthy voter if None; this replica stays a voter."""
        leadership = self.replica.leadership
        if leadership is None:
            return TransferAttempt(TransferStart.NOT_LEADER, Actions())
        start = leadership.check_transfer(successor, now)
        if start is TransferStart.STARTED:
            self.replica.core.log_event("leadership_transfer_started", draining=False)
            leadership.start_transfer(now, successor)
            self.replica.tick(now)
        return TransferAttempt(start, self._collect_actions(now))

    # Collection of the driver's work

    def _new_token(self) -> int:
        self._next_token = (self._next_token + 1) % (1 << 64)
        return self._next_token

    def _collect_actions(self, now: float) -> Actions:
        actions = Actions()
        self._append_queued(now, actions)
        self._request_reads(now, actions)
        self._merge_outputs(self.replica.take_outputs(), actions)
        self._apply(now, actions)
        self._resolve_proposals(now, actions)
        self._resolve_reads(actions)
        self.freshness.advance(self.applied_index, now)
        self._update_ownership(actions)
        self._merge_outputs(self.replica.take_outputs(), actions)
        return actions

    def _merge_outputs(self, outputs: Outputs, actions: Actions) -> None:
        if outputs.installed is not None:
            self.state_machine.load(outputs.installed.state)
            self.applied_index = outputs.installed.index
            self._last_snapshot_size = len(outputs.installed.state)
            self._applied_bytes = self._applied_entries = 0
        for ready in outputs.reads:
            read = self._reads.get(ready.token)
            if self.freshness.on_read_ready(ready.token, ready.index):
                continue
            if read is not None and read.index is None:
                read.index = ready.index
        actions.writes += outputs.writes
        actions.messages += outputs.messages
        actions.events += outputs.events

    def _append_queued(self, now: float, actions: Actions) -> None:
        if not self._queued:
            return
        if self.replica.accepts_proposals(now):
            queued, self._queued = self._queued, []
            for pending in queued:
                pending.index = self.replica.propose(pending.payload, now)
                pending.term = self.replica.term
                self._appended[pending.index] = pending
            return
        owner = self.replica.leader
        if owner is not None and owner != self.replica.identity.address:
            for pending in self._queued:
                self._resolve(actions, pending.token, ProposalResult(ProposalStatus.NOT_OWNER, owner=owner))
            self._queued = []
            return
        expired = [pending for pending in self._queued if now >= pending.deadline]
        for pending in expired:
            self._resolve(actions, pending.token, ProposalResult(ProposalStatus.UNAVAILABLE))
            self._queued.remove(pending)

    def _apply(self, now: float, actions: Actions) -> None:
        log = self.replica.core.log
        for _ in range(min(MAX_ENTRIES_PER_APPLY, self.replica.commit_index - self.applied_index)):
            self.applied_index += 1
            entry = log.entry(self.applied_index)
            self._applied_bytes += len(entry.payload) + ENTRY_OVERHEAD
            self._applied_entries += entry.kind is EntryKind.COMMAND
            output = b""
            if entry.kind is EntryKind.COMMAND:
                output = self.state_machine.apply(entry.index, entry.payload)
            pending = self._appended.pop(entry.index, None)
            if pending is None:
                continue
            if pending.term == entry.term:
                result = ProposalResult(ProposalStatus.COMMITTED, output, self.owner)
            else:
                result = self._rejection()
            self._resolve(actions, pending.token, result)
        is_large = self._applied_bytes > max(COMPACTION_BYTES, 2 * self._last_snapshot_size)
        if is_large or self._applied_entries >= COMPACTION_ENTRIES:
            self._compact(now)

    def _compact(self, now: float) -> None:
        if self.replica.core.disk_fault(now):
            return
        self._applied_bytes = self._applied_entries = 0
        state = self.state_machine.save()
        self._last_snapshot_size = len(state)
        self.replica.compact(self.applied_index, state, RETAINED_LOG_BYTES, now)

    def _resolve_proposals(self, now: float, actions: Actions) -> None:
        """Resolve as UNCLEAR each appended proposal that expired or whose index a snapshot has covered.

        After leadership ends, a proposal expires within `LOST_LEADERSHIP_GRACE_S`.
        """
        if not self._appended:
            return
        is_leader = self.replica.leadership is not None
        for pending in list(self._appended.values()):
            if not is_leader or self.replica.term != pending.term:
                pending.deadline = min(pending.deadline, now + LOST_LEADERSHIP_GRACE_S)
            if now >= pending.deadline or pending.index <= self.applied_index:
                del self._appended[pending.index]
                self._resolve(
                    actions, pending.token, ProposalResult(ProposalStatus.UNCLEAR, owner=self._other_owner())
                )

    def _request_reads(self, now: float, actions: Actions) -> None:
        for read in list(self._reads.values()):
            is_outside_group = not self.freshness.is_replicating(now) and self._other_owner() is not None
            if now >= read.deadline or is_outside_group:  # outside the group no entry is applied
                del self._reads[read.token]
                self._resolve(actions, read.token, self._rejection())
            elif read.index is None and now >= read.retry_at:
                read.retry_at = now + READ_RETRY_INTERVAL_S
                self.replica.read(read.token, now)

    def _resolve_reads(self, actions: Actions) -> None:
        for read in list(self._reads.values()):
            if read.index is not None and read.index <= self.applied_index:
                del self._reads[read.token]
                self._resolve(actions, read.token, ProposalResult(ProposalStatus.COMMITTED, owner=self.owner))

    def _update_ownership(self, actions: Actions) -> None:
        replica = self.replica
        is_leader = replica.leadership is not None
        if self._owned_term and (not is_leader or self._owned_term != replica.term):
            actions.owner_changes.append(OwnershipChange(False, self._owned_term))
            self._owned_term = 0
        has_applied_all = replica.is_ready_leader() and self.applied_index >= replica.commit_index
        if not self._owned_term and is_leader and has_applied_all:
            self._owned_term = replica.term
            actions.owner_changes.append(OwnershipChange(True, replica.term))

    def _other_owner(self) -> Address | None:
        owner = self.replica.leader
        return owner if owner != self.replica.identity.address else None

    def _rejection(self) -> ProposalResult:
        owner = self._other_owner()
        if owner is not None:
            return ProposalResult(ProposalStatus.NOT_OWNER, owner=owner)
        return ProposalResult(ProposalStatus.UNAVAILABLE)

    @staticmethod
    def _resolve(actions: Actions, token: int, result: ProposalResult) -> None:
        actions.resolved.append(Resolved(token, result))
