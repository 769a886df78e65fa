"""The daemons under a plan's signals, with each signal and each end written down."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from firvane.simulation.localfleet.daemons import Daemon
from firvane.simulation.localfleet.signal_state import survives
from firvane.simulation.soak.records import ProcessEvent, Record, SignalKind, Usage

START_AFTER_END = 0.3  # s from an end in order to the next start
QUOTA_PERIOD = 0.1  # s
KILL_MARGIN = 3.0  # s beyond the grace after which a process is killed


class SoakProcess:
    """One daemon over all its lives."""

    def __init__(self, daemon: Daemon, record: Record, grace: float) -> None:
        self.daemon = daemon
        self.name = daemon.node.name
        self._record, self._grace = record, grace
        self._loop = asyncio.get_running_loop()
        self._closing = False
        self._starting = asyncio.Lock()
        self._watches: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start a process, unless one is there or the run is over."""
        async with self._starting:  # steps overlap, and two may end the same process
            if self.daemon.runs or self._closing:
                return
            await self.daemon.start()
            self._note(SignalKind.STARTED)
            watch = asyncio.create_task(self._watch())
            self._watches.add(watch)
            watch.add_done_callback(self._watches.discard)

    async def _watch(self) -> None:
        code = await self.daemon.wait_end()
        self._note(SignalKind.ENDED, code)

    async def restart(self, second_after: float | None = None) -> None:
        """SIGTERM, perhaps another one, and a new start after the end."""
        if not self.daemon.runs:
            return
        self._send(signal.SIGTERM, SignalKind.TERM)
        if second_after is not None:
            await asyncio.sleep(second_after)
            if self.daemon.runs:  # perhaps the next life already
                self._send(signal.SIGTERM, SignalKind.TERM)
        await self._await_end()
        await asyncio.sleep(START_AFTER_END)
        await self.start()

    async def kill(self, away: float) -> None:
        """SIGKILL, and a new start."""
        if not self.daemon.runs:
            return
        self._send(signal.SIGKILL, SignalKind.KILLED)
        await self.daemon.wait_end()
        await asyncio.sleep(away)
        await self.start()

    async def restart_in_start(self, after: float) -> None:
        """Kill, start, and SIGTERM so soon after the start."""
        await self.kill(START_AFTER_END)
        await asyncio.sleep(after)
        await self.restart()

    def hang_up(self) -> None:
        """SIGHUP, where a process listens for it."""
        if self.daemon.runs and survives(self.daemon.pid, signal.SIGHUP):
            self._send(signal.SIGHUP, SignalKind.HUP)

    async def freeze(self, span: float) -> None:
        """Stand still for a time."""
        if self.daemon.runs:
            self._send(signal.SIGSTOP, SignalKind.STOPPED)
            await asyncio.sleep(span)
            self._send(signal.SIGCONT, SignalKind.CONTINUED)

    async def limit(self, span: float, share: float) -> None:
        """Stand still for a share of each tenth of a second, as under a processor quota."""
        end = self._loop.time() + span
        while self._loop.time() < end and self.daemon.runs:
            self.daemon.send(signal.SIGSTOP)
            await asyncio.sleep(QUOTA_PERIOD * share)
            self.daemon.send(signal.SIGCONT)
            await asyncio.sleep(QUOTA_PERIOD * (1.0 - share))

    async def close(self) -> None:
        """SIGTERM for the last time, and wait for the end."""
        self._closing = True
        async with self._starting:
            pass  # a start that is under way is finished, so that its process is ended too
        if self.daemon.runs:
            self.daemon.send(signal.SIGCONT)
            self._send(signal.SIGTERM, SignalKind.TERM)
            await self._await_end()
        await asyncio.gather(*self._watches)

    def usage(self) -> Usage | None:
        """What the process holds now."""
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
        """The end; one that does not end is killed, and the time tells."""
        try:
            async with asyncio.timeout(self._grace + KILL_MARGIN):
                await self.daemon.wait_end()
        except TimeoutError:
            self.daemon.send(signal.SIGKILL)
            await self.daemon.wait_end()

    def _send(self, number: signal.Signals, kind: SignalKind) -> None:
        self._note(kind, listens=survives(self.daemon.pid, number))
        self.daemon.send(number)

    def _note(self, kind: SignalKind, code: int = 0, listens: bool = True) -> None:
        self._record.processes.append(ProcessEvent(self._loop.time(), self.name, kind, code, listens))
