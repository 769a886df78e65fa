"""Measures how long the stand-ins' own loop is held up: a latency below that says nothing of the fleet."""

from __future__ import annotations

import asyncio

INTERVAL = 0.02  # s


class LoopDelay:
    """The longest delay of a timer since `start`, in seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.longest = 0.0
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0

    def start(self) -> None:
        """Measure from here on."""
        self._due = self._loop.time() + INTERVAL
        self._timer = self._loop.call_at(self._due, self._look)

    def stop(self) -> None:
        """Measure no more."""
        if self._timer:
            self._timer.cancel()

    def _look(self) -> None:
        self.longest = max(self.longest, self._loop.time() - self._due)
        self.start()
