"""A machine of a simulated cluster, and one controller process on it."""

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
from firvane.fleet.replication.types import NO_INCARNATION, EntryKind, Member, Members, quorum_of
from firvane.fleet.storage.writer import JournalWriter
from tests.fleet.replication.oracle import Invariant, RecordingStateMachine, ViolationError, require
from tests.fleet.replication.settings import SYNC_TIME, FaultTrigger
from tests.fleet.replication.simulated_disk import ProcessKilledError, SimulatedDisk
from tests.fleet.replication.synced_log import SyncedLog

if TYPE_CHECKING:
    from tests.fleet.replication.simulated_cluster import SimulatedCluster

FOLDER = "/data/group-0"
DISK_CALLS_BEFORE_KILL = (
    0,
    1,
    1,
    1,
    *range(2, 10),
)  # disk calls that precede the kill of a process; with one call, a frame is written but not synced


@dataclass
class Machine:
    """A machine, whose process may stop and restart, and whose disk may be lost."""

    address: Address
    disk: SimulatedDisk
    rate: float
    offset: float
    process: Process | None = None
    present: bool = True
    frozen: bool = False
    deferred: list[Callable[[], None]] = field(default_factory=list)
    sync_time: float = SYNC_TIME
    hangs_until: float = 0.0
    incarnation: int = 0
    journal: int = 0  # the identity of the synced journal on the disk; 0 if there is none
    damaged: bool = False  # whether a fault has corrupted synced bytes of the journal
    powered: bool = True
    disk_since: float = 0.0  # when the disk was installed or last wiped


class Process:
    """One controller process: a thin driver of a group, like `firvane.fleet.controller.replication_host`."""

    def __init__(self, cluster: SimulatedCluster, machine: Machine, may_bootstrap: bool) -> None:
        self.cluster = cluster
        self.machine = machine
        rng = cluster.rng
        opened = open_or_create(machine.disk, FOLDER, may_bootstrap, rng.getrandbits(63) + 1, QUIET)
        self._check_journal(opened.journal.identity)
        machine.journal = opened.journal.identity
        machine.damaged = False
        identity = Member(machine.address, opened.journal.identity)
        options = ReplicaOptions(cluster.seeds, cluster.settings.target_size, cluster.settings.timing)
        replica = Replica(identity, opened.recovered, options, rng.uniform, self.now())
        machine.incarnation = replica.identity.incarnation
        self.recovered = opened.recovered
        self.synced = cluster.synced.setdefault(replica.identity.incarnation, SyncedLog())
        self.unsynced: deque[Write] = deque()
        self.reported_commit_index = 0  # the commit index last reported to the oracle
        self.state_machine = RecordingStateMachine(cluster.oracle)
        self.state_machine.before_save = self._report_commits  # later the log lacks the compacted entries
        self.group = ReplicatedGroup(replica, self.state_machine, rng.getrandbits(40))
        self.writer = JournalWriter(self._on_synced, self._on_error)
        self.writer.add(0, opened.journal)
        self.confirmed: list[int] = []
        self.disk_error = False
        self.disk_busy = False
        self.alive = True
        self.last_vote = replica.core.hard_state.vote
        self.pending_answers: dict[int, Callable[[ProposalResult], None]] = {}
        self.wake_at = float("inf")

    def _check_journal(self, identity: int) -> None:
        """Check that the journal was replaced by a new one if, and only if, a fault had corrupted it."""
        machine = self.machine
        recovered = identity == machine.journal
        if machine.damaged:
            require(
                not recovered, Invariant.CORRUPTION_DETECTED, f"{machine.address} uses a corrupted journal"
            )
        elif machine.journal:
            require(recovered, Invariant.JOURNAL_RECOVERED, f"{machine.address} has discarded its journal")

    def now(self) -> float:
        return self.machine.offset + self.cluster.now * self.machine.rate

    def start(self) -> None:
        self.perform(self.group.tick(self.cluster.live_controllers(self.machine), self.now()))

    def perform(self, actions: Actions) -> None:
        for write in actions.writes:
            self._write(write)
        identity = self.group.replica.identity.incarnation
        for outgoing in actions.messages:
            self._check_sent(outgoing)
            envelope = Envelope(0, outgoing.to.incarnation, identity, outgoing.message)
            self.cluster.send(self.machine, outgoing.to.address, envelope)
        for resolved in actions.resolved:
            answer = self.pending_answers.pop(resolved.token, None)
            if answer is not None:
                answer(resolved.result)
        for event, _ in actions.events:
            if event == "membership_changed":
                self._check_change()
            elif event == "leader_elected":
                self._check_election()
                self.cluster.oracle.on_leader(self.group.replica.term, identity)
                log = self.group.replica.core.log
                if log.base_index == 0:
                    self.cluster.oracle.on_bootstrap(log.entry(1).payload)
                self.cluster.on_fault_trigger(FaultTrigger.ELECTED, self.machine)
            elif event == "following_leader":
                self.cluster.on_fault_trigger(FaultTrigger.FOLLOWING, self.machine)
        self._report_commits()
        self._check_voters()
        if self.group.replica.leadership is not None:
            self.cluster.oracle.on_leader(self.group.replica.term, identity)
            self.cluster.check_concurrent_leaders()
        vote = self.group.replica.core.hard_state.vote
        if vote != self.last_vote:
            self.last_vote = vote
            if vote not in (NO_INCARNATION, identity):
                self.cluster.on_fault_trigger(FaultTrigger.VOTED, self.machine)
        if any(change.owned for change in actions.owner_changes):
            self.cluster.check_owners()
        self._poll_disk()
        self._set_timer()

    def receive(self, sender: Address, envelope: Envelope) -> None:
        member = Member(sender, envelope.from_incarnation)
        try:
            actions = self.group.receive(member, envelope.to_incarnation, envelope.message, self.now())
        except ReplicationInvariantError as error:
            raise ViolationError(Invariant.COMMITTED_FINAL, str(error)) from error
        self.perform(actions)

    def propose(self, payload: bytes, timeout: float, answer: Callable[[ProposalResult], None]) -> None:
        token, actions = self.group.propose(payload, timeout, self.now())
        self.pending_answers[token] = answer
        self.perform(actions)

    def read(self, timeout: float, answer: Callable[[ProposalResult], None]) -> None:
        token, actions = self.group.read(timeout, self.now())
        self.pending_answers[token] = answer
        self.perform(actions)

    def _set_timer(self) -> None:
        due = self.group.deadline()
        if due == float("inf"):
            return
        due_at = max(self.cluster.now, (due - self.machine.offset) / self.machine.rate) + 1e-6
        if due_at < self.wake_at:
            self.wake_at = due_at
            self.cluster.schedule(due_at, self._wake, self)

    def _wake(self) -> None:
        if self.cluster.now < self.wake_at - 1e-9 and self.wake_at != float("inf"):
            return
        self.wake_at = float("inf")
        if self.group.deadline() <= self.now():
            self.perform(self.group.tick(self.cluster.live_controllers(self.machine), self.now()))
        else:
            self._set_timer()

    # Reports to the oracle and checks of invariants

    def _check_sent(self, outgoing: Outgoing) -> None:
        """Check that a sent vote or acknowledgement of the current term is synced."""
        message, core = outgoing.message, self.group.replica.core
        if isinstance(message, VoteReply) and message.granted:
            voted = self.synced.has_voted(message.term, outgoing.to.incarnation)
            require(voted, Invariant.SENT_AFTER_SYNC, f"a vote in term {message.term} is not synced")
        elif isinstance(message, AppendReply) and message.accepted and message.term == core.term:
            is_synced = self.synced.has_entry(message.synced_index, core.log.term_at(message.synced_index))
            require(is_synced, Invariant.SENT_AFTER_SYNC, f"entry {message.synced_index} is not synced")

    def _report_commits(self) -> None:
        replica, oracle = self.group.replica, self.cluster.oracle
        last_committed, log = replica.commit_index, replica.core.log
        if last_committed <= self.reported_commit_index:
            return
        for index in range(max(self.reported_commit_index, log.base_index) + 1, last_committed + 1):
            entry = log.entry(index)
            oracle.on_entry_committed(index, entry.term)
            if entry.kind is EntryKind.MEMBERS:
                oracle.voters[index] = decode_members(entry.payload)
        self.reported_commit_index = last_committed
        if replica.leadership is not None:
            is_own = log.term_at(last_committed) == replica.term
            require(
                is_own,
                Invariant.COMMIT_OWN_TERM,
                f"entry {last_committed} is committed in term {replica.term}",
            )
            self._check_majority(last_committed)
            oracle.on_leader_commit(replica.term, last_committed)

    def _check_voters(self) -> None:
        """Check that the voters in force are named by an entry of the log or by its snapshot."""
        log = self.group.replica.core.log
        index = log.members_index
        is_named = index <= log.base_index or (
            index <= log.last_index and log.entry(index).kind is EntryKind.MEMBERS
        )
        require(is_named, Invariant.LOG_VOTERS, f"voters of entry {index}, which is not in the log")

    def _check_majority(self, index: int) -> None:
        log = self.group.replica.core.log
        term = log.term_at(index)
        voter_sets = (
            log.members,
            log.members_at(log.members_index - 1).members,
        )  # after and before a membership change that was just appended
        synced = any(
            members
            and self._count(members, lambda synced_log: synced_log.has_entry(index, term))
            >= quorum_of(len(members))
            for members in voter_sets
        )
        require(
            synced, Invariant.COMMITTED_BY_MAJORITY, f"entry {index} is committed without a majority's sync"
        )

    def _check_election(self) -> None:
        replica, oracle = self.group.replica, self.cluster.oracle
        term, log = replica.term, replica.core.log
        own_incarnation = replica.identity.incarnation
        votes = self._count(log.members, lambda synced_log: synced_log.has_voted(term, own_incarnation))
        elected = votes >= quorum_of(len(log.members))
        require(elected, Invariant.ELECTED_BY_MAJORITY, f"{votes} synced votes in term {term}")
        index, entry_term = oracle.last_commit_before(term)
        complete = index <= log.base_index or log.term_at(index) == entry_term
        require(complete, Invariant.LEADER_COMPLETENESS, f"the leader of term {term} lacks entry {index}")

    def _check_change(self) -> None:
        replica = self.group.replica
        log, commit = replica.core.log, replica.commit_index
        open_changes = [
            change.entry_index for change in log._membership_history if change.entry_index > commit
        ]
        require(len(open_changes) <= 1, Invariant.ONE_MEMBERSHIP_CHANGE, f"changes at {open_changes}")
        is_own = log.term_at(commit) == replica.term
        require(
            is_own,
            Invariant.ONE_MEMBERSHIP_CHANGE,
            f"a change before an entry of term {replica.term} is committed",
        )

    def _count(self, members: Members, predicate: Callable[[SyncedLog], bool]) -> int:
        synced = self.cluster.synced
        return sum(
            member.incarnation in synced and predicate(synced[member.incarnation]) for member in members
        )

    # The disk

    def _write(self, write: Write) -> None:
        self.unsynced.append(write)
        records = encode_write(write)
        if write.snapshot is not None:
            snapshot = write.snapshot
            terms = [snapshot.term, *(entry.term for entry in write.entries)]
            require(terms == sorted(terms), Invariant.TERMS_INCREASE, f"the log after a snapshot: {terms}")
            self.cluster.oracle.on_snapshot_taken(snapshot.index, snapshot.members_index, snapshot.members)
            self.cluster.on_fault_trigger(FaultTrigger.COMPACTING, self.machine)
            records.insert(0, encode_origin(self.group.replica.core.may_bootstrap))
            self.writer.compact(0, write.sequence, encode_snapshot(write.snapshot), records)
        elif write.sequence == 1:
            self.writer.sync_recovered(0, write.sequence)
        else:
            self.writer.append(0, write.sequence, records)
            if write.entries:
                self.cluster.on_fault_trigger(FaultTrigger.WRITING, self.machine)

    def _on_synced(self, _key: int, sequence: int) -> None:
        durable = self.machine.disk.newest_segment_is_durable()
        require(durable, Invariant.CONFIRMED_DURABLE, f"write {sequence} is confirmed")
        self.confirmed.append(sequence)

    def _record_synced(self, sequence: int) -> None:
        while self.unsynced and self.unsynced[0].sequence <= sequence:
            write = self.unsynced.popleft()
            if write.sequence == 1:
                self.synced.on_recovered(self.recovered)
            else:
                self.synced.on_write_synced(write)

    def _on_error(self, _key: int, _error: OSError) -> None:
        self.disk_error = True

    def _poll_disk(self, retry_delay: float = 0.0) -> None:
        if self.disk_busy or not self.writer.has_pending:
            return
        self.disk_busy = True
        machine = self.machine
        duration = machine.sync_time * self.cluster.rng.uniform(0.6, 1.8)
        due_at = max(self.cluster.now, machine.hangs_until) + duration + retry_delay
        self.cluster.schedule(due_at, self._disk_done, self)

    def _disk_done(self) -> None:
        if self.machine.hangs_until > self.cluster.now:
            self.cluster.schedule(self.machine.hangs_until, self._disk_done, self)
            return
        self.disk_busy = False
        succeeded = self.writer.write_pending()
        confirmed, self.confirmed = self.confirmed, []
        for sequence in confirmed:
            self._record_synced(sequence)
            self.perform(self.group.confirm(sequence, self.now()))
        if self.disk_error:
            self.disk_error = False
            self.perform(self.group.on_disk_error(self.now()))
        self._poll_disk(0.0 if succeeded else 0.1)

    def crash(self) -> None:
        """Kill the process, possibly in the middle of a write."""
        self.alive = False
        disk = self.machine.disk
        if self.disk_busy:
            disk.remaining_calls = self.cluster.rng.choice(DISK_CALLS_BEFORE_KILL)
            with contextlib.suppress(ProcessKilledError):
                self.writer.write_pending()
            disk.remaining_calls = None
