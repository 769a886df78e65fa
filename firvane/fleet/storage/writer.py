"""The thread that writes and syncs the journals of a process, so that its event loop never waits for a disk.

Rules that hold here and nowhere else:

1. The writes of one journal reach the disk in the order in which they were handed over.
2. All appends that wait for a journal become one frame and one sync; journals are written first, then synced.
3. A write that the disk refuses is tried again until it succeeds; nothing behind it passes it.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Sequence

from msgspec import Struct, field

from firvane.core import process_signals
from firvane.fleet.storage.journal import Journal

RETRY_INTERVAL = 0.1  # seconds between two tries of what a disk has refused

Done = Callable[[int, int], None]  # journal, sequence: synced up to here
Refused = Callable[[int, OSError], None]  # journal, why


class _Job(Struct):
    sequence: int
    records: Sequence[bytes]
    snapshot: bytes | None = None
    compact: bool = False
    settle: bool = False


class _Queue(Struct):
    journal: Journal
    jobs: deque[_Job] = field(default_factory=deque)


class JournalWriter:
    """One thread for all journals. `done` and `refused` are called in that thread."""

    def __init__(self, done: Done, refused: Refused) -> None:
        self._done = done
        self._refused = refused
        self._queues: dict[int, _Queue] = {}
        self._condition = threading.Condition()
        self._closed = False
        self._thread = threading.Thread(target=self._run, name="journal-writer", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def add(self, key: int, journal: Journal) -> None:
        """Take a journal over; only the thread uses it from now on."""
        with self._condition:
            self._queues[key] = _Queue(journal)

    def append(self, key: int, sequence: int, records: Sequence[bytes]) -> None:
        """Write records; none only waits for what is before."""
        self._put(key, _Job(sequence, records))

    def settle(self, key: int, sequence: int) -> None:
        """Sync what was found when the journal was opened."""
        self._put(key, _Job(sequence, (), settle=True))

    def compact(self, key: int, sequence: int, snapshot: bytes, records: Sequence[bytes]) -> None:
        """Begin a new segment after a snapshot."""
        self._put(key, _Job(sequence, records, snapshot, compact=True))

    def close(self, timeout: float = 0.0) -> None:
        """End the thread after what it is doing; wait for it so many seconds."""
        with self._condition:
            self._closed = True
            self._condition.notify()
        if timeout and self._thread.is_alive():
            self._thread.join(timeout)

    def _put(self, key: int, job: _Job) -> None:
        with self._condition:
            self._queues[key].jobs.append(job)
            self._condition.notify()

    def _run(self) -> None:
        process_signals.block()
        while True:
            with self._condition:
                while not self._closed and not self.waiting:
                    self._condition.wait()
                if self._closed:
                    break
            if not self.write_waiting():
                with self._condition:
                    if not self._closed:
                        self._condition.wait(RETRY_INTERVAL)
        for queue in self._queues.values():
            queue.journal.close()

    @property
    def waiting(self) -> bool:
        """Whether anything waits to be written."""
        return any(queue.jobs for queue in self._queues.values())

    def write_waiting(self) -> bool:
        """Write what waits, one frame for each journal at the most; False where the disk refused any of it.

        The thread calls this; a simulated world that starts no thread calls it by itself.
        """
        with self._condition:
            batch = [(key, queue, list(queue.jobs)) for key, queue in self._queues.items() if queue.jobs]
        appended: list[tuple[int, _Queue, int]] = []
        well = True
        for key, queue, jobs in batch:
            try:
                count = self._begin(queue.journal, jobs)
            except OSError as error:
                well = False
                self._refused(key, error)
                continue
            if count:
                appended.append((key, queue, count))
            else:
                self._finish(key, queue, 1)
        for key, queue, count in appended:
            try:
                queue.journal.sync()
            except OSError as error:
                well = False
                self._refused(key, error)
                continue
            self._finish(key, queue, count)
        return well

    def _begin(self, journal: Journal, jobs: Sequence[_Job]) -> int:
        """Do the first job, or write as many appends as come first; how many of these are to be synced."""
        first = jobs[0]
        if first.compact:
            journal.compact(first.snapshot, first.records)
            return 0
        if first.settle:
            journal.settle()
            return 0
        records: list[bytes] = []
        count = 0
        for job in jobs:
            if job.compact or job.settle:
                break
            records += job.records
            count += 1
        if not records:
            return 0
        journal.append(records)
        return count

    def _finish(self, key: int, queue: _Queue, count: int) -> None:
        with self._condition:
            for _ in range(count):
                job = queue.jobs.popleft()
        self._done(key, job.sequence)
