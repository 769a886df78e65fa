"""A report whose content lags behind by a fixed time."""

from __future__ import annotations

from collections import deque

SAMPLE_INTERVAL = 0.05  # s between stored samples


class LaggedReport:
    """Stores samples; returns the newest one that is at least `lag` seconds old."""

    def __init__(self, lag: float, first: dict[str, object]) -> None:
        """`first` is returned until a sample is old enough."""
        self._lag, self._first = lag, first
        self._samples: deque[tuple[float, dict[str, object]]] = deque()

    def add_sample(self, now: float, metrics: dict[str, object]) -> None:
        """Store a sample, unless the previous one is less than `SAMPLE_INTERVAL` old."""
        if self._samples and now - self._samples[-1][0] < SAMPLE_INTERVAL:
            return
        self._samples.append((now, metrics))
        self._drop_old(now)

    def read(self, now: float) -> dict[str, object]:
        """The report as of `lag` seconds ago."""
        self._drop_old(now)
        if self._samples and self._samples[0][0] <= now - self._lag:
            return self._samples[0][1]
        return self._first

    def _drop_old(self, now: float) -> None:
        while len(self._samples) > 1 and self._samples[1][0] <= now - self._lag:
            self._samples.popleft()
