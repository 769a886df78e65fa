"""An abstract model of one group's log and voters under disk losses, explored exhaustively.

Each replica is a disk with a log; messages, times and syncs are not modelled. A step replicates one entry,
commits, elects a leader, loses a disk, stops or restarts a machine, or makes the membership change that the
real policy decides on. There are at most as many losses at once as the group must tolerate. A disk counts as
lost until the group is fully replicated again, with its machine's new replica or a replacement as a voter:
the model assumes that the time between losses suffices for the repair.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from firvane.fleet.replication.membership_policy import (
    ChangeKind,
    LearnerView,
    MembershipPolicy,
    VoterView,
)
from firvane.fleet.replication.types import Member, quorum_of

UNRESPONSIVE_S = 10.0  # seconds without a reply, after which the policy replaces a voter


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry: a command, the first entry of a term, or the voters as pairs of machine and incarnation."""

    term: int
    command: int = 0
    voters: tuple[tuple[int, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine with its current disk."""

    incarnation: int = 0
    running: bool = True
    log: tuple[LogEntry, ...] = ()
    counted_lost: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """A state of the model; `committed` is the longest log prefix that a leader has committed."""

    machines: tuple[Machine, ...]
    leader: int | None
    term: int
    commands: int
    committed: tuple[LogEntry, ...]
    losses: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of the explored states."""

    machines: int = 4
    voters: int = 3
    commands: int = 2
    losses: int = 2
    terms: int = 3
    max_concurrent_losses: int = 1
    stops: bool = False  # machines may also stop and restart with their disk


class BrokenModelError(AssertionError):
    """A state that violates safety or availability was reached; the message says why."""


def voters_of(log: tuple[LogEntry, ...]) -> tuple[tuple[int, int], ...]:
    """The voters that the last membership entry of a log names."""
    return next((entry.voters for entry in reversed(log) if entry.voters), ())


class Model:
    """The states and steps of the model, with the policy under test."""

    def __init__(self, bounds: Bounds, policy: MembershipPolicy | None = None) -> None:
        self.bounds = bounds
        self.policy = policy or MembershipPolicy(bounds.voters, 1.2, 2.0, 0.3)

    def initial(self) -> State:
        """The initial state: a bootstrapped group whose first leader has committed its first entry."""
        voters = tuple((number, 0) for number in range(self.bounds.voters))
        log = (LogEntry(0, voters=voters), LogEntry(1))
        machines = [
            Machine(log=log if number < self.bounds.voters else ()) for number in range(self.bounds.machines)
        ]
        return State(tuple(machines), 0, 1, 0, log, 0)

    def explore(self, max_states: int = 10_000_000) -> int:
        """Check all reachable states breadth first, up to `max_states` of them; returns their number."""
        initial = self.initial()
        seen, waiting = {initial}, deque([initial])
        while waiting and len(seen) < max_states:
            state = waiting.popleft()
            self.check(state)
            for following in self.steps(state):
                if following not in seen:
                    seen.add(following)
                    waiting.append(following)
        return len(seen)

    # Checks

    def check(self, state: State) -> None:
        """Check that some machine can be elected, and that each such machine has all committed entries."""
        electable = [number for number in range(len(state.machines)) if self.is_electable(state, number)]
        if not electable and state.leader is None:
            raise BrokenModelError(f"no machine can be elected: {state}")
        for number in electable:
            log = state.machines[number].log
            if log[: len(state.committed)] != state.committed:
                raise BrokenModelError(
                    f"machine {number} can be elected but lacks committed entries: {state}"
                )

    def is_electable(self, state: State, number: int) -> bool:
        """Whether a majority of the voters in a machine's log would vote for the machine."""
        machine = state.machines[number]
        voters = voters_of(machine.log)
        if not machine.running or (number, machine.incarnation) not in voters:
            return False
        own = (machine.log[-1].term, len(machine.log))
        granted = 0
        for other, incarnation in voters:
            voter = state.machines[other]
            log = voter.log
            reachable = voter.running and voter.incarnation == incarnation
            granted += reachable and (not log or own >= (log[-1].term, len(log)))
        return granted >= quorum_of(len(voters))

    # Steps

    def steps(self, state: State) -> Iterator[State]:
        """All states that follow a state in one step."""
        yield from self.losses(state)
        yield from self.returns(state)
        if state.term < self.bounds.terms:
            yield from self.elections(state)
        if state.leader is not None:
            yield from self.leader_steps(state, state.leader)

    def losses(self, state: State) -> Iterator[State]:
        lost = sum(machine.counted_lost for machine in state.machines)
        if state.losses == self.bounds.losses or lost >= self.bounds.max_concurrent_losses:
            return
        for number, machine in enumerate(state.machines):
            if not machine.running:
                continue
            leader = None if state.leader == number else state.leader
            after = [Machine(self.next_incarnation(machine), False, (), True)]
            if self.bounds.stops:
                after.append(replace(machine, running=False, counted_lost=True))
            for lost_machine in after:
                yield replace(
                    state,
                    machines=_with_machine(state, number, lost_machine),
                    leader=leader,
                    losses=state.losses + 1,
                )

    def next_incarnation(self, machine: Machine) -> int:
        """The incarnation of a machine after it has lost its disk."""
        return machine.incarnation + 1

    def returns(self, state: State) -> Iterator[State]:
        for number, machine in enumerate(state.machines):
            if not machine.running:
                yield replace(state, machines=_with_machine(state, number, replace(machine, running=True)))

    def elections(self, state: State) -> Iterator[State]:
        for number in range(len(state.machines)):
            if number != state.leader and self.is_electable(state, number):
                machine = state.machines[number]
                log = (*machine.log, LogEntry(state.term + 1))
                yield replace(
                    state,
                    machines=_with_machine(state, number, replace(machine, log=log)),
                    leader=number,
                    term=state.term + 1,
                )

    def leader_steps(self, state: State, leader: int) -> Iterator[State]:
        log = state.machines[leader].log
        if state.commands < self.bounds.commands:
            entry = LogEntry(state.term, command=state.commands + 1)
            yield self.with_entry(replace(state, commands=state.commands + 1), leader, entry)
        yield from self.replications(state, leader)
        yield from self.commits(state, leader)
        if self.may_change(state, log):
            yield from self.changes(state, leader)

    def may_change(self, state: State, log: tuple[LogEntry, ...]) -> bool:
        """Whether the leader may change the voters.

        Requires that no change is uncommitted, and that an entry of the leader's term is committed.
        """
        changed_at = max(index for index, entry in enumerate(log, 1) if entry.voters)
        own_committed = state.committed[-1].term == state.term
        has_committed = log[: len(state.committed)] == state.committed
        return own_committed and has_committed and changed_at <= len(state.committed)

    def with_entry(self, state: State, leader: int, entry: LogEntry) -> State:
        machine = state.machines[leader]
        return replace(
            state, machines=_with_machine(state, leader, replace(machine, log=(*machine.log, entry)))
        )

    def replications(self, state: State, leader: int) -> Iterator[State]:
        """Replicate one more entry to one replica, after removing entries that conflict with the leader's."""
        log = state.machines[leader].log
        for number, machine in enumerate(state.machines):
            if number == leader or not machine.running:
                continue
            prefix_length = _common_prefix_length(machine.log, log)
            if prefix_length < len(log):
                yield replace(
                    state,
                    machines=_with_machine(state, number, replace(machine, log=log[: prefix_length + 1])),
                )

    def commits(self, state: State, leader: int) -> Iterator[State]:
        log = state.machines[leader].log
        voters = voters_of(log)
        lengths = sorted((self.replicated_length(state, log, voter) for voter in voters), reverse=True)
        index = lengths[quorum_of(len(voters)) - 1]
        if index > len(state.committed) and log[index - 1].term == state.term:
            yield self.repaired(replace(state, committed=log[:index]), leader)

    def replicated_length(self, state: State, log: tuple[LogEntry, ...], voter: tuple[int, int]) -> int:
        machine = state.machines[voter[0]]
        same = machine.running and machine.incarnation == voter[1]
        return _common_prefix_length(machine.log, log) if same else 0

    def repaired(self, state: State, leader: int) -> State:
        """Forget earlier losses once all voters of a full-size group run and have all committed entries."""
        voters = voters_of(state.committed)
        fully_replicated = len(voters) >= self.bounds.voters and all(
            self.replicated_length(state, state.machines[leader].log, voter) >= len(state.committed)
            for voter in voters
        )
        if not fully_replicated:
            return state
        machines = tuple(
            replace(machine, counted_lost=machine.counted_lost and not machine.running)
            for machine in state.machines
        )
        return replace(state, machines=machines)

    def changes(self, state: State, leader: int) -> Iterator[State]:
        """The membership change that the policy decides on, given the leader's view."""
        log = state.machines[leader].log
        voters = voters_of(log)
        views = [self.view(state, voter, leader) for voter in voters]
        voter_machines = {number for number, _ in voters}
        learners = [
            LearnerView(
                _member(number, machine.incarnation), machine.log[: len(state.committed)] == state.committed
            )
            for number, machine in enumerate(state.machines)
            if machine.running
            and (number, machine.incarnation) not in voters
            and (number not in voter_machines or state.machines[number].incarnation > 0)
        ]
        change = self.policy.decide(views, learners)
        if change is None:
            return
        voter = (change.member.address[1], change.member.incarnation - 1)
        if change.kind is ChangeKind.ADD:
            after = (*voters, voter)
        else:
            after = tuple(each for each in voters if each != voter)
        yield self.with_entry(state, leader, LogEntry(state.term, voters=after))

    def view(self, state: State, voter: tuple[int, int], leader: int) -> VoterView:
        number, incarnation = voter
        machine = state.machines[number]
        superseded = machine.running and machine.incarnation != incarnation
        unavailable = superseded or not machine.running
        return VoterView(
            _member(number, incarnation),
            UNRESPONSIVE_S if unavailable else 0.0,
            superseded,
            is_leader=number == leader,
        )


def _member(number: int, incarnation: int) -> Member:
    return Member(("m", number), incarnation + 1)


def _with_machine(state: State, number: int, machine: Machine) -> tuple[Machine, ...]:
    return (*state.machines[:number], machine, *state.machines[number + 1 :])


def _common_prefix_length(one: tuple[LogEntry, ...], other: tuple[LogEntry, ...]) -> int:
    """The length of the common prefix of two logs."""
    length = 0
    for one_entry, other_entry in zip(one, other, strict=False):
        if one_entry != other_entry:
            break
        length += 1
    return length
