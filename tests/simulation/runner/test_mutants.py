"""Each mutant is caught by its rule, and the proxy as it is breaks none on the same days."""

from __future__ import annotations

import pytest

from firvane.simulation.emulation.verdict import Grade
from firvane.simulation.runner.run import rehearse
from tests.simulation.runner.mutants import MUTANTS, SEED, Mutant


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_a_broken_proxy_is_caught(mutant: Mutant) -> None:
    with mutant.broken():
        result = rehearse(mutant.scenario, SEED)
    found = result.broken_rules if mutant.grade is Grade.BROKEN else result.costs
    caught = [one for one in found if one.rule is mutant.rule]
    assert caught and all(one.proxy and one.replay == result.replay for one in caught)


def test_the_proxy_as_it_is_breaks_no_rule_on_the_same_days() -> None:
    days = {mutant.scenario: mutant.grade for mutant in MUTANTS}
    for day in days:
        result = rehearse(day, SEED)
        assert not result.broken_counts and not result.cost_counts
        assert result.requests.asked > 200
