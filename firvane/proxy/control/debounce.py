"""Debounces changes before they are pushed to receivers.

1. A change that removes a backend (draining, removed, ejected) is due at once, with all pending changes.
2. Other changes wait until there has been no change for `quiet_s`, at most `max_delay_s` after the first,
   and until `min_interval_s` has passed since the last push, to bound the cost of pushes.
"""

from __future__ import annotations

import math


class Debouncer:
    """Collects changes until they are due; times are seconds of one clock."""

    def __init__(self, quiet_s: float, max_delay_s: float) -> None:
        self.quiet_s = quiet_s
        self.max_delay_s = max_delay_s
        self.min_interval_s = 0.0
        self.due = math.inf  # when the pending changes are to be pushed
        self._first_change_at = math.inf
        self._pushed_at = -math.inf

    def on_changed(self, now: float, urgent: bool = False) -> None:
        """Record a change; an urgent one is due at once."""
        if urgent:
            self.due = now
            return
        self._first_change_at = min(self._first_change_at, now)
        if self.due > now:
            settled_at = min(now + self.quiet_s, self._first_change_at + self.max_delay_s)
            self.due = max(settled_at, self._pushed_at + self.min_interval_s)

    def take(self, now: float) -> bool:
        """Return whether the pending changes are due, and if so record them as pushed."""
        if now < self.due:
            return False
        self.due = self._first_change_at = math.inf
        self._pushed_at = now
        return True
