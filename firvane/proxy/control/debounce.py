"""When a change is told: at once, or together with what else is coming.

Rules that hold here and nowhere else:

1. What takes something away (a drain, a removal, a box that is doubted) is due at once, and takes all that
   waits along with it.
2. Anything else waits until nothing has changed for `settle`, and never longer than `most`; and until `least`
   has passed since the last time: telling all of everything to all costs what it costs.
"""

from __future__ import annotations

import math


class Pace:
    """Times are seconds on one clock."""

    def __init__(self, settle: float, most: float) -> None:
        self.settle, self.most = settle, most
        self.least = 0.0
        self.due = math.inf  # when what has changed is to be told
        self._since = math.inf  # when the first of it came
        self._told = -math.inf  # when something was told last

    def changed(self, now: float, urgent: bool = False) -> None:
        if urgent:
            self.due = now
            return
        self._since = min(self._since, now)
        if self.due > now:
            soon = min(now + self.settle, self._since + self.most)
            self.due = max(soon, self._told + self.least)

    def take(self, now: float) -> bool:
        """Whether it is time; what has changed counts as told."""
        if now < self.due:
            return False
        self.due = self._since = math.inf
        self._told = now
        return True
