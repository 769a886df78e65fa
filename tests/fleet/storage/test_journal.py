"""Recovery of a journal whose newest segment has a snapshot that is intact, missing or damaged."""

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
    """A compacted journal whose older segment has reappeared after a power loss."""
    files = SystemFileSystem()
    folder_path = tmp_path / "group-0"
    journal = create_journal(files, str(folder_path), IDENTITY, [b"first"])
    journal.append([b"second"])
    journal.sync()
    older_segment = folder_path / "segment-00000001"
    older_content = older_segment.read_bytes()
    journal.compact(SNAPSHOT, [b"vote of the compaction"])
    journal.close()
    assert not older_segment.exists()
    older_segment.write_bytes(older_content)
    return folder_path


def test_the_newest_segment_is_read_with_its_snapshot(folder: Path) -> None:
    recovered = open_journal(SystemFileSystem(), str(folder))
    assert recovered and (recovered.contents.snapshot, recovered.contents.records) == (
        SNAPSHOT,
        [b"vote of the compaction"],
    )


def test_the_preceding_segment_is_used_if_the_snapshot_was_never_renamed(folder: Path) -> None:
    (folder / "snapshot-00000002").unlink()
    recovered = open_journal(SystemFileSystem(), str(folder))
    assert recovered and (recovered.contents.snapshot, recovered.contents.records) == (
        None,
        [b"first", b"second"],
    )


@pytest.mark.parametrize("position", (0, 4, 20, -1))
def test_the_preceding_segment_is_not_used_if_the_snapshot_is_damaged(folder: Path, position: int) -> None:
    """The snapshot was synced before it was renamed, and later records may have been acknowledged."""
    path = folder / "snapshot-00000002"
    content = bytearray(path.read_bytes())
    content[position] ^= 1
    path.write_bytes(content)
    with pytest.raises(CorruptJournalError, match="snapshot"):
        open_journal(SystemFileSystem(), str(folder))
