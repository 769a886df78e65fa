"""Which signals the threads of a process block."""

from __future__ import annotations

import signal
from pathlib import Path

from firvane.core.process_signals import SIGNALS
from firvane.simulation.localfleet.signal_state import SignalField, signals_in


def blocked_signals(status: str) -> set[signal.Signals]:
    """Those of `SIGNALS` that a thread blocks, from its `status` file under /proc."""
    return signals_in(status, SignalField.BLOCKED) & set(SIGNALS)


def blocked_by_thread(pid: int) -> list[set[signal.Signals]]:
    """What each thread of a process blocks, the first one first; `OSError` where a thread has just ended."""
    threads = sorted(Path(f"/proc/{pid}/task").iterdir(), key=lambda folder: int(folder.name))
    return [blocked_signals((thread / "status").read_text()) for thread in threads]
