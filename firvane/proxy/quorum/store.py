"""Policy files of one proxy: a voter's durable state, policy texts, and the history of policies in force.

Invariants:

1. A voter's state is on disk before any message that depends on it is sent: `on_saved` is called only after
   the file and its folder have been synced. If a write fails, all state writes requested since then fail too.
2. Writes run in one dedicated thread, in the order in which they were requested. Of the states waiting to be
   written only the last is written: it includes the earlier ones.
3. Files are replaced atomically: each contains either the old or the new version. A file that cannot be read,
   is damaged, or has a newer format is rejected and logged once: the voter then counts as one that has lost
   its state. Only `bootstrap` creates a voter's first state: a voter without a file has lost its state.
4. A failed write (full disk, read-only folder) is logged; further failures are logged only after a write has
   succeeded.
5. A text is identified by its digest, which is also in its file's name. A file whose content has another
   digest is ignored.
6. Only one process at a time uses a folder: two processes with the same state would count as two votes.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import stat
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import IO, Any, NamedTuple, TypeVar

import msgspec

from firvane.core.atomic_write import write_atomically
from firvane.core.checksum import DamagedDataError, add_header, verify
from firvane.core.logs import Log
from firvane.core.worker_threads import make_worker
from firvane.proxy.policy_text import DIGEST_BYTES, MAX_TEXT_BYTES, digest_of
from firvane.proxy.quorum.types import MAX_VOTERS, NO_PROPOSAL_NUMBER, Value, VoterState

STATE_FILE = "votes"
HISTORY_FILE = "history"
LOCK_FILE = "lock"
TEXT_PREFIX = "text-"
STATE_MAGIC = b"FVPV"
HISTORY_MAGIC = b"FVPH"
FORMAT_VERSION = 1
MAX_FILE_BYTES = 64 << 10  # of the state and history files
HISTORY_LIMIT = 50  # entries

RunOffLoop = Callable[[Callable[[], None]], None]  # runs the work, outside the event loop if possible
CallOnLoop = Callable[[Callable[[], None]], object]  # runs the callback in the event loop
OnSaved = Callable[[], None]
OnFailed = Callable[[str], None]  # called with the reason

T = TypeVar("T")


class HistoryEntry(NamedTuple):
    """A policy that this proxy has used; stored as a MessagePack array."""

    value: Value
    activated_at: float  # Unix time in seconds, for display only


class StoredFiles(NamedTuple):
    """The contents of the folder at the start."""

    state: VoterState | None  # None: missing or rejected
    texts: dict[bytes, bytes]  # by digest
    history: tuple[HistoryEntry, ...]  # the newest entry last


class PendingSave(NamedTuple):
    """A voter's state that is waiting to be written, and its callbacks."""

    state: VoterState
    on_saved: OnSaved
    on_failed: OnFailed


def bootstrap(folder: str | os.PathLike[str], text: bytes, voters: Iterable[int]) -> Value:
    """Create a voter's first files, with this policy as epoch 1.

    Args:
        folder: The folder of the files; created with its parents.
        text: The text of the policy.
        voters: The proxy numbers of the voters.

    Returns:
        The value of epoch 1.

    Raises:
        FileExistsError: The folder already contains a voter's state.
        ValueError: The text is too long, or the voters are not valid.
    """
    path = Path(folder)
    value = Value(1, digest_of(text), tuple(sorted(voters)))
    state = VoterState(0, value, True, NO_PROPOSAL_NUMBER, None, ())
    if reason := _invalid_reason(value):
        raise ValueError(reason)
    if len(text) > MAX_TEXT_BYTES:
        raise ValueError(f"a policy's text has {MAX_TEXT_BYTES} bytes at the most")
    path.mkdir(parents=True, exist_ok=True)
    state_path = path / STATE_FILE
    if state_path.exists():
        raise FileExistsError(
            errno.EEXIST, f"{state_path} already exists: this voter has been bootstrapped before"
        )
    write_atomically(path / f"{TEXT_PREFIX}{value.digest.hex()}", text)
    write_atomically(state_path, _encode(STATE_MAGIC, state))
    return value


class Store:
    """Reads and writes the files in one folder."""

    def __init__(
        self,
        folder: str | os.PathLike[str],
        log: Log,
        call_on_loop: CallOnLoop,
        run_off_loop: RunOffLoop | None = None,
    ) -> None:
        """Create the store without accessing any file yet.

        Args:
            folder: The folder; created by `load` if missing.
            log: Receives an event for each rejected file and each failed write.
            call_on_loop: Runs the callbacks of writes in the event loop.
            run_off_loop: Runs the writes; None uses a dedicated thread.
        """
        self.folder = Path(folder)
        self.log = log
        self.call_on_loop = call_on_loop
        self.thread = None if run_off_loop else make_worker("policy")
        self.run_off_loop: RunOffLoop = run_off_loop or self._run_in_thread
        self.lock: IO[bytes] | None = None
        self.failed = False  # whether the last write has failed
        self.closed = False
        self.written = 0
        self.pending: list[PendingSave] = []
        self.saving = False  # whether a voter's state is being written

    def load(self) -> StoredFiles:
        """Lock the folder, remove temporary files left by killed processes, and read the files.

        Raises:
            OSError: The folder cannot be used, or another process has locked it.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        if self.thread:  # without a thread (simulation), one process uses all folders
            self._lock()
        for temporary_file in self.folder.glob(".*"):
            if temporary_file.name.startswith((f".{STATE_FILE}.", f".{HISTORY_FILE}.", f".{TEXT_PREFIX}")):
                with contextlib.suppress(OSError):
                    temporary_file.unlink()
        state = self._read(STATE_FILE, STATE_MAGIC, VoterState)
        if state:
            reason = _invalid_reason(state.decided)
            if not reason and state.accepted:
                reason = _invalid_reason(state.accepted[1])
            if reason:
                self._log_rejected(STATE_FILE, reason)
                state = None
        history = self._read(HISTORY_FILE, HISTORY_MAGIC, tuple[HistoryEntry, ...])
        return StoredFiles(state, dict(self._read_texts()), history or ())

    def _lock(self) -> None:
        self.lock = (self.folder / LOCK_FILE).open("ab")
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.lock.close()
            raise OSError(f"policy.folder: {self.folder} is another process's") from None

    def save_state(self, state: VoterState, on_saved: OnSaved, on_failed: OnFailed) -> None:
        """Write a voter's state; then call `on_saved` or `on_failed` in the event loop.

        Args:
            state: The state to write.
            on_saved: Called when the state is on disk.
            on_failed: Called if this write, or one that it was waiting for, has failed.
        """
        self.pending.append(PendingSave(state, on_saved, on_failed))
        if not self.saving:
            self._save_pending()

    def _save_pending(self) -> None:
        batch, self.pending = self.pending, []
        self.saving = True

        def on_saved() -> None:
            self.saving = False
            for save in batch:
                save.on_saved()
            if self.pending and not self.saving:
                self._save_pending()

        def on_failed(reason: str) -> None:
            failed_saves, self.pending = batch + self.pending, []
            self.saving = False
            for save in failed_saves:
                save.on_failed(reason)

        self._write(STATE_FILE, _encode(STATE_MAGIC, batch[-1].state), on_saved, on_failed)

    def save_text(self, text: bytes, on_saved: OnSaved, on_failed: OnFailed) -> None:
        """Write a policy's text; then call `on_saved` or `on_failed` in the event loop."""
        self._write(f"{TEXT_PREFIX}{digest_of(text).hex()}", text, on_saved, on_failed)

    def save_history(self, history: Iterable[HistoryEntry]) -> None:
        """Write the last `HISTORY_LIMIT` entries of the history."""
        latest = tuple(history)[-HISTORY_LIMIT:]
        self._write(HISTORY_FILE, _encode(HISTORY_MAGIC, latest), lambda: None, lambda reason: None)

    def delete_text(self, digest: bytes) -> None:
        """Delete the file of a text."""

        def unlink() -> None:
            with contextlib.suppress(OSError):
                (self.folder / f"{TEXT_PREFIX}{digest.hex()}").unlink()

        self._run(unlink)

    def close(self) -> None:
        """Wait until all requested writes have finished; no callback is called after that."""
        if not self.closed:
            self.closed = True
            if self.thread:
                self.thread.shutdown(wait=True)
            if self.lock:
                self.lock.close()

    # Files

    def _read(self, name: str, magic: bytes, record_type: type[T]) -> T | None:
        try:
            _, body = verify(_read_file(self.folder / name, MAX_FILE_BYTES), magic, FORMAT_VERSION, name)
            return msgspec.msgpack.decode(body, type=record_type)
        except FileNotFoundError:
            return None
        except (OSError, DamagedDataError) as error:
            self._log_rejected(name, _reason(error))
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            self._log_rejected(name, f"invalid content: {error}")
        return None

    def _read_texts(self) -> Iterable[tuple[bytes, bytes]]:
        for file in sorted(self.folder.glob(f"{TEXT_PREFIX}*")):
            try:
                text = _read_file(file, MAX_TEXT_BYTES)
            except (OSError, DamagedDataError) as error:
                self._log_rejected(file.name, _reason(error))
                continue
            digest = digest_of(text)
            if digest.hex() == file.name.removeprefix(TEXT_PREFIX):
                yield digest, text
            else:
                self._log_rejected(file.name, "its content does not match the digest in its name")

    def _log_rejected(self, name: str, reason: str) -> None:
        self.log.warning("policy_file_rejected", file=str(self.folder / name), reason=reason)

    def _run_in_thread(self, work: Callable[[], None]) -> None:
        assert self.thread
        self.thread.submit(work)

    def _run(self, work: Callable[[], None]) -> None:
        if not self.closed:
            self.run_off_loop(work)

    def _write(self, name: str, data: bytes, on_saved: OnSaved, on_failed: OnFailed) -> None:
        def call_unless_closed(callback: Callable[[], None]) -> None:
            if not self.closed:
                callback()

        def work() -> None:
            reason = self._write_now(name, data)
            callback = on_saved if reason is None else lambda: on_failed(reason)
            with contextlib.suppress(RuntimeError):  # the event loop is closed: the process is ending
                self.call_on_loop(lambda: call_unless_closed(callback))

        self._run(work)

    def _write_now(self, name: str, data: bytes) -> str | None:
        """Write a file; return None on success, otherwise why the write has failed."""
        try:
            write_atomically(self.folder / name, data)
        except OSError as error:
            reason = error.strerror or str(error)
            if not self.failed:
                self.log.warning("policy_file_save_failed", file=str(self.folder / name), reason=reason)
            self.failed = True
            return reason
        self.failed = False
        self.written += 1
        return None


def _encode(magic: bytes, record: Any) -> bytes:
    return add_header(magic, FORMAT_VERSION, msgspec.msgpack.encode(record))


def _read_file(path: Path, max_bytes: int) -> bytes:
    with path.open("rb") as file:
        if not stat.S_ISREG(os.fstat(file.fileno()).st_mode):
            raise DamagedDataError("not a regular file")
        data = file.read(max_bytes + 1)
    if len(data) > max_bytes:
        raise DamagedDataError(f"longer than {max_bytes >> 10} kB")
    return data


def _reason(error: OSError | DamagedDataError) -> str:
    return getattr(error, "strerror", None) or str(error)


def _invalid_reason(value: Value) -> str:
    """Return why `value` is invalid as the value of an epoch; "" if it is valid."""
    if value.epoch < 1 or len(value.digest) != DIGEST_BYTES:
        return "invalid epoch or digest of the policy"
    voters = value.voters
    if not 1 <= len(voters) <= MAX_VOTERS or list(voters) != sorted({*voters}) or voters[0] < 0:
        return f"voters are 1 to {MAX_VOTERS} proxies by number, each once"
    return ""
