"""The file system operations that a journal needs, and their implementation by the operating system.

Every call may block, and may raise `OSError`. Tests implement the same protocols with a simulated disk.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o644


class File(Protocol):
    """An open file."""

    def write_at(self, offset: int, data: bytes) -> None:
        """Write all of `data`, or raise."""

    def truncate(self, size: int) -> None:
        """Set the length of the file to `size` bytes."""

    def sync(self) -> None:
        """Sync the content; return once it is on the disk."""

    def close(self) -> None:
        """Close the file."""


class FileSystem(Protocol):
    """File system operations; files and folders are given by their paths."""

    def make_directory(self, path: str) -> None:
        """Create a folder and its parents, if they do not exist."""

    def names(self, path: str) -> list[str]:
        """Return the names in a folder; empty if the folder does not exist."""

    def read(self, path: str) -> bytes:
        """Return the content of a file."""

    def open(self, path: str, create: bool) -> File:
        """Open a file for writing; `create` creates or truncates it, otherwise it must exist."""

    def rename(self, source: str, target: str) -> None:
        """Rename a file; durable once the folder is synced."""

    def remove(self, path: str) -> None:
        """Remove a file; durable once the folder is synced."""

    def sync_directory(self, path: str) -> None:
        """Sync a folder; return once its entries are on the disk."""


class SystemFile:
    """A file of the operating system."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def write_at(self, offset: int, data: bytes) -> None:
        """Write all of `data`, or raise."""
        view = memoryview(data)
        while view:
            written = os.pwrite(self._descriptor, view, offset)
            offset += written
            view = view[written:]

    def truncate(self, size: int) -> None:
        """Set the length of the file to `size` bytes."""
        os.ftruncate(self._descriptor, size)

    def sync(self) -> None:
        """Sync the content; return once it is on the disk."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


class SystemFileSystem:
    """The file system of the operating system."""

    def make_directory(self, path: str) -> None:
        """Create a folder and its parents, if they do not exist."""
        Path(path).mkdir(parents=True, exist_ok=True)
        # An existing folder may have been created by a process that was killed before it synced the parent.
        self.sync_directory(str(Path(path).parent))

    def names(self, path: str) -> list[str]:
        """Return the names in a folder; empty if the folder does not exist."""
        try:
            return [entry.name for entry in Path(path).iterdir()]
        except FileNotFoundError:
            return []

    def read(self, path: str) -> bytes:
        """Return the content of a file."""
        return Path(path).read_bytes()

    def open(self, path: str, create: bool) -> SystemFile:
        """Open a file for writing; `create` creates or truncates it, otherwise it must exist."""
        flags = os.O_WRONLY | os.O_CLOEXEC | (os.O_CREAT | os.O_TRUNC if create else 0)
        return SystemFile(os.open(path, flags, FILE_MODE))

    def rename(self, source: str, target: str) -> None:
        """Rename a file; durable once the folder is synced."""
        Path(source).rename(target)

    def remove(self, path: str) -> None:
        """Remove a file; durable once the folder is synced."""
        Path(path).unlink()

    def sync_directory(self, path: str) -> None:
        """Sync a folder; return once its entries are on the disk."""
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
