"""Opening the journals of a controller's groups: a thread for each, until the disk allows it."""

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
from firvane.fleet.replication.errors import DecodeError, UnknownRecordError
from firvane.fleet.replication.records import decode_journal, encode_birth
from firvane.fleet.replication.types import NOBODY
from firvane.fleet.storage.errors import DamagedJournalError, UnknownFormatError
from firvane.fleet.storage.filesystem import FileSystem, SystemFileSystem
from firvane.fleet.storage.journal import Journal, create_journal, open_journal

RETRY_INTERVAL = 0.25  # seconds between two tries at a disk that refuses


class OpenedJournal(Struct, frozen=True):
    """A journal with what it held. `fresh`: made just now, and synced."""

    journal: Journal
    recovered: Recovered
    fresh: bool


def new_incarnation() -> int:
    """A random incarnation of 64 bits."""
    while (incarnation := int.from_bytes(os.urandom(8), "little")) == NOBODY:
        pass
    return incarnation


def open_or_create(
    files: FileSystem, folder: str, founder: bool, incarnation: int, log: Log
) -> OpenedJournal:
    """The journal in a folder, or a new one of this incarnation.

    One that is damaged is given up: the replica joins again as another member. One of a format that is not
    known is neither read nor given up (`UnknownFormatError`). `founder` says whether a folder that holds
    nothing is one of the first start of the whole system.
    """
    try:
        found = open_journal(files, folder)
        if found is not None:
            journal, contents = found
            return OpenedJournal(journal, decode_journal(contents.snapshot, contents.records), False)
    except UnknownRecordError as error:
        raise UnknownFormatError(str(error)) from error
    except (DamagedJournalError, DecodeError) as error:
        log.error("replication: journal damaged, given up.", folder=folder, reason=str(error))
        founder = False
    journal = create_journal(files, folder, incarnation, [encode_birth(founder)])
    log.info("replication: journal created.", folder=folder, founder=founder)
    return OpenedJournal(journal, Recovered(founder=founder), True)


class JournalOpener:
    """Opens journals in the background; `on_open` is called in the opening thread."""

    def __init__(
        self, directory: Path, founder: bool, on_open: Callable[[int, OpenedJournal], None], log: Log
    ) -> None:
        self._directory = directory
        self._founder = founder
        self._on_open = on_open
        self._log = log
        self._closed = threading.Event()

    def start(self, group: int) -> None:
        """Open the journal of a group."""
        thread = threading.Thread(
            target=self._run, args=(group,), name=f"journal-opener-{group}", daemon=True
        )
        thread.start()

    def close(self) -> None:
        """Try no longer."""
        self._closed.set()

    def _run(self, group: int) -> None:
        process_signals.block()
        files = SystemFileSystem()
        folder = str(self._directory / f"group-{group}")
        warned = False
        while not self._closed.is_set():
            try:
                opened = open_or_create(files, folder, self._founder, new_incarnation(), self._log)
            except OSError as error:
                if not warned:
                    self._log.warning("replication: journal not opened.", group=group, reason=str(error))
                    warned = True
                time.sleep(RETRY_INTERVAL)
                continue
            except UnknownFormatError as error:
                self._log.error(
                    "replication: journal of another version, left as it is.",
                    folder=folder,
                    reason=str(error),
                )
                return
            self._on_open(group, opened)
            return
