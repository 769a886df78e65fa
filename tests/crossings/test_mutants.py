"""The table of mutants is one of this program: what each replaces stands in its file, once."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.crossings.mutants import Mutant, mutants

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("mutant", mutants(), ids=lambda mutant: mutant.promise)
def test_a_mutant_changes_what_is_there(mutant: Mutant) -> None:
    assert (ROOT / mutant.file).read_text().count(mutant.old) == 1 and mutant.old != mutant.new
    assert (ROOT / mutant.test.split()[0].partition("::")[0]).exists()
