"""Detects unbounded growth of a proxy's resource use from samples.

Invariants of this module:

1. Bursts end, leaks remain: only the minimum of each time interval counts, its floor.
2. A process lifetime is divided into at most `MOST` intervals of equal length. If more are needed, pairs are
   merged, so that memory is bounded and the intervals grow with the lifetime.
3. A resource leaks if the floors of the second half rise from each interval to the next, in all by more than
   `allowed` plus a quarter of the middle floor. Pools that fill up level off before that.
"""

from __future__ import annotations

from itertools import pairwise
from math import inf

MOST = 16
LEAST = 8  # intervals needed for a verdict
PART = 0.25


class Floors:
    """The floors of one resource over one process lifetime. Samples are added in order of time (s)."""

    __slots__ = ("allowed", "began", "floors", "interval")

    def __init__(self, began: float, allowed: float, interval: float = 2.0) -> None:
        self.began = began
        self.allowed = allowed  # growth that never counts as a leak
        self.interval = interval
        self.floors: list[float] = []

    def see(self, at: float, value: float) -> None:
        place = int((at - self.began) / self.interval)
        while place >= MOST:
            self.floors = [min(self.floors[i : i + 2]) for i in range(0, len(self.floors), 2)]
            self.interval *= 2
            place = int((at - self.began) / self.interval)
        # An interval without a sample gets the next one's floor, or it would look like a drop.
        self.floors += [inf] * (place + 1 - len(self.floors))
        for back in range(place, -1, -1):
            if back < place and self.floors[back] != inf:
                break
            self.floors[back] = min(self.floors[back], value)

    def grown(self) -> float:
        """Return the growth in the second half of the lifetime so far; 0 if there is no leak."""
        complete = self.floors[:-1]  # the last interval may be incomplete
        if len(complete) < LEAST:
            return 0.0
        late = complete[len(complete) // 2 - 1 :]
        rise = late[-1] - late[0]
        steady = all(b > a for a, b in pairwise(late))
        return rise if steady and rise > self.allowed + PART * late[0] else 0.0
