"""What the model costs: microseconds for a request at a box and for a member's try, bytes for a box.

    python -m benchmarks.fleet

Each figure is the best of three, since others on the machine can only add to it.
"""

from __future__ import annotations

import time
import tracemalloc
from heapq import heappop, heappush
from itertools import islice, takewhile
from math import inf

from firvane.simulation.emulation.backend import Completion, EmulatedBackend
from firvane.simulation.emulation.clients import ClientPopulation, Try
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.scenarios import load_named
from firvane.simulation.emulation.timeline import Timeline


def fleet(scenario: Scenario) -> list[EmulatedBackend]:
    places = Timeline(scenario, scenario.seed).fleet
    return [
        EmulatedBackend(place.name, place.kind, scenario.boxes, place.zone, 1, 0.0, True) for place in places
    ]


def asked(scenario: Scenario, seconds: float) -> list[Try]:
    population = ClientPopulation(scenario.load, scenario.network, scenario.proxies, scenario.seed)
    return list(takewhile(lambda one: one.at < seconds, population.tries()))


def serve(boxes: list[EmulatedBackend], tries: list[Try]) -> list[Completion]:
    """All tries at the boxes of their keys, each end taken at its time; the ends before the last try."""
    dealt = [n for n, box in enumerate(boxes) for _ in range(round(10 * box.capacity(0.0)))]
    due: list[tuple[float, int]] = []
    last = [inf] * len(boxes)  # what stands in `due` for each box, and counts
    done: list[Completion] = []
    for one in tries:
        while due and due[0][0] <= one.at:
            at, n = heappop(due)
            if at == last[n]:
                done += boxes[n].advance(at)
                last[n] = boxes[n].next_at()
                heappush(due, (last[n], n))
        n = dealt[int(one.key, 16) % len(dealt)]
        boxes[n].offer(one.at, one.call, one.key, one.work)
        if (at := boxes[n].next_at()) != last[n]:
            last[n] = at
            heappush(due, (at, n))
    return done


def best(work: list[float]) -> str:
    return f"{min(work) * 1e6:.1f}"


def main() -> None:
    for name, seconds in (("quiet-sunday", 20.0), ("large", 2.0)):
        scenario = load_named(name)
        tries = asked(scenario, seconds)
        each, at_boxes, retry = [], [], []
        for _ in range(3):
            population = ClientPopulation(scenario.load, scenario.network, scenario.proxies, 1)
            begun = time.process_time()
            list(islice(population.tries(), 20_000))
            each.append((time.process_time() - begun) / 20_000)
            begun = time.process_time()
            for one in tries[:10_000]:
                population.retry(one.deadline, one, 503, 0.1)
            retry.append((time.process_time() - begun) / 10_000)
            boxes = fleet(scenario)
            begun = time.process_time()
            answered = len(serve(boxes, tries))
            at_boxes.append((time.process_time() - begun) / len(tries))
        print(f"{name}: {len(boxes)} boxes, {len(tries)} requests in {seconds:.0f} s, {answered} answered")
        print(f"  us per request at a box {best(at_boxes)}, per try {best(each)}, per retry {best(retry)}")
    tracemalloc.start()
    boxes = fleet(scenario)
    empty = tracemalloc.get_traced_memory()[0]
    serve(boxes, tries)
    used = tracemalloc.get_traced_memory()[0]
    print(f"  KB for {len(boxes)} boxes: {empty / 1e3:.0f} idle, {used / 1e3:.0f} after {seconds:.0f} s")


if __name__ == "__main__":
    main()
