"""All threads but the main thread block the signals of the process, whenever they are started."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from firvane.core import logs, process_signals
from firvane.core.process_signals import SIGNALS
from firvane.fleet.controller.journal_opener import JournalOpener, OpenedJournal
from firvane.fleet.storage.writer import JournalWriter
from firvane.proxy.quorum.store import Store
from firvane.proxy.snapshots.file import SnapshotStore
from tests.signal_masks import blocked_signals

TIME_LIMIT = 20.0  # s, only for a thread that hangs
SLOW_MODULES = {"asyncio", "concurrent.futures", "logging", "socket", "threading", "typing", "uvloop"}


@pytest.fixture(autouse=True)
def unblocked() -> None:
    """Unblock signals, as after the loop has begun to handle them; `tests/conftest.py` restores the mask."""
    process_signals.unblock()


def own_mask() -> set[signal.Signals]:
    return {signal.Signals(number) for number in signal.pthread_sigmask(signal.SIG_BLOCK, ())}


def worker_mask(submit: Callable[[Callable[[], None]], None]) -> set[signal.Signals]:
    """Return the signal mask of the thread that runs submitted work."""
    found: list[set[signal.Signals]] = []
    ran = threading.Event()

    def record_mask() -> None:
        found.append(own_mask())
        ran.set()

    submit(record_mask)
    assert ran.wait(TIME_LIMIT)
    return found[0]


def test_the_thread_that_writes_snapshots_blocks_signals(tmp_path: Path) -> None:
    store = SnapshotStore(tmp_path / "snapshot", "edge", logs.QUIET)
    assert worker_mask(store.run_off_loop) >= set(SIGNALS)
    assert not own_mask() & set(SIGNALS)


def test_the_thread_that_writes_the_policy_blocks_signals(tmp_path: Path) -> None:
    store = Store(tmp_path, logs.QUIET, lambda follow: follow())
    assert worker_mask(store.run_off_loop) >= set(SIGNALS)


def test_the_thread_that_writes_journals_blocks_signals() -> None:
    """The thread may start after the main thread has unblocked signals, if the controller starts slowly."""
    writer = JournalWriter(lambda *_: None, lambda *_: None)
    writer.start()
    thread = next(one for one in threading.enumerate() if one.name == "journal-writer")
    status = Path(f"/proc/{os.getpid()}/task/{thread.native_id}/status")
    while blocked_signals(status.read_text()) < set(SIGNALS):
        assert thread.is_alive()
        os.sched_yield()
    writer.close(TIME_LIMIT)


def test_the_module_that_blocks_signals_imports_no_slow_modules() -> None:
    """Until the module is imported, a signal triggers the default action."""
    code = "import sys, firvane.core.process_signals; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert not SLOW_MODULES & set(done.stdout.split())


def test_the_thread_that_opens_a_journal_blocks_signals(tmp_path: Path) -> None:
    found: list[set[signal.Signals]] = []
    opened = threading.Event()

    def on_open(group: int, journal: OpenedJournal) -> None:
        found.append(own_mask())
        opened.set()

    JournalOpener(tmp_path, True, on_open, logs.QUIET).start(0)
    assert opened.wait(TIME_LIMIT)
    assert found[0] >= set(SIGNALS)
