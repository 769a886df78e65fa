"""A write-ahead journal in a folder: the newest segment holds every record that its snapshot does not cover.

A segment `segment-<generation>` begins with a frame that names the journal's identity and the generation of
its snapshot, if it has one. Compaction writes the snapshot to a temporary file, syncs and renames it, writes
a new segment that begins with the records after the snapshot, syncs the segment, then the folder, and only
then removes older files. If it is interrupted at any point, either the newest complete segment has a complete
snapshot, or the one before has. A snapshot under its final name was synced: if it is unreadable, the journal
is corrupt.
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
_HEADER = struct.Struct("<BQQ")  # version, identity, generation of the snapshot or 0
_HEADER_OFFSET = 24  # bytes: after the head of a frame and the length of a record


class Contents(Struct, frozen=True):
    """The content of a journal when it was opened."""

    identity: int
    snapshot: bytes | None
    records: list[bytes]
    torn: bool  # whether an unsynced tail was dropped


class _Position(Struct):
    """The write position: the segment in use, its snapshot (0 for none), and its end in bytes."""

    generation: int
    snapshot_generation: int
    frames: int
    end: int
    tail_is_clean: bool


class Journal:
    """An open journal; not safe for use by several threads at once.

    After an `OSError` of `append` or `sync`, `append` may be called again, also with further records. After
    one of `compact` only `compact` may be called, since a reader may already prefer the new segment.
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
        """The synced bytes of the segment in use."""
        return self._position.end

    def append(self, records: Sequence[bytes]) -> None:
        """Write records as one frame, which `sync` must sync before the next call."""
        assert not self._must_compact
        segment = self._open()
        position = self._position
        frame = encode_frame(self.identity, position.generation, position.frames, records)
        position.tail_is_clean = False
        segment.write_at(position.end, frame)
        self._unsynced_bytes = len(frame)

    def sync(self) -> None:
        """Return once the frame of the last `append` is on the disk."""
        assert self._segment is not None
        self._segment.sync()
        self._position.end += self._unsynced_bytes
        self._position.frames += 1
        self._position.tail_is_clean = True

    def sync_recovered(self) -> None:
        """Sync what `open_journal` found: a killed process may have written it without a sync."""
        self._open().sync()
        self._files.sync_directory(self._folder)
        self._position.tail_is_clean = True

    def compact(self, snapshot: bytes | None, records: Sequence[bytes]) -> None:
        """Begin a new segment with these records, and with a new snapshot unless it is None."""
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
        self._remove_old()

    def _open(self) -> File:
        """Open the segment, truncated after the last complete frame."""
        if self._segment is None:
            self._segment = self._files.open(self._path(_SEGMENT, self._position.generation), create=False)
        if not self._position.tail_is_clean:
            self._segment.truncate(self._position.end)
        return self._segment

    def close(self) -> None:
        """Close the segment."""
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

    def _remove_old(self) -> None:
        """Remove older files, if possible: a reader ignores any that remain or return after a power loss."""
        current_names = {
            _name(_SEGMENT, self._position.generation),
            _name(_SNAPSHOT, self._position.snapshot_generation),
        }
        with contextlib.suppress(OSError):
            for name in self._files.names(self._folder):
                if name not in current_names:
                    self._files.remove(self._path_of(name))

    def _path(self, kind: str, generation: int) -> str:
        return self._path_of(_name(kind, generation))

    def _path_of(self, name: str) -> str:
        return f"{self._folder}/{name}"


class RecoveredJournal(NamedTuple):
    """An open journal with its content."""

    journal: Journal
    contents: Contents


def create_journal(files: FileSystem, folder: str, identity: int, records: Sequence[bytes]) -> Journal:
    """Create a journal that replaces any other in the folder; synced on return."""
    files.make_directory(folder)
    newest = max((_generation(name) for name in files.names(folder)), default=0)
    journal = Journal(files, folder, identity, newest + 1, _Position(newest, 0, 0, 0, True))
    journal.compact(None, records)
    return journal


def open_journal(files: FileSystem, folder: str) -> RecoveredJournal | None:
    """Open the journal in a folder without writing anything; None if none was ever synced there.

    Raises:
        CorruptJournalError: If data that was synced cannot be read.
        UnsupportedFormatError: If a program of another version wrote the journal.
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
    files: FileSystem, folder: str, generation: int, newest: int, is_oldest: bool
) -> RecoveredJournal | None:
    """Open one segment; None if it was interrupted while it was created."""
    data = files.read(f"{folder}/{_name(_SEGMENT, generation)}")
    frames = read_frames(data, _identity(data), generation)
    if not frames.records:
        if data.find(MAGIC, 1) >= 0:
            raise CorruptJournalError(f"the first frame of segment {generation} cannot be read")
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
        return None  # it was never renamed on the disk: the segment before holds everything
    except (OSError, CorruptJournalError) as error:
        raise CorruptJournalError(f"the snapshot of segment {generation} cannot be read") from error
    for frame in frames.records[1:]:
        records += frame
    position = _Position(generation, snapshot_generation, len(frames.records), frames.end, not frames.torn)
    journal = Journal(files, folder, identity, newest + 1, position)
    return RecoveredJournal(journal, Contents(identity, snapshot, records, frames.torn))


def _identity(data: bytes) -> int:
    """The identity in the segment's header, with which the checksums are verified; 0 if there is none."""
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
