"""The worlds find deliberate faults of the code; all: `python -m tests.fleet.replication.mutants`."""

from __future__ import annotations

import sys

import pytest

from firvane.fleet.replication import core
from tests.fleet.replication.mutant import Mutant, mutant
from tests.fleet.replication.mutants import MUTANTS, UNDETECTED, MutantRunner
from tests.fleet.replication.mutation import Edit, SourceMismatchError, edited_source

READS = "firvane.fleet.replication.reads"
RUNNER = MutantRunner()  # plays each history of the unchanged code once for all tests


def _name(known: Mutant) -> str:
    return known.name


@pytest.mark.parametrize("known", (*MUTANTS, *UNDETECTED), ids=_name)
def test_a_mutant_still_matches_the_code(known: Mutant) -> None:
    for module in {edit.module for edit in known.edits}:
        edits = [edit for edit in known.edits if edit.module == module]
        compile(edited_source(module, edits), module, "exec")


@pytest.mark.parametrize("known", MUTANTS, ids=_name)
def test_a_mutant_is_caught_by_a_broken_promise(known: Mutant) -> None:
    assert known.revealing_seed in known.seeds
    result = RUNNER.run(known, (known.revealing_seed,))
    assert result.baseline_failures == ()
    assert result.caught, result.crashes


def test_names_are_unique() -> None:
    names = [known.name for known in (*MUTANTS, *UNDETECTED)]
    assert len(set(names)) == len(names)


def test_a_crash_catches_nothing() -> None:
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


def test_the_unchanged_code_is_no_mutant() -> None:
    same = mutant("same", "nothing", "rejoining", (0, 1), None)
    assert not RUNNER.run(same).caught


def test_a_text_that_is_not_there_once_fails_loudly() -> None:
    with pytest.raises(SourceMismatchError, match="0 places"):
        edited_source(
            "firvane.fleet.replication.reads", [Edit("firvane.fleet.replication.reads", "no such text", "")]
        )
    with pytest.raises(SourceMismatchError, match="places"):
        edited_source(
            "firvane.fleet.replication.reads", [Edit("firvane.fleet.replication.reads", "self", "")]
        )


def test_a_mutant_leaves_no_trace() -> None:
    before = {
        name: module for name, module in sys.modules.items() if "replication" in name or "storage" in name
    }
    RUNNER.run(MUTANTS[0], (MUTANTS[0].seeds[0],))
    after = {
        name: module for name, module in sys.modules.items() if "replication" in name or "storage" in name
    }
    assert before == after
    assert before["firvane.fleet.replication.core"] is core is sys.modules["firvane.fleet.replication"].core
