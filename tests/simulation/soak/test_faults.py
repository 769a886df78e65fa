"""The table of deliberate faults is one of this program: what each replaces stands in its file, once."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from tests.simulation.soak.faults import FAULTS, Fault

ROOT = Path(__file__).resolve().parents[3]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_a_fault_changes_what_is_there(fault: Fault) -> None:
    text = (ROOT / fault.file).read_text()
    assert text.count(fault.old) == 1 and fault.old != fault.new
    ast.parse(text.replace(fault.old, fault.new))


def test_there_are_enough_and_each_rule_that_the_incidents_broke_has_two() -> None:
    rules = [fault.rule for fault in FAULTS]
    assert len(FAULTS) >= 8 and rules.count("LOST") >= 2 and rules.count("BUDGET") >= 2
