"""The voters of a group as a model that is explored whole, and the deliberate faults that it finds.

More by `python -m tests.fleet.replication.test_membership_model`.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import replace

import pytest

from firvane.fleet.replication.types import quorum_of
from tests.fleet.replication.membership_model import (
    Bounds,
    BrokenModelError,
    LogEntry,
    Machine,
    Model,
    State,
    voters_of,
)

EXPLORED = {
    "three, two disks one after the other": (Bounds(machines=3, commands=1, losses=2, terms=2), 18_544),
    "three, a disk or an absence": (Bounds(machines=3, commands=1, losses=1, terms=2, absences=True), 4_393),
    "three and a spare, one loss": (
        Bounds(machines=4, commands=0, losses=1, terms=2, absences=True),
        5_639,
    ),
}
DEEP = (
    Bounds(machines=4, commands=1, losses=1, terms=2, absences=True),
    Bounds(machines=4, commands=1, losses=2, terms=2),
    Bounds(machines=3, commands=2, losses=2, terms=3),
)
MOST = 60_000  # states in which a fault must have shown


@pytest.mark.parametrize("name", EXPLORED)
def test_no_state_loses_what_is_committed_or_the_majority(name: str) -> None:
    bounds, states = EXPLORED[name]
    assert Model(bounds).explore() == states


class SameIncarnation(Model):
    """A disk that was lost comes back as the replica that it was."""

    def next_incarnation(self, machine: Machine) -> int:
        return machine.incarnation


class SeveralChanges(Model):
    """A change of the voters begins before the one before it is committed."""

    def may_change(self, state: State, log: tuple[LogEntry, ...]) -> bool:
        changes = sum(1 for entry in log if entry.voters)
        return changes < 4


class MinorityCommits(Model):
    """An entry is committed once one voter less than a majority has it."""

    def commits(self, state: State, leader: int) -> Iterator[State]:
        log = state.machines[leader].log
        voters = voters_of(log)
        lengths = sorted((self.replicated_length(state, log, voter) for voter in voters), reverse=True)
        index = lengths[quorum_of(len(voters)) - 2]
        if index > len(state.committed) and log[index - 1].term == state.term:
            yield self.repaired(replace(state, committed=log[:index]), leader)


class RepairedTooEarly(Model):
    """A loss stops counting while the group is not whole: the promise that `catch_up_s` is long enough."""

    def repaired(self, state: State, leader: int) -> State:
        machines = tuple(replace(machine, counted_lost=False) for machine in state.machines)
        return replace(state, machines=machines)


@pytest.mark.parametrize(
    ("fault", "bounds"),
    [
        (SameIncarnation, Bounds(machines=3, commands=1, losses=1, terms=2)),
        (SeveralChanges, Bounds(machines=4, commands=0, losses=1, terms=3, absences=True)),
        (MinorityCommits, Bounds(machines=3, commands=1, losses=1, terms=2)),
        (RepairedTooEarly, Bounds(machines=3, commands=1, losses=2, terms=2)),
    ],
)
def test_a_fault_of_the_model_is_found(fault: type[Model], bounds: Bounds) -> None:
    Model(bounds).explore(1_000)
    with pytest.raises(BrokenModelError):
        fault(bounds).explore(MOST)


if __name__ == "__main__":
    for deep in DEEP:
        began = time.monotonic()
        print(f"{deep}: {Model(deep).explore()} states, {time.monotonic() - began:.0f} s", flush=True)
