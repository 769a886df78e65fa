"""Told histories: what one trouble in a calm world must not cost."""

from __future__ import annotations

import pytest

from tests.fleet.replication.histories import Ending, outcome
from tests.fleet.replication.scenarios import SCENARIOS

HISTORIES = 3  # of three, five and seven machines where the scenario has them


@pytest.mark.parametrize("seed", range(HISTORIES))
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_no_promise_is_broken_in_a_scenario(scenario: str, seed: int) -> None:
    end = outcome(scenario, seed)
    assert end.ending is Ending.PASSED, end.reason
