"""The frame of a case: its record, its switch for the disruption, and its exit status."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness.fleet import ROOT

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case cannot be run here; the text says why."""


class Record:
    """The lines of `record.txt`, each with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def __call__(self, line: str) -> None:
        """Write one line."""
        text = f"{time.monotonic() - self._began:8.3f} s  {line}"
        print(text, flush=True)
        self.detail(text)

    def detail(self, line: str) -> None:
        """Write a line to the file alone."""
        self._file.write(line + "\n")
        self._file.flush()

    def since_start(self, moment: float) -> str:
        """A monotonic time as seconds since the start."""
        return f"{moment - self._began:.3f} s"


def has_trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(file: str, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Run one case; `play` returns whether the rule held."""
    record = Record(Path(file).parent / "record.txt")
    record(f"disruption: {'played' if has_trouble() else 'left out'}")
    if not (ROOT / "target" / "deps").is_dir():
        record("cannot run: target/deps is missing, which the build of the deploy file makes")
        sys.exit(NOT_RUN)
    try:
        held = asyncio.run(_await(play(record)))
    except (Exception, KeyboardInterrupt) as error:  # whatever failed, it is no verdict
        record(f"cannot run: {type(error).__name__} {error}")
        sys.exit(NOT_RUN)
    record("verdict: the rule held" if held else "verdict: the rule was broken")
    sys.exit(HELD if held else BROKEN)


async def _await(verdict: Awaitable[bool]) -> bool:
    return await verdict
