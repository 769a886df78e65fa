"""What comes along: every scenario plays alike twice and brings about what it says, in a day made short."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from benchmarks.rehearsals import shortened
from benchmarks.situations import SITUATIONS, Check, Sight, played
from firvane.simulation.emulation.scenario import Boxes, Load, Scenario, Trouble
from firvane.simulation.emulation.scenarios import load_named, scenario_names

SHORT = 5.0  # s
FEW = 30.0  # requests a second


def test_each_scenario_but_the_large_one_has_figures_to_recognise_it_by() -> None:
    assert set(SITUATIONS) == set(scenario_names()) - {"large"}


@pytest.mark.parametrize("name", scenario_names())
def test_each_scenario_plays_alike_twice_and_strikes(name: str) -> None:
    whole = shortened(load_named(name), SHORT)
    few = whole.boxes.count if name != "large" else 14
    short = replace(
        whole,
        warm_up_s=1.0,
        boxes=replace(whole.boxes, count=few),
        load=replace(whole.load, rate=FEW),
        proxies=replace(whole.proxies, count=3, back_s=0.2),
    )
    first, second = (played(short, 2) for _ in range(2))
    assert first.result_hash == second.result_hash
    assert first.records == second.records > 100
    shown = {shade.name.split()[0] for shade in first.troubles}
    assert shown == {trouble.kind for trouble in short.troubles}


def test_a_silence_is_seen_in_what_boxes_do_and_in_what_they_can_do_after_it() -> None:
    silent = Trouble(kind="silent", at_s=2.0, for_s=3.0, zone="yaba", part=1.0)
    boxes, load = Boxes(count=6), Load(rate=80.0)
    day = Scenario(name="short", seconds=8.0, warm_up_s=1.0, boxes=boxes, load=load, troubles=(silent,))
    sight = Sight(day)
    result = played(day, 1, sight)
    struck = sight.struck("silent", 2.0)
    assert len(struck) == 2 and {sight.box_zone[box] for box in struck} == {"yaba"}
    assert sight.worked(struck, 1.0, 2.0) > 0.2 and sight.worked(struck, 2.001, 5.0) == 0
    assert len(sight.unheard) > 1 and all(2.0 <= at < 5.0 for at, _, _ in sight.unheard)
    warm, cold = (
        sum(one.capacity for one in sight.states(state) if one.box in struck) for state in ("warm", "cold")
    )
    assert cold / warm == pytest.approx(day.boxes.cold_share, rel=0.01)
    assert result.service > 0.9 and not result.broken_rules


def test_a_check_holds_within_its_bounds_alone() -> None:
    assert [Check("it", value, 1.0, 2.0).holds for value in (0.9, 1.0, 2.0, 2.1)] == [0, 1, 1, 0]
    assert str(Check("it", 1.0, 0.5, 1e9)) == "it: 1.000 (at least 0.5)"
