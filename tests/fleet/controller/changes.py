"""Hundreds of changes on three whole controllers: what they cost on disks, and how long members need after.

`python -m tests.fleet.controller.changes CHANGES ROUTES` prints the figures of one such day.
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
from tests.fleet.controller.test_controller import Core, document, until_true

SIZE_SEEN_EVERY = 10  # changes between two looks at the disks


@dataclass
class Figures:
    """What one day of changes has cost."""

    changes: int
    routes: int
    took: float = 0.0  # s for all changes
    most_on_disk: int = 0  # bytes of one controller's folder
    catch_up: dict[str, float] = field(default_factory=dict)  # s, by how many changes a member had missed


def bytes_of(folder: Path) -> int:
    """The size of all files below a folder; those that go meanwhile count nothing."""
    total = 0
    for path in folder.rglob("*"):
        try:
            total += path.stat().st_size if path.is_file() else 0
        except FileNotFoundError:
            continue
    return total


class ChangingCore:
    """Three controllers whose configuration is changed again and again."""

    def __init__(self, core: Core, folder: Path, figures: Figures) -> None:
        self.core, self.folder, self.figures = core, folder, figures
        self.version = 0
        self.bodies: list[tuple[int, bytes]] = []  # base and body of each change, in order

    async def first(self, routes: int) -> None:
        body = json.dumps(document(1, routes)).encode()
        await self.send("/v1/config/replace", body)

    async def change(self, count: int) -> None:
        """So many changes of one route, each on top of the one before."""
        for number in range(count):
            route = document(self.version + 1, 1, timeout_ms=1000 + self.version)["routes"][0]
            body = json.dumps({"config_version": self.version + 1, "upsert": {"routes": [route]}}).encode()
            self.bodies.append((self.version, body))
            await self.send("/v1/config/modify", body)
            if number % SIZE_SEEN_EVERY == 0:
                sizes = [bytes_of(self.folder / str(each)) for each in (1, 2, 3)]
                self.figures.most_on_disk = max(self.figures.most_on_disk, *sizes)

    async def send(self, path: str, body: bytes) -> None:
        """Send one order until it is acknowledged."""

        async def taken() -> bool:
            for number in list(self.core.controllers):
                status, answer = await self.core.call(number, "POST", path, body, self.version)
                assert status in (0, 200, 307, 503), (status, answer)
                if status == 200:
                    return True
            return False

        while not await taken():
            pass
        self.version += 1

    async def away_for(self, count: int, name: str) -> None:
        """A member misses so many changes; how long it takes from its start until it holds them."""
        owner = self.core.owner()
        away = next(number for number in (1, 2, 3) if number != owner)
        self.core.kill(away)
        await self.change(count)
        began = time.monotonic()
        await self.core.start(away)
        controller = self.core.controllers[away]
        await until_true(lambda: controller.state.version == self.version)
        await until_true(lambda: controller.host.is_current(CONFIGURATION_PARTITION))
        self.figures.catch_up[name] = time.monotonic() - began

    async def status_of(self, number: int, base: int, body: bytes) -> int:
        """What one controller answers to a change that is sent again."""
        return (await self.core.call(number, "POST", "/v1/config/modify", body, base))[0]


async def play_changes(folder: Path, changes: int, routes: int) -> tuple[ChangingCore, Core]:
    """A third of the changes with all members, then members that miss one and the rest of them."""
    core = Core(folder)
    day = ChangingCore(core, folder, Figures(changes, routes))
    await core.start(1, 2, 3, first=True)
    began = time.monotonic()
    await day.first(routes)
    await day.change(changes // 3)
    await day.away_for(1, "1")
    await day.away_for(changes // 6, str(changes // 6))
    await day.away_for(changes - 1 - changes // 3 - changes // 6, "the rest")
    day.figures.took = time.monotonic() - began
    return day, core


def main(changes: int, routes: int) -> None:
    """Play one day and print its figures."""

    async def whole(folder: Path) -> None:
        day, core = await play_changes(folder, changes, routes)
        core.close()
        figures = day.figures
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        print(
            f"{changes} changes of {routes} routes in {figures.took:.1f} s,"
            f" {1000 * figures.took / changes:.0f} ms each"
        )
        print(f"most on one disk: {figures.most_on_disk / 1e6:.2f} MB; memory of all three: {peak:.0f} MB")
        for name, seconds in figures.catch_up.items():
            print(f"a member that missed {name}: current after {seconds:.2f} s")

    with (
        tempfile.TemporaryDirectory() as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        runner.run(whole(Path(folder)))


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
