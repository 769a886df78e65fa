"""Cold boxes in whole runs, where what the proxies think of them is far off."""

from __future__ import annotations

from unittest.mock import patch

import pytest

from firvane.proxy.capacity import slow_start
from firvane.simulation.emulation.scenario import Boxes, Load, Scenario, Trouble
from firvane.simulation.runner.run import rehearse

DEPLOY = Trouble(kind="deploy", at_s=2.0, for_s=6.0, part=0.9, batch=0.25, drain_s=1.0)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_budget_three_times_too_high_pushes_no_cold_box_over(seed: int) -> None:
    load = Load(rate=160.0, keys=300, body_bytes=200)
    day = Scenario(name="cold", seconds=14.0, boxes=Boxes(count=4), load=load, troubles=(DEPLOY,))
    with patch.object(slow_start, "OVERCOMMIT", 3 * slow_start.OVERCOMMIT):
        result = rehearse(day, seed)
    assert result.well
    assert not result.near  # 0.4 of what it may be sent is all that it can do
