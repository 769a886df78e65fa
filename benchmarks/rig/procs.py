"""Processes: the rig's own parts, and what /proc tells of the proxy."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
PAGE = os.sysconf("SC_PAGE_SIZE")
LINE = 64 << 20  # bytes: results come as one line
LOOK = 0.3  # s for which the cores are watched before one is chosen


@dataclass(frozen=True)
class Cores:
    """Which cores the parts run on: the proxy has one to itself, as far as this machine's others let it."""

    proxy: int
    rest: frozenset[int]

    @classmethod
    def divide(cls) -> Cores:
        """Of the cores that this process may use the idlest is the proxy's; all others are the rig's."""
        mine = sorted(os.sched_getaffinity(0))
        before = _idle()
        time.sleep(LOOK)
        after = _idle()
        quiet = max(mine, key=lambda core: (after[core] - before[core], core))
        return cls(quiet, frozenset(core for core in mine if core != quiet) or frozenset(mine))


def _idle() -> dict[int, int]:
    """For how many ticks each core has been idle."""
    lines = (line.split() for line in Path("/proc/stat").read_text().splitlines())
    return {int(line[0][3:]): int(line[4]) for line in lines if line[0][:3] == "cpu" and line[0] != "cpu"}


def limited(cores: Iterable[int], *command: str, **limits: int) -> list[str]:
    """A command that runs on these cores only, with the `nice` and `sockets` given, and ends with the rig."""
    spec = json.dumps({"cores": sorted(cores), **limits})
    return [sys.executable, str(Path(__file__).with_name("shim.py")), spec, *command]


class Child:
    """A part of the rig in a process of its own.

    It is given its specification as JSON, says in its first line that it is ready (with whatever else is to
    be known), takes orders as lines, and says in its last line what it has measured.
    """

    def __init__(self, process: asyncio.subprocess.Process, ready: dict[str, Any]) -> None:
        self.process, self.ready = process, ready

    @classmethod
    async def start(cls, module: str, spec: dict[str, Any], cores: frozenset[int]) -> Child:
        process = await asyncio.create_subprocess_exec(
            *limited(cores, sys.executable, "-m", f"benchmarks.rig.{module}", json.dumps(spec)),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE,
        )
        child = cls(process, {})
        child.ready = await child._line()
        return child

    async def _line(self) -> dict[str, Any]:
        assert self.process.stdout
        line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"a part of the rig ended early, with status {await self.process.wait()}")
        read: dict[str, Any] = json.loads(line)
        return read

    def tell(self, **order: Any) -> None:
        assert self.process.stdin
        self.process.stdin.write(json.dumps(order).encode() + b"\n")

    def begin(self, at: float) -> None:
        """Name the instant, on the monotonic clock, from which its times count."""
        self.tell(begin=at)

    async def ask(self, **order: Any) -> dict[str, Any]:
        """An order that is answered."""
        self.tell(**order)
        return await self._line()

    async def result(self, within: float) -> dict[str, Any]:
        """What it measured; it has `within` seconds to finish."""
        async with asyncio.timeout(within):
            result = await self._line()
            await self.process.wait()
        return result

    async def stop(self) -> None:
        """End it whatever it does; nothing where it has ended."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


def say(**what: Any) -> None:
    """A line to the process that started this one."""
    sys.stdout.write(json.dumps(what) + "\n")
    sys.stdout.flush()


async def told_to_begin() -> float:
    """Say that all is ready, and wait to be told when to begin: an instant on the monotonic clock.

    All processes read that clock alike. Whoever starts them names the instant once all of them are ready, so
    that none begins late however long the slowest takes to come up.
    """
    say(ready=True)
    line = await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    begin: float = json.loads(line)["begin"]
    return begin


async def orders(take: Callable[[dict[str, Any]], None]) -> None:
    """Hand on orders as they come; returns when the starter has gone or closed the pipe."""
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        take(json.loads(line))


@dataclass(frozen=True)
class Usage:
    """One look at a process: seconds on a core, seconds ready but kept off it, MB, descriptors."""

    cpu: float
    kept_off: float
    rss: float
    peak: float
    descriptors: int

    @classmethod
    def of_self(cls) -> Usage:
        return cls.of(os.getpid())

    @classmethod
    def of(cls, pid: int) -> Usage:
        """`OSError` where the process has ended."""
        proc = Path(f"/proc/{pid}")
        lines = (proc / "status").read_text().splitlines()
        status = dict(line.split(":", 1) for line in lines if ":" in line)
        if "VmRSS" not in status:
            raise ProcessLookupError(f"process {pid} has ended")
        on, waited, _ = (proc / "schedstat").read_text().split()
        rss, peak = (int(status[key].split()[0]) / 1024 for key in ("VmRSS", "VmHWM"))
        return cls(int(on) / 1e9, int(waited) / 1e9, rss, peak, len(os.listdir(proc / "fd")))


def memory_mb(pid: int) -> tuple[float, float]:
    """RSS, and of it what is not of files that others may share; `OSError` where the process has ended.

    The cheap look, for many times a second.
    """
    with open(f"/proc/{pid}/statm", "rb") as file:
        _, resident, shared, *_ = map(int, file.read().split())
    return resident * PAGE / (1 << 20), (resident - shared) * PAGE / (1 << 20)


def forget_peak(pid: int) -> None:
    """Let VmHWM begin anew from what the process holds now."""
    Path(f"/proc/{pid}/clear_refs").write_text("5")


def percentile(values: Sequence[float], part: float) -> float:
    """The value that `part` (0 to 1) of the sorted values do not exceed; 0 where there are none."""
    return values[min(len(values) - 1, int(part * len(values)))] if values else 0.0
