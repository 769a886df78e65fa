"""What the cluster costs and how fast it settles, by its size, in the simulated world of the tests.

Run with `python benchmarks/cluster.py [PROCESSES ...]`; 3% of the datagrams are lost, routers have 5 Mbit/s.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from firvane.fleet.dissemination.items import Item
from tests.fleet.cluster.simulated_cluster import SimulatedCluster

SIZES = (10, 70, 380)
CONTROLLERS = 5
LOSS, DUPLICATES = 0.03, 0.01
SLOW_LINK = 5e6 / 8  # bytes a second
CALM = 20.0  # seconds over which calm times are measured
DEATHS = 5
SMALL, LARGE = 300, 60_000  # bytes
KEY = b"configuration"


def measure(processes: int) -> None:
    """Print one block for a cluster of this size."""
    began = time.process_time()
    world = SimulatedCluster(processes - CONTROLLERS, CONTROLLERS, 1, LOSS, DUPLICATES, SLOW_LINK)
    print(f"{processes} processes")
    join(world)
    world.run(6.0)
    calm(world)
    for version, size in enumerate((SMALL, LARGE), start=1):
        spread(world, Item(KEY, version, bytes(size)))
    deaths(world)
    print(f"  false deaths: {len(world.false_deaths)}")
    print(f"  processor time of the play: {time.process_time() - began:.1f} s")


def join(world: SimulatedCluster) -> None:
    """All start within 0.3 s."""
    world.start_all()
    took = world.run_until(lambda: world.all_running() and not world.unconverged(), 15.0, step=0.01)
    print(f"  all know all after {took:.2f} s; {mean_bytes(world) / 1000:.1f} kB a process")


def calm(world: SimulatedCluster) -> None:
    """Rates of one process while nothing happens."""
    world.clear_traffic()
    cpu = time.process_time()
    world.run(CALM)
    cpu = time.process_time() - cpu
    traffic = [process.traffic for process in world.running()]
    per = len(traffic) * CALM
    print(
        f"  calm, a process and second: {sum(t.sent_bytes for t in traffic) / per:.0f} bytes"
        f" ({sum(t.zone_bytes for t in traffic) / per:.0f} to other zones),"
        f" {sum(t.messages for t in traffic) / per:.1f} messages,"
        f" {sum(t.wake_ups for t in traffic) / per:.1f} wake-ups,"
        f" {cpu / per * 1e6:.0f} us of processor with the simulation"
    )


def spread(world: SimulatedCluster, item: Item) -> None:
    """An item from a controller to all."""
    world.clear_traffic()
    world.publish(world.process_at(0), item)
    took = world.run_until(lambda: not world.processes_without(item), 10.0, step=0.01)
    world.run(1.0)
    print(
        f"  {len(item.payload)} bytes at all after {took:.2f} s; {mean_bytes(world) / 1000:.1f} kB a process"
    )


def deaths(world: SimulatedCluster) -> None:
    """Kills without a word, one after the other, until all others agree."""
    times = []
    for number in range(DEATHS):
        world.kill(world.process_at(CONTROLLERS + number))
        times.append(world.run_until(lambda: not world.unconverged(), 10.0, step=0.01))
        world.run(2.0)
    print(f"  a death is settled after {min(times):.2f} to {max(times):.2f} s")


def mean_bytes(world: SimulatedCluster) -> float:
    """Bytes sent by a process, in the mean."""
    running = world.running()
    return sum(process.traffic.sent_bytes for process in running) / len(running)


if __name__ == "__main__":
    for size in [int(argument) for argument in sys.argv[1:]] or SIZES:
        measure(size)
