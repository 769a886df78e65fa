"""The snapshot's file: read at the start, written off the loop's turns, and once more at the end.

Rules that hold here and nowhere else:

1. What is on disk is one whole snapshot or the one before it. Two processes on one file each write whole
   ones; the later one stands.
2. A file that cannot be read or used is one line in the log, and the start goes on without it. It stays as
   it is until the first snapshot of this life takes its place.
3. A write that fails (a full disk, a folder that is read-only) is one line, and not said again until one has
   gone well; the next is tried at its time. Nothing waits for a write but the next one.
"""

from __future__ import annotations

import contextlib
import os
import stat
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from firvane.core import interface as api
from firvane.core.atomic_write import write_atomically
from firvane.core.logs import Log
from firvane.core.worker_threads import make_worker
from firvane.proxy.snapshots import format
from firvane.proxy.snapshots.types import Snapshot, made, remembered

LEFT = 60.0  # s after which what stands aside is nobody's any more: a writing takes a moment
Aside = Callable[[Callable[[], None]], None]  # runs it, off the loop's turns where there is a way


def read(path: str | os.PathLike[str]) -> Snapshot:
    """The snapshot in a file; `OSError` or `Damaged`."""
    with open(path, "rb") as file:
        if not stat.S_ISREG(os.fstat(file.fileno()).st_mode):
            raise format.Damaged("it is no file")
        data = file.read(format.MOST + 1)
    if len(data) > format.MOST:
        raise format.Damaged(f"it is longer than {format.MOST >> 20} MB")
    return format.unpack(data)


class Keeper:
    """Keeps one file. `aside` is where writes run; without one they have a thread of their own."""

    def __init__(
        self, path: str | os.PathLike[str], proxy: str, log: Log, aside: Aside | None = None
    ) -> None:
        self.path, self.proxy, self.log = Path(path), proxy, log
        self.thread = None if aside else make_worker("snapshot")
        self.aside: Aside = aside or self._in_thread
        self.writing = self.failed = False
        self.written = 0

    def recall(self, now: float) -> tuple[api.RestoredEstimates, Any] | None:
        """What was kept, and the list, `now` in Unix time; None, and a line in the log, where that is of no
        use. What kills have left beside the file is removed."""
        for aside in self.path.parent.glob(f".{self.path.name}.*"):
            with contextlib.suppress(OSError):
                if time.time() - aside.stat().st_mtime > LEFT:
                    aside.unlink()
        try:
            snapshot = read(self.path)
            return remembered(snapshot, now), snapshot.listed
        except FileNotFoundError:
            self.log.info("snapshot_none", file=str(self.path))
        except (OSError, format.Damaged) as error:
            why = error.strerror if isinstance(error, OSError) and error.strerror else str(error)
            self.log.warning("snapshot_useless", file=str(self.path), why=why)
        return None

    def keep(self, now: float, listed: Callable[[], Any], held: api.RestoredEstimates) -> None:
        """Write it, unless the one before is still being written."""
        if not self.writing:
            self.writing = True
            self.aside(lambda: self._write(now, listed, held))

    def close(self, now: float, listed: Callable[[], Any], held: api.RestoredEstimates) -> None:
        """The last one: it is on disk, or has failed, when this returns."""
        if self.thread:
            self.thread.shutdown(wait=True)
        self._write(now, listed, held)

    def _in_thread(self, work: Callable[[], None]) -> None:
        assert self.thread
        self.thread.submit(work)

    def _write(self, now: float, listed: Callable[[], Any], held: api.RestoredEstimates) -> None:
        try:
            write_atomically(self.path, format.pack(made(self.proxy, now, listed(), held)))
        except OSError as error:
            if not self.failed:
                self.log.warning("snapshot_unwritten", file=str(self.path), why=error.strerror or str(error))
            self.failed = True
        else:
            self.failed = False
            self.written += 1
        finally:
            self.writing = False


def describe(snapshot: Snapshot, age_s: float) -> dict[str, Any]:
    """Its figures for who looks at one."""
    listed = snapshot.listed or {}
    return {
        "proxy": snapshot.proxy,
        "age_s": round(age_s, 1),
        "list_version": listed.get("index", 0),
        "listed": len(listed.get("endpoints", [])),
        "scale": round(snapshot.scale, 3),
        "kinds": {name: round(rate, 3) for name, rate in sorted(snapshot.kinds.items())},
        "rooms": len(snapshot.boxes),
    }
