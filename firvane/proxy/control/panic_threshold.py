"""A list that would leave next to nothing is not believed at once.

Rules that hold here and nowhere else:

1. Only whole lists are doubted: by leaving boxes out, which a service that has lost its memory does as well
   as one that means it. What a list says of a box by name (draining, removed) is always followed.
2. A whole list that leaves fewer than `part` of the boxes that were up, or none, is held back until it has
   been the last word for `confirm` seconds. Then it is followed. Receivers keep the last good state.
3. A part of 0 doubts only an empty list; a fleet of one box may lose it.
"""

from __future__ import annotations

import math
from collections.abc import Collection


class Panic:
    """Times are seconds on one clock."""

    def __init__(self, part: float, confirm: float) -> None:
        self.part, self.confirm = part, confirm
        self.until = -math.inf  # a doubtful list is held back until then
        self.kept: frozenset[str] = frozenset()  # the boxes that it left out
        self.trips = 0

    def listed(
        self, before: Collection[str], after: Collection[str], left_out: Collection[str], now: float
    ) -> bool:
        """A list has come: boxes that were up, those that are, those that it says nothing of any more.

        Whether it is held back.
        """
        lost = set(left_out) & set(before)
        left = len(set(before) - lost)
        if lost and len(before) > 1 and left <= self.part * len(before):
            self.kept, self.until = frozenset(lost), now + self.confirm
            self.trips += 1
        elif self.kept:
            back = self.kept & set(after)
            self.kept = self.kept - back
        return bool(self.kept)

    def named(self, boxes: Collection[str]) -> None:
        """The list says of these by name that they drain or are gone."""
        self.kept -= set(boxes)

    def held(self, now: float) -> frozenset[str]:
        """The boxes that receivers keep though the list leaves them out."""
        if now >= self.until:
            self.kept = frozenset()
        return self.kept
