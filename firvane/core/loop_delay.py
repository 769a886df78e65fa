"""Measures how late the timers of an event loop run; all other work on the loop is delayed equally."""

from __future__ import annotations

from bisect import bisect_left

BOUNDS_MS = (5, 20, 50, 100, 500)  # upper bounds of the histogram's buckets; the last bucket has none
LONG_DELAY_S = 0.1  # delays above it are logged as separate events


class LoopDelays:
    """A histogram of the delays since the last `take`, in seconds.

    Attributes:
        counts: Delays by bucket of `BOUNDS_MS`.
        longest: The longest delay.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.longest = 0.0

    def record(self, delay: float) -> bool:
        """Record a delay; return whether it is above `LONG_DELAY_S`."""
        self.counts[bisect_left(BOUNDS_MS, 1000 * delay)] += 1
        self.longest = max(self.longest, delay)
        return delay > LONG_DELAY_S

    def take(self) -> dict[str, float]:
        """Return the longest delay and the histogram as fields of a log event, and reset them."""
        names = [*(f"loop_delay_to_{bound}_ms" for bound in BOUNDS_MS), "loop_delay_longer"]
        fields: dict[str, float] = {"loop_delay_max_ms": round(1000 * self.longest, 1)}
        fields |= {name: count for name, count in zip(names, self.counts, strict=True) if count}
        self.counts, self.longest = [0] * len(self.counts), 0.0
        return fields
