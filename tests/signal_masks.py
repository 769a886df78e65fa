"""Which signals the threads of a process block, by the kernel's word."""

from __future__ import annotations

import signal
from pathlib import Path

from firvane.process_signals import SIGNALS


def blocked_signals(status: str) -> set[signal.Signals]:
    """Those of `SIGNALS` that a thread blocks, from its `status` file under /proc."""
    mask = next(int(line.split()[1], 16) for line in status.splitlines() if line.startswith("SigBlk:"))
    return {number for number in SIGNALS if mask & 1 << (number - 1)}


def blocked_by_thread(pid: int) -> list[set[signal.Signals]]:
    """What each thread of a process blocks, the first one first; `OSError` where a thread has just ended."""
    threads = sorted(Path(f"/proc/{pid}/task").iterdir(), key=lambda folder: int(folder.name))
    return [blocked_signals((thread / "status").read_text()) for thread in threads]
