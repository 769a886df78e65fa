"""A journal whose newest segment needs a snapshot that is missing or damaged."""

from __future__ import annotations

from pathlib import Path

import pytest

from firvane.fleet.storage.errors import CorruptJournalError
from firvane.fleet.storage.filesystem import SystemFileSystem
from firvane.fleet.storage.journal import create_journal, open_journal

IDENTITY = 7
SNAPSHOT = b"state after both orders"


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A journal that was compacted, and whose older segment is back after a loss of power."""
    files = SystemFileSystem()
    place = tmp_path / "group-0"
    journal = create_journal(files, str(place), IDENTITY, [b"first"])
    journal.append([b"second"])
    journal.sync()
    older = place / "segment-00000001"
    kept = older.read_bytes()
    journal.compact(SNAPSHOT, [b"vote of the compaction"])
    journal.close()
    assert not older.exists()
    older.write_bytes(kept)
    return place


def test_the_newest_segment_is_read_with_its_snapshot(folder: Path) -> None:
    found = open_journal(SystemFileSystem(), str(folder))
    assert found and (found.contents.snapshot, found.contents.records) == (
        SNAPSHOT,
        [b"vote of the compaction"],
    )


def test_a_snapshot_that_never_had_its_name_leaves_the_segment_before_in_force(folder: Path) -> None:
    (folder / "snapshot-00000002").unlink()
    found = open_journal(SystemFileSystem(), str(folder))
    assert found and (found.contents.snapshot, found.contents.records) == (None, [b"first", b"second"])


@pytest.mark.parametrize("position", (0, 4, 20, -1))
def test_a_damaged_snapshot_is_not_passed_over_for_the_segment_before(folder: Path, position: int) -> None:
    """It had been synced before it had its name, and what began with it may have been acknowledged."""
    path = folder / "snapshot-00000002"
    content = bytearray(path.read_bytes())
    content[position] ^= 1
    path.write_bytes(content)
    with pytest.raises(CorruptJournalError, match="snapshot"):
        open_journal(SystemFileSystem(), str(folder))
