"""What a roll leaves on disk: its course with a checksum, who has it, an operator's call, what came to pass.

Rules that hold here and nowhere else:

1. The course is whole and synced before anything that it says is done. A course of another plan is refused.
2. One process has a course: it holds a lock. Who takes it over puts another lock file in its place, and
   whoever had the one before finds that out before it writes again; what it has said by then, places refuse.
3. A call lies in a file until the roll has heard it, whether one runs or not. The last word counts.
4. What came to pass is a line of JSON each, added and never changed. A line that is cut is left out.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
import time
from collections.abc import Iterator
from pathlib import Path
from typing import IO, Any

import msgspec

from firvane.core.atomic_write import write_atomically
from firvane.core.checksum import Damaged, verify, with_header
from firvane.proxy.rollout.messages import Call, Kept

MAGIC, FORMAT = b"FVRC", 1
MOST = 1 << 20  # bytes of a course
TRIES, TRY_S = 5, 0.05


class Ended(Exception):  # noqa: N818 - nothing has failed but this controller's part
    """This controller cannot go on; the reason is one line. Whoever starts next goes on from the disk."""


class Taken(Ended):
    """Another controller has the course."""


class Chronicle:
    """The files of one roll, all beside `path`."""

    def __init__(self, path: str | os.PathLike[str]) -> None:
        self.path = Path(path)
        self.lock_path = Path(f"{path}.lock")
        self.call_path = Path(f"{path}.call")
        self.events_path = Path(f"{path}.events")
        self.lock: IO[bytes] | None = None
        self.events: IO[bytes] | None = None

    # Who has it

    def take(self, over: bool = False) -> None:
        """Have the course from now on; `Taken` where another process has it and it is not taken `over`."""
        if over:
            self.lock_path.unlink(missing_ok=True)
        tries = TRIES
        while True:
            lock = open(self.lock_path, "a+b")  # noqa: SIM115 - held until the end
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                tries -= 1
                if tries:  # who only looks has it for a moment, too
                    time.sleep(TRY_S)
                    continue
                raise Taken(f"process {self.holder() or 'unknown'} has {self.path}") from None
            if self._is(lock):
                break
            lock.close()  # it was put aside between the two
        lock.truncate(0)
        lock.write(f"{os.getpid()}\n".encode())
        lock.flush()
        self.lock = lock

    def holder(self) -> int:
        """The process that has the course; 0 where none does."""
        try:
            with open(self.lock_path, "rb") as lock:
                try:
                    fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
                except OSError:
                    return int(lock.read(20).split()[0])
        except (OSError, ValueError, IndexError):
            pass
        return 0

    def _is(self, lock: IO[bytes]) -> bool:
        with contextlib.suppress(OSError):
            return os.fstat(lock.fileno()).st_ino == os.stat(self.lock_path).st_ino
        return False

    def mine(self) -> None:
        """Raises `Taken` where the course is another's by now."""
        if self.lock is None or not self._is(self.lock):
            raise Taken(f"another process has taken {self.path} over")

    def release(self) -> None:
        for file in (self.lock, self.events):
            if file:
                file.close()
        self.lock = self.events = None

    # The course

    def read(self) -> Kept | None:
        """Where the roll is, None where there is none; `Damaged` or `OSError` where nobody can say."""
        try:
            with open(self.path, "rb") as file:
                data = file.read(MOST + 1)
        except FileNotFoundError:
            return None
        _, body = verify(data, MAGIC, FORMAT, "course of a roll")
        try:
            return msgspec.msgpack.decode(body, type=Kept)
        except (msgspec.MsgspecError, ValueError) as error:
            raise Damaged(f"its words do not fit: {error}") from None

    def keep(self, kept: Kept) -> None:
        """On disk when this returns; `Ended` where it is not, `Taken` where it is not ours to say."""
        self.mine()
        try:
            write_atomically(self.path, with_header(MAGIC, FORMAT, msgspec.msgpack.encode(kept)))
        except OSError as error:
            raise Ended(f"{self.path} cannot be written: {error.strerror or error}") from None

    # Calls

    def say(self, call: Call) -> None:
        write_atomically(self.call_path, call.value.encode())

    def said(self) -> Call | None:
        """The call that waits; one that is none is put aside."""
        try:
            return Call(self.call_path.read_text().strip())
        except FileNotFoundError:
            return None
        except ValueError:
            self.heard()
            return None

    def heard(self) -> None:
        self.call_path.unlink(missing_ok=True)

    # What came to pass

    def note(self, what: dict[str, Any]) -> None:
        """A full disk costs the report a line and the roll nothing."""
        with contextlib.suppress(OSError):
            if self.events is None:
                self.events = open(self.events_path, "ab", buffering=0)  # noqa: SIM115 - held until the end
            self.events.write(json.dumps(what, separators=(",", ":")).encode() + b"\n")

    def noted(self) -> Iterator[dict[str, Any]]:
        """All of it, from the beginning."""
        with contextlib.suppress(FileNotFoundError), open(self.events_path, "rb") as file:
            for line in file:
                with contextlib.suppress(ValueError):
                    found = json.loads(line)
                    if isinstance(found, dict):
                        yield found
