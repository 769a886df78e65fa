"""Reads from /proc how a process or thread handles signals."""

from __future__ import annotations

import signal
from enum import StrEnum
from pathlib import Path


class SignalField(StrEnum):
    """A mask in a `status` file under /proc."""

    BLOCKED = "SigBlk"
    IGNORED = "SigIgn"
    CAUGHT = "SigCgt"


def signals_in(status: str, field: SignalField) -> set[signal.Signals]:
    """The signals in one mask of the text of a `status` file."""
    prefix = f"{field}:"
    mask = next(int(line.split()[1], 16) for line in status.splitlines() if line.startswith(prefix))
    return {number for number in signal.Signals if mask & 1 << (number - 1)}


def survives(pid: int, number: signal.Signals) -> bool:
    """Whether the process blocks, ignores or catches a signal, so that it does not end by default."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    return any(number in signals_in(status, field) for field in SignalField)
