"""The state shared by all roles of a replica, and the outputs for its driver."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from msgspec import Struct, field

from firvane.core.address import Address
from firvane.fleet.replication.durability import WriteTracker
from firvane.fleet.replication.log import ReplicatedLog
from firvane.fleet.replication.messages import Message, Outgoing
from firvane.fleet.replication.types import (
    NO_HARD_STATE,
    NO_INCARNATION,
    Entry,
    HardState,
    Member,
    Snapshot,
    Timing,
    quorum_of,
)

MAX_MESSAGES_AWAITING_SYNC = 256  # the oldest are dropped above it; the protocol tolerates lost messages


class Write(Struct):
    """A write that the driver must sync, in the order of `sequence`.

    A write with a `snapshot` replaces the journal by the snapshot, the hard state and the later entries. Any
    other write has the hard state if it has changed, and entries; these replace all stored entries from the
    index of the first one on.
    """

    sequence: int
    hard_state: HardState | None
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None


class ReadReady(Struct):
    """A read is linearizable once the entry `index` has been applied."""

    token: int
    index: int


class LogEvent(NamedTuple):
    """A structured log event: its name and fields."""

    name: str
    fields: dict[str, object]


class Outputs(Struct):
    """The results of the inputs since the last call of `take_outputs`; the lists are in order."""

    writes: list[Write] = field(default_factory=list)
    messages: list[Outgoing] = field(default_factory=list)
    reads: list[ReadReady] = field(default_factory=list)
    events: list[LogEvent] = field(default_factory=list)
    installed: Snapshot | None = None  # the state machine must load it before other outputs are handled


class Recovered(Struct, frozen=True):
    """The state that a replica recovers from its disk.

    `may_bootstrap`: its folder was created at the first start of the whole system.
    """

    may_bootstrap: bool = False
    hard_state: HardState = NO_HARD_STATE
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the disk stores no term, vote or entry, so that no earlier message depended on it."""
        return not (self.entries or self.snapshot or self.hard_state.term)


class Core:
    """Identity, hard state, log, commit index and outputs; makes no protocol decisions."""

    def __init__(
        self,
        identity: Member,
        recovered: Recovered,
        timing: Timing,
        uniform: Callable[[float, float], float],
        now: float,
    ) -> None:
        self.identity = identity
        self.timing = timing
        self.uniform = uniform  # returns a random number between two bounds
        self.may_bootstrap = recovered.may_bootstrap
        self.hard_state = recovered.hard_state
        self.log = ReplicatedLog(recovered.snapshot, recovered.entries)
        self.commit_index = self.log.base_index
        self.writes = WriteTracker()
        self.disk_rejects_writes = False  # whether the last write failed
        self.outputs = Outputs()
        self._awaiting_sync: list[tuple[int, Outgoing]] = []  # each with the sequence number it awaits
        self._written_hard_state = recovered.hard_state
        self.persist(now)  # an empty write: its confirmation proves that the recovered state is synced

    # State

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def quorum(self) -> int:
        """The number of voters in a majority."""
        return quorum_of(len(self.log.members))

    def is_voter(self, incarnation: int) -> bool:
        """Whether the log names the replica with this incarnation as a voter."""
        return any(member.incarnation == incarnation for member in self.log.members)

    @property
    def self_is_voter(self) -> bool:
        """Whether the log names this replica as a voter."""
        return self.is_voter(self.identity.incarnation)

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Whether a log with this end is at least as up to date as this one (Raft, 5.4.1)."""
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def disk_fault(self, now: float) -> bool:
        """Whether this replica's disk rejects writes, or has not synced one within the stall timeout."""
        oldest_pending_at = self.writes.pending_since()
        return self.disk_rejects_writes or (
            oldest_pending_at is not None and now - oldest_pending_at > self.timing.disk_stall_timeout_s
        )

    # Writing

    def persist(self, now: float, entries: tuple[Entry, ...] = (), snapshot: Snapshot | None = None) -> int:
        """Issue a write of the hard state, if it has changed, and of entries; returns its sequence number."""
        changed = snapshot is not None or self.hard_state != self._written_hard_state
        self._written_hard_state = self.hard_state
        sequence = self.writes.issue(self.log.last_index, self.hard_state, now)
        state = self.hard_state if changed else None
        self.outputs.writes.append(Write(sequence, state, entries, snapshot))
        return sequence

    def adopt(self, term: int, vote: int, now: float) -> None:
        """Adopt a term and this replica's vote in it, and persist both."""
        self.hard_state = HardState(term, vote)
        self.persist(now)

    def append(self, entries: Sequence[Entry], now: float) -> int:
        """Append entries to the log and persist them; returns the sequence number of the write."""
        self.log.append(entries)
        return self.persist(now, tuple(entries))

    # Sending

    def send(self, to: Member, message: Message) -> None:
        """Send a message once the current term and vote are synced: at once if they are already."""
        if self.writes.synced_hard_state == self.hard_state:
            self.outputs.messages.append(Outgoing(to, message))
        else:
            self.send_when_synced(to, message)

    def send_to_address(self, address: Address, message: Message) -> None:
        """Send a message to whichever replica is at an address."""
        self.send(Member(address, NO_INCARNATION), message)

    def send_when_synced(self, to: Member, message: Message) -> None:
        """Send a message once all writes issued so far are synced."""
        if self.writes.synced_sequence >= self.writes.sequence:
            self.outputs.messages.append(Outgoing(to, message))
            return
        self._awaiting_sync.append((self.writes.sequence, Outgoing(to, message)))
        del self._awaiting_sync[:-MAX_MESSAGES_AWAITING_SYNC]

    def confirm(self, sequence: int, now: float) -> None:
        """Record that all writes up to `sequence` are synced, and send the messages that awaited them."""
        self.disk_rejects_writes = False
        self.writes.confirm(sequence, now)
        if self._awaiting_sync:
            synced = self.writes.synced_sequence
            self.outputs.messages += [outgoing for write, outgoing in self._awaiting_sync if write <= synced]
            self._awaiting_sync = [item for item in self._awaiting_sync if item[0] > synced]

    def log_event(self, event: str, **fields: object) -> None:
        """Add an event to the outputs, for the driver's log."""
        self.outputs.events.append(LogEvent(event, fields))

    def take_outputs(self) -> Outputs:
        """Return and clear the outputs."""
        outputs, self.outputs = self.outputs, Outputs()
        return outputs
