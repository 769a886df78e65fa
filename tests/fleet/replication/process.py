"""A machine of a simulated world, and one life of a controller on it."""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from firvane.core.address import Address
from firvane.core.logs import QUIET
from firvane.fleet.controller.journal_opener import open_or_create
from firvane.fleet.replication.core import Write
from firvane.fleet.replication.entry_codec import encode_snapshot
from firvane.fleet.replication.errors import ReplicationInvariantError
from firvane.fleet.replication.group import Actions, ReplicatedGroup
from firvane.fleet.replication.members_codec import decode_members
from firvane.fleet.replication.messages import AppendReply, Envelope, Outgoing, VoteReply
from firvane.fleet.replication.proposals import ProposalResult
from firvane.fleet.replication.records import encode_origin, encode_write
from firvane.fleet.replication.replica import Replica, ReplicaOptions
from firvane.fleet.replication.types import NOBODY, EntryKind, Member, Members, quorum_of
from firvane.fleet.storage.writer import JournalWriter
from tests.fleet.replication.oracle import Ledger, Promise, ViolationError, require
from tests.fleet.replication.settings import SYNC, WeakMoment
from tests.fleet.replication.simulated_disk import PowerCut, SimulatedDisk
from tests.fleet.replication.synced_log import SyncedLog

if TYPE_CHECKING:
    from tests.fleet.replication.simulated_cluster import SimulatedCluster

FOLDER = "/data/group-0"
CALLS_BEFORE_THE_END = (
    0,
    1,
    1,
    1,
    *range(2, 10),
)  # to the disk; after one, a frame is written and not synced


@dataclass
class Machine:
    """A machine; its process may end and start again, its disk may be lost."""

    address: Address
    disk: SimulatedDisk
    rate: float
    offset: float
    process: Process | None = None
    present: bool = True
    frozen: bool = False
    deferred: list[Callable[[], None]] = field(default_factory=list)
    sync_time: float = SYNC
    hangs_until: float = 0.0
    incarnation: int = 0
    journal: int = 0  # the identity of the journal that is synced on the disk; 0 for none
    damaged: bool = False  # something that was synced in it has been spoilt
    powered: bool = True
    disk_since: float = 0.0  # when the disk was last new


class Process:
    """One life of a controller: a thin driver as `firvane.fleet.controller.replication_host` is one."""

    def __init__(self, cluster: SimulatedCluster, machine: Machine, may_bootstrap: bool) -> None:
        self.cluster = cluster
        self.machine = machine
        chance = cluster.chance
        opened = open_or_create(machine.disk, FOLDER, may_bootstrap, chance.getrandbits(63) + 1, QUIET)
        self._check_journal(opened.journal.identity)
        machine.journal = opened.journal.identity
        machine.damaged = False
        identity = Member(machine.address, opened.journal.identity)
        options = ReplicaOptions(cluster.seeds, cluster.settings.target_size, cluster.settings.timing)
        replica = Replica(identity, opened.recovered, options, chance.uniform, self.now())
        machine.incarnation = replica.identity.incarnation
        self.recovered = opened.recovered
        self.synced = cluster.synced.setdefault(replica.identity.incarnation, SyncedLog())
        self.unsynced: deque[Write] = deque()
        self.shown_commit = 0  # the commit index that the oracle has seen
        self.ledger = Ledger(cluster.oracle)
        self.ledger.before_save = self._show_commit  # afterwards the log lacks what the snapshot covers
        self.group = ReplicatedGroup(replica, self.ledger, chance.getrandbits(40))
        self.writer = JournalWriter(self._on_synced, self._on_error)
        self.writer.add(0, opened.journal)
        self.confirmed: list[int] = []
        self.disk_error = False
        self.disk_busy = False
        self.alive = True
        self.voted = replica.core.hard_state.vote
        self.waiting: dict[int, Callable[[ProposalResult], None]] = {}
        self.wake_at = float("inf")

    def _check_journal(self, identity: int) -> None:
        """A journal is given up if it was damaged, and only then."""
        machine = self.machine
        kept = identity == machine.journal
        if machine.damaged:
            require(not kept, Promise.DAMAGE_FOUND, f"{machine.address} goes on with a damaged journal")
        elif machine.journal:
            require(kept, Promise.JOURNAL_KEPT, f"{machine.address} has given up its journal")

    def now(self) -> float:
        return self.machine.offset + self.cluster.now * self.machine.rate

    def start(self) -> None:
        self.perform(self.group.tick(self.cluster.candidates_of(self.machine), self.now()))

    def perform(self, actions: Actions) -> None:
        for write in actions.writes:
            self._write(write)
        identity = self.group.replica.identity.incarnation
        for outgoing in actions.messages:
            self._check_said(outgoing)
            envelope = Envelope(0, outgoing.to.incarnation, identity, outgoing.message)
            self.cluster.send(self.machine, outgoing.to.address, envelope)
        for resolved in actions.resolved:
            answer = self.waiting.pop(resolved.token, None)
            if answer is not None:
                answer(resolved.result)
        for event, _ in actions.events:
            if event == "membership_changed":
                self._check_change()
            elif event == "leader_elected":
                self._check_election()
                self.cluster.oracle.led(self.group.replica.term, identity)
                log = self.group.replica.core.log
                if log.base_index == 0:
                    self.cluster.oracle.founded(log.entry(1).payload)
                self.cluster.weak_moment(WeakMoment.ELECTED, self.machine)
            elif event == "following_leader":
                self.cluster.weak_moment(WeakMoment.FOLLOWING, self.machine)
        self._show_commit()
        self._check_voters()
        if self.group.replica.leadership is not None:
            self.cluster.oracle.led(self.group.replica.term, identity)
            self.cluster.check_rivals()
        vote = self.group.replica.core.hard_state.vote
        if vote != self.voted:
            self.voted = vote
            if vote not in (NOBODY, identity):
                self.cluster.weak_moment(WeakMoment.VOTED, self.machine)
        if any(change.owned for change in actions.owner_changes):
            self.cluster.check_owners()
        self._poll_disk()
        self._set_timer()

    def receive(self, sender: Address, envelope: Envelope) -> None:
        member = Member(sender, envelope.from_incarnation)
        try:
            actions = self.group.receive(member, envelope.to_incarnation, envelope.message, self.now())
        except ReplicationInvariantError as error:
            raise ViolationError(Promise.COMMITTED_FINAL, str(error)) from error
        self.perform(actions)

    def propose(self, payload: bytes, timeout: float, answer: Callable[[ProposalResult], None]) -> None:
        token, actions = self.group.propose(payload, timeout, self.now())
        self.waiting[token] = answer
        self.perform(actions)

    def read(self, timeout: float, answer: Callable[[ProposalResult], None]) -> None:
        token, actions = self.group.read(timeout, self.now())
        self.waiting[token] = answer
        self.perform(actions)

    def _set_timer(self) -> None:
        due = self.group.deadline()
        if due == float("inf"):
            return
        at = max(self.cluster.now, (due - self.machine.offset) / self.machine.rate) + 1e-6
        if at < self.wake_at:
            self.wake_at = at
            self.cluster.at(at, self._wake, self)

    def _wake(self) -> None:
        if self.cluster.now < self.wake_at - 1e-9 and self.wake_at != float("inf"):
            return
        self.wake_at = float("inf")
        if self.group.deadline() <= self.now():
            self.perform(self.group.tick(self.cluster.candidates_of(self.machine), self.now()))
        else:
            self._set_timer()

    # What the oracle sees

    def _check_said(self, outgoing: Outgoing) -> None:
        """A vote or an acknowledgement of the present term is on the disk."""
        message, core = outgoing.message, self.group.replica.core
        if isinstance(message, VoteReply) and message.granted:
            voted = self.synced.has_voted(message.term, outgoing.to.incarnation)
            require(voted, Promise.SAID_SYNCED, f"a vote in term {message.term} is not synced")
        elif isinstance(message, AppendReply) and message.accepted and message.term == core.term:
            held = self.synced.holds(message.synced_index, core.log.term_at(message.synced_index))
            require(held, Promise.SAID_SYNCED, f"entry {message.synced_index} is not synced")

    def _show_commit(self) -> None:
        replica, oracle = self.group.replica, self.cluster.oracle
        index, log = replica.commit_index, replica.core.log
        if index <= self.shown_commit:
            return
        for place in range(max(self.shown_commit, log.base_index) + 1, index + 1):
            entry = log.entry(place)
            oracle.committed_at(place, entry.term)
            if entry.kind is EntryKind.MEMBERS:
                oracle.voters[place] = decode_members(entry.payload)
        self.shown_commit = index
        if replica.leadership is not None:
            own = log.term_at(index) == replica.term
            require(own, Promise.OWN_TERM, f"entry {index} is committed in term {replica.term}")
            self._check_majority(index)
            oracle.committed_by_leader(replica.term, index)

    def _check_voters(self) -> None:
        """The voters in force are named by an entry that is in the log, or by its snapshot."""
        log = self.group.replica.core.log
        index = log.members_index
        named = index <= log.base_index or (
            index <= log.last_index and log.entry(index).kind is EntryKind.MEMBERS
        )
        require(named, Promise.LOG_VOTERS, f"voters of entry {index}, which is not in the log")

    def _check_majority(self, index: int) -> None:
        log = self.group.replica.core.log
        term = log.term_at(index)
        groups = (
            log.members,
            log.members_at(log.members_index - 1).members,
        )  # before and after a change of just now
        synced = any(
            members
            and self._count(members, lambda known: known.holds(index, term)) >= quorum_of(len(members))
            for members in groups
        )
        require(synced, Promise.COMMITTED_SYNCED, f"entry {index} is committed without a majority's sync")

    def _check_election(self) -> None:
        replica, oracle = self.group.replica, self.cluster.oracle
        term, log = replica.term, replica.core.log
        own = replica.identity.incarnation
        votes = self._count(log.members, lambda known: known.has_voted(term, own))
        elected = votes >= quorum_of(len(log.members))
        require(elected, Promise.ELECTED_SYNCED, f"{votes} synced votes in term {term}")
        index, entry_term = oracle.last_commit_before(term)
        complete = index <= log.base_index or log.term_at(index) == entry_term
        require(complete, Promise.LEADER_COMPLETE, f"the leader of term {term} lacks entry {index}")

    def _check_change(self) -> None:
        replica = self.group.replica
        log, commit = replica.core.log, replica.commit_index
        open_changes = [
            change.entry_index for change in log._membership_history if change.entry_index > commit
        ]
        require(len(open_changes) <= 1, Promise.CHANGES_APART, f"changes at {open_changes}")
        own = log.term_at(commit) == replica.term
        require(own, Promise.CHANGES_APART, f"a change before an entry of term {replica.term} is committed")

    def _count(self, members: Members, holds: Callable[[SyncedLog], bool]) -> int:
        synced = self.cluster.synced
        return sum(member.incarnation in synced and holds(synced[member.incarnation]) for member in members)

    # The disk

    def _write(self, write: Write) -> None:
        self.unsynced.append(write)
        records = encode_write(write)
        if write.snapshot is not None:
            snapshot = write.snapshot
            terms = [snapshot.term, *(entry.term for entry in write.entries)]
            require(terms == sorted(terms), Promise.TERMS_RISE, f"the log after a snapshot: {terms}")
            self.cluster.oracle.snapshot_taken(snapshot.index, snapshot.members_index, snapshot.members)
            self.cluster.weak_moment(WeakMoment.COMPACTING, self.machine)
            records.insert(0, encode_origin(self.group.replica.core.may_bootstrap))
            self.writer.compact(0, write.sequence, encode_snapshot(write.snapshot), records)
        elif write.sequence == 1:
            self.writer.sync_recovered(0, write.sequence)
        else:
            self.writer.append(0, write.sequence, records)
            if write.entries:
                self.cluster.weak_moment(WeakMoment.WRITING, self.machine)

    def _on_synced(self, _key: int, sequence: int) -> None:
        durable = self.machine.disk.newest_segment_is_durable()
        require(durable, Promise.CONFIRMED_DURABLE, f"write {sequence} is confirmed")
        self.confirmed.append(sequence)

    def _note_synced(self, sequence: int) -> None:
        while self.unsynced and self.unsynced[0].sequence <= sequence:
            write = self.unsynced.popleft()
            if write.sequence == 1:
                self.synced.start(self.recovered)
            else:
                self.synced.take(write)

    def _on_error(self, _key: int, _error: OSError) -> None:
        self.disk_error = True

    def _poll_disk(self, pause: float = 0.0) -> None:
        if self.disk_busy or not self.writer.has_pending:
            return
        self.disk_busy = True
        machine = self.machine
        takes = machine.sync_time * self.cluster.chance.uniform(0.6, 1.8)
        at = max(self.cluster.now, machine.hangs_until) + takes + pause
        self.cluster.at(at, self._disk_done, self)

    def _disk_done(self) -> None:
        if self.machine.hangs_until > self.cluster.now:
            self.cluster.at(self.machine.hangs_until, self._disk_done, self)
            return
        self.disk_busy = False
        succeeded = self.writer.write_pending()
        confirmed, self.confirmed = self.confirmed, []
        for sequence in confirmed:
            self._note_synced(sequence)
            self.perform(self.group.confirm(sequence, self.now()))
        if self.disk_error:
            self.disk_error = False
            self.perform(self.group.on_disk_error(self.now()))
        self._poll_disk(0.0 if succeeded else 0.1)

    def end(self) -> None:
        """End at any moment, perhaps in the middle of a write."""
        self.alive = False
        disk = self.machine.disk
        if self.disk_busy:
            disk.budget = self.cluster.chance.choice(CALLS_BEFORE_THE_END)
            with contextlib.suppress(PowerCut):
                self.writer.write_pending()
            disk.budget = None
