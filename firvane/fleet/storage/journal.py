"""One journal in a folder of its own: the newest segment holds everything that its snapshot does not.

A segment `segment-<generation>` begins with a frame that names the journal's identity and the generation of
its snapshot, if it has one. Compaction writes the snapshot aside, syncs it and gives it its name, writes a
new segment that begins with what follows the snapshot, syncs that, syncs the folder, and only then removes
what is older. So whatever is cut off on the way, the newest segment that is whole has a whole snapshot, or
the one before has. A snapshot that has its name was synced: if it cannot be read, that is damage.

Not safe for use by several threads at once.
"""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Sequence

from msgspec import Struct

from firvane.fleet.storage.errors import DamagedJournalError, UnknownFormatError
from firvane.fleet.storage.filesystem import File, FileSystem
from firvane.fleet.storage.frames import MAGIC, encode_frame, read_frames
from firvane.fleet.storage.snapshot_file import decode_snapshot_file, encode_snapshot_file

VERSION = 1
_SEGMENT = "segment-"
_SNAPSHOT = "snapshot-"
_ASIDE = ".new"
_HEADER = struct.Struct("<BQQ")  # version, identity, generation of the snapshot or 0
_HEADER_OFFSET = 24  # of the header's bytes in a segment: after the head of a frame and a record's length


class Contents(Struct, frozen=True):
    """What a journal held when it was opened."""

    identity: int
    snapshot: bytes | None
    records: list[bytes]
    torn: bool  # an unsynced end was dropped


class _Position(Struct):
    """Where a journal stands: the segment in use, its snapshot (0 for none), and its end."""

    generation: int
    snapshot_generation: int
    frames: int
    end: int
    tail_is_clean: bool


class Journal:
    """An open journal.

    After an `OSError` of `append` or `sync`, `append` may be called again, with more records if need be.
    After one of `compact` only `compact` may be called: a reader may already prefer the new segment.
    """

    def __init__(
        self, files: FileSystem, folder: str, identity: int, next_generation: int, position: _Position
    ) -> None:
        self.identity = identity
        self._files = files
        self._folder = folder
        self._next_generation = next_generation
        self._at = position
        self._written = 0  # bytes of the frame that is not synced
        self._must_compact = False
        self._segment: File | None = None

    @property
    def size(self) -> int:
        """Bytes of the segment that is written."""
        return self._at.end

    def append(self, records: Sequence[bytes]) -> None:
        """Write records as one frame, to be synced by `sync` before the next call."""
        assert not self._must_compact
        segment = self._open()
        at = self._at
        frame = encode_frame(self.identity, at.generation, at.frames, records)
        at.tail_is_clean = False
        segment.write_at(at.end, frame)
        self._written = len(frame)

    def sync(self) -> None:
        """Return once the frame of the last `append` is on the disk."""
        assert self._segment is not None
        self._segment.sync()
        self._at.end += self._written
        self._at.frames += 1
        self._at.tail_is_clean = True

    def settle(self) -> None:
        """Sync what was found at the opening: a process that was killed may not have come to it."""
        self._open().sync()
        self._files.sync_directory(self._folder)
        self._at.tail_is_clean = True

    def compact(self, snapshot: bytes | None, records: Sequence[bytes]) -> None:
        """Begin a new segment with these records, and a new snapshot if one is given."""
        self._must_compact = True
        generation = self._next_generation
        self._next_generation += 1
        snapshot_generation = self._at.snapshot_generation
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
        self._at = _Position(generation, snapshot_generation, 1, size, True)
        self._must_compact = False
        self._remove_old()

    def _open(self) -> File:
        """The segment, cut off after the last frame that is whole."""
        if self._segment is None:
            self._segment = self._files.open(self._path(_SEGMENT, self._at.generation), create=False)
        if not self._at.tail_is_clean:
            self._segment.truncate(self._at.end)
        return self._segment

    def close(self) -> None:
        """Close the segment."""
        if self._segment is not None:
            segment, self._segment = self._segment, None
            segment.close()

    def _write_snapshot(self, generation: int, snapshot: bytes) -> None:
        path = self._path(_SNAPSHOT, generation)
        file = self._files.open(path + _ASIDE, create=True)
        try:
            file.write_at(0, encode_snapshot_file(self.identity, snapshot))
            file.sync()
        finally:
            file.close()
        self._files.rename(path + _ASIDE, path)

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
        """Best effort: what stays, or comes back after a loss of power, is older than what is read."""
        keep = {_name(_SEGMENT, self._at.generation), _name(_SNAPSHOT, self._at.snapshot_generation)}
        with contextlib.suppress(OSError):
            for name in self._files.names(self._folder):
                if name not in keep:
                    self._files.remove(os.path.join(self._folder, name))

    def _path(self, kind: str, generation: int) -> str:
        return os.path.join(self._folder, _name(kind, generation))


def create_journal(files: FileSystem, folder: str, identity: int, records: Sequence[bytes]) -> Journal:
    """A new journal in the place of whatever the folder holds; synced on return."""
    files.make_directory(folder)
    newest = max((_generation(name) for name in files.names(folder)), default=0)
    journal = Journal(files, folder, identity, newest + 1, _Position(newest, 0, 0, 0, True))
    journal.compact(None, records)
    return journal


def open_journal(files: FileSystem, folder: str) -> tuple[Journal, Contents] | None:
    """The journal in a folder, without writing anything; None where there is none that ever was synced.

    `DamagedJournalError` where something that was synced cannot be read, `UnknownFormatError` where a program
    of another version wrote it.
    """
    names = files.names(folder)
    generations = sorted((_generation(name) for name in names if name.startswith(_SEGMENT)), reverse=True)
    newest = max((_generation(name) for name in names), default=0)
    for position, generation in enumerate(generations):
        is_last = position + 1 == len(generations)
        found = _open_segment(files, folder, generation, newest, is_last)
        if found is not None:
            return found
    return None


def _open_segment(
    files: FileSystem, folder: str, generation: int, newest: int, is_last: bool
) -> tuple[Journal, Contents] | None:
    """One segment; None where it was cut off while it was begun."""
    data = files.read(os.path.join(folder, _name(_SEGMENT, generation)))
    frames = read_frames(data, _identity(data), generation)
    if not frames.records:
        if data.find(MAGIC, 1) >= 0:
            raise DamagedJournalError(f"the first frame of segment {generation} cannot be read")
        return None
    header, *records = frames.records[0]
    version, identity, snapshot_generation = _HEADER.unpack(header)
    if version != VERSION:
        raise UnknownFormatError(f"a segment of version {version}")
    try:
        snapshot = _read_snapshot(files, folder, identity, snapshot_generation)
    except FileNotFoundError as error:
        if is_last or len(frames.records) > 1:
            raise DamagedJournalError(f"the snapshot of segment {generation} is missing") from error
        return None  # it never had its name on the disk: the segment before holds everything
    except (OSError, DamagedJournalError) as error:
        raise DamagedJournalError(f"the snapshot of segment {generation} cannot be read") from error
    for more in frames.records[1:]:
        records += more
    at = _Position(generation, snapshot_generation, len(frames.records), frames.end, not frames.torn)
    return Journal(files, folder, identity, newest + 1, at), Contents(
        identity, snapshot, records, frames.torn
    )


def _identity(data: bytes) -> int:
    """The identity that the segment's header claims; its checksum is checked with it."""
    if len(data) < _HEADER_OFFSET + _HEADER.size or data[:4] != MAGIC:
        return 0
    identity: int = _HEADER.unpack_from(data, _HEADER_OFFSET)[1]
    return identity


def _read_snapshot(files: FileSystem, folder: str, identity: int, generation: int) -> bytes | None:
    if not generation:
        return None
    data = files.read(os.path.join(folder, _name(_SNAPSHOT, generation)))
    return decode_snapshot_file(identity, data)


def _generation(name: str) -> int:
    digits = name.removeprefix(_SEGMENT).removeprefix(_SNAPSHOT).removesuffix(_ASIDE)
    return int(digits) if digits.isdigit() else 0


def _name(kind: str, generation: int) -> str:
    return f"{kind}{generation:08}"
