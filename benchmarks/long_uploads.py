"""Many long uploads at once beside short requests, at one router as a process.

    python -m benchmarks.long_uploads [--program-root DIR]

Prints the times of the short requests alone and beside the uploads, the router's peak memory, and its ends.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from statistics import quantiles

import uvloop

from firvane.core.address import Address
from firvane.simulation.localfleet.daemons import Daemon
from firvane.simulation.localfleet.fleet import FleetOptions, LocalFleet
from firvane.simulation.localfleet.layout import DaemonRole, Layout, find_free_ports, make_layout
from firvane.simulation.localfleet.profiles import MODEL, SHORT_PROMPTS, RequestClass
from firvane.simulation.localfleet.settings_files import PlatformTerms

UPLOADERS = 64
UPLOAD_BYTES = 4 * 1024 * 1024
PHASE_S = 12.0
SHORT_PER_S = 50.0
DEADLINE_MS = 9000
SHORT_BODY = b"x" * 200
TOKENS = b"20,4"  # of each prompt, in and out


@dataclass
class Tally:
    """Seconds of the short requests, and how the others ended, by status; 0 where the connection broke."""

    short_s: list[float] = field(default_factory=list)
    endings: dict[str, int] = field(default_factory=dict)

    def count(self, name: str) -> None:
        """Count one ending."""
        self.endings[name] = self.endings.get(name, 0) + 1


class UploadFleet(LocalFleet):
    """One router, whose load are short requests alone, and then beside uploads."""

    def __init__(self, layout: Layout, options: FleetOptions, folder: Path, program_root: Path) -> None:
        super().__init__(layout, options, folder)
        self._daemons = [Daemon(node, layout, PlatformTerms(), folder, program_root) for node in layout.nodes]
        self._kind = options.kinds[0]
        self._front = layout.fronts[0]
        self._numbers = 0
        self.alone, self.beside = Tally(), Tally()

    async def _play_load(self) -> None:
        try:
            await self._send_short(self.alone)
            uploads = [asyncio.create_task(self._upload()) for _ in range(UPLOADERS)]
            await self._send_short(self.beside)
            for upload in uploads:
                upload.cancel()
            await asyncio.gather(*uploads, return_exceptions=True)
        finally:
            self._operator.stop()
            self._load.close()

    async def _send_short(self, tally: Tally) -> None:
        async with asyncio.TaskGroup() as tasks:
            for _ in range(int(PHASE_S * SHORT_PER_S)):
                tasks.create_task(self._time_short(tally))
                await asyncio.sleep(1 / SHORT_PER_S)

    async def _time_short(self, tally: Tally) -> None:
        began = time.perf_counter()
        status = await self._ask(SHORT_BODY)
        tally.short_s.append(time.perf_counter() - began)
        tally.count(f"short {status}")

    async def _upload(self) -> None:
        body = b"x" * UPLOAD_BYTES
        while True:
            self.beside.count(f"upload {await self._ask(body)}")

    async def _ask(self, body: bytes) -> int:
        self._numbers += 1
        try:
            return await ask(self._front, self._kind, self._numbers, body)
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.1)
            return 0

    def report(self) -> str:
        """What was measured."""
        router = next(daemon for daemon in self._daemons if daemon.node.role is DaemonRole.ROUTER)
        return "\n".join(
            (
                f"short alone:  {described(self.alone)}",
                f"short beside: {described(self.beside)}",
                f"router: peak {router.peak_mb:.0f} MB, ends of its own {router.own_ends}",
            )
        )


async def ask(front: Address, kind: RequestClass, number: int, body: bytes) -> int:
    """Send one request on a connection of its own, and return the status of its answer."""
    reader, writer = await asyncio.open_connection(*front)
    try:
        writer.write(
            b"POST %s0 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: u%d\r\nX-Deadline-Ms: %d\r\nX-Model: %s\r\n"
            b"X-Token-Count: %s\r\nX-Prompt-Prefix: %x:20\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
            % (
                kind.path_prefix.encode(),
                kind.host.encode(),
                number,
                DEADLINE_MS,
                MODEL.encode(),
                TOKENS,
                number,
                len(body),
            )
        )
        writer.write(body)
        status = int((await reader.readuntil(b"\r\n")).split()[1])
        await reader.read()
        return status
    finally:
        writer.close()


def described(tally: Tally) -> str:
    """Median and 99th percentile of the short requests in ms, and all endings."""
    cuts = quantiles(tally.short_s, n=100)
    return (
        f"p50 {1000 * cuts[49]:.1f} ms, p99 {1000 * cuts[98]:.1f} ms; {dict(sorted(tally.endings.items()))}"
    )


async def play(program_root: Path) -> str:
    """Play once and return the report."""
    options = FleetOptions(routers=1, controllers=3, backends=3, seconds=2 * PHASE_S, kinds=(SHORT_PROMPTS,))
    layout = make_layout(options.controllers, options.routers, find_free_ports(3, 1, 3))
    with tempfile.TemporaryDirectory() as folder:
        fleet = UploadFleet(layout, options, Path(folder), program_root)
        await fleet.play()
        return fleet.report()


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--program-root", type=Path, default=Path.cwd())
    options = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        print(runner.run(play(options.program_root.resolve())))


if __name__ == "__main__":
    main()
