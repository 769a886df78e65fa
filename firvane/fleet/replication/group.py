"""A replica together with its state machine: applies what is committed and answers proposals and reads.

Rules that hold here and nowhere else:

1. A proposal is appended once at the most; it is COMMITTED only once its own entry, of its own term, is
   applied.
2. NOT_OWNER and UNAVAILABLE are only said of what was never appended, or whose place in the log another
   committed entry has taken.
3. Ownership is told when everything committed before is applied, and withdrawn when leadership ends.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct, field

from firvane.core.address import Address
from firvane.fleet.replication.contact import Contact
from firvane.fleet.replication.core import Outputs, Write
from firvane.fleet.replication.log import ENTRY_OVERHEAD
from firvane.fleet.replication.messages import Message, Outgoing
from firvane.fleet.replication.proposals import (
    PendingProposal,
    PendingRead,
    Proposal,
    ProposalStatus,
    Resolved,
    StateMachine,
)
from firvane.fleet.replication.replica import Replica
from firvane.fleet.replication.transfer import TransferStart
from firvane.fleet.replication.types import EntryKind, Member

COMPACT_BYTES = 1_000_000  # applied since the last snapshot before the next; twice its size if larger
COMPACT_ENTRIES = 64  # applied since then, however small: what a restart applies again takes its time
APPLY_AT_ONCE = 8  # entries applied in one turn, so that what is far behind still hears its leader meanwhile
KEEP_BYTES = 200_000  # entries kept behind a snapshot for followers that are a little behind
LOST_LEADERSHIP_GRACE = 1.0  # seconds in which the fate of an entry may show after leadership has ended
READ_INTERVAL = 0.1  # seconds before a follower asks again for a read


class Actions(Struct):
    """What the driver has to do, in the order of the fields."""

    writes: list[Write] = field(default_factory=list)
    messages: list[Outgoing] = field(default_factory=list)
    resolved: list[Resolved] = field(default_factory=list)
    owner_changes: list[tuple[bool, int]] = field(default_factory=list)  # owned now, term
    events: list[tuple[str, dict[str, object]]] = field(default_factory=list)


class ReplicatedGroup:
    """One group on one controller."""

    def __init__(self, replica: Replica, machine: StateMachine, first_token: int) -> None:
        self.replica = replica
        self.machine = machine
        self.applied_index = 0
        self._next_token = first_token
        self.contact = Contact(replica, self._new_token)
        self._waiting: list[PendingProposal] = []
        self._appended: dict[int, PendingProposal] = {}  # by index
        self._reads: dict[int, PendingRead] = {}
        self._owned_term = 0  # the term for which ownership was told, 0 for none
        self._last_snapshot_size = 0
        self._applied_bytes = 0  # of the entries applied since the last snapshot
        self._applied_entries = 0
        snapshot = replica.core.log.snapshot
        if snapshot is not None:
            machine.load(snapshot.state)
            self.applied_index = snapshot.index
            self._last_snapshot_size = len(snapshot.state)

    # State

    def is_owner(self, now: float) -> bool:
        """Whether this replica surely owns the group now, and knows all that is committed."""
        return bool(self._owned_term) and now < self.replica.lease_until(now)

    def is_in_contact(self, now: float, patience: float) -> bool:
        """Whether a majority was reached, directly or through the owner, at most `patience` seconds ago.

        Where the log is replicated to this controller, all that was committed then is applied here.
        """
        fed = self.contact.is_fed(now)
        proven_at = self.contact.current_at(self.applied_index, now) if fed else self.contact.reached_at(now)
        return now - proven_at <= patience

    def is_current(self, now: float, patience: float) -> bool:
        """Whether what is applied here was the newest that a majority had, at most `patience` seconds ago."""
        return self.contact.is_fed(now) and self.is_in_contact(now, patience)

    def state_age(self, now: float) -> float | None:
        """Seconds since what is applied here was surely the newest of a majority; None if nobody can tell."""
        if not self.contact.is_fed(now):
            return None
        age = now - self.contact.current_at(self.applied_index, now)
        return age if age < float("inf") else None

    @property
    def owner(self) -> Address | None:
        """The owner as far as it is known here."""
        return self.replica.leader

    def unapplied(self) -> list[bytes]:
        """Commands of the log that are not applied yet, in order; some may never be committed."""
        log = self.replica.core.log
        indexes = range(self.applied_index + 1, log.last_index + 1)
        entries = (log.entry(index) for index in indexes)
        return [entry.payload for entry in entries if entry.kind is EntryKind.COMMAND]

    def deadline(self) -> float:
        """When `tick` is due next."""
        if self.applied_index < self.replica.commit_index:
            return float("-inf")
        due = self.replica.deadline()
        for pending in self._waiting:
            due = min(due, pending.deadline)
        for pending in self._appended.values():
            due = min(due, pending.deadline)
        for read in self._reads.values():
            due = min(due, read.deadline, read.ask_again_at if read.index is None else read.deadline)
        return due

    # Inputs; each returns what the driver has to do

    def receive(self, sender: Member, to_incarnation: int, message: Message, now: float) -> Actions:
        """A message has come."""
        self.replica.receive(sender, to_incarnation, message, now)
        return self._act(now)

    def tick(self, candidates: Sequence[Address], now: float) -> Actions:
        """Do what is due. `candidates`: the live controllers in the order of preference."""
        self.replica.candidates = candidates
        self.replica.tick(now)
        return self._act(now)

    def confirm(self, sequence: int, now: float) -> Actions:
        """The disk has synced all writes up to `sequence`."""
        self.replica.confirm(sequence, now)
        return self._act(now)

    def disk_refused(self, now: float) -> Actions:
        """The disk has refused a write."""
        self.replica.disk_refused(now)
        return self._act(now)

    def propose(self, payload: bytes, timeout: float, now: float) -> tuple[int, Actions]:
        """Propose a command; the token of its answer."""
        token = self._new_token()
        self._waiting.append(PendingProposal(token, payload, now + timeout))
        return token, self._act(now)

    def read(self, timeout: float, now: float) -> tuple[int, Actions]:
        """Ask for a linearizable read; the token of its answer."""
        token = self._new_token()
        self._reads[token] = PendingRead(token, now + timeout, now)
        return token, self._act(now)

    def hand_over(self, now: float) -> Actions:
        """This process is about to stop."""
        self.replica.hand_over(now)
        return self._act(now)

    def transfer(self, successor: Address | None, now: float) -> tuple[TransferStart, Actions]:
        """Pass the group to the voter named, or to any that is fit; this replica stays a member."""
        leadership = self.replica.leadership
        if leadership is None:
            return TransferStart.NOT_LEADER, Actions()
        start = leadership.may_transfer(successor, now)
        if start is TransferStart.BEGUN:
            self.replica.core.log_event("transfer begun", leaving=False)
            leadership.start_transfer(now, successor)
            self.replica.tick(now)
        return start, self._act(now)

    # Acting

    def _new_token(self) -> int:
        self._next_token = (self._next_token + 1) % (1 << 64)
        return self._next_token

    def _act(self, now: float) -> Actions:
        actions = Actions()
        self._append_waiting(now, actions)
        self._ask_reads(now, actions)
        self._take(self.replica.take_outputs(), actions)
        self._apply(now, actions)
        self._settle_proposals(now, actions)
        self._settle_reads(actions)
        self.contact.advance(self.applied_index, now)
        self._tell_ownership(actions)
        self._take(self.replica.take_outputs(), actions)
        return actions

    def _take(self, outputs: Outputs, actions: Actions) -> None:
        if outputs.installed is not None:
            self.machine.load(outputs.installed.state)
            self.applied_index = outputs.installed.index
            self._last_snapshot_size = len(outputs.installed.state)
            self._applied_bytes = self._applied_entries = 0
        for ready in outputs.reads:
            read = self._reads.get(ready.token)
            if self.contact.read_is_ready(ready.token, ready.index):
                continue
            if read is not None and read.index is None:
                read.index = ready.index
        actions.writes += outputs.writes
        actions.messages += outputs.messages
        actions.events += outputs.events

    def _append_waiting(self, now: float, actions: Actions) -> None:
        if not self._waiting:
            return
        if self.replica.accepts_proposals(now):
            waiting, self._waiting = self._waiting, []
            for pending in waiting:
                pending.index = self.replica.propose(pending.payload, now)
                pending.term = self.replica.term
                self._appended[pending.index] = pending
            return
        owner = self.replica.leader
        if owner is not None and owner != self.replica.identity.address:
            for pending in self._waiting:
                self._resolve(actions, pending.token, Proposal(ProposalStatus.NOT_OWNER, owner=owner))
            self._waiting = []
            return
        late = [pending for pending in self._waiting if now >= pending.deadline]
        for pending in late:
            self._resolve(actions, pending.token, Proposal(ProposalStatus.UNAVAILABLE))
            self._waiting.remove(pending)

    def _apply(self, now: float, actions: Actions) -> None:
        log = self.replica.core.log
        for _ in range(min(APPLY_AT_ONCE, self.replica.commit_index - self.applied_index)):
            self.applied_index += 1
            entry = log.entry(self.applied_index)
            self._applied_bytes += len(entry.payload) + ENTRY_OVERHEAD
            self._applied_entries += entry.kind is EntryKind.COMMAND
            result = b""
            if entry.kind is EntryKind.COMMAND:
                result = self.machine.apply(entry.index, entry.payload)
            pending = self._appended.pop(entry.index, None)
            if pending is None:
                continue
            if pending.term == entry.term:
                proposal = Proposal(ProposalStatus.COMMITTED, result, self.owner)
            else:
                proposal = self._not_taken()
            self._resolve(actions, pending.token, proposal)
        is_large = self._applied_bytes > max(COMPACT_BYTES, 2 * self._last_snapshot_size)
        if is_large or self._applied_entries >= COMPACT_ENTRIES:
            self._compact(now)

    def _compact(self, now: float) -> None:
        if self.replica.core.disk_trouble(now):
            return
        self._applied_bytes = self._applied_entries = 0
        state = self.machine.save()
        self._last_snapshot_size = len(state)
        self.replica.compact(self.applied_index, state, KEEP_BYTES, now)

    def _settle_proposals(self, now: float, actions: Actions) -> None:
        """Answer appended proposals whose time is over or whose fate will not show soon."""
        if not self._appended:
            return
        leads = self.replica.leadership is not None
        for pending in list(self._appended.values()):
            if not leads or self.replica.term != pending.term:
                pending.deadline = min(pending.deadline, now + LOST_LEADERSHIP_GRACE)
            if now >= pending.deadline or pending.index <= self.applied_index:
                del self._appended[pending.index]
                self._resolve(
                    actions, pending.token, Proposal(ProposalStatus.UNCLEAR, owner=self._other_owner())
                )

    def _ask_reads(self, now: float, actions: Actions) -> None:
        for read in list(self._reads.values()):
            is_outside = not self.contact.is_fed(now) and self._other_owner() is not None
            if now >= read.deadline or is_outside:  # outside the group nothing is applied to wait for
                del self._reads[read.token]
                self._resolve(actions, read.token, self._not_taken())
            elif read.index is None and now >= read.ask_again_at:
                read.ask_again_at = now + READ_INTERVAL
                self.replica.read(read.token, now)

    def _settle_reads(self, actions: Actions) -> None:
        for read in list(self._reads.values()):
            if read.index is not None and read.index <= self.applied_index:
                del self._reads[read.token]
                self._resolve(actions, read.token, Proposal(ProposalStatus.COMMITTED, owner=self.owner))

    def _tell_ownership(self, actions: Actions) -> None:
        replica = self.replica
        leads = replica.leadership is not None
        if self._owned_term and (not leads or self._owned_term != replica.term):
            actions.owner_changes.append((False, self._owned_term))
            self._owned_term = 0
        knows_all = replica.is_ready_leader() and self.applied_index >= replica.commit_index
        if not self._owned_term and leads and knows_all:
            self._owned_term = replica.term
            actions.owner_changes.append((True, replica.term))

    def _other_owner(self) -> Address | None:
        owner = self.replica.leader
        return owner if owner != self.replica.identity.address else None

    def _not_taken(self) -> Proposal:
        owner = self._other_owner()
        if owner is not None:
            return Proposal(ProposalStatus.NOT_OWNER, owner=owner)
        return Proposal(ProposalStatus.UNAVAILABLE)

    @staticmethod
    def _resolve(actions: Actions, token: int, proposal: Proposal) -> None:
        actions.resolved.append(Resolved(token, proposal))
