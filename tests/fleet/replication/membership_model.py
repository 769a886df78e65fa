"""An abstract model of one group's log and voters under losses of disks, explored whole.

Each replica is a disk with a log; messages, times and syncs are left out: a step copies one entry, commits,
elects, loses a disk or a machine for a while, or makes the change that the real policy asks for. Losses are
as many at once as the group is promised to bear. A disk counts as lost until its machine's new replica, or
another one in its place, is a voter that has everything and the group is whole again, as the time that a
repair is given must suffice.
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

LONG = 10.0  # seconds for which a voter has been silent


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry: a command, the first of a term, or voters by machine and incarnation."""

    term: int
    command: int = 0
    voters: tuple[tuple[int, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine with its present disk."""

    incarnation: int = 0
    running: bool = True
    log: tuple[LogEntry, ...] = ()
    counted_lost: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """A state of the model; `committed` is the longest history that a leader has committed."""

    machines: tuple[Machine, ...]
    leader: int | None
    term: int
    commands: int
    committed: tuple[LogEntry, ...]
    losses: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much may happen."""

    machines: int = 4
    voters: int = 3
    commands: int = 2
    losses: int = 2
    terms: int = 3
    at_once: int = 1
    absences: bool = False  # machines may also be away, and come back with what they had


class BrokenModelError(AssertionError):
    """A state that must not be reached; the text says why."""


def voters_of(log: tuple[LogEntry, ...]) -> tuple[tuple[int, int], ...]:
    """The voters that a log names last."""
    return next((entry.voters for entry in reversed(log) if entry.voters), ())


class Model:
    """The steps of the model, with the policy under test."""

    def __init__(self, bounds: Bounds, policy: MembershipPolicy | None = None) -> None:
        self.bounds = bounds
        self.policy = policy or MembershipPolicy(bounds.voters, 1.2, 2.0, 0.3)

    def first(self) -> State:
        """A founded group whose first leader has committed that."""
        voters = tuple((number, 0) for number in range(self.bounds.voters))
        log = (LogEntry(0, voters=voters), LogEntry(1))
        machines = [
            Machine(log=log if number < self.bounds.voters else ()) for number in range(self.bounds.machines)
        ]
        return State(tuple(machines), 0, 1, 0, log, 0)

    def explore(self, most: int = 10_000_000) -> int:
        """Every state that can be reached, breadth first and checked; how many there are, at the `most`."""
        first = self.first()
        seen, waiting = {first}, deque([first])
        while waiting and len(seen) < most:
            state = waiting.popleft()
            self.check(state)
            for following in self.steps(state):
                if following not in seen:
                    seen.add(following)
                    waiting.append(following)
        return len(seen)

    # Checks

    def check(self, state: State) -> None:
        """What was committed is with whoever can be elected, and somebody can be."""
        able = [number for number in range(len(state.machines)) if self.is_electable(state, number)]
        if not able and state.leader is None:
            raise BrokenModelError(f"nobody can be elected: {state}")
        for number in able:
            log = state.machines[number].log
            if log[: len(state.committed)] != state.committed:
                raise BrokenModelError(f"{number} can be elected without what is committed: {state}")

    def is_electable(self, state: State, number: int) -> bool:
        """Whether a majority of the voters that a machine knows would vote for it."""
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
        """All states that follow."""
        yield from self.losses(state)
        yield from self.returns(state)
        if state.term < self.bounds.terms:
            yield from self.elections(state)
        if state.leader is not None:
            yield from self.leads(state, state.leader)

    def losses(self, state: State) -> Iterator[State]:
        lost = sum(machine.counted_lost for machine in state.machines)
        if state.losses == self.bounds.losses or lost >= self.bounds.at_once:
            return
        for number, machine in enumerate(state.machines):
            if not machine.running:
                continue
            leader = None if state.leader == number else state.leader
            after = [Machine(self.next_incarnation(machine), False, (), True)]
            if self.bounds.absences:
                after.append(replace(machine, running=False, counted_lost=True))
            for lost_machine in after:
                yield replace(
                    state, machines=_put(state, number, lost_machine), leader=leader, losses=state.losses + 1
                )

    def next_incarnation(self, machine: Machine) -> int:
        """The incarnation of a machine's next disk."""
        return machine.incarnation + 1

    def returns(self, state: State) -> Iterator[State]:
        for number, machine in enumerate(state.machines):
            if not machine.running:
                yield replace(state, machines=_put(state, number, replace(machine, running=True)))

    def elections(self, state: State) -> Iterator[State]:
        for number in range(len(state.machines)):
            if number != state.leader and self.is_electable(state, number):
                machine = state.machines[number]
                log = (*machine.log, LogEntry(state.term + 1))
                yield replace(
                    state,
                    machines=_put(state, number, replace(machine, log=log)),
                    leader=number,
                    term=state.term + 1,
                )

    def leads(self, state: State, leader: int) -> Iterator[State]:
        log = state.machines[leader].log
        if state.commands < self.bounds.commands:
            entry = LogEntry(state.term, command=state.commands + 1)
            yield self.appended(replace(state, commands=state.commands + 1), leader, entry)
        yield from self.replications(state, leader)
        yield from self.commits(state, leader)
        if self.may_change(state, log):
            yield from self.changes(state, leader)

    def may_change(self, state: State, log: tuple[LogEntry, ...]) -> bool:
        """One change at a time, and none before an entry of the leader's term is committed."""
        changed_at = max(index for index, entry in enumerate(log, 1) if entry.voters)
        own_committed = state.committed[-1].term == state.term
        is_here = log[: len(state.committed)] == state.committed
        return own_committed and is_here and changed_at <= len(state.committed)

    def appended(self, state: State, leader: int, entry: LogEntry) -> State:
        machine = state.machines[leader]
        return replace(state, machines=_put(state, leader, replace(machine, log=(*machine.log, entry))))

    def replications(self, state: State, leader: int) -> Iterator[State]:
        """One entry more to one replica; what disagrees with the leader's log goes first."""
        log = state.machines[leader].log
        for number, machine in enumerate(state.machines):
            if number == leader or not machine.running:
                continue
            agreed = _agreement(machine.log, log)
            if agreed < len(log):
                yield replace(state, machines=_put(state, number, replace(machine, log=log[: agreed + 1])))

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
        return _agreement(machine.log, log) if same else 0

    def repaired(self, state: State, leader: int) -> State:
        """Losses no longer count once the group is whole: all its voters run and hold what is committed."""
        voters = voters_of(state.committed)
        whole = len(voters) >= self.bounds.voters and all(
            self.replicated_length(state, state.machines[leader].log, voter) >= len(state.committed)
            for voter in voters
        )
        if not whole:
            return state
        machines = tuple(
            replace(machine, counted_lost=machine.counted_lost and not machine.running)
            for machine in state.machines
        )
        return replace(state, machines=machines)

    def changes(self, state: State, leader: int) -> Iterator[State]:
        """The change of the voters that the policy asks for in what the leader sees."""
        log = state.machines[leader].log
        voters = voters_of(log)
        views = [self.view(state, voter, leader) for voter in voters]
        known = {number for number, _ in voters}
        learners = [
            LearnerView(
                _member(number, machine.incarnation), machine.log[: len(state.committed)] == state.committed
            )
            for number, machine in enumerate(state.machines)
            if machine.running
            and (number, machine.incarnation) not in voters
            and (number not in known or state.machines[number].incarnation > 0)
        ]
        change = self.policy.decide(views, learners)
        if change is None:
            return
        voter = (change.member.address[1], change.member.incarnation - 1)
        if change.kind is ChangeKind.ADD:
            after = (*voters, voter)
        else:
            after = tuple(each for each in voters if each != voter)
        yield self.appended(state, leader, LogEntry(state.term, voters=after))

    def view(self, state: State, voter: tuple[int, int], leader: int) -> VoterView:
        number, incarnation = voter
        machine = state.machines[number]
        superseded = machine.running and machine.incarnation != incarnation
        gone = superseded or not machine.running
        return VoterView(
            _member(number, incarnation), LONG if gone else 0.0, superseded, is_leader=number == leader
        )


def _member(number: int, incarnation: int) -> Member:
    return Member(("m", number), incarnation + 1)


def _put(state: State, number: int, machine: Machine) -> tuple[Machine, ...]:
    return (*state.machines[:number], machine, *state.machines[number + 1 :])


def _agreement(one: tuple[LogEntry, ...], other: tuple[LogEntry, ...]) -> int:
    """The length of the common beginning of two logs."""
    length = 0
    for ours, theirs in zip(one, other, strict=False):
        if ours != theirs:
            break
        length += 1
    return length
