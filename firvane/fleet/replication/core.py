"""The state that all roles of a replica share, and what it wants its driver to do."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from msgspec import Struct, field

from firvane.core.address import Address
from firvane.fleet.replication.durability import WriteTracker
from firvane.fleet.replication.log import ReplicatedLog
from firvane.fleet.replication.messages import Message, Outgoing
from firvane.fleet.replication.types import (
    NO_HARD_STATE,
    NOBODY,
    Entry,
    HardState,
    Member,
    Snapshot,
    Timing,
    quorum_of,
)

MAXIMUM_HELD = 256  # messages that wait for a sync; the oldest are dropped, as the network might


class Write(Struct):
    """What the driver has to sync, in the order of `sequence`.

    With a `snapshot` the whole state is written anew: the snapshot, the hard state, and the entries that
    follow it; without, the hard state where it has changed, and entries that replace all from the first on.
    """

    sequence: int
    hard_state: HardState | None
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None


class ReadReady(Struct):
    """A read is linearizable once the entry `index` has been applied here."""

    token: int
    index: int


class Outputs(Struct):
    """What came of the inputs since the last time; the lists are in order."""

    writes: list[Write] = field(default_factory=list)
    messages: list[Outgoing] = field(default_factory=list)
    reads: list[ReadReady] = field(default_factory=list)
    events: list[tuple[str, dict[str, object]]] = field(default_factory=list)  # for the log
    installed: Snapshot | None = None  # to be loaded by the state machine before anything else


class Recovered(Struct, frozen=True):
    """What a replica finds on its disk.

    `founder`: its folder was new at the first start of the whole system.
    """

    founder: bool = False
    hard_state: HardState = NO_HARD_STATE
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()

    @property
    def blank(self) -> bool:
        """Nothing was ever said on the strength of this disk."""
        return not (self.entries or self.snapshot or self.hard_state.term)


class Core:
    """Identity, hard state, log, commit index and outputs; no decision."""

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
        self.uniform = uniform  # a random number between two bounds
        self.founder = recovered.founder
        self.hard_state = recovered.hard_state
        self.log = ReplicatedLog(recovered.snapshot, recovered.entries)
        self.commit_index = self.log.base_index
        self.writes = WriteTracker()
        self.disk_refuses = False  # the driver's word: the last write was refused
        self.outputs = Outputs()
        self._held: list[tuple[int, Outgoing]] = []
        self._written_hard_state = recovered.hard_state
        self.persist(now)  # an empty write: its confirmation says that what was read back is synced

    # What is known

    @property
    def term(self) -> int:
        return self.hard_state.term

    @property
    def quorum(self) -> int:
        return quorum_of(len(self.log.members))

    def is_voter(self, incarnation: int) -> bool:
        return any(member.incarnation == incarnation for member in self.log.members)

    @property
    def is_own_voter(self) -> bool:
        return self.is_voter(self.identity.incarnation)

    def up_to_date(self, last_index: int, last_term: int) -> bool:
        """Whether a log that ends so lacks nothing that this one has."""
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def disk_trouble(self, now: float) -> bool:
        """Whether the own disk refuses writes or has left one unsynced for long."""
        since = self.writes.waiting_since()
        return self.disk_refuses or (since is not None and now - since > self.timing.disk_stall)

    # Writing

    def persist(self, now: float, entries: tuple[Entry, ...] = (), snapshot: Snapshot | None = None) -> int:
        """Hand the hard state, if it has changed, and entries to the disk; the write's number."""
        changed = snapshot is not None or self.hard_state != self._written_hard_state
        self._written_hard_state = self.hard_state
        sequence = self.writes.issue(self.log.last_index, self.hard_state, now)
        state = self.hard_state if changed else None
        self.outputs.writes.append(Write(sequence, state, entries, snapshot))
        return sequence

    def adopt(self, term: int, vote: int, now: float) -> None:
        """Take a term and a vote in it, and hand both to the disk."""
        self.hard_state = HardState(term, vote)
        self.persist(now)

    def append(self, entries: Sequence[Entry], now: float) -> int:
        """Add entries to the log and hand them to the disk."""
        self.log.append(entries)
        return self.persist(now, tuple(entries))

    # Sending

    def send(self, to: Member, message: Message) -> None:
        """Send once the present term and vote are synced: at once, as a rule."""
        if self.writes.synced_hard_state == self.hard_state:
            self.outputs.messages.append(Outgoing(to, message))
        else:
            self.send_when_synced(to, message)

    def send_to_address(self, address: Address, message: Message) -> None:
        """Send to whoever answers at an address."""
        self.send(Member(address, NOBODY), message)

    def send_when_synced(self, to: Member, message: Message) -> None:
        """Send once all that was handed to the disk until now is synced."""
        if self.writes.synced_sequence >= self.writes.sequence:
            self.outputs.messages.append(Outgoing(to, message))
            return
        self._held.append((self.writes.sequence, Outgoing(to, message)))
        del self._held[:-MAXIMUM_HELD]

    def confirm(self, sequence: int, now: float) -> None:
        """The disk has synced all writes up to `sequence`."""
        self.disk_refuses = False
        self.writes.confirm(sequence, now)
        if self._held:
            synced = self.writes.synced_sequence
            self.outputs.messages += [outgoing for held, outgoing in self._held if held <= synced]
            self._held = [item for item in self._held if item[0] > synced]

    def log_event(self, event: str, **fields: object) -> None:
        """An event for the log."""
        self.outputs.events.append((event, fields))

    def take_outputs(self) -> Outputs:
        """The outputs since the last call."""
        outputs, self.outputs = self.outputs, Outputs()
        return outputs
