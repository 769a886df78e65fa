"""The small soak of CI: three fixed seeds and a plan that was shortened, with the real daemons.

Seed 3 kills most routers while backends fail, seed 8 restarts them in series with a second SIGTERM and under
a processor quota, seed 10 restarts all of them under a burst. Its bounds are those of the pages, and it waits
for events; on the program before both mends of the incident these seeds break BUDGET, LOST and LOST.
`plans/taken-after-sigterm.json` is what `--shrink` left of seed 10 on that program: one router's restart.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from firvane.simulation.soak.command import play
from firvane.simulation.soak.event_trace import tell
from firvane.simulation.soak.plan import SIZES, Plan, draw_plan, plan_from_json
from firvane.simulation.soak.records import AttemptEnd

SEEDS = (3, 8, 10)
PLANS = Path(__file__).parent / "plans"


def check(plan: Plan) -> None:
    """Play a plan; no rule may be broken."""
    outcome = play(plan)
    stories = "\n\n".join(tell(violation, outcome.played) for violation in outcome.violations)
    assert not outcome.violations, stories
    ends = [each.end for each in outcome.played.record.attempts.values()]
    assert ends.count(AttemptEnd.WHOLE) > 100  # it was played


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken(seed: int) -> None:
    check(draw_plan(seed, SIZES["small"]))


def test_no_rule_is_broken_by_a_plan_that_was_shortened() -> None:
    check(plan_from_json((PLANS / "taken-after-sigterm.json").read_text()))
