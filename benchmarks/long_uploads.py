"""Many long uploads at once beside short requests, at one router as a process.

    python -m benchmarks.long_uploads [--program-root DIR]

Prints the times of the short requests alone and beside the uploads, the router's peak memory, and its ends.
The uploads, the short requests and the stand-ins for backends and platform are a process each.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
import zlib
from dataclasses import asdict, dataclass, field
from pathlib import Path
from statistics import quantiles

import uvloop

from firvane.core.address import Address, parse_address
from firvane.simulation.localfleet.daemons import Daemon
from firvane.simulation.localfleet.fleet import FleetOptions, LocalFleet
from firvane.simulation.localfleet.layout import DaemonRole, Layout, find_free_ports, make_layout
from firvane.simulation.localfleet.profiles import MODEL, SHORT_PROMPTS
from firvane.simulation.localfleet.settings_files import PlatformTerms

BACKENDS = 3
UPLOADERS = 64
UPLOAD_BYTES = 4 * 1024 * 1024
UPLOAD_PAUSE_S = 0.5  # of a client between two uploads
PHASE_S = 12.0
SHORT_PER_S = 50.0
DEADLINE_MS = 9000
SHORT_BODY = b"x" * 200
TOKENS = "20,4"  # of each prompt, in and out
BROKEN = 0  # in place of a status: the connection ended without an answer


@dataclass
class Tally:
    """Seconds of the requests, and how many ended with each status."""

    times_s: list[float] = field(default_factory=list)
    statuses: dict[str, int] = field(default_factory=dict)

    async def time(self, front: Address, name: str, body: bytes) -> None:
        """Send one request and record it."""
        began = time.perf_counter()
        try:
            status = await ask(front, name, body)
        except (OSError, asyncio.IncompleteReadError):
            status = BROKEN
        self.times_s.append(time.perf_counter() - began)
        self.statuses[str(status)] = self.statuses.get(str(status), 0) + 1

    def __str__(self) -> str:
        cuts = quantiles(self.times_s, n=100)
        return f"p50 {1000 * cuts[49]:.1f} ms, p99 {1000 * cuts[98]:.1f} ms, by status {self.statuses}"


async def ask(front: Address, name: str, body: bytes) -> int:
    """Send one request on a connection of its own, and return the status of its answer."""
    reader, writer = await asyncio.open_connection(*front)
    head = (
        f"POST {SHORT_PROMPTS.path_prefix}0 HTTP/1.1\r\nHost: {SHORT_PROMPTS.host}\r\n"
        f"X-Request-Id: {name}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
        f"X-Model: {MODEL}\r\nX-Token-Count: {TOKENS}\r\n"
        f"X-Prompt-Prefix: {zlib.crc32(name.encode()):x}:20\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    try:
        writer.write(head.encode())
        writer.write(body)
        status = int((await reader.readuntil(b"\r\n")).split()[1])
        await reader.read()
        return status
    finally:
        writer.close()


# The processes of the clients


async def send_short(front: Address, tally: Tally, phase: str) -> None:
    """Send short requests at a steady rate."""
    async with asyncio.TaskGroup() as tasks:
        for number in range(int(PHASE_S * SHORT_PER_S)):
            tasks.create_task(tally.time(front, f"{phase}-{number}", SHORT_BODY))
            await asyncio.sleep(1 / SHORT_PER_S)


async def send_uploads(front: Address, tally: Tally, phase: str) -> None:
    """Let clients upload, each one body after the other."""
    body, until = b"x" * UPLOAD_BYTES, time.monotonic() + PHASE_S

    async def upload(client: int) -> None:
        number = 0
        while time.monotonic() < until:
            await tally.time(front, f"{phase}-{client}-{number}", body)
            await asyncio.sleep(UPLOAD_PAUSE_S)
            number += 1

    await asyncio.gather(*(upload(client) for client in range(UPLOADERS)))


LOADS = {"short": send_short, "uploads": send_uploads}


async def send_load(load: str, front: Address, phase: str) -> None:
    """Be one process of clients, and print its tally."""
    tally = Tally()
    await LOADS[load](front, tally, phase)
    print(json.dumps(asdict(tally)))


async def spawn(load: str, front: Address, phase: str) -> Tally:
    """Start a process of clients, and return its tally."""
    module = (sys.executable, "-m", "benchmarks.long_uploads", "--load", load)
    options = ("--front", f"{front[0]}:{front[1]}", "--phase", phase)
    process = await asyncio.create_subprocess_exec(*module, *options, stdout=asyncio.subprocess.PIPE)
    output, _ = await process.communicate()
    return Tally(**json.loads(output))


# The fleet


class UploadFleet(LocalFleet):
    """One router, whose load are short requests alone, and then beside uploads."""

    def __init__(self, layout: Layout, options: FleetOptions, folder: Path, program_root: Path) -> None:
        super().__init__(layout, options, folder)
        self._daemons = [Daemon(node, layout, PlatformTerms(), folder, program_root) for node in layout.nodes]
        self._front = layout.fronts[0]
        self._lines: list[str] = []

    async def _play_load(self) -> None:
        try:
            alone = await spawn("short", self._front, "alone")
            beside, uploads = await asyncio.gather(
                spawn("short", self._front, "beside"), spawn("uploads", self._front, "upload")
            )
        finally:
            self._operator.stop()
            self._load.close()
        self._lines = [f"short alone:  {alone}", f"short beside: {beside}", f"uploads:      {uploads}"]

    def report(self) -> str:
        """What was measured."""
        router = next(daemon for daemon in self._daemons if daemon.node.role is DaemonRole.ROUTER)
        cost = f"{router.processor_s:.2f} s of processor time"
        last = f"router: peak {router.peak_mb:.0f} MB, {cost}, ends of its own {router.own_ends}"
        return "\n".join((*self._lines, last))


async def play(program_root: Path) -> str:
    """Play once and return the report."""
    options = FleetOptions(
        routers=1, controllers=3, backends=BACKENDS, seconds=2 * PHASE_S, kinds=(SHORT_PROMPTS,)
    )
    layout = make_layout(
        options.controllers, options.routers, find_free_ports(options.controllers, 1, BACKENDS)
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = UploadFleet(layout, options, Path(folder), program_root)
        await fleet.play()
        return fleet.report()


def main() -> None:
    """Run the benchmark, or one of its processes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--program-root", type=Path, default=Path.cwd())
    parser.add_argument("--load", choices=sorted(LOADS), help=argparse.SUPPRESS)
    parser.add_argument("--front", type=parse_address, help=argparse.SUPPRESS)
    parser.add_argument("--phase", help=argparse.SUPPRESS)
    options = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        if options.load:
            runner.run(send_load(options.load, options.front, options.phase))
        else:
            print(runner.run(play(options.program_root.resolve())))


if __name__ == "__main__":
    main()
