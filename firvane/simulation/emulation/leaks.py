"""Whether something that a proxy holds grows without bound, from samples of it.

Rules that hold here and nowhere else:

1. Bursts go and leaks stay: only the least of each stretch of time counts, its floor.
2. A life is cut into at most `MOST` stretches of equal length; where more would be needed, two become one,
   so that memory is bounded and the stretches grow with the life.
3. Something leaks if the floors of the second half rise from each stretch to the next, by more than
   `allowed` and a quarter of what stood in the middle. Pools that fill up and stay so level off before
   that.
"""

from __future__ import annotations

from itertools import pairwise
from math import inf

MOST = 16
LEAST = 8  # stretches before there is a verdict
PART = 0.25


class Floors:
    """The floors of one figure of one proxy's life. Samples come in the order of their times (s)."""

    __slots__ = ("allowed", "began", "floors", "stretch")

    def __init__(self, began: float, allowed: float, stretch: float = 2.0) -> None:
        self.began = began
        self.allowed = allowed  # by how much it may grow in any case
        self.stretch = stretch
        self.floors: list[float] = []

    def see(self, at: float, value: float) -> None:
        place = int((at - self.began) / self.stretch)
        while place >= MOST:
            self.floors = [min(self.floors[i : i + 2]) for i in range(0, len(self.floors), 2)]
            self.stretch *= 2
            place = int((at - self.began) / self.stretch)
        # A stretch without a sample has the floor of the next one: it must not make a fall where none was.
        self.floors += [inf] * (place + 1 - len(self.floors))
        for back in range(place, -1, -1):
            if back < place and self.floors[back] != inf:
                break
            self.floors[back] = min(self.floors[back], value)

    def grown(self) -> float:
        """By how much it has grown in the second half of the life so far; 0 where it does not leak."""
        whole = self.floors[:-1]  # the last stretch may still be short
        if len(whole) < LEAST:
            return 0.0
        late = whole[len(whole) // 2 - 1 :]
        rise = late[-1] - late[0]
        steady = all(b > a for a, b in pairwise(late))
        return rise if steady and rise > self.allowed + PART * late[0] else 0.0
