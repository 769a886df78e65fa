"""The simulation reveals each mutant of the code, with one seed each.

`python -m tests.fleet.replication.mutants` runs all seeds.
"""

from __future__ import annotations

import sys

import pytest

from firvane.fleet.replication import core
from tests.fleet.replication.mutant import Mutant, mutant
from tests.fleet.replication.mutants import MUTANTS, UNDETECTED, MutantRunner
from tests.fleet.replication.mutation import Edit, SourceMismatchError, edited_source

READS = "firvane.fleet.replication.reads"
RUNNER = MutantRunner()  # shared by all tests, so that each run of the unchanged code is done once


def _mutant_name(mutant_under_test: Mutant) -> str:
    return mutant_under_test.name


@pytest.mark.parametrize("mutant_under_test", (*MUTANTS, *UNDETECTED), ids=_mutant_name)
def test_the_edits_of_a_mutant_match_the_source(mutant_under_test: Mutant) -> None:
    for module in {edit.module for edit in mutant_under_test.edits}:
        edits = [edit for edit in mutant_under_test.edits if edit.module == module]
        compile(edited_source(module, edits), module, "exec")


@pytest.mark.parametrize("mutant_under_test", MUTANTS, ids=_mutant_name)
def test_a_mutant_violates_an_invariant(mutant_under_test: Mutant) -> None:
    assert mutant_under_test.revealing_seed in mutant_under_test.seeds
    result = RUNNER.run(mutant_under_test, (mutant_under_test.revealing_seed,))
    assert result.baseline_failures == ()
    assert result.caught, result.crashes


def test_mutant_names_are_unique() -> None:
    names = [mutant_under_test.name for mutant_under_test in (*MUTANTS, *UNDETECTED)]
    assert len(set(names)) == len(names)


def test_a_crash_does_not_count_as_caught() -> None:
    crashing = mutant(
        "crash",
        "the code raises",
        "rejoining",
        (0,),
        None,
        (
            "replication.leadership",
            "return self.confirmed_at(now) + self.core.timing.lease_duration_s",
            "raise KeyError",
        ),
    )
    result = RUNNER.run(crashing)
    assert result.crashes == ("KeyError: ",)
    assert not result.caught


def test_unchanged_code_is_not_caught() -> None:
    same = mutant("same", "nothing", "rejoining", (0, 1), None)
    assert not RUNNER.run(same).caught


def test_an_edit_must_match_exactly_once() -> None:
    with pytest.raises(SourceMismatchError, match="0 places"):
        edited_source(
            "firvane.fleet.replication.reads", [Edit("firvane.fleet.replication.reads", "no such text", "")]
        )
    with pytest.raises(SourceMismatchError, match="places"):
        edited_source(
            "firvane.fleet.replication.reads", [Edit("firvane.fleet.replication.reads", "self", "")]
        )


def test_running_a_mutant_restores_the_loaded_modules() -> None:
    before = {
        name: module for name, module in sys.modules.items() if "replication" in name or "storage" in name
    }
    RUNNER.run(MUTANTS[0], (MUTANTS[0].seeds[0],))
    after = {
        name: module for name, module in sys.modules.items() if "replication" in name or "storage" in name
    }
    assert before == after
    assert before["firvane.fleet.replication.core"] is core is sys.modules["firvane.fleet.replication"].core
