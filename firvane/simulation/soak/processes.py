"""Daemon processes that receive a plan's signals; each signal, start and exit is recorded."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from firvane.simulation.localfleet.daemons import Daemon
from firvane.simulation.localfleet.signal_state import survives
from firvane.simulation.soak.records import ProcessEvent, Record, SignalKind, Usage

START_AFTER_END = 0.3  # s from a graceful exit to the next start
QUOTA_PERIOD = 0.1  # s
KILL_MARGIN = 3.0  # s after the grace period until a process is killed


class SoakProcess:
    """One daemon across its restarts."""

    def __init__(self, daemon: Daemon, record: Record, grace: float) -> None:
        self.daemon = daemon
        self.name = daemon.node.name
        self._record, self._grace = record, grace
        self._loop = asyncio.get_running_loop()
        self._closing = False
        self._starting = asyncio.Lock()
        self._exit_watchers: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start a process, unless one is running or the run has finished."""
        async with self._starting:  # steps overlap: two may stop the same process, and both start a new one
            if self.daemon.runs or self._closing:
                return
            await self.daemon.start()
            self._record_event(SignalKind.STARTED)
            watcher = asyncio.create_task(self._record_exit())
            self._exit_watchers.add(watcher)
            watcher.add_done_callback(self._exit_watchers.discard)

    async def _record_exit(self) -> None:
        code = await self.daemon.wait_end()
        self._record_event(SignalKind.ENDED, code)

    async def restart(self, second_after: float | None = None) -> None:
        """Send SIGTERM, again after `second_after` s if given, and start a new process after the exit."""
        if not self.daemon.runs:
            return
        self._send(signal.SIGTERM, SignalKind.TERM)
        if second_after is not None:
            await asyncio.sleep(second_after)
            if self.daemon.runs:  # possibly already the next process
                self._send(signal.SIGTERM, SignalKind.TERM)
        await self._await_end()
        await asyncio.sleep(START_AFTER_END)
        await self.start()

    async def kill(self, downtime: float) -> None:
        """Send SIGKILL, and start a new process `downtime` s after the exit."""
        if not self.daemon.runs:
            return
        self._send(signal.SIGKILL, SignalKind.KILLED)
        await self.daemon.wait_end()
        await asyncio.sleep(downtime)
        await self.start()

    async def restart_in_start(self, after: float) -> None:
        """Kill the process, start a new one, and restart that one with SIGTERM after `after` s."""
        await self.kill(START_AFTER_END)
        await asyncio.sleep(after)
        await self.restart()

    def send_hangup(self) -> None:
        """Send SIGHUP, unless its default action would end the process."""
        if self.daemon.runs and survives(self.daemon.pid, signal.SIGHUP):
            self._send(signal.SIGHUP, SignalKind.HUP)

    async def freeze(self, span: float) -> None:
        """Suspend the process for `span` s."""
        if self.daemon.runs:
            self._send(signal.SIGSTOP, SignalKind.STOPPED)
            await asyncio.sleep(span)
            self._send(signal.SIGCONT, SignalKind.CONTINUED)

    async def throttle(self, span: float, share: float) -> None:
        """Suspend the process for a share of each `QUOTA_PERIOD`, as a CPU quota does."""
        end = self._loop.time() + span
        while self._loop.time() < end and self.daemon.runs:
            self.daemon.send(signal.SIGSTOP)
            await asyncio.sleep(QUOTA_PERIOD * share)
            self.daemon.send(signal.SIGCONT)
            await asyncio.sleep(QUOTA_PERIOD * (1.0 - share))

    async def close(self) -> None:
        """Stop the daemon with SIGTERM and wait for its exit; it can't be started again."""
        self._closing = True
        async with self._starting:
            pass  # let a start in progress finish, so that its process is stopped too
        if self.daemon.runs:
            self.daemon.send(signal.SIGCONT)
            self._send(signal.SIGTERM, SignalKind.TERM)
            await self._await_end()
        await asyncio.gather(*self._exit_watchers)

    def usage(self) -> Usage | None:
        """Current resource usage of the process; None if it has exited."""
        folder = Path("/proc") / str(self.daemon.pid)
        try:
            status = (folder / "status").read_text()
            descriptors = len(list((folder / "fd").iterdir()))
        except OSError:
            return None
        fields = dict(line.split(":", 1) for line in status.splitlines())
        resident_kb = int(fields.get("VmRSS", "0").split()[0])
        return Usage(self.name, resident_kb / 1024, descriptors, int(fields.get("Threads", "1")))

    async def _await_end(self) -> None:
        """Wait for the exit; kill a process that exceeds its grace period (the judge sees the late exit)."""
        try:
            async with asyncio.timeout(self._grace + KILL_MARGIN):
                await self.daemon.wait_end()
        except TimeoutError:
            self.daemon.send(signal.SIGKILL)
            await self.daemon.wait_end()

    def _send(self, number: signal.Signals, kind: SignalKind) -> None:
        self._record_event(kind, handles_signal=survives(self.daemon.pid, number))
        self.daemon.send(number)

    def _record_event(self, kind: SignalKind, code: int = 0, handles_signal: bool = True) -> None:
        self._record.processes.append(ProcessEvent(self._loop.time(), self.name, kind, code, handles_signal))
