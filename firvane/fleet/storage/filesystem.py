"""The few calls of a file system that a journal needs, and those of the operating system.

Every call may block and may raise `OSError`. A simulated disk implements the same protocols.
"""

from __future__ import annotations

import os
from typing import Protocol


class File(Protocol):
    """An open file."""

    def write_at(self, offset: int, data: bytes) -> None:
        """Write all of `data`, or raise."""

    def truncate(self, size: int) -> None:
        """Set the length."""

    def sync(self) -> None:
        """Return once the content is on the disk."""

    def close(self) -> None: ...


class FileSystem(Protocol):
    """Names are paths."""

    def make_directory(self, path: str) -> None:
        """Make a folder and those above it; nothing where it is there."""

    def names(self, path: str) -> list[str]:
        """The names in a folder; none where there is no folder."""

    def read(self, path: str) -> bytes:
        """A whole file."""

    def open(self, path: str, create: bool) -> File:
        """Open for writing; with `create` the file is made, or emptied."""

    def rename(self, source: str, target: str) -> None:
        """Give a file another name; lasts once the folder is synced."""

    def remove(self, path: str) -> None:
        """Remove a name; lasts once the folder is synced."""

    def sync_directory(self, path: str) -> None:
        """Return once the names of a folder are on the disk."""


class SystemFile:
    """A file of the operating system."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def write_at(self, offset: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            written = os.pwrite(self._descriptor, view, offset)
            offset += written
            view = view[written:]

    def truncate(self, size: int) -> None:
        os.ftruncate(self._descriptor, size)

    def sync(self) -> None:
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        os.close(self._descriptor)


class SystemFileSystem:
    """The file system of the operating system."""

    def make_directory(self, path: str) -> None:
        os.makedirs(path, exist_ok=True)  # one that is there may be of a life that was killed before its sync
        self.sync_directory(os.path.dirname(path) or ".")

    def names(self, path: str) -> list[str]:
        try:
            return os.listdir(path)
        except FileNotFoundError:
            return []

    def read(self, path: str) -> bytes:
        with open(path, "rb") as file:
            return file.read()

    def open(self, path: str, create: bool) -> SystemFile:
        flags = os.O_WRONLY | os.O_CLOEXEC | (os.O_CREAT | os.O_TRUNC if create else 0)
        return SystemFile(os.open(path, flags, 0o644))

    def rename(self, source: str, target: str) -> None:
        os.rename(source, target)

    def remove(self, path: str) -> None:
        os.unlink(path)

    def sync_directory(self, path: str) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
