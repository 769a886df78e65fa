"""Whole days in simulated time: the decisions beside simple ways to place, and the emulated server itself."""

from __future__ import annotations

from dataclasses import replace

import pytest
import simpy

from tests.fleet.placement.emulated_server import EmulatedServer, Profile, ReadLog, Run
from tests.fleet.placement.lab import DAYS, WAYS
from tests.fleet.placement.lab_day import Result
from tests.fleet.placement.lab_world import World

SHORT = 10.0  # s


def play(day: str, way: str = "firvane", seed: int = 0, **changes: object) -> Result:
    changed: dict[str, object] = {"length": SHORT, **changes}
    return World(replace(DAYS[day], **changed), WAYS[way], seed).play()  # type: ignore[arg-type]


def test_it_scores_more_than_simple_policies() -> None:
    ours = play("normal")
    for way in ("random", "least in flight", "hash of last part", "hash of shared part"):
        assert ours.ratio > play("normal", way).ratio + 0.02, way


def test_short_requests_are_hardly_late_and_all_are_served() -> None:
    result = play("normal", seed=1)
    reply = result.tallies["reply"]
    assert reply.late < 0.07 * reply.requests  # most of it while all parts are read for the first time
    assert all(tally.served == tally.requests for tally in result.tallies.values())


def test_few_shared_blocks_are_prefilled_again() -> None:
    ours, random = play("quiet", seed=2), play("quiet", "random", seed=2)
    assert ours.log.again < 0.25 * random.log.again


def test_an_unresponsive_backend_costs_little() -> None:
    result = World(DAYS["dark"], WAYS["firvane"], 1).play()
    reply = result.tallies["reply"]
    assert reply.late < 0.06 * reply.requests
    assert reply.served > 0.99 * reply.requests


@pytest.mark.parametrize("day", ["errors", "mute"])
def test_a_server_that_fails_two_requests_in_five_costs_little(day: str) -> None:
    result, without = play(day, seed=1, length=16.0), play("normal", seed=1, length=16.0)
    reply, calm = result.tallies["reply"], without.tallies["reply"]
    assert reply.late - calm.late < 0.04 * reply.requests
    assert reply.served > 0.995 * reply.requests
    assert result.ratio > without.ratio - 0.03


def test_retries_stay_within_the_budget_on_a_crash() -> None:
    result = World(DAYS["crash"], WAYS["firvane"], 2).play()
    assert result.repeats < 0.2 * sum(tally.requests for tally in result.tallies.values())
    assert result.ratio > 0.85


@pytest.mark.parametrize("urgent_first", [False, True])
def test_an_emulated_server_reads_writes_and_keeps(urgent_first: bool) -> None:
    env, log = simpy.Environment(), ReadLog()
    server = EmulatedServer(env, "s", Profile(urgent_first=urgent_first, setup=0.0), log)
    firsts: list[float] = []
    ends: list[tuple[float, bool]] = []

    def ask(cache: tuple[tuple[int, int], ...]) -> None:
        run = Run(cache, 8, 1, lambda: firsts.append(env.now), lambda whole: ends.append((env.now, whole)))
        assert server.submit(run)

    ask(((1, 10_240), (2, 1)))
    env.run(until=1.0)
    assert firsts[0] == pytest.approx(11 * 0.005 + 10_241 / 51_000 + 3 * 0.005, abs=0.01)
    ask(((1, 10_240), (3, 1)))
    env.run(until=2.0)
    assert firsts[2] - 1.0 < 0.05  # the shared part is kept
    assert [whole for _, whole in ends] == [True, True]
    assert log.again == 0


def test_an_emulated_server_goes_dark_crashes_and_fills_up() -> None:
    env, ends = simpy.Environment(), list[bool]()
    server = EmulatedServer(env, "s", Profile(slots=1, queue=1, setup=0.0), ReadLog())

    def run() -> Run:
        return Run(((1, 100),), 400, 1, lambda: None, ends.append)

    assert server.submit(run()) and server.submit(run()) and not server.submit(run())
    server.set_dark(True)
    env.run(until=5.0)
    assert ends == []
    server.set_dark(False)
    env.run(until=6.0)
    server.crash()
    env.run(until=10.0)
    assert ends.count(False) >= 1 and len(ends) == 2
