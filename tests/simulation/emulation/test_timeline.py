"""Tests of troubles (targets, times, overlaps) and of drawn and shipped scenarios."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise
from math import inf
from typing import get_args

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.fleet import asked, fleet, serve
from firvane.simulation.emulation.random_scenarios import KINDS, balance, draw
from firvane.simulation.emulation.scenario import Boxes, Scenario, Trouble, TroubleKind
from firvane.simulation.emulation.scenarios import load_named, scenario_names
from firvane.simulation.emulation.timeline import Action, Step, Timeline
from tests.proxy.net.helpers import seeded


def plan(*troubles: Trouble, boxes: int = 14) -> Timeline:
    return Timeline(Scenario(name="test", boxes=Boxes(count=boxes), troubles=troubles), 1)


def of(timeline: Timeline, *actions: Action) -> list[Step]:
    return [step for step in timeline.steps() if step.action in actions]


trouble = st.builds(
    Trouble, kind=st.sampled_from(get_args(TroubleKind)), at_s=st.floats(0.0, 50.0),
    for_s=st.floats(0.0, 20.0), drain_s=st.floats(0.0, 6.0), zone=st.sampled_from(["", "yaba"]),
    part=st.floats(0.0, 1.0), batch=st.floats(0.01, 0.5),
)  # fmt: skip
ALLOWED = {
    Action.DRAIN: {"here", "silent"}, Action.STOP: {"here", "draining"}, Action.RESTART: {"down", "silent"},
    Action.SILENCE: {"here"}, Action.PAUSE: {"here"}, Action.RESET: {"here"},
    Action.SLOW: {"here", "silent", "down", "draining"},
}  # fmt: skip
AFTER = {Action.DRAIN: "draining", Action.STOP: "down", Action.RESTART: "here", Action.SILENCE: "silent"}


@seeded
@given(st.lists(trouble, max_size=7), st.integers(1, 20))
def test_overlapping_troubles_affect_available_backends_only(troubles: list[Trouble], boxes: int) -> None:
    timeline = plan(*troubles, boxes=boxes)
    assert timeline.steps() == plan(*troubles, boxes=boxes).steps()
    states = dict.fromkeys((place.name for place in timeline.fleet), "here")
    for step, later in pairwise([*timeline.steps(), Step(inf, Action.HEAL)]):
        assert step.at <= min(later.at, 60.0)
        if step.action is Action.START:
            assert step.box not in states
            states[step.box] = "here"
        elif step.box:
            before = states[step.box]
            assert before in ALLOWED[step.action]
            gone = before == "draining" and step.action is Action.STOP
            states[step.box] = "gone" if gone else AFTER.get(step.action, before)


@pytest.mark.parametrize(("for_s", "last"), [(35.0, 45.0), (5.0, 31.0)])
def test_a_deploy_replaces_its_part_in_batches_each_after_the_one_before(for_s: float, last: float) -> None:
    timeline = plan(Trouble(kind="deploy", at_s=10.0, for_s=for_s, part=0.93, batch=0.2, drain_s=3.0))
    out = [0]
    for step in of(timeline, Action.START, Action.DRAIN):
        out.append(out[-1] + (1 if step.action is Action.DRAIN else -1))
    started = of(timeline, Action.START)
    assert (len(started), max(out), out[-1], started[-1].at) == (13, 2, 0, pytest.approx(last))
    before = Counter((place.zone, place.kind.name) for place in timeline.fleet)
    assert not Counter((step.zone, step.kind) for step in started) - before


@pytest.mark.parametrize(("kind", "left"), [("silent", 14), ("crash", 10)])
def test_a_trouble_stays_in_its_zone_and_a_deploy_replaces_failed_backends(
    kind: TroubleKind, left: int
) -> None:
    away = Trouble(kind=kind, at_s=5.0, for_s=20.0, zone="yaba", part=1.0)
    struck = [step.box for step in of(plan(away), Action.SILENCE, Action.STOP)]
    assert sorted(struck) == sorted(place.name for place in plan().fleet if place.zone == "yaba")
    assert [step.at for step in of(plan(away), Action.RESTART)] == [25.0] * 4
    both = plan(away, Trouble(kind="deploy", at_s=6.0, for_s=10.0, part=1.0, batch=1.0))
    assert of(both, Action.RESTART) == [] and len(of(both, Action.START)) == len(of(both, Action.STOP)) == 14
    assert len(of(both, Action.DRAIN)) == left  # crashed backends don't drain


def test_slowness_multiplies_and_one_trouble_more_leaves_the_draws_of_the_others() -> None:
    slow = [Trouble(kind="slow", at_s=at, for_s=10.0, part=1.0, part_speed=0.5) for at in (5.0, 8.0)]
    steps = of(plan(*slow, boxes=1), Action.SLOW)
    assert [(step.at, step.value) for step in steps] == [(5.0, 0.5), (8.0, 0.25), (15.0, 0.5), (18.0, 1.0)]
    crash = Trouble(kind="crash", at_s=20.0, for_s=5.0)
    assert of(plan(crash, *slow), Action.STOP) == of(plan(crash), Action.STOP) != []


def test_proxies_are_killed_and_launched_and_troubles_are_recorded() -> None:
    timeline = plan(Trouble(kind="kill", at_s=5.0, proxy=1), Trouble(kind="restart", at_s=7.0, proxy=2))
    killed = (Step(5.0, Action.KILL, proxy="proxy-1"), Step(6.0, Action.LAUNCH, proxy="proxy-1"))
    assert timeline.steps() == [*killed, Step(7.0, Action.END, proxy="proxy-2")]
    assert timeline.shaded() == [(5.0, 6.0, "kill proxy-1"), (7.0, 8.0, "restart proxy-2")]


def test_a_herd_is_part_of_the_proxies_killed_at_once_and_launched_together() -> None:
    timeline = plan(Trouble(kind="herd", at_s=5.0, part=0.67))
    killed, launched = of(timeline, Action.KILL), of(timeline, Action.LAUNCH)
    assert [step.at for step in killed] == [5.0, 5.0] and [step.at for step in launched] == [6.0, 6.0]
    assert {step.proxy for step in killed} == {step.proxy for step in launched} and len(killed) == 2
    assert timeline.shaded() == [(5.0, 6.0, "herd 67% of the proxies")]


def test_drawn_scenarios_overlap_reach_every_kind_and_can_be_served() -> None:
    drawn = [draw(seed) for seed in range(100)]
    assert {one.kind for scenario in drawn for one in scenario.troubles} == set(KINDS)
    assert draw(3) == drawn[3]
    for scenario in drawn:
        timeline = Timeline(scenario, scenario.seed)
        assert balance(scenario).utilisation < 0.6 and scenario.troubles[-1].at_s <= 50.0
        assert any(two.at < one.until for one, two in pairwise(timeline.shaded())), scenario.name
        silent = Counter(step.at for step in of(timeline, Action.SILENCE))
        assert all(count <= max(1, 0.2 * scenario.boxes.count) for count in silent.values())


@pytest.mark.parametrize("name", scenario_names())
def test_a_shipped_scenario_is_named_as_its_file_explained_and_serviceable(name: str) -> None:
    scenario = load_named(name)
    assert scenario.name == name and len(scenario.about) > 80 and balance(scenario).utilisation < 0.5
    assert bool(Timeline(scenario, scenario.seed).steps()) == bool(scenario.troubles)
    assert bool(scenario.troubles or scenario.roll) == (name != "quiet-sunday")


def test_the_quiet_fleet_serves_its_members_where_keys_keep_to_their_boxes() -> None:
    scenario = load_named("quiet-sunday")
    tries = asked(scenario, 10.0)
    at = {one.call: one.at for one in tries}
    done = serve(fleet(scenario), tries)
    in_time = [one for one in done if one.at - at[one.call] <= scenario.load.aim_s]
    assert len(tries) > 6500 and len(in_time) / len(tries) > 0.98
