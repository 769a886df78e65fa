"""Atomic writes: a temporary file is written and synced, then renamed, and the folder is synced."""

from __future__ import annotations

import contextlib
import os
import tempfile
from pathlib import Path

FILE_MODE = 0o644


def write_atomically(path: str | os.PathLike[str], data: bytes) -> None:
    """Write a file atomically: after an interruption it has either all of the data or its old content.

    Args:
        path: The file; its folder must exist.
        data: The new content.

    Raises:
        OSError: The file cannot be written; it is unchanged.
    """
    target = Path(path)
    descriptor, name = tempfile.mkstemp(prefix=f".{target.name}.", dir=target.parent)
    temporary = Path(name)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.chmod(FILE_MODE)
        temporary.replace(target)
    except BaseException:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
    folder = os.open(target.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
