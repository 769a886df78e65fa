"""A laboratory for placement: clients, routers with the decisions, and emulated servers in simulated time.

Worth is counted as the users do: whole within the aim and without long pauses, less when late, nothing
otherwise; a price is set on shared parts that are read again. `python -m tests.fleet.placement.lab` prints
for several days what each way to place is worth.
"""

from __future__ import annotations

import argparse
import multiprocessing
from collections.abc import Callable
from dataclasses import replace

from firvane.core import interface as api
from firvane.fleet.placement.balancer import PromptBalancer
from tests.fleet.placement import baselines
from tests.fleet.placement.emulated_server import Profile
from tests.fleet.placement.lab_day import Day, Fault, Result
from tests.fleet.placement.lab_router import Decisions
from tests.fleet.placement.lab_world import World


def decide(config: api.Settings, seed: int, now: float) -> Decisions:
    return PromptBalancer(config, seed, now, retry_ratio=0.2, retry_slack=52.0)


WAYS: dict[str, Callable[[api.Settings, int, float], Decisions]] = {
    "random": baselines.RandomChoice,
    "least in flight": baselines.LeastInFlight,
    "hash of last part": baselines.LastPartHash,
    "hash of shared part": baselines.SharedPartHash,
    "firvane": decide,
}
DAYS = {
    "quiet": Day(load=0.5),
    "normal": Day(load=0.75),
    "busy": Day(),
    "hot": Day(load=0.75, faults=(Fault("hot", 6.0, 6.0, 0.3),)),
    "burst": Day(load=0.75, faults=(Fault("burst", 8.0, 4.0, 1.6),)),
    "dark": Day(load=0.75, faults=(Fault("dark", 8.0, 4.0),)),
    "crash": Day(load=0.75, faults=(Fault("crash", 8.0, 4.0),)),
    "errors": Day(load=0.75, faults=(Fault("errors", 8.0, 6.0, 0.4),)),
    "mute": Day(load=0.75, faults=(Fault("mute", 8.0, 6.0, 0.4),)),
    "release": Day(load=0.75, faults=(Fault("replace", 6.0, 0.0), Fault("replace", 9.0, 0.0))),
    "urgent first": Day(profile=Profile(urgent_first=True)),
    "slow servers": Day(
        load=0.5, servers=12, profile=replace(Profile(), read_speed=20_000.0, step=0.010, piece=512)
    ),
    "many": Day(load=6.0, routers=36, servers=36, length=10.0),
}


def play(day: str, way: str, seed: int) -> Result:
    return World(DAYS[day], WAYS[way], seed).play()


def main() -> None:
    """Print the ratio of each way on each day."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", nargs="*", default=list(DAYS))
    parser.add_argument("--ways", nargs="*", default=list(WAYS))
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    names = [(name, way) for name in options.days for way in options.ways]
    jobs = [(name, way, seed) for name, way in names for seed in range(options.seeds)]
    with multiprocessing.Pool(options.jobs) as pool:
        results = dict(zip(jobs, pool.starmap(play, jobs, chunksize=1), strict=True))
    for name, way in names:
        ratios = [results[name, way, seed].ratio for seed in range(options.seeds)]
        mean = sum(ratios) / len(ratios)
        print(f"{name:14} {way:20} {mean:.4f}  {results[name, way, 0].line()}", flush=True)


if __name__ == "__main__":
    main()
