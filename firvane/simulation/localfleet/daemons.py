"""The real daemons as processes: started, killed, started again, ended in order, and what they cost."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

from firvane.simulation.localfleet.layout import DaemonRole, Layout, Node
from firvane.simulation.localfleet.settings_files import PlatformTerms, settings_document, write_settings

MODULES = {
    DaemonRole.ROUTER: "firvane.programs.router",
    DaemonRole.CONTROLLER: "firvane.programs.controller",
}
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
PACKAGE_PARENT = Path(__file__).resolve().parents[3]
RESTART_AFTER = 1.0  # s from a kill, or an end of its own, to the next start
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGKILL)
LOG_LINE_START = "timestamp="
ERROR_LEVELS = ("level=error", "level=critical")
STATUS_PEAK = "VmHWM:"  # kB
STAT_TIMES = slice(11, 13)  # user and system time behind the name in /proc/PID/stat


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What one process has used: its peak of resident memory and its processor time."""

    peak_mb: float = 0.0
    processor_s: float = 0.0


def read_usage(pid: int) -> ProcessUsage:
    """The usage of a process that runs; nothing where it has ended."""
    folder = Path("/proc") / str(pid)
    try:
        status = (folder / "status").read_text()
        stat = (folder / "stat").read_text()
    except OSError:
        return ProcessUsage()
    return parse_usage(status, stat)


def parse_usage(status: str, stat: str) -> ProcessUsage:
    """The usage in the two texts that the kernel shows of a process."""
    peak_kb = 0
    for line in status.splitlines():
        if line.startswith(STATUS_PEAK):
            peak_kb = int(line.split()[1])
    ticks = sum(map(int, stat.rpartition(")")[2].split()[STAT_TIMES]))
    return ProcessUsage(peak_kb / 1024, ticks / TICKS_PER_SECOND)


class Daemon:
    """One daemon over all its lives."""

    def __init__(
        self,
        node: Node,
        layout: Layout,
        platform: PlatformTerms,
        folder: Path,
        program_root: Path = PACKAGE_PARENT,
    ) -> None:
        """`folder`: settings, data and logs of all daemons; `program_root` holds the program's package."""
        self.node = node
        self._program_root = program_root
        self.starts = 0
        self.own_ends: list[int] = []  # exit codes of lives that nobody ended
        self.peak_mb = 0.0
        self.processor_s = 0.0
        self._layout, self._platform = layout, platform
        self._folder = folder / node.name
        self._log = self._folder / "log"
        self._process: asyncio.subprocess.Process | None = None
        self._ended_by_us = False
        self._watch: asyncio.Task[None] | None = None

    @property
    def runs(self) -> bool:
        """Whether its process is there."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Of the newest process; 0 where there never was one."""
        return self._process.pid if self._process else 0

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that runs."""
        if self._process is None or not self.runs:
            return
        if number in ENDING_SIGNALS:
            self._ended_by_us = True
        _signal(self._process, number)

    async def wait_end(self) -> int:
        """The status with which the newest process has ended; below 0 for a signal."""
        return await self._process.wait() if self._process else 0

    def log_text(self) -> str:
        """What it has written, over all lives."""
        try:
            return self._log.read_text(errors="replace")
        except OSError:
            return ""

    def problems(self) -> list[str]:
        """What its log says of errors."""
        return problems_in_log(self.log_text())

    async def start(self) -> None:
        """Write the settings of this life and start the process."""
        self._folder.mkdir(exist_ok=True)
        data = self._folder / "data" if self.node.role is DaemonRole.CONTROLLER else None
        if data:
            data.mkdir(exist_ok=True)
        document = settings_document(
            self.node, self._layout, self._platform, data, first_start=self.starts == 0
        )
        settings = self._folder / "settings.yaml"
        write_settings(settings, document)
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                MODULES[self.node.role],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=self._program_root,
                env=_environment(settings, self._program_root),
                start_new_session=True,  # a terminal's interrupt reaches only the command
            )
        self.starts += 1
        self._ended_by_us = False
        self._watch = asyncio.create_task(self._await_end(self._process))

    async def kill(self) -> None:
        """End the process without warning."""
        await self._end(signal.SIGKILL, None)

    async def stop(self, grace: float) -> None:
        """End the process in order; after `grace` seconds without warning."""
        await self._end(signal.SIGTERM, grace)

    async def _end(self, number: signal.Signals, grace: float | None) -> None:
        process, watch = self._process, self._watch
        if process is None or watch is None or process.returncode is not None:
            return
        self._ended_by_us = True
        self._count(read_usage(process.pid))
        _signal(process, number)
        done, _ = await asyncio.wait((watch,), timeout=grace)
        if not done:
            self.own_ends.append(-signal.SIGKILL)  # it does not end when it gets SIGTERM
            _signal(process, signal.SIGKILL)
            await watch

    async def _await_end(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if not self._ended_by_us:
            self.own_ends.append(code)

    def _count(self, usage: ProcessUsage) -> None:
        self.peak_mb = max(self.peak_mb, usage.peak_mb)
        self.processor_s += usage.processor_s


def _signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    with contextlib.suppress(ProcessLookupError):  # it has just ended
        process.send_signal(number)


def _environment(settings: Path, program_root: Path) -> dict[str, str]:
    kept = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
    return {**kept, "PYTHONPATH": str(program_root), "FIRVANE_BOOT": str(settings)}


def problems_in_log(text: str) -> list[str]:
    """The lines of a daemon's log that are errors or no lines of the log at all, such as tracebacks."""
    return [line for line in text.splitlines() if _is_problem(line)]


def _is_problem(line: str) -> bool:
    return not line.startswith(LOG_LINE_START) or any(level in line for level in ERROR_LEVELS)
