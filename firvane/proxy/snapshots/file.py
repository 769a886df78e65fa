"""The snapshot file of a proxy: read at the start, written off the event loop, and once more at the end.

Invariants:

1. The file always contains one complete snapshot. If two processes use one file, each writes complete
   snapshots, and the last write wins.
2. A file that cannot be read or used is logged once, and the start continues without it. It stays unchanged
   until the first snapshot of this process replaces it.
3. A failed write (a full disk, a read-only folder) is logged once, and again only after a successful write.
   The next write is tried at its regular time. Only the next write waits for one in progress.
"""

from __future__ import annotations

import contextlib
import os
import stat
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from firvane.core import interface as api
from firvane.core.atomic_write import write_atomically
from firvane.core.checksum import DamagedDataError
from firvane.core.logs import Log
from firvane.core.worker_threads import make_worker
from firvane.proxy.snapshots import format
from firvane.proxy.snapshots.types import Snapshot, make_snapshot, restore_estimates

LEFTOVER_AGE_S = 60.0  # after which a temporary file counts as abandoned: writes take far less
RunOffLoop = Callable[[Callable[[], None]], None]  # runs the work, off the event loop if possible


class RestoredSnapshot(NamedTuple):
    """The restored content of a snapshot."""

    estimates: api.RestoredEstimates
    listed: Any  # the endpoint list in discovery's format; None if none was known


def read(path: str | os.PathLike[str]) -> Snapshot:
    """Return the snapshot in a file.

    Raises:
        OSError: The file cannot be read.
        DamagedDataError: The file does not contain a valid snapshot.
    """
    with Path(path).open("rb") as file:
        if not stat.S_ISREG(os.fstat(file.fileno()).st_mode):
            raise DamagedDataError("not a regular file")
        data = file.read(format.MAX_SNAPSHOT_BYTES + 1)
    if len(data) > format.MAX_SNAPSHOT_BYTES:
        raise DamagedDataError(f"longer than {format.MAX_SNAPSHOT_BYTES >> 20} MB")
    return format.decode(data)


class SnapshotStore:
    """The snapshots of one proxy in one file."""

    def __init__(
        self,
        path: str | os.PathLike[str],
        proxy: str,
        log: Log,
        run_off_loop: RunOffLoop | None = None,
    ) -> None:
        """Create a store; no file is accessed yet.

        Args:
            path: The file.
            proxy: The name of the proxy.
            log: For files that are rejected or cannot be written.
            run_off_loop: Runs the writes; None for a dedicated thread.
        """
        self.path = Path(path)
        self.proxy = proxy
        self.log = log
        self.thread = None if run_off_loop else make_worker("snapshot")
        self.run_off_loop: RunOffLoop = run_off_loop or self._run_in_thread
        self.writing = False
        self.failed = False  # whether the last write failed
        self.written = 0

    def load(self, now: float) -> RestoredSnapshot | None:
        """Return the content of the file, aged to `now` in Unix time; log and return None if it is unusable.

        Removes temporary files of killed processes.
        """
        for temporary in self.path.parent.glob(f".{self.path.name}.*"):
            with contextlib.suppress(OSError):
                if time.time() - temporary.stat().st_mtime > LEFTOVER_AGE_S:
                    temporary.unlink()
        try:
            snapshot = read(self.path)
            return RestoredSnapshot(restore_estimates(snapshot, now), snapshot.listed)
        except FileNotFoundError:
            self.log.info("snapshot_none", file=str(self.path))
        except (OSError, DamagedDataError) as error:
            reason = error.strerror if isinstance(error, OSError) and error.strerror else str(error)
            self.log.warning("snapshot_rejected", file=str(self.path), reason=reason)
        return None

    def save(self, now: float, make_list: Callable[[], Any], estimates: api.RestoredEstimates) -> None:
        """Write a snapshot, unless the previous one is still being written.

        Args:
            now: Unix time.
            make_list: Returns the endpoint list in discovery's format; called in the thread that writes.
            estimates: The estimates that the next process restores.
        """
        if not self.writing:
            self.writing = True
            self.run_off_loop(lambda: self._write(now, make_list, estimates))

    def close(self, now: float, make_list: Callable[[], Any], estimates: api.RestoredEstimates) -> None:
        """Write the last snapshot, and return once it is on disk or has failed."""
        if self.thread:
            self.thread.shutdown(wait=True)
        self._write(now, make_list, estimates)

    def _run_in_thread(self, work: Callable[[], None]) -> None:
        assert self.thread
        self.thread.submit(work)

    def _write(self, now: float, make_list: Callable[[], Any], estimates: api.RestoredEstimates) -> None:
        try:
            snapshot = make_snapshot(self.proxy, now, make_list(), estimates)
            write_atomically(self.path, format.encode(snapshot))
        except OSError as error:
            if not self.failed:
                reason = error.strerror or str(error)
                self.log.warning("snapshot_save_failed", file=str(self.path), reason=reason)
            self.failed = True
        else:
            self.failed = False
            self.written += 1
        finally:
            self.writing = False


def describe(snapshot: Snapshot, age_s: float) -> dict[str, Any]:
    """Return a summary of a snapshot, by the names that the command shows to operators."""
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
