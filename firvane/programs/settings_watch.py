"""Detects changes of the settings file without a SIGHUP."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

from firvane.programs.settings import PATH_VARIABLE

CHECK_INTERVAL_S = 5.0  # between checks of the file

Signature = tuple[int, int, int]  # modification time in ns, size, inode


def file_signature() -> Signature | None:
    """Return a signature that differs between versions of the settings file; None if there is no file."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        return None
    try:
        status = Path(path).stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


class SettingsWatch:
    """Calls `on_change` when the settings file differs from when it was last read."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_change: Callable[[], None]) -> None:
        self._loop, self._on_change = loop, on_change
        self._last_signature = file_signature()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start checking at intervals."""
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Stop checking."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def on_signal(self) -> None:
        """Handle SIGHUP: reload the file even if its signature is unchanged."""
        self._last_signature = file_signature()
        self._on_change()

    def _check(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)
        signature = file_signature()
        if signature is not None and signature != self._last_signature:
            self._last_signature = signature
            self._on_change()
