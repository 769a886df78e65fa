"""Each deliberate fault applies to the current sources: the text that it replaces occurs exactly once."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from tests.simulation.soak.faults import FAULTS, Fault

ROOT = Path(__file__).resolve().parents[3]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_a_fault_replaces_text_that_occurs_exactly_once(fault: Fault) -> None:
    text = (ROOT / fault.file).read_text()
    assert text.count(fault.old) == 1 and fault.old != fault.new
    ast.parse(text.replace(fault.old, fault.new))


def test_there_are_at_least_eight_faults_and_two_for_each_rule_violated_in_the_incidents() -> None:
    rules = [fault.rule for fault in FAULTS]
    assert len(FAULTS) >= 8 and rules.count("LOST") >= 2 and rules.count("BUDGET") >= 2
