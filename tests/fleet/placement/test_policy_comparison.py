"""The balancer compared with simple policies in simulated scenarios, and the emulated server itself."""

from __future__ import annotations

from dataclasses import replace

import pytest
import simpy

from tests.fleet.placement.emulated_server import EmulatedServer, PrefillLog, Profile, ServerRequest
from tests.fleet.placement.policy_comparison import POLICIES, SCENARIOS
from tests.fleet.placement.simulated_fleet import SimulatedFleet
from tests.fleet.placement.simulation_scenario import Result

SHORT_DURATION = 10.0


def play(scenario: str, policy: str = "firvane", seed: int = 0, **changes: object) -> Result:
    changed: dict[str, object] = {"duration": SHORT_DURATION, **changes}
    return SimulatedFleet(replace(SCENARIOS[scenario], **changed), POLICIES[policy], seed).play()  # type: ignore[arg-type]


def test_the_balancer_scores_more_than_simple_policies() -> None:
    ours = play("normal")
    for policy in ("random", "least in flight", "hash of last part", "hash of shared part"):
        assert ours.ratio > play("normal", policy).ratio + 0.02, policy


def test_short_requests_are_hardly_late_and_all_are_served() -> None:
    result = play("normal", seed=1)
    reply = result.stats_by_workload["reply"]
    assert reply.late < 0.07 * reply.requests  # mostly while all blocks are prefilled for the first time
    assert all(stats.served == stats.requests for stats in result.stats_by_workload.values())


def test_few_shared_blocks_are_prefilled_again() -> None:
    ours, random = play("quiet", seed=2), play("quiet", "random", seed=2)
    assert ours.log.repeated_tokens < 0.25 * random.log.repeated_tokens


def test_an_unresponsive_backend_costs_little() -> None:
    result = SimulatedFleet(SCENARIOS["dark"], POLICIES["firvane"], 1).play()
    reply = result.stats_by_workload["reply"]
    assert reply.late < 0.06 * reply.requests
    assert reply.served > 0.99 * reply.requests


@pytest.mark.parametrize("scenario", ["errors", "mute"])
def test_a_server_that_fails_two_requests_in_five_costs_little(scenario: str) -> None:
    result, without = play(scenario, seed=1, duration=16.0), play("normal", seed=1, duration=16.0)
    reply, calm = result.stats_by_workload["reply"], without.stats_by_workload["reply"]
    assert reply.late - calm.late < 0.04 * reply.requests
    assert reply.served > 0.995 * reply.requests
    assert result.ratio > without.ratio - 0.03


def test_retries_stay_within_the_budget_on_a_crash() -> None:
    result = SimulatedFleet(SCENARIOS["crash"], POLICIES["firvane"], 2).play()
    assert result.retries < 0.2 * sum(stats.requests for stats in result.stats_by_workload.values())
    assert result.ratio > 0.85


@pytest.mark.parametrize("urgent_first", [False, True])
def test_an_emulated_server_prefills_generates_and_caches(urgent_first: bool) -> None:
    env, log = simpy.Environment(), PrefillLog()
    server = EmulatedServer(env, "s", Profile(urgent_first=urgent_first, setup_time=0.0), log)
    event_times: list[float] = []
    ends: list[tuple[float, bool]] = []

    def submit(blocks: tuple[tuple[int, int], ...]) -> None:
        request = ServerRequest(
            blocks,
            8,
            1,
            lambda: event_times.append(env.now),
            lambda complete: ends.append((env.now, complete)),
        )
        assert server.submit(request)

    submit(((1, 10_240), (2, 1)))
    env.run(until=1.0)
    assert event_times[0] == pytest.approx(11 * 0.005 + 10_241 / 51_000 + 3 * 0.005, abs=0.01)
    submit(((1, 10_240), (3, 1)))
    env.run(until=2.0)
    assert event_times[2] - 1.0 < 0.05  # the shared block is cached
    assert [complete for _, complete in ends] == [True, True]
    assert log.repeated_tokens == 0


def test_an_emulated_server_can_be_full_unresponsive_or_crashed() -> None:
    env, ends = simpy.Environment(), list[bool]()
    server = EmulatedServer(env, "s", Profile(slots=1, queue_size=1, setup_time=0.0), PrefillLog())

    def make_request() -> ServerRequest:
        return ServerRequest(((1, 100),), 400, 1, lambda: None, ends.append)

    assert (
        server.submit(make_request()) and server.submit(make_request()) and not server.submit(make_request())
    )
    server.set_unresponsive(True)
    env.run(until=5.0)
    assert ends == []
    server.set_unresponsive(False)
    env.run(until=6.0)
    server.crash()
    env.run(until=10.0)
    assert ends.count(False) >= 1 and len(ends) == 2
