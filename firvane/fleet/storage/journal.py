"""A write-ahead journal in a folder; the newest segment has all records that its snapshot does not cover.

The first frame of a segment `segment-<generation>` states the journal's identity and the generation of the
segment's snapshot, if there is one. Compaction writes the snapshot to a temporary file, syncs and renames it,
writes a new segment that begins with the records after the snapshot, syncs the segment, then the folder, and
only then removes older files. If compaction is interrupted at any point, the newest complete segment or its
predecessor has a complete snapshot. A snapshot under its final name was synced: if it is unreadable, the
journal is corrupt.
"""

from __future__ import annotations

import contextlib
import struct
from collections.abc import Sequence
from typing import NamedTuple

from msgspec import Struct

from firvane.fleet.storage.errors import CorruptJournalError, UnsupportedFormatError
from firvane.fleet.storage.filesystem import File, FileSystem
from firvane.fleet.storage.frames import MAGIC, encode_frame, read_frames
from firvane.fleet.storage.snapshot_file import decode_snapshot_file, encode_snapshot_file

VERSION = 1
_SEGMENT = "segment-"
_SNAPSHOT = "snapshot-"
_TEMPORARY_SUFFIX = ".new"
_HEADER = struct.Struct("<BQQ")  # format version, identity, generation of the snapshot (0: none)
_HEADER_OFFSET = 24  # in bytes: a frame's header and a record's length precede it


class JournalContents(Struct, frozen=True):
    """The content of a journal when it was opened."""

    identity: int
    snapshot: bytes | None
    records: list[bytes]
    torn: bool  # whether a torn, unsynced tail was dropped


class _Position(Struct):
    """The write position: the current segment, its snapshot (0: none), frames and end in bytes."""

    generation: int
    snapshot_generation: int
    frames: int
    end: int
    tail_is_clean: bool


class Journal:
    """An open journal. Not thread-safe.

    After an `OSError` in `append` or `sync`, `append` may be called again, also with additional records.
    After an `OSError` in `compact`, only `compact` may be called: a reader may already use the new segment.
    """

    def __init__(
        self, files: FileSystem, folder: str, identity: int, next_generation: int, position: _Position
    ) -> None:
        self.identity = identity
        self._files = files
        self._folder = folder
        self._next_generation = next_generation
        self._position = position
        self._unsynced_bytes = 0
        self._must_compact = False
        self._segment: File | None = None

    @property
    def size(self) -> int:
        """The synced bytes of the current segment."""
        return self._position.end

    def append(self, records: Sequence[bytes]) -> None:
        """Write records as one frame; `sync` must be called before the next `append`."""
        assert not self._must_compact
        segment = self._open_current_segment()
        position = self._position
        frame = encode_frame(self.identity, position.generation, position.frames, records)
        position.tail_is_clean = False
        segment.write_at(position.end, frame)
        self._unsynced_bytes = len(frame)

    def sync(self) -> None:
        """Sync the frame of the last `append`; return once it is on the disk."""
        assert self._segment is not None
        self._segment.sync()
        self._position.end += self._unsynced_bytes
        self._position.frames += 1
        self._position.tail_is_clean = True

    def sync_recovered(self) -> None:
        """Sync the recovered content, which a killed process may have written without a sync."""
        self._open_current_segment().sync()
        self._files.sync_directory(self._folder)
        self._position.tail_is_clean = True

    def compact(self, snapshot: bytes | None, records: Sequence[bytes]) -> None:
        """Start a new segment with these records, and with a new snapshot unless `snapshot` is None."""
        self._must_compact = True
        generation = self._next_generation
        self._next_generation += 1
        snapshot_generation = self._position.snapshot_generation
        if snapshot is not None:
            self._write_snapshot(generation, snapshot)
            snapshot_generation = generation
        segment, size = self._write_segment(generation, snapshot_generation, records)
        try:
            self._files.sync_directory(self._folder)
        except OSError:
            segment.close()
            raise
        self.close()
        self._segment = segment
        self._position = _Position(generation, snapshot_generation, 1, size, True)
        self._must_compact = False
        self._remove_old_files()

    def _open_current_segment(self) -> File:
        """Open the current segment if it is closed, and truncate it after the last complete frame."""
        if self._segment is None:
            self._segment = self._files.open(self._path(_SEGMENT, self._position.generation), create=False)
        if not self._position.tail_is_clean:
            self._segment.truncate(self._position.end)
        return self._segment

    def close(self) -> None:
        """Close the current segment."""
        if self._segment is not None:
            segment, self._segment = self._segment, None
            segment.close()

    def _write_snapshot(self, generation: int, snapshot: bytes) -> None:
        path = self._path(_SNAPSHOT, generation)
        file = self._files.open(path + _TEMPORARY_SUFFIX, create=True)
        try:
            file.write_at(0, encode_snapshot_file(self.identity, snapshot))
            file.sync()
        finally:
            file.close()
        self._files.rename(path + _TEMPORARY_SUFFIX, path)

    def _write_segment(self, generation: int, snapshot: int, records: Sequence[bytes]) -> tuple[File, int]:
        header = _HEADER.pack(VERSION, self.identity, snapshot)
        frame = encode_frame(self.identity, generation, 0, [header, *records])
        file = self._files.open(self._path(_SEGMENT, generation), create=True)
        try:
            file.write_at(0, frame)
            file.sync()
        except OSError:
            file.close()
            raise
        return file, len(frame)

    def _remove_old_files(self) -> None:
        """Remove older files if possible; readers ignore those that remain or reappear after a power loss."""
        current_names = {
            _name(_SEGMENT, self._position.generation),
            _name(_SNAPSHOT, self._position.snapshot_generation),
        }
        with contextlib.suppress(OSError):
            for name in self._files.names(self._folder):
                if name not in current_names:
                    self._files.remove(self._path_of_name(name))

    def _path(self, kind: str, generation: int) -> str:
        return self._path_of_name(_name(kind, generation))

    def _path_of_name(self, name: str) -> str:
        return f"{self._folder}/{name}"


class RecoveredJournal(NamedTuple):
    """An open journal and its content."""

    journal: Journal
    contents: JournalContents


def create_journal(files: FileSystem, folder: str, identity: int, records: Sequence[bytes]) -> Journal:
    """Create and sync a journal that replaces any other journal in the folder."""
    files.make_directory(folder)
    newest = max((_generation(name) for name in files.names(folder)), default=0)
    journal = Journal(files, folder, identity, newest + 1, _Position(newest, 0, 0, 0, True))
    journal.compact(None, records)
    return journal


def open_journal(files: FileSystem, folder: str) -> RecoveredJournal | None:
    """Open the journal in a folder without writing anything; return None if none was ever synced there.

    Raises:
        CorruptJournalError: If synced data is missing or unreadable.
        UnsupportedFormatError: If the journal has another format version.
        OSError: If the file system fails.
    """
    names = files.names(folder)
    generations = sorted((_generation(name) for name in names if name.startswith(_SEGMENT)), reverse=True)
    newest = max((_generation(name) for name in names), default=0)
    for position, generation in enumerate(generations):
        is_oldest = position + 1 == len(generations)
        recovered = _open_segment(files, folder, generation, newest, is_oldest)
        if recovered is not None:
            return recovered
    return None


def _open_segment(
    files: FileSystem, folder: str, generation: int, newest_generation: int, is_oldest: bool
) -> RecoveredJournal | None:
    """Open one segment; return None if its creation was interrupted."""
    data = files.read(f"{folder}/{_name(_SEGMENT, generation)}")
    frames = read_frames(data, _identity(data), generation)
    if not frames.records:
        if data.find(MAGIC, 1) >= 0:
            raise CorruptJournalError(f"the first frame of segment {generation} is unreadable")
        return None
    header, *records = frames.records[0]
    version, identity, snapshot_generation = _HEADER.unpack(header)
    if version != VERSION:
        raise UnsupportedFormatError(f"a segment of version {version}")
    try:
        snapshot = _read_snapshot(files, folder, identity, snapshot_generation)
    except FileNotFoundError as error:
        if is_oldest or len(frames.records) > 1:
            raise CorruptJournalError(f"the snapshot of segment {generation} is missing") from error
        return None  # its rename was never synced: the preceding segment is complete
    except (OSError, CorruptJournalError) as error:
        raise CorruptJournalError(f"the snapshot of segment {generation} is unreadable") from error
    for frame in frames.records[1:]:
        records += frame
    position = _Position(generation, snapshot_generation, len(frames.records), frames.end, not frames.torn)
    journal = Journal(files, folder, identity, newest_generation + 1, position)
    return RecoveredJournal(journal, JournalContents(identity, snapshot, records, frames.torn))


def _identity(data: bytes) -> int:
    """Return the identity in a segment's header, which the checksums cover; 0 without a complete header."""
    if len(data) < _HEADER_OFFSET + _HEADER.size or data[:4] != MAGIC:
        return 0
    identity: int = _HEADER.unpack_from(data, _HEADER_OFFSET)[1]
    return identity


def _read_snapshot(files: FileSystem, folder: str, identity: int, generation: int) -> bytes | None:
    if not generation:
        return None
    data = files.read(f"{folder}/{_name(_SNAPSHOT, generation)}")
    return decode_snapshot_file(identity, data)


def _generation(name: str) -> int:
    digits = name.removeprefix(_SEGMENT).removeprefix(_SNAPSHOT).removesuffix(_TEMPORARY_SUFFIX)
    return int(digits) if digits.isdigit() else 0


def _name(kind: str, generation: int) -> str:
    return f"{kind}{generation:08}"
