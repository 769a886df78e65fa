"""Measures disk use and catch-up time of three controllers during hundreds of configuration changes.

`python -m tests.fleet.controller.changes CHANGES ROUTES` prints the measurements of one run.
"""

from __future__ import annotations

import asyncio
import json
import resource
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from firvane.fleet.partitions import CONFIGURATION_PARTITION
from tests.fleet.controller.test_controller import ControllerCluster, document, until_true

CHANGES_PER_SIZE_CHECK = 10  # changes between two measurements of disk use


@dataclass
class Measurements:
    """The measurements of one run."""

    changes: int
    routes: int
    duration_s: float = 0.0  # of all changes
    max_disk_bytes: int = 0  # of one controller's folder
    catch_up_s: dict[str, float] = field(default_factory=dict)  # by the number of missed changes


def bytes_of(folder: Path) -> int:
    """The size of all files below a folder, except files deleted meanwhile."""
    total = 0
    for path in folder.rglob("*"):
        try:
            total += path.stat().st_size if path.is_file() else 0
        except FileNotFoundError:
            continue
    return total


class ChangeRun:
    """Three controllers whose configuration is changed repeatedly."""

    def __init__(self, cluster: ControllerCluster, folder: Path, measurements: Measurements) -> None:
        self.cluster, self.folder, self.measurements = cluster, folder, measurements
        self.version = 0
        self.bodies: list[tuple[int, bytes]] = []  # base and body of each change, in order

    async def replace_first(self, routes: int) -> None:
        body = json.dumps(document(1, routes)).encode()
        await self.send("/v1/config/replace", body)

    async def change(self, count: int) -> None:
        """Submit `count` changes of one route, each based on the previous one."""
        for number in range(count):
            route = document(self.version + 1, 1, timeout_ms=1000 + self.version)["routes"][0]
            body = json.dumps({"config_version": self.version + 1, "upsert": {"routes": [route]}}).encode()
            self.bodies.append((self.version, body))
            await self.send("/v1/config/modify", body)
            if number % CHANGES_PER_SIZE_CHECK == 0:
                sizes = [bytes_of(self.folder / str(each)) for each in (1, 2, 3)]
                self.measurements.max_disk_bytes = max(self.measurements.max_disk_bytes, *sizes)

    async def send(self, path: str, body: bytes) -> None:
        """Send one order until it is acknowledged."""

        async def is_accepted() -> bool:
            for number in list(self.cluster.controllers):
                status, answer = await self.cluster.call(number, "POST", path, body, self.version)
                assert status in (0, 200, 307, 503), (status, answer)
                if status == 200:
                    return True
            return False

        while not await is_accepted():
            pass
        self.version += 1

    async def restart_after(self, count: int, name: str) -> None:
        """Let a controller miss `count` changes, and time its restart until it is current."""
        owner = self.cluster.owner()
        stopped = next(number for number in (1, 2, 3) if number != owner)
        self.cluster.kill(stopped)
        await self.change(count)
        began = time.monotonic()
        await self.cluster.start(stopped)
        controller = self.cluster.controllers[stopped]
        await until_true(lambda: controller.state.version == self.version)
        await until_true(lambda: controller.host.is_current(CONFIGURATION_PARTITION))
        self.measurements.catch_up_s[name] = time.monotonic() - began

    async def status_of(self, number: int, base: int, body: bytes) -> int:
        """The HTTP status that one controller returns for a repeated change."""
        return (await self.cluster.call(number, "POST", "/v1/config/modify", body, base))[0]


async def run_changes(folder: Path, changes: int, routes: int) -> tuple[ChangeRun, ControllerCluster]:
    """Submit a third of the changes to all controllers, the rest while one controller is stopped."""
    cluster = ControllerCluster(folder)
    run = ChangeRun(cluster, folder, Measurements(changes, routes))
    await cluster.start(1, 2, 3, first=True)
    began = time.monotonic()
    await run.replace_first(routes)
    await run.change(changes // 3)
    await run.restart_after(1, "1")
    await run.restart_after(changes // 6, str(changes // 6))
    await run.restart_after(changes - 1 - changes // 3 - changes // 6, "the rest")
    run.measurements.duration_s = time.monotonic() - began
    return run, cluster


def main(changes: int, routes: int) -> None:
    """Run the measurement and print the results."""

    async def measure(folder: Path) -> None:
        run, cluster = await run_changes(folder, changes, routes)
        cluster.close()
        measurements = run.measurements
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        print(
            f"{changes} changes of {routes} routes in {measurements.duration_s:.1f} s,"
            f" {1000 * measurements.duration_s / changes:.0f} ms each"
        )
        print(f"maximum on a disk: {measurements.max_disk_bytes / 1e6:.2f} MB; memory of all: {peak:.0f} MB")
        for name, seconds in measurements.catch_up_s.items():
            print(f"a member that missed {name}: current after {seconds:.2f} s")

    with (
        tempfile.TemporaryDirectory() as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        runner.run(measure(Path(folder)))


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
