"""What is believed of boxes beside what is true, in the virtual rehearsal: refusals, capacity, states.

    python -m benchmarks.capacity [SCENARIO ...] [--seed N] [--json FILE]

At every refusal and each second the proxies' beliefs are read and set beside the model's boxes:

- refusals by what was true (how many boxes could have answered in time) and by what the proxy believed of the
  boxes that could; the worth refused while one could is the regret;
- capacity as estimated, in answers a second, over the true one, and a box's room at all proxies together over
  the places it has, by true state; a ratio of 1 is right;
- true against believed states, box by box and proxy by proxy, and the seconds until a change is noticed.

A box could have answered in time if it had a free place, and all that is in it and the request's own work
were done by the aim at its present pace. For a cold one the work sent must also stay under half of the line
of the fail-back rule. What a refusal shows is read when its client hears of it, a millisecond or two later.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import tempfile
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from firvane.core.balancing.records import Backend
from firvane.proxy.balancer import Balancer
from firvane.proxy.capacity.backend_estimates import MIN_LOSS_RATE, slowness
from firvane.simulation.emulation.backend import EmulatedBackend
from firvane.simulation.emulation.network import Links
from firvane.simulation.emulation.records import Answered, Arrived, Asked, Record
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.scenarios import load_named
from firvane.simulation.runner.result import Witness
from firvane.simulation.runner.run import WALL, VirtualRun, few_collections
from firvane.simulation.runner.virtual import VirtualLoop
from firvane.simulation.runner.zones import Zones

USUAL = (
    "rolling-deploy",
    "several-at-once",
    "silent-zone",
    "slow-churn",
    "flooded-community",
    "quiet-sunday",
)
REFUSED = (429, 503)
SLOW_PACE, SLOW_SEEN = 0.8, 1.5  # of its own speed: a box is slow; times as long as usual: it seems so
STATES = ("warm", "cold", "slow", "silent in part", "silent", "gone")


def true_state(box: EmulatedBackend | None) -> str:
    if box is None or box.draining or box.state in ("down", "fell"):
        return "gone"
    if box.state in ("silent", "paused"):
        return "silent"
    if box.state == "cold":
        return "cold"
    return "slow" if box._core_speed < SLOW_PACE * box.speed else "warm"


def believed_state(balancer: Balancer, server: Backend | None, now: float) -> str:
    evidence = balancer.estimates
    if server is None or server.entry.state.value != "up":
        return "gone"
    if server.failures > 1:
        return "silent"
    if evidence.is_in_slow_start(server, now):
        return "cold"
    if (
        evidence.loss_rate >= MIN_LOSS_RATE
        and server.attempts
        and any(evidence.is_attempt_lost(mark, now) for mark in server.attempts)
    ):
        return "silent in part"
    return "slow" if slowness(server, now) > SLOW_SEEN else "warm"


def belief(balancer: Balancer, server: Backend | None, now: float) -> str:
    """Why the proxy sends nothing to a box, as it sees it."""
    if server is None or server not in balancer.up:
        return "not listed"
    if server.retry_at > now:
        return "in doubt" if server.failures > 1 else "turned one away just now"
    if balancer.estimates.is_in_slow_start(server, now):
        if server not in balancer.slices[balancer.settings.me]:
            return "cold, another's"
        if server.tokens < 1.0:
            return "cold, no tokens"
    return "room full" if server.in_flight >= max(1.0, server.capacity) else "had room"


def places(box: EmulatedBackend) -> int:
    return len(box._cores_each) - 1


def could(box: EmulatedBackend, work: float, left: float, now: float) -> bool:
    """Whether it would have answered such a request in time."""
    if not box.is_up or box.draining or box.state == "paused" or box.inside >= places(box):
        return False
    pace = box.capacity(now)
    inside = sum(max(0.0, job.cost - box._work_done(job)) for job in box._jobs.values())
    alone = work * box.cores / pace
    line = 0.5 * box.boxes.fall_multiple * box.boxes.fall_s * pace
    if box.state == "cold" and box._sent_sum + work > line:
        return False
    return max(alone, (inside + work) / pace) <= left


class Look:
    """One run, looked at from both sides."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.witness = scenario, Witness(scenario, seed, "virtual")
        self.asked = dict[str, Asked]()
        self.first = dict[str, float]()
        self.costs = dict[str, float]()  # mean work of an attempt, by kind
        self.truth, self.why = Counter[str](), defaultdict[str, float](float)
        self.worth = self.refused = self.regret = 0.0
        self.ratios = defaultdict[str, list[float]](list)
        self.rooms = defaultdict[str, list[float]](list)
        self.confusion = Counter[tuple[str, str]]()
        self.changed = dict[tuple[int, str], tuple[str, float]]()
        self.noticed = defaultdict[str, list[float]](list)
        self.attempts, self.tries, self.away = 0, 0, 0
        self.run: VirtualRun

    def balancers(self) -> list[tuple[int, Balancer]]:
        proxies = enumerate(self.run.machines.proxies)
        return [(n, machine.proxy.engine.balancer) for n, machine in proxies if machine.proxy]

    def see(self, record: Record) -> None:
        self.witness.see(record)
        if isinstance(record, Asked):
            self.asked[record.call] = record
            self.first.setdefault(record.first, record.meant)
            self.worth += record.work * record.worth * (not record.is_retry)
            self.tries += 1
        elif isinstance(record, Arrived):
            host = self.run.fleet.hosts.get(record.box)
            self.attempts += 1
            self.away += record.verdict == "turned away"
            if host and record.verdict == "taken":
                kind = host.box.kind.name
                self.costs[kind] = 0.995 * self.costs.get(kind, record.work) + 0.005 * record.work
        elif isinstance(record, Answered) and record.status in REFUSED:
            self.on_refused(record)

    def on_refused(self, record: Answered) -> None:
        asked, now = self.asked[record.call], record.at
        worth = asked.work * asked.worth
        left = self.first[asked.first] + asked.aim - now
        clock = self.run.clock.now()
        able = [h.box for h in self.run.fleet.hosts.values() if could(h.box, asked.work, left, clock)]
        self.refused += worth
        warm = sum(box.state == "warm" for box in able)
        if not able:
            self.truth["none could"] += 1
            return
        free = sum(places(box) - box.inside for box in able)
        size = "1-3" if free <= 3 else "4-10" if free <= 10 else "more than 10"
        self.truth[f"{'warm ones' if warm else 'cold ones only'} could, {size} places free"] += 1
        self.regret += worth
        time = WALL + self.run.loop.time()
        for number, balancer in self.balancers():
            if self.run.names[number] == record.proxy:
                for box in able:
                    self.why[belief(balancer, balancer.servers.get(box.name), time)] += 1.0 / len(able)

    def sample(self, now: float) -> None:
        self.run.clock.call_at(now + 1.0, self.sample)
        boxes = {name: host.box for name, host in self.run.fleet.hosts.items()}
        time = WALL + self.run.loop.time()
        balancers = self.balancers()
        for name, box in boxes.items():
            true = true_state(box)
            rooms = []
            for number, balancer in balancers:
                server = balancer.servers.get(name)
                seen = believed_state(balancer, server, time)
                self.confusion[true, seen] += 1
                was, since = self.changed.get((number, name), (true, now))
                if was != true:
                    self.changed[number, name] = was, since = true, now
                else:
                    self.changed.setdefault((number, name), (true, -1.0))
                if since >= 0.0 and seen == true:
                    self.noticed[true].append(now - since)
                    self.changed[number, name] = true, -1.0
                if server is None or true in ("gone", "silent"):
                    continue
                rooms.append(server.capacity)
                kind = server.entry.kind
                rate = balancer.estimates.best_rate.get(kind, 0.0) * server.weight
                if balancer.estimates.is_in_slow_start(server, time):
                    rate *= balancer.estimates.slow_start_fraction(server, time)
                cost = self.costs.get(box.kind.name)
                if rate and cost and now > 10.0:
                    self.ratios[true].append(rate * cost / box.capacity(self.run.clock.now()))
            if rooms and len(rooms) == len(balancers) and now > 10.0:
                self.rooms[true].append(sum(rooms) / places(box))

    def play(self, seed: int) -> dict[str, Any]:
        hosts: dict[str, str] = {}
        zones = Zones(Links(self.scenario.network, seed), hosts, relayed=True)
        loop = VirtualLoop(zones)

        async def play(folder: Path) -> None:
            self.run = VirtualRun(loop, zones, hosts, self.scenario, seed, self.see, folder)
            begin = self.run.members.begin

            def both() -> None:
                begin()
                self.sample(0.0)

            self.run.members.begin = both  # type: ignore[method-assign]
            try:
                await self.run.play()
            finally:
                self.run.close()

        with (
            few_collections(),
            tempfile.TemporaryDirectory(prefix="firvane-") as folder,
            asyncio.Runner(loop_factory=lambda: loop) as runner,
        ):
            runner.run(play(Path(folder)))
        return self.result()

    def result(self) -> dict[str, Any]:
        result = self.witness.result()
        return {
            "scenario": self.scenario.name,
            "score": round(result.score, 4),
            "broken": result.broken_counts,
            "refused": round(self.refused / self.worth, 4),
            "regret": round(self.regret / self.worth, 4),
            "attempts_a_try": round(self.attempts / self.tries, 3),
            "turned_away": round(self.away / self.attempts, 4),
            "refusals_by_truth": dict(self.truth.most_common()),
            "belief_of_those_that_could": {k: round(n) for k, n in sorted(self.why.items())},
            "capacity": {state: spread(of) for state, of in sorted(self.ratios.items())},
            "room": {state: spread(of) for state, of in sorted(self.rooms.items())},
            "states": {
                true: {seen: self.confusion[true, seen] for seen in STATES if self.confusion[true, seen]}
                for true in STATES
                if any(self.confusion[true, seen] for seen in STATES)
            },
            "noticed_s": {state: spread(of) for state, of in sorted(self.noticed.items())},
        }


def spread(values: list[float]) -> dict[str, float]:
    if len(values) < 2:
        return {"count": len(values), "median": round(values[0], 2) if values else 0.0}
    tenths = statistics.quantiles(values, n=10)
    return {
        "count": len(values),
        "tenth": round(tenths[0], 2),
        "median": round(statistics.median(values), 2),
        "nine_tenths": round(tenths[-1], 2),
    }


def show(result: dict[str, Any]) -> None:
    print(f"\n{result['scenario']}")
    for name, value in result.items():
        if isinstance(value, dict):
            print(f"  {name}")
            for key, figures in value.items():
                text = (
                    ", ".join(f"{k} {v}" for k, v in figures.items())
                    if isinstance(figures, dict)
                    else figures
                )
                print(f"    {key:44} {text}")
        elif name != "scenario":
            print(f"  {name:20} {value}", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("scenarios", nargs="*", default=USUAL)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    asked = parser.parse_args()
    results = []
    for name in asked.scenarios:
        results.append(Look(load_named(name), asked.seed).play(asked.seed))
        show(results[-1])
        if asked.json:
            asked.json.write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
