"""The turn budget: no connection exceeds its share or starves, and urgent ones are served first."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core.turn_budget import FREE_UNITS, TurnBudget, step_units

TURN, SHARE = 12, 4
LARGEST_STEP = 3


class ManualLoop:
    """An event loop that runs the scheduled callbacks of one turn at a time."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], None]] = []
        self.budget = TurnBudget(self.calls.append, TURN, SHARE)

    def run(self) -> None:
        calls, self.calls[:] = list(self.calls), []
        for call in calls:
            call()


class Worker:
    """A connection with a number of steps of equal cost."""

    def __init__(self, name: str, log: list[str], steps: int, cost: int = 1, priority: int = 0) -> None:
        self.name, self.log, self.steps_left = name, log, steps
        self.cost, self.priority = cost, priority

    @property
    def has_work(self) -> bool:
        return self.steps_left > 0

    def step(self) -> int:
        self.steps_left -= 1
        self.log.append(self.name)
        return self.cost


WORK = st.lists(
    st.tuples(st.integers(0, 40), st.integers(1, LARGEST_STEP), st.integers(0, 3)), min_size=1, max_size=8
)


@given(WORK)
def test_all_work_is_done_and_the_work_of_a_turn_is_limited(work: list[tuple[int, int, int]]) -> None:
    # Guards against data of any size that is processed in one turn, which delays all other connections.
    turns, log = ManualLoop(), list[str]()
    workers = [Worker(str(place), log, *each) for place, each in enumerate(work)]
    cost = {worker.name: worker.cost for worker in workers}
    for worker in workers:
        turns.budget.submit(worker)
    max_turn_cost = TURN + LARGEST_STEP - 1
    assert sum(cost[name] for name in log) <= max_turn_cost
    for _ in range(sum(steps * units for steps, units, _ in work) + 1):
        del log[:]
        turns.run()
        assert sum(cost[name] for name in log) <= max_turn_cost
    assert not any(worker.steps_left for worker in workers) and not turns.budget.waiting


def test_each_connection_has_one_share_per_round() -> None:
    turns, log = ManualLoop(), list[str]()
    for name in "abcdefg":
        turns.budget.submit(Worker(name, log, 1000))
    for _ in range(70):
        turns.run()
    counts = Counter(log)
    assert max(counts.values()) - min(counts.values()) <= SHARE


def test_urgent_connections_with_constant_work_do_not_starve_others() -> None:
    turns, log = ManualLoop(), list[str]()
    patient = Worker("patient", log, 40, priority=5)
    busy = [Worker("urgent", log, 0, priority=1) for _ in range(2 * TURN // SHARE)]
    for _ in range(100):
        for worker in busy:
            worker.steps_left = SHARE
            turns.budget.submit(worker)
        turns.budget.submit(patient)
        turns.run()
    assert not patient.steps_left


def test_urgent_connections_are_first_in_a_round_and_others_are_not_starved() -> None:
    turns, log = ManualLoop(), list[str]()
    turns.budget.submit(Worker("first", log, 100))
    patient, urgent = Worker("patient", log, 100, priority=5), Worker("urgent", log, 100, priority=1)
    turns.budget.submit(patient)
    turns.budget.submit(urgent)
    del log[:]
    turns.run()
    assert log == SHARE * ["urgent"] + SHARE * ["patient"] + SHARE * ["first"]


def test_a_queued_connection_without_work_costs_nothing() -> None:
    turns, log = ManualLoop(), list[str]()
    turns.budget.submit(Worker("first", log, 100))
    gone = Worker("gone", log, 100)
    turns.budget.submit(gone)
    gone.steps_left = 0
    del log[:]
    turns.run()
    assert "gone" not in log


def test_an_exception_in_one_connection_leaves_none_waiting() -> None:
    # Guards against a step that raised, after which queued connections waited until others had work.
    turns, log = ManualLoop(), list[str]()

    class Faulty(Worker):
        def step(self) -> int:
            super().step()
            raise ValueError(self.name)

    turns.budget.submit(Worker("first", log, 2 * TURN))
    turns.budget.submit(Faulty("faulty", log, 1))
    patient = Worker("patient", log, 3)
    turns.budget.submit(patient)
    with pytest.raises(ValueError, match="faulty"):
        turns.run()
    turns.run()
    assert not patient.steps_left


def test_little_work_schedules_no_further_turn() -> None:
    # Guards against a further turn of the loop for each piece of a normal stream.
    turns, log = ManualLoop(), list[str]()
    turns.budget = TurnBudget(turns.calls.append)
    for _ in range(FREE_UNITS):
        turns.budget.submit(Worker("usual", log, 1))
    assert not turns.calls and len(log) == FREE_UNITS


def test_chunks_are_counted_by_their_bytes() -> None:
    assert step_units(16_384, is_chunked=False) == 1
    assert step_units(8_192, is_chunked=True) == 9
