"""What must hold in every simulated world; a breach is a `ViolationError` that names the `Promise`."""

from __future__ import annotations

import enum
import struct
from bisect import bisect_right
from collections.abc import Callable, Iterable

from firvane.fleet.replication.proposals import ProposalResult, ProposalStatus
from firvane.fleet.replication.types import Members

_COMMAND = struct.Struct("<Q")


class Promise(enum.Enum):
    """The promises of a group, by the names under which their violations are reported."""

    ONE_HISTORY = "one history"  # no two replicas apply different entries at one index
    TAKEN_ONCE = "taken once"  # no command is applied twice
    ACKNOWLEDGED_KEPT = "acknowledged, kept"  # COMMITTED is in the one history, with the result that was told
    REFUSED_NOT_TAKEN = "refused, not taken"  # NOT_OWNER and UNAVAILABLE are not in it
    CURRENT_READS = "current reads"  # a COMMITTED read saw all that was known when it was asked for
    ONE_LEADER = "one leader of a term"
    ONE_OWNER = "one owner"  # at any moment
    FOUNDED_ONCE = "founded once"
    COMMITTED_FINAL = "committed is final"  # no replica is made to replace an entry that it knows committed
    JOURNAL_KEPT = "journal kept"  # what no fault has damaged is read back after any stop
    DAMAGE_FOUND = "damage found"  # a replica whose synced journal was damaged does not go on with it
    SAID_SYNCED = "said is synced"  # votes and acknowledgements are on the sender's disk
    COMMITTED_SYNCED = "committed is synced"  # by a majority of the voters
    ELECTED_SYNCED = "elected by synced votes"  # of a majority of the voters
    OWN_TERM = "commits by its own term"  # a leader counts replicas for entries of its own term only
    TERMS_RISE = "terms rise"  # from one entry of a log to the next they never fall
    LEADER_COMPLETE = "leader is complete"  # it has what was committed in earlier terms
    CONFIRMED_DURABLE = "confirmed is durable"  # what the journal's writer confirms bears a loss of power
    CHANGES_APART = "changes apart"  # one change of the voters at a time, after an entry of the leader's term
    LOG_VOTERS = "voters of the log"  # the voters in force are those that the log names last
    SNAPSHOT_VOTERS = "snapshot's voters"  # a snapshot names the voters of its place in the log
    SERVES_AGAIN = "serves again"  # once all faults are over: an owner, all voters, equal replicas
    LEADER_UNDISTURBED = "leader undisturbed"  # a leader that a majority follows is not deposed by a minority
    HANDED_OUT_RECENT = "handed out is recent"  # a state that may be handed out is no older than is promised
    PROMPT_SUCCESSOR = "prompt successor"  # a planned end does not cost an election timeout


class ViolationError(AssertionError):
    """A promise does not hold."""

    def __init__(self, promise: Promise, what: str) -> None:
        super().__init__(f"{promise.value}: {what}")
        self.promise = promise


def require(holds: bool, promise: Promise, what: str) -> None:
    """Raise a `ViolationError` where something does not hold."""
    if not holds:
        raise ViolationError(promise, what)


def command(number: int, size: int) -> bytes:
    """A command of its own, padded to a size."""
    return _COMMAND.pack(number).ljust(size, b".")


def number_of(payload: bytes) -> int:
    """The number of a command."""
    number: int = _COMMAND.unpack_from(payload)[0]
    return number


class Oracle:
    """The one history, as the replicas show it."""

    def __init__(self) -> None:
        self.history: list[int] = []  # commands in the order in which they were applied anywhere
        self.places: dict[int, int] = {}  # by command: its place from 1 on
        self.entries: dict[int, int] = {}  # by index: the command
        self.committed: dict[int, int] = {}  # by command: the place that was told
        self.refused: set[int] = set()
        self.floor = 0  # what every later read must see
        self.leaders: dict[int, int] = {}  # by term: the incarnation
        self.founders = b""
        self.terms: dict[int, int] = {}  # by index: the term of the committed entry, as the replicas show it
        self.commits: dict[int, int] = {}  # by a leader's term: the last index that it has committed
        self.voters: dict[int, Members] = {}  # by index: the voters that a committed entry names
        self.reads = 0
        self._floors: list[tuple[float, int]] = [(float("-inf"), 0)]  # when the floor rose, and to what

    def applied(self, place: int, index: int, number: int) -> None:
        """A replica applies a command as its `place`-th."""
        if place > len(self.history):
            following = len(self.history) + 1
            require(place == following, Promise.ONE_HISTORY, f"place {place} applied before {following}")
            require(number not in self.places, Promise.TAKEN_ONCE, f"command {number} committed twice")
            self.history.append(number)
            self.places[number] = place
        known = self.history[place - 1]
        require(known == number, Promise.ONE_HISTORY, f"place {place}: {known} and {number}")
        known = self.entries.setdefault(index, number)
        require(known == number, Promise.ONE_HISTORY, f"two commands at index {index}")

    def loaded(self, place: int, last: int) -> None:
        """A replica takes a snapshot after the `place`-th command."""
        known = len(self.history)
        require(place <= known, Promise.ONE_HISTORY, f"a snapshot of {place} commands of {known}")
        agrees = place == 0 or self.history[place - 1] == last
        require(agrees, Promise.ONE_HISTORY, f"a snapshot that ends with {last} at {place}")

    def proposed(self, number: int, proposal: ProposalResult) -> None:
        """A proposal has been answered."""
        if proposal.status is ProposalStatus.COMMITTED:
            has_result = proposal.result.isdigit()
            require(has_result, Promise.ACKNOWLEDGED_KEPT, f"command {number} committed without its result")
            place = int(proposal.result)
            told = self.places.get(number) == place
            require(told, Promise.ACKNOWLEDGED_KEPT, f"command {number} said to be at {place}")
            require(number not in self.refused, Promise.REFUSED_NOT_TAKEN, f"command {number}")
            self.committed[number] = place
            self.floor = max(self.floor, place)
        elif proposal.status is not ProposalStatus.UNCLEAR:
            self.refused.add(number)

    def read(self, floor: int, seen: int) -> None:
        """A read has been answered; `floor` was that of the moment in which it was asked for."""
        saw = f"a read saw {seen} commands where {floor} were known"
        require(seen >= floor, Promise.CURRENT_READS, saw)
        self.floor = max(self.floor, seen)
        self.reads += 1

    def note_floor(self, now: float) -> None:
        """Something was answered now: what was known by then must be in each state that is recent."""
        if self.floor > self._floors[-1][1]:
            self._floors.append((now, self.floor))

    def floor_at(self, when: float) -> int:
        """How many commands were known to be committed at a moment."""
        return self._floors[bisect_right(self._floors, when, key=lambda item: item[0]) - 1][1]

    def handed_out(self, when: float, seen: int) -> None:
        """A state may be handed out that is claimed to be no older than `when`."""
        floor = self.floor_at(when)
        told = f"a state of {seen} commands where {floor} were known at {when:.2f} s"
        require(seen >= floor, Promise.HANDED_OUT_RECENT, told)

    def led(self, term: int, incarnation: int) -> None:
        """A replica leads a term."""
        other = self.leaders.setdefault(term, incarnation)
        require(other == incarnation, Promise.ONE_LEADER, f"two leaders of term {term}")

    def owners(self, owners: Iterable[int]) -> None:
        """Whoever takes itself for the owner now."""
        found = list(owners)
        require(len(found) <= 1, Promise.ONE_OWNER, f"owners at one moment: {found}")

    def committed_at(self, index: int, term: int | None) -> None:
        """A replica takes an entry for committed."""
        known = self.terms.setdefault(index, term or 0)
        require(
            known == term, Promise.ONE_HISTORY, f"index {index} is committed with terms {known} and {term}"
        )

    def committed_by_leader(self, term: int, index: int) -> None:
        """A leader has committed entries up to one."""
        self.commits[term] = max(self.commits.get(term, 0), index)

    def last_commit_before(self, term: int) -> tuple[int, int]:
        """Index and term of the last entry that was committed in an earlier term; zeros for none."""
        index = max((last for known, last in self.commits.items() if known < term), default=0)
        return index, self.terms.get(index, 0)

    def snapshot_taken(self, index: int, members_index: int, members: Members) -> None:
        """A replica puts a snapshot after an entry."""
        named = max((known for known in self.voters if known <= index), default=0)
        right = (members_index, members) == (named, self.voters.get(named, ()))
        require(right, Promise.SNAPSHOT_VOTERS, f"a snapshot at {index} names {members} of {members_index}")

    def founded(self, members: bytes) -> None:
        """A leader's log begins with these founders."""
        self.founders = self.founders or members
        require(members == self.founders, Promise.FOUNDED_ONCE, "the group was founded twice")

    def finish(self, final: Iterable[int]) -> None:
        """The commands that a replica holds at the end, when all faults are over."""
        held = set(final)
        lost = set(self.committed) - held
        require(not lost, Promise.ACKNOWLEDGED_KEPT, f"acknowledged and lost: {sorted(lost)}")
        taken = self.refused & set(self.places)
        require(not taken, Promise.REFUSED_NOT_TAKEN, f"refused and yet taken: {sorted(taken)}")


class Ledger:
    """The replicated state machine of the worlds: the commands in order. Tells the oracle what it does."""

    def __init__(self, oracle: Oracle) -> None:
        self.oracle = oracle
        self.commands: list[int] = []
        self.before_save: Callable[[], None] = lambda: None

    def apply(self, index: int, payload: bytes) -> bytes:
        number = number_of(payload)
        self.commands.append(number)
        self.oracle.applied(len(self.commands), index, number)
        return str(len(self.commands)).encode()

    def save(self) -> bytes:
        self.before_save()
        return struct.pack(f"<{len(self.commands)}Q", *self.commands)

    def load(self, snapshot: bytes) -> None:
        self.commands = list(struct.unpack(f"<{len(snapshot) // 8}Q", snapshot))
        self.oracle.loaded(len(self.commands), self.commands[-1] if self.commands else 0)
