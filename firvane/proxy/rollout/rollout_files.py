"""The files of a rollout: checksummed state, owner's lock, pending operator command, and event log.

Invariants:

1. The state is written completely and synced before its actions are executed. The state of another plan is
   rejected.
2. The owner of the rollout holds a file lock. A process that takes over replaces the lock file; the previous
   owner detects this before its next write, and slots reject the calls that it sends until then.
3. A command stays in a file until a controller has received it, even if none is running. A later command
   overwrites an earlier one.
4. An event is one line of JSON, appended and never changed. Readers skip a truncated line.
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
from firvane.core.checksum import DamagedDataError, add_header, verify
from firvane.proxy.rollout.errors import ControllerStoppedError, OwnershipLostError
from firvane.proxy.rollout.rollout_state import OperatorCommand, StoredRollout

STATE_MAGIC = b"FVRC"
FORMAT_VERSION = 1
MAX_STATE_BYTES = 1 << 20
LOCK_ATTEMPTS = 5
LOCK_RETRY_INTERVAL_S = 0.05
MAX_PID_BYTES = 20


class RolloutFiles:
    """The files of one rollout: the state at `path`, the others at `path` with a suffix."""

    def __init__(self, path: str | os.PathLike[str]) -> None:
        self.path = Path(path)
        self.lock_path = Path(f"{path}.lock")
        self.command_path = Path(f"{path}.call")
        self.events_path = Path(f"{path}.events")
        self.lock: IO[bytes] | None = None
        self.events: IO[bytes] | None = None

    # Ownership

    def acquire(self, take_over: bool = False) -> None:
        """Take ownership of the rollout.

        Raises:
            OwnershipLostError: Another process owns the rollout, and `take_over` is false.
        """
        if take_over:
            self.lock_path.unlink(missing_ok=True)
        attempts = LOCK_ATTEMPTS
        while True:
            lock = self.lock_path.open("a+b")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                attempts -= 1
                if attempts:  # `owner` of another process may hold the lock briefly
                    time.sleep(LOCK_RETRY_INTERVAL_S)
                    continue
                raise OwnershipLostError(f"process {self.owner() or 'unknown'} has {self.path}") from None
            if self._is_current(lock):
                break
            lock.close()  # the lock file was replaced between `open` and `flock`
        lock.truncate(0)
        lock.write(f"{os.getpid()}\n".encode())
        lock.flush()
        self.lock = lock

    def owner(self) -> int:
        """Return the id of the process that owns the rollout; 0 if no process does."""
        try:
            with self.lock_path.open("rb") as lock:
                try:
                    fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
                except OSError:
                    return int(lock.read(MAX_PID_BYTES).split()[0])
        except (OSError, ValueError, IndexError):
            pass
        return 0

    def _is_current(self, lock: IO[bytes]) -> bool:
        with contextlib.suppress(OSError):
            return os.fstat(lock.fileno()).st_ino == self.lock_path.stat().st_ino
        return False

    def check_ownership(self) -> None:
        """Raise `OwnershipLostError` if another process has taken over the rollout."""
        if self.lock is None or not self._is_current(self.lock):
            raise OwnershipLostError(f"another process has taken {self.path} over")

    def release(self) -> None:
        """Close the files, and give up the ownership of the rollout."""
        for file in (self.lock, self.events):
            if file:
                file.close()
        self.lock = self.events = None

    # The state

    def read_state(self) -> StoredRollout | None:
        """Return the stored state; None if there is no file.

        Raises:
            DamagedDataError: The file holds no valid state.
            OSError: The file cannot be read.
        """
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_STATE_BYTES + 1)
        except FileNotFoundError:
            return None
        _, body = verify(data, STATE_MAGIC, FORMAT_VERSION, "state of a rollout")
        try:
            return msgspec.msgpack.decode(body, type=StoredRollout)
        except (msgspec.MsgspecError, ValueError) as error:
            raise DamagedDataError(f"its fields are not valid: {error}") from None

    def write_state(self, state: StoredRollout) -> None:
        """Write the state; it is on disk when this returns.

        Raises:
            OwnershipLostError: Another process owns the rollout.
            ControllerStoppedError: The file cannot be written.
        """
        self.check_ownership()
        body = msgspec.msgpack.encode(state)
        try:
            write_atomically(self.path, add_header(STATE_MAGIC, FORMAT_VERSION, body))
        except OSError as error:
            reason = error.strerror or error
            raise ControllerStoppedError(f"{self.path} cannot be written: {reason}") from None

    # Commands

    def write_command(self, command: OperatorCommand) -> None:
        """Write a command for the owner of the rollout."""
        write_atomically(self.command_path, command.value.encode())

    def pending_command(self) -> OperatorCommand | None:
        """Return the pending command; remove a file without a valid command."""
        try:
            return OperatorCommand(self.command_path.read_text().strip())
        except FileNotFoundError:
            return None
        except ValueError:
            self.remove_command()
            return None

    def remove_command(self) -> None:
        """Remove the pending command after it was received."""
        self.command_path.unlink(missing_ok=True)

    # Events

    def append_event(self, event: dict[str, Any]) -> None:
        """Append an event; if writing fails, the report lacks it, and the rollout continues."""
        with contextlib.suppress(OSError):
            if self.events is None:
                self.events = self.events_path.open("ab", buffering=0)
            self.events.write(json.dumps(event, separators=(",", ":")).encode() + b"\n")

    def read_events(self) -> Iterator[dict[str, Any]]:
        """Yield all events in the order in which they were appended."""
        with contextlib.suppress(FileNotFoundError), self.events_path.open("rb") as file:
            for line in file:
                with contextlib.suppress(ValueError):
                    event = json.loads(line)
                    if isinstance(event, dict):
                        yield event
