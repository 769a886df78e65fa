"""Files that are whole or not there: written aside, synced, renamed, and the folder synced."""

from __future__ import annotations

import contextlib
import os
import tempfile
from pathlib import Path


def write_atomically(path: str | os.PathLike[str], data: bytes) -> None:
    """All of it, or what was there before, whatever stops this; `OSError` where it cannot be done."""
    place = Path(path)
    handle, aside = tempfile.mkstemp(prefix=f".{place.name}.", dir=place.parent)
    try:
        with open(handle, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(aside, 0o644)
        os.replace(aside, place)
    except BaseException:
        with contextlib.suppress(OSError):
            os.unlink(aside)
        raise
    folder = os.open(place.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
