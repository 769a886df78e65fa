"""Scripted scenarios: no invariant is violated under one kind of fault."""

from __future__ import annotations

import pytest

from tests.fleet.replication.histories import Ending, run_history
from tests.fleet.replication.scenarios import SCENARIOS

HISTORIES = 3  # seeds; of three, five and seven machines if the scenario varies them


@pytest.mark.parametrize("seed", range(HISTORIES))
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_scenario_violates_no_invariant(scenario: str, seed: int) -> None:
    outcome = run_history(scenario, seed)
    assert outcome.ending is Ending.PASSED, outcome.reason
