"""The thread that writes and syncs a process's journals, so that the event loop never waits for a disk.

Invariants:

1. The writes of one journal reach the disk in the order in which they were issued.
2. All pending appends of a journal become one frame and one sync (group commit); the frames of all journals
   are written before the first sync.
3. A failed write is retried until it succeeds; no later write of the same journal is performed before it.
"""

from __future__ import annotations

import enum
import threading
from collections import deque
from collections.abc import Callable, Sequence

from msgspec import Struct, field

from firvane.core import process_signals
from firvane.fleet.storage.journal import Journal

RETRY_INTERVAL_S = 0.1  # after a failed write

OnSynced = Callable[[int, int], None]
"""Called with a journal's key and the sequence number up to which the journal is synced."""
OnError = Callable[[int, OSError], None]
"""Called with a journal's key and the error that a write raised."""


class _WriteKind(enum.Enum):
    APPEND = 1
    SYNC_RECOVERED = 2
    COMPACT = 3


class _Write(Struct):
    kind: _WriteKind
    sequence: int
    records: Sequence[bytes]
    snapshot: bytes | None = None


class _JournalQueue(Struct):
    journal: Journal
    writes: deque[_Write] = field(default_factory=deque)


class JournalWriter:
    """A thread that writes all journals; it calls `on_synced` and `on_error`."""

    def __init__(self, on_synced: OnSynced, on_error: OnError) -> None:
        self._on_synced = on_synced
        self._on_error = on_error
        self._queues: dict[int, _JournalQueue] = {}
        self._condition = threading.Condition()
        self._closed = False
        self._thread = threading.Thread(target=self._run, name="journal-writer", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def add(self, key: int, journal: Journal) -> None:
        """Add a journal; from now on only the writer's thread may use it."""
        with self._condition:
            self._queues[key] = _JournalQueue(journal)

    def append(self, key: int, sequence: int, records: Sequence[bytes]) -> None:
        """Write records; without records, `sequence` counts as synced together with the preceding writes."""
        self._put(key, _Write(_WriteKind.APPEND, sequence, records))

    def sync_recovered(self, key: int, sequence: int) -> None:
        """Sync the content that the journal had when it was opened."""
        self._put(key, _Write(_WriteKind.SYNC_RECOVERED, sequence, ()))

    def compact(self, key: int, sequence: int, snapshot: bytes, records: Sequence[bytes]) -> None:
        """Start a new segment with a snapshot."""
        self._put(key, _Write(_WriteKind.COMPACT, sequence, records, snapshot))

    def close(self, timeout_s: float = 0.0) -> None:
        """Stop the thread after its current writes; wait up to `timeout_s` for its end."""
        with self._condition:
            self._closed = True
            self._condition.notify()
        if timeout_s and self._thread.is_alive():
            self._thread.join(timeout_s)

    def _put(self, key: int, write: _Write) -> None:
        with self._condition:
            self._queues[key].writes.append(write)
            self._condition.notify()

    def _run(self) -> None:
        process_signals.block()
        while True:
            with self._condition:
                while not self._closed and not self.has_pending:
                    self._condition.wait()
                if self._closed:
                    break
            if not self.write_pending():
                with self._condition:
                    if not self._closed:
                        self._condition.wait(RETRY_INTERVAL_S)
        for queue in self._queues.values():
            queue.journal.close()

    @property
    def has_pending(self) -> bool:
        """Whether any write is pending."""
        return any(queue.writes for queue in self._queues.values())

    def write_pending(self) -> bool:
        """Perform pending writes, at most one frame for each journal; return False if any write failed.

        The writer's thread calls this; tests that start no thread call it directly.
        """
        with self._condition:
            batch = [(key, queue, list(queue.writes)) for key, queue in self._queues.items() if queue.writes]
        appended: list[tuple[int, _JournalQueue, int]] = []
        succeeded = True
        for key, queue, writes in batch:
            try:
                count = self._begin(queue.journal, writes)
            except OSError as error:
                succeeded = False
                self._on_error(key, error)
                continue
            if count:
                appended.append((key, queue, count))
            else:
                self._finish(key, queue, 1)
        for key, queue, count in appended:
            try:
                queue.journal.sync()
            except OSError as error:
                succeeded = False
                self._on_error(key, error)
                continue
            self._finish(key, queue, count)
        return succeeded

    def _begin(self, journal: Journal, writes: Sequence[_Write]) -> int:
        """Perform the first write, or write all appends at the head; return the number of appends to sync."""
        first = writes[0]
        if first.kind is _WriteKind.COMPACT:
            journal.compact(first.snapshot, first.records)
            return 0
        if first.kind is _WriteKind.SYNC_RECOVERED:
            journal.sync_recovered()
            return 0
        records: list[bytes] = []
        count = 0
        for write in writes:
            if write.kind is not _WriteKind.APPEND:
                break
            records += write.records
            count += 1
        if not records:
            return 0
        journal.append(records)
        return count

    def _finish(self, key: int, queue: _JournalQueue, count: int) -> None:
        with self._condition:
            for _ in range(count):
                write = queue.writes.popleft()
        self._on_synced(key, write.sequence)
