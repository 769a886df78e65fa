"""The proxies of a live run, as processes started as the platform starts them, with what they use."""

from __future__ import annotations

import contextlib
import ctypes
import json
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import firvane
from firvane.simulation.emulation.records import Used
from firvane.simulation.emulation.scenario import Proxies
from firvane.simulation.runner.backends import Sink
from firvane.simulation.runner.clock import Clock

OLD_S = 30 * 86_400.0  # s by which a snapshot is old that is said to be
SAMPLE_S = 0.5  # s from one look at what a proxy uses to the next
END_S = 5.0  # s that a process that was killed may take to be gone
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
DIE_WITH_PARENT = 1  # PR_SET_PDEATHSIG
ROOT = str(Path(firvane.__file__).parent.parent)


def environment(**more: str) -> dict[str, str]:
    """What a process of a run starts with: nothing of this one's but where its programs are."""
    kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
    return {**kept, "PYTHONPATH": ROOT, "PYTHONUNBUFFERED": "1", **more}


def with_parent(sockets: int) -> Callable[[], None]:
    """What a new process does before it runs: limit its descriptors, and die when this one does.

    0 stands for all the descriptors that it may have.
    """
    prctl = ctypes.CDLL(None, use_errno=True).prctl

    def before() -> None:
        prctl(DIE_WITH_PARENT, signal.SIGKILL, 0, 0, 0)
        most = sockets or resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))

    return before


def used(pid: int) -> tuple[float, int, int] | None:
    """Seconds of CPU, resident bytes and descriptors of a process; None where it is gone."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        descriptors = len(os.listdir(f"/proc/{pid}/fd"))
    except (OSError, IndexError, ValueError):
        return None
    return (int(stat[11]) + int(stat[12])) / TICKS, pages * PAGE, descriptors


def spoil(path: Path, memory: str) -> None:
    """What a loss of power does to a file: "kept", "lost", "torn" in the middle, or weeks "old"."""
    if memory == "lost":
        path.unlink(missing_ok=True)
    elif memory in ("torn", "old") and path.exists():
        from firvane.proxy.snapshots.format import (
            make_older,  # what `snapshots` installs, of which few have need
        )

        whole = path.read_bytes()
        path.write_bytes(whole[: len(whole) // 2] if memory == "torn" else make_older(whole, OLD_S))


class Machines:
    """All proxies' processes. `on_ended` hears of each that has ended and was not killed from here."""

    def __init__(
        self,
        clock: Clock,
        folder: Path,
        names: tuple[str, ...],
        limits: Proxies,
        on_ended: Callable[[int, int], None],
        sink: Sink,
    ) -> None:
        self.clock, self.folder, self.names, self.limits = clock, folder, names, limits
        self.on_ended, self.sink = on_ended, sink
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.paths: dict[int, Path] = {}  # of their configurations
        self.starts = 0
        self.program = ["-m", "firvane"]  # what is run, by this interpreter

    def launch(self, number: int, told: dict[str, Any]) -> None:
        self.kill(number)
        self.starts += 1
        path = self.folder / f"{self.names[number]}-{self.starts}.json"
        self.paths[number] = path
        path.write_text(json.dumps(told))
        env = environment(
            NODE_NAME=told["name"],
            NODE_LISTEN=told["listen"],
            NODE_DISCOVERY=told["discovery"],
            NODE_CONFIG=str(path),
            TMPDIR=str(self.folder),
        )
        with open(self.folder / f"{self.names[number]}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, *self.program],
                env=env,
                cwd=self.folder,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=with_parent(self.limits.sockets),
            )
        self.processes[number] = process
        ended = os.pidfd_open(process.pid)
        self.clock.loop.add_reader(ended, self._ended, number, process, ended)

    def reload(self, number: int, told: dict[str, Any]) -> None:
        if process := self.processes.get(number):
            self.paths[number].write_text(json.dumps(told))
            process.send_signal(signal.SIGHUP)

    def kill(self, number: int) -> None:
        process = self.processes.pop(number, None)
        if process:
            process.kill()
            process.wait(END_S)

    def end(self, number: int) -> None:
        if process := self.processes.get(number):
            process.terminate()

    def spoil(self, number: int, memory: str) -> None:
        spoil(self.folder / f"{self.names[number]}.snapshot", memory)

    def stall(self, number: int) -> None:
        if process := self.processes.get(number):
            process.send_signal(signal.SIGSTOP)

    def go_on(self, number: int) -> None:
        if process := self.processes.get(number):
            process.send_signal(signal.SIGCONT)

    def step_clock(self, number: int, seconds: float) -> None:
        """Processes of one machine share its clock: `check` turns such a scenario down before."""

    def _ended(self, number: int, process: subprocess.Popen[bytes], ended: int) -> None:
        self.clock.loop.remove_reader(ended)
        os.close(ended)
        code = process.wait()
        if self.processes.get(number) is process:
            del self.processes[number]
            self.on_ended(number, code)

    def sample(self) -> None:
        """Note what each uses, now and from now on. One over its memory is killed, as it would be."""
        for number, process in self.processes.items():
            if figures := used(process.pid):
                self.sink(Used(self.clock.now(), self.names[number], *figures))
                if figures[1] > self.limits.memory_mb << 20:
                    process.kill()
        self.clock.loop.call_later(SAMPLE_S, self.sample)

    def close(self) -> None:
        for number in list(self.processes):
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.kill(number)
