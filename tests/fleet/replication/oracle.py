"""The invariants of every simulated cluster; a `ViolationError` names the violated `Invariant`."""

from __future__ import annotations

import enum
import struct
from bisect import bisect_right
from collections.abc import Callable, Iterable

from firvane.fleet.replication.proposals import ProposalResult, ProposalStatus
from firvane.fleet.replication.types import Members

_COMMAND = struct.Struct("<Q")


class Invariant(enum.Enum):
    """The invariants of a group, with the names under which violations are reported."""

    SAME_COMMANDS = "state machine safety"  # no two replicas apply different entries at one index
    APPLIED_ONCE = "applied once"  # no command is applied twice
    ACKNOWLEDGED_APPLIED = (
        "acknowledged is applied"  # a COMMITTED proposal is applied with the returned result
    )
    REJECTED_NOT_APPLIED = "rejected is not applied"  # NOT_OWNER and UNAVAILABLE proposals are never applied
    LINEARIZABLE_READS = "linearizable reads"  # a read sees all commands known as committed at its request
    ONE_LEADER_PER_TERM = "one leader per term"
    ONE_OWNER = "one owner"  # at any moment
    BOOTSTRAPPED_ONCE = "bootstrapped once"
    COMMITTED_FINAL = "committed is final"  # no leader replaces an entry that the replica knows as committed
    JOURNAL_RECOVERED = "journal recovered"  # an uncorrupted journal is recovered after any stop
    CORRUPTION_DETECTED = "corruption detected"  # a replica does not continue with a corrupted synced journal
    SENT_AFTER_SYNC = "sent after sync"  # votes and acknowledgements are sent once the sender's disk has them
    COMMITTED_BY_MAJORITY = (
        "committed by a majority"  # a majority of the voters has synced each committed entry
    )
    ELECTED_BY_MAJORITY = (
        "elected by a majority"  # a majority of the voters has synced its vote for the leader
    )
    COMMIT_OWN_TERM = "commit of its own term"  # a leader counts replicas only for entries of its own term
    TERMS_INCREASE = "terms increase"  # terms never decrease from one entry of a log to the next
    LEADER_COMPLETENESS = "leader completeness"  # a leader's log has all entries committed in earlier terms
    CONFIRMED_DURABLE = (
        "confirmed is durable"  # a write that the journal writer confirms survives a power loss
    )
    ONE_MEMBERSHIP_CHANGE = "one membership change"  # at a time, and after a commit in the leader's term
    LOG_VOTERS = "voters of the log"  # the voters in force are those of the last MEMBERS entry of the log
    SNAPSHOT_VOTERS = "voters of the snapshot"  # a snapshot names the voters in force at its index
    RECOVERS = "recovers"  # after all faults: an owner, all voters, equal replicas
    LEADER_KEPT = "leader kept"  # a minority does not depose a leader that a majority follows
    STATE_AGE_BOUNDED = "state age bounded"  # a state that counts as current is no older than the limit
    FAST_TRANSFER = "fast transfer"  # a planned stop of the owner takes less than an election timeout


class ViolationError(AssertionError):
    """An invariant is violated."""

    def __init__(self, invariant: Invariant, reason: str) -> None:
        super().__init__(f"{invariant.value}: {reason}")
        self.invariant = invariant


def require(holds: bool, invariant: Invariant, reason: str) -> None:
    """Raise a `ViolationError` unless the condition `holds`."""
    if not holds:
        raise ViolationError(invariant, reason)


def command(number: int, size: int) -> bytes:
    """A unique command with this number, padded to `size` bytes."""
    return _COMMAND.pack(number).ljust(size, b".")


def command_number(payload: bytes) -> int:
    """The number of a command."""
    number: int = _COMMAND.unpack_from(payload)[0]
    return number


class Oracle:
    """Checks the invariants against what the replicas of a cluster apply, commit and answer."""

    def __init__(self) -> None:
        self.history: list[int] = []  # commands in the order in which any replica first applied them
        self.positions: dict[int, int] = {}  # position in the history, from 1 on, by command
        self.entries: dict[int, int] = {}  # command by log index
        self.committed: dict[int, int] = {}  # position that was returned to the client, by command
        self.rejected: set[int] = set()
        self.known_committed = 0  # the number of commands that every later read must see
        self.leaders: dict[int, int] = {}  # incarnation by term
        self.bootstrap_members = b""
        self.terms: dict[int, int] = {}  # term of the committed entry by log index
        self.commits: dict[int, int] = {}  # last index that the leader has committed, by the leader's term
        self.voters: dict[int, Members] = {}  # voters that a committed entry names, by log index
        self.reads = 0
        self._watermarks: list[tuple[float, int]] = [(float("-inf"), 0)]  # time and new value

    def on_applied(self, position: int, index: int, number: int) -> None:
        """Check a command that a replica applies at a position."""
        if position > len(self.history):
            following = len(self.history) + 1
            require(
                position == following,
                Invariant.SAME_COMMANDS,
                f"position {position} applied before {following}",
            )
            require(number not in self.positions, Invariant.APPLIED_ONCE, f"command {number} committed twice")
            self.history.append(number)
            self.positions[number] = position
        known = self.history[position - 1]
        require(known == number, Invariant.SAME_COMMANDS, f"position {position}: {known} and {number}")
        known = self.entries.setdefault(index, number)
        require(known == number, Invariant.SAME_COMMANDS, f"two commands at index {index}")

    def on_snapshot_loaded(self, position: int, last: int) -> None:
        """Check a snapshot that a replica loads: its number of commands and its last command."""
        known = len(self.history)
        require(position <= known, Invariant.SAME_COMMANDS, f"a snapshot of {position} commands of {known}")
        agrees = position == 0 or self.history[position - 1] == last
        require(agrees, Invariant.SAME_COMMANDS, f"a snapshot that ends with {last} at {position}")

    def on_proposal_result(self, number: int, proposal: ProposalResult) -> None:
        """Check the result of a proposal."""
        if proposal.status is ProposalStatus.COMMITTED:
            is_result_valid = proposal.result.isdigit()
            require(
                is_result_valid,
                Invariant.ACKNOWLEDGED_APPLIED,
                f"command {number} committed without its result",
            )
            position = int(proposal.result)
            matches = self.positions.get(number) == position
            require(
                matches, Invariant.ACKNOWLEDGED_APPLIED, f"command {number} is not at position {position}"
            )
            require(number not in self.rejected, Invariant.REJECTED_NOT_APPLIED, f"command {number}")
            self.committed[number] = position
            self.known_committed = max(self.known_committed, position)
        elif proposal.status is not ProposalStatus.UNCLEAR:
            self.rejected.add(number)

    def on_read(self, known_committed: int, seen: int) -> None:
        """Check a completed read; `known_committed` is the value at the time of the request."""
        reason = f"a read saw {seen} commands, {known_committed} were known as committed"
        require(seen >= known_committed, Invariant.LINEARIZABLE_READS, reason)
        self.known_committed = max(self.known_committed, seen)
        self.reads += 1

    def record_known_committed(self, now: float) -> None:
        """Record when the number of commands known as committed increased."""
        if self.known_committed > self._watermarks[-1][1]:
            self._watermarks.append((now, self.known_committed))

    def known_committed_at(self, when: float) -> int:
        """The number of commands that were known as committed at a time."""
        return self._watermarks[bisect_right(self._watermarks, when, key=lambda item: item[0]) - 1][1]

    def on_state_served(self, when: float, seen: int) -> None:
        """Check a state that counts as current and is claimed to be no older than `when`."""
        known_committed = self.known_committed_at(when)
        reason = f"a state of {seen} commands, {known_committed} were known as committed at {when:.2f} s"
        require(seen >= known_committed, Invariant.STATE_AGE_BOUNDED, reason)

    def on_leader(self, term: int, incarnation: int) -> None:
        """Check that no other replica was the leader of this term."""
        other = self.leaders.setdefault(term, incarnation)
        require(other == incarnation, Invariant.ONE_LEADER_PER_TERM, f"two leaders of term {term}")

    def on_owners(self, owners: Iterable[int]) -> None:
        """Check the incarnations that consider themselves the owner now."""
        incarnations = list(owners)
        require(len(incarnations) <= 1, Invariant.ONE_OWNER, f"owners at one moment: {incarnations}")

    def on_entry_committed(self, index: int, term: int | None) -> None:
        """Check the term of an entry that a replica considers committed."""
        known = self.terms.setdefault(index, term or 0)
        require(
            known == term,
            Invariant.SAME_COMMANDS,
            f"index {index} is committed with terms {known} and {term}",
        )

    def on_leader_commit(self, term: int, index: int) -> None:
        """Record up to which index the leader of a term has committed entries."""
        self.commits[term] = max(self.commits.get(term, 0), index)

    def last_commit_before(self, term: int) -> tuple[int, int]:
        """The index and term of the last entry committed in an earlier term; zeros if there is none."""
        index = max((last for known, last in self.commits.items() if known < term), default=0)
        return index, self.terms.get(index, 0)

    def on_snapshot_taken(self, index: int, members_index: int, members: Members) -> None:
        """Check the voters that a replica stores in a snapshot."""
        members_at = max((known for known in self.voters if known <= index), default=0)
        is_correct = (members_index, members) == (members_at, self.voters.get(members_at, ()))
        require(
            is_correct, Invariant.SNAPSHOT_VOTERS, f"a snapshot at {index} names {members} of {members_index}"
        )

    def on_bootstrap(self, members: bytes) -> None:
        """Check the voters that the first entry of a leader's log names."""
        self.bootstrap_members = self.bootstrap_members or members
        require(
            members == self.bootstrap_members, Invariant.BOOTSTRAPPED_ONCE, "the group was bootstrapped twice"
        )

    def check_final_commands(self, final: Iterable[int]) -> None:
        """Check the commands that a replica has applied at the end, after all faults."""
        applied = set(final)
        lost = set(self.committed) - applied
        require(not lost, Invariant.ACKNOWLEDGED_APPLIED, f"acknowledged and lost: {sorted(lost)}")
        wrongly_applied = self.rejected & set(self.positions)
        require(
            not wrongly_applied,
            Invariant.REJECTED_NOT_APPLIED,
            f"rejected and applied: {sorted(wrongly_applied)}",
        )


class RecordingStateMachine:
    """The replicated state machine of the simulation: a list of commands, reported to the oracle."""

    def __init__(self, oracle: Oracle) -> None:
        self.oracle = oracle
        self.commands: list[int] = []
        self.before_save: Callable[[], None] = lambda: None

    def apply(self, index: int, payload: bytes) -> bytes:
        number = command_number(payload)
        self.commands.append(number)
        self.oracle.on_applied(len(self.commands), index, number)
        return str(len(self.commands)).encode()

    def save(self) -> bytes:
        self.before_save()
        return struct.pack(f"<{len(self.commands)}Q", *self.commands)

    def load(self, snapshot: bytes) -> None:
        self.commands = list(struct.unpack(f"<{len(snapshot) // 8}Q", snapshot))
        self.oracle.on_snapshot_loaded(len(self.commands), self.commands[-1] if self.commands else 0)
