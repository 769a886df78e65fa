"""Measures delays of the stand-ins' event loop; smaller latencies are not attributable to the fleet."""

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
        """Start measuring."""
        self._due = self._loop.time() + INTERVAL
        self._timer = self._loop.call_at(self._due, self._measure)

    def stop(self) -> None:
        """Stop measuring."""
        if self._timer:
            self._timer.cancel()

    def _measure(self) -> None:
        self.longest = max(self.longest, self._loop.time() - self._due)
        self.start()
