"""Exhaustive exploration of a model of a group's voters, and deliberate faults that the model reveals.

`python -m tests.fleet.replication.test_membership_model` explores larger models.
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

SMALL_MODELS = {
    "three machines, two disk losses in turn": (Bounds(machines=3, commands=1, losses=2, terms=2), 18_544),
    "three machines, one disk loss or stop": (
        Bounds(machines=3, commands=1, losses=1, terms=2, stops=True),
        4_393,
    ),
    "three machines and a spare, one loss": (
        Bounds(machines=4, commands=0, losses=1, terms=2, stops=True),
        5_639,
    ),
}
LARGE_MODELS = (
    Bounds(machines=4, commands=1, losses=1, terms=2, stops=True),
    Bounds(machines=4, commands=1, losses=2, terms=2),
    Bounds(machines=3, commands=2, losses=2, terms=3),
)
MAX_STATES = 60_000  # states within which a fault must be revealed


@pytest.mark.parametrize("name", SMALL_MODELS)
def test_every_state_keeps_committed_entries_and_an_electable_machine(name: str) -> None:
    bounds, states = SMALL_MODELS[name]
    assert Model(bounds).explore() == states


class SameIncarnation(Model):
    """A machine keeps its incarnation when its disk is lost."""

    def next_incarnation(self, machine: Machine) -> int:
        return machine.incarnation


class SeveralChanges(Model):
    """A membership change starts before the previous one is committed."""

    def may_change(self, state: State, log: tuple[LogEntry, ...]) -> bool:
        changes = sum(1 for entry in log if entry.voters)
        return changes < 4


class MinorityCommits(Model):
    """An entry is committed once one voter less than a majority has the entry."""

    def commits(self, state: State, leader: int) -> Iterator[State]:
        log = state.machines[leader].log
        voters = voters_of(log)
        lengths = sorted((self.replicated_length(state, log, voter) for voter in voters), reverse=True)
        index = lengths[quorum_of(len(voters)) - 2]
        if index > len(state.committed) and log[index - 1].term == state.term:
            yield self.repaired(replace(state, committed=log[:index]), leader)


class RepairedTooEarly(Model):
    """A loss stops counting before the group is fully replicated again.

    This breaks the assumption that the time between losses (`catch_up_s`) suffices for the repair.
    """

    def repaired(self, state: State, leader: int) -> State:
        machines = tuple(replace(machine, counted_lost=False) for machine in state.machines)
        return replace(state, machines=machines)


@pytest.mark.parametrize(
    ("fault", "bounds"),
    [
        (SameIncarnation, Bounds(machines=3, commands=1, losses=1, terms=2)),
        (SeveralChanges, Bounds(machines=4, commands=0, losses=1, terms=3, stops=True)),
        (MinorityCommits, Bounds(machines=3, commands=1, losses=1, terms=2)),
        (RepairedTooEarly, Bounds(machines=3, commands=1, losses=2, terms=2)),
    ],
)
def test_a_faulty_model_is_detected(fault: type[Model], bounds: Bounds) -> None:
    Model(bounds).explore(1_000)
    with pytest.raises(BrokenModelError):
        fault(bounds).explore(MAX_STATES)


if __name__ == "__main__":
    for bounds in LARGE_MODELS:
        started = time.monotonic()
        print(f"{bounds}: {Model(bounds).explore()} states, {time.monotonic() - started:.0f} s", flush=True)
