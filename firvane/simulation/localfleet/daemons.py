"""Runs the real daemons as processes: start, kill, stop, and resource usage."""

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
RESTART_AFTER = 1.0  # s from a kill to the next start
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGKILL)
LOG_LINE_START = "timestamp="
ERROR_LEVELS = ("level=error", "level=critical")
STATUS_PEAK = "VmHWM:"  # kB
STAT_TIMES = slice(11, 13)  # user and system time after the name in /proc/PID/stat


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of one process: peak resident memory and CPU time."""

    peak_mb: float = 0.0
    processor_s: float = 0.0


def read_usage(pid: int) -> ProcessUsage:
    """The usage of a running process; zeros if it has exited."""
    folder = Path("/proc") / str(pid)
    try:
        status = (folder / "status").read_text()
        stat = (folder / "stat").read_text()
    except OSError:
        return ProcessUsage()
    return parse_usage(status, stat)


def parse_usage(status: str, stat: str) -> ProcessUsage:
    """Parse the usage from the texts of /proc/PID/status and /proc/PID/stat."""
    peak_kb = 0
    for line in status.splitlines():
        if line.startswith(STATUS_PEAK):
            peak_kb = int(line.split()[1])
    ticks = sum(map(int, stat.rpartition(")")[2].split()[STAT_TIMES]))
    return ProcessUsage(peak_kb / 1024, ticks / TICKS_PER_SECOND)


class Daemon:
    """One daemon across its restarts."""

    def __init__(
        self,
        node: Node,
        layout: Layout,
        platform: PlatformTerms,
        folder: Path,
        program_root: Path = PACKAGE_PARENT,
    ) -> None:
        """`folder`: settings, data and logs of all daemons; `program_root` contains the daemons' package."""
        self.node = node
        self._program_root = program_root
        self.starts = 0
        self.own_ends: list[int] = []  # exit codes of processes that were not stopped on purpose
        self.peak_mb = 0.0
        self.processor_s = 0.0
        self._layout, self._platform = layout, platform
        self._folder = folder / node.name
        self._log = self._folder / "log"
        self._process: asyncio.subprocess.Process | None = None
        self._stop_requested = False
        self._exit_watcher: asyncio.Task[None] | None = None

    @property
    def runs(self) -> bool:
        """Whether its process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """The id of the newest process; 0 if none was started."""
        return self._process.pid if self._process else 0

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is None or not self.runs:
            return
        if number in ENDING_SIGNALS:
            self._stop_requested = True
        _signal(self._process, number)

    async def wait_end(self) -> int:
        """Wait for the newest process; return its exit status, negative for a signal."""
        return await self._process.wait() if self._process else 0

    def log_text(self) -> str:
        """The log of all its processes."""
        try:
            return self._log.read_text(errors="replace")
        except OSError:
            return ""

    def problems(self) -> list[str]:
        """The problematic lines of its log."""
        return problems_in_log(self.log_text())

    async def start(self) -> None:
        """Write the settings for this start, and start the process."""
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
                start_new_session=True,  # an interrupt in the terminal reaches only the command
            )
        self.starts += 1
        self._stop_requested = False
        self._exit_watcher = asyncio.create_task(self._record_exit(self._process))

    async def kill(self) -> None:
        """Kill the process."""
        await self._stop_process(signal.SIGKILL, None)

    async def stop(self, grace: float) -> None:
        """Stop the process with SIGTERM; kill it after `grace` seconds."""
        await self._stop_process(signal.SIGTERM, grace)

    async def _stop_process(self, number: signal.Signals, grace: float | None) -> None:
        process, exit_watcher = self._process, self._exit_watcher
        if process is None or exit_watcher is None or process.returncode is not None:
            return
        self._stop_requested = True
        self._add_usage(read_usage(process.pid))
        _signal(process, number)
        done, _ = await asyncio.wait((exit_watcher,), timeout=grace)
        if not done:
            self.own_ends.append(-signal.SIGKILL)  # the process did not exit after SIGTERM
            _signal(process, signal.SIGKILL)
            await exit_watcher

    async def _record_exit(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if not self._stop_requested:
            self.own_ends.append(code)

    def _add_usage(self, usage: ProcessUsage) -> None:
        self.peak_mb = max(self.peak_mb, usage.peak_mb)
        self.processor_s += usage.processor_s


def _signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    with contextlib.suppress(ProcessLookupError):  # the process has just exited
        process.send_signal(number)


def _environment(settings: Path, program_root: Path) -> dict[str, str]:
    environment = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
    return {**environment, "PYTHONPATH": str(program_root), "FIRVANE_BOOT": str(settings)}


def problems_in_log(text: str) -> list[str]:
    """The lines of a daemon's log that are errors or not log lines at all, such as tracebacks."""
    return [line for line in text.splitlines() if _is_problem(line)]


def _is_problem(line: str) -> bool:
    return not line.startswith(LOG_LINE_START) or any(level in line for level in ERROR_LEVELS)
