"""Opens the journals of a controller's groups, each in a thread that retries after disk errors."""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from firvane.core import process_signals
from firvane.core.logs import Log
from firvane.fleet.replication.core import Recovered
from firvane.fleet.replication.errors import DecodeError, UnsupportedRecordError
from firvane.fleet.replication.records import decode_journal, encode_origin
from firvane.fleet.replication.types import NO_INCARNATION
from firvane.fleet.storage.errors import CorruptJournalError, UnsupportedFormatError
from firvane.fleet.storage.filesystem import FileSystem, SystemFileSystem
from firvane.fleet.storage.journal import Journal, create_journal, open_journal

RETRY_INTERVAL_S = 0.25


class OpenedJournal(Struct, frozen=True):
    """A journal with its recovered state; `is_new` if it was created on opening."""

    journal: Journal
    recovered: Recovered
    is_new: bool


def new_incarnation() -> int:
    """Return a random 64-bit incarnation other than `NO_INCARNATION`."""
    while (incarnation := int.from_bytes(os.urandom(8), "little")) == NO_INCARNATION:
        pass
    return incarnation


def open_or_create(
    files: FileSystem, folder: str, may_bootstrap: bool, incarnation: int, log: Log
) -> OpenedJournal:
    """Open the journal in a folder, or create one of this incarnation.

    A corrupt journal is discarded, and the replica joins again as another member. A journal of an unknown
    format is neither read nor discarded.

    Args:
        files: The file system.
        folder: The folder of the journal.
        may_bootstrap: Whether an empty folder belongs to the first start of the whole cluster.
        incarnation: The identity of a newly created journal.
        log: The log.

    Raises:
        UnsupportedFormatError: If another version of the program wrote the journal.
        OSError: If the file system fails.
    """
    try:
        opened = open_journal(files, folder)
        if opened is not None:
            recovered = decode_journal(opened.contents.snapshot, opened.contents.records)
            return OpenedJournal(opened.journal, recovered, False)
    except UnsupportedRecordError as error:
        raise UnsupportedFormatError(str(error)) from error
    except (CorruptJournalError, DecodeError) as error:
        _log_corruption(log, folder, error)
        may_bootstrap = False
    journal = create_journal(files, folder, incarnation, [encode_origin(may_bootstrap)])
    log.info("journal_created", folder=folder, may_bootstrap=may_bootstrap)
    return OpenedJournal(journal, Recovered(may_bootstrap=may_bootstrap), True)


def _log_corruption(log: Log, folder: str, error: Exception) -> None:
    log.error("journal_corrupt", folder=folder, reason=str(error))


class JournalOpener:
    """Opens journals in the background; `on_open` is called in the opening thread."""

    def __init__(
        self, directory: Path, may_bootstrap: bool, on_open: Callable[[int, OpenedJournal], None], log: Log
    ) -> None:
        self._directory = directory
        self._may_bootstrap = may_bootstrap
        self._on_open = on_open
        self._log = log
        self._closed = threading.Event()

    def start(self, group: int) -> None:
        """Start to open the journal of a group."""
        thread = threading.Thread(
            target=self._run, args=(group,), name=f"journal-opener-{group}", daemon=True
        )
        thread.start()

    def close(self) -> None:
        """Stop retrying."""
        self._closed.set()

    def _run(self, group: int) -> None:
        process_signals.block()
        files = SystemFileSystem()
        folder = str(self._directory / f"group-{group}")
        has_warned = False
        while not self._closed.is_set():
            try:
                opened = open_or_create(files, folder, self._may_bootstrap, new_incarnation(), self._log)
            except OSError as error:
                if not has_warned:
                    self._log.warning("journal_not_opened", group=group, reason=str(error))
                    has_warned = True
                time.sleep(RETRY_INTERVAL_S)
                continue
            except UnsupportedFormatError as error:
                self._log.error(
                    "journal_format_unsupported",
                    folder=folder,
                    reason=str(error),
                )
                return
            self._on_open(group, opened)
            return
