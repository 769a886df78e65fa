"""Comparison of the balancer with simple policies, by simulation of clients, routers and servers.

A complete response has its full value if its first event and all gaps between events are within their
targets, and a lower value if it is late; other responses have none. Prefilling shared blocks again has a
price. `python -m tests.fleet.placement.policy_comparison` prints the result of each policy in each scenario.
"""

from __future__ import annotations

import argparse
import multiprocessing
from collections.abc import Callable
from dataclasses import replace

from firvane.core import interface as api
from firvane.fleet.placement.balancer import PromptBalancer
from tests.fleet.placement import baseline_policies
from tests.fleet.placement.emulated_server import Profile
from tests.fleet.placement.simulated_fleet import SimulatedFleet
from tests.fleet.placement.simulated_router import Balancer
from tests.fleet.placement.simulation_scenario import Fault, Result, Scenario


def make_balancer(config: api.Settings, seed: int, now: float) -> Balancer:
    return PromptBalancer(config, seed, now, retry_ratio=0.2, retry_slack=52.0)


POLICIES: dict[str, Callable[[api.Settings, int, float], Balancer]] = {
    "random": baseline_policies.RandomChoice,
    "least in flight": baseline_policies.LeastInFlight,
    "hash of last part": baseline_policies.OwnBlockHash,
    "hash of shared part": baseline_policies.SharedBlockHash,
    "firvane": make_balancer,
}
SCENARIOS = {
    "quiet": Scenario(load=0.5),
    "normal": Scenario(load=0.75),
    "busy": Scenario(),
    "hot": Scenario(load=0.75, faults=(Fault("hot", 6.0, 6.0, 0.3),)),
    "burst": Scenario(load=0.75, faults=(Fault("burst", 8.0, 4.0, 1.6),)),
    "dark": Scenario(load=0.75, faults=(Fault("dark", 8.0, 4.0),)),
    "crash": Scenario(load=0.75, faults=(Fault("crash", 8.0, 4.0),)),
    "errors": Scenario(load=0.75, faults=(Fault("errors", 8.0, 6.0, 0.4),)),
    "mute": Scenario(load=0.75, faults=(Fault("mute", 8.0, 6.0, 0.4),)),
    "release": Scenario(load=0.75, faults=(Fault("replace", 6.0, 0.0), Fault("replace", 9.0, 0.0))),
    "urgent first": Scenario(profile=Profile(urgent_first=True)),
    "slow servers": Scenario(
        load=0.5,
        servers=12,
        profile=replace(Profile(), prefill_rate=20_000.0, step_time=0.010, chunk_tokens=512),
    ),
    "many": Scenario(load=6.0, routers=36, servers=36, duration=10.0),
}


def play(scenario: str, policy: str, seed: int) -> Result:
    return SimulatedFleet(SCENARIOS[scenario], POLICIES[policy], seed).play()


def main() -> None:
    """Print the ratio of the possible value that each policy achieves in each scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--ways", nargs="*", default=list(POLICIES))
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    names = [(name, policy) for name in options.days for policy in options.ways]
    jobs = [(name, policy, seed) for name, policy in names for seed in range(options.seeds)]
    with multiprocessing.Pool(options.jobs) as pool:
        results = dict(zip(jobs, pool.starmap(play, jobs, chunksize=1), strict=True))
    for name, policy in names:
        ratios = [results[name, policy, seed].ratio for seed in range(options.seeds)]
        mean = sum(ratios) / len(ratios)
        print(f"{name:14} {policy:20} {mean:.4f}  {results[name, policy, 0].line()}", flush=True)


if __name__ == "__main__":
    main()
