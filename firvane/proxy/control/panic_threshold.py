"""A panic threshold against server lists that would remove most backends at once.

1. Only complete lists are held back, since omitted backends may mean that discovery lost its state. Backends
   that a list names as draining or removed are always removed.
2. A complete list that leaves no more than `threshold` of the backends that were up is held back until it has
   been the latest for `confirm_s` seconds. Receivers keep the last good snapshot meanwhile.
3. A threshold of 0 holds back only an empty list; a fleet of one backend may lose it.
"""

from __future__ import annotations

import math
from collections.abc import Collection


class PanicGuard:
    """Holds backends back that a suspicious list omits; times are seconds of one clock."""

    def __init__(self, threshold: float, confirm_s: float) -> None:
        self.threshold = threshold
        self.confirm_s = confirm_s
        self.until = -math.inf  # a suspicious list is held back until then
        self.retained: frozenset[str] = frozenset()  # the backends that it omits
        self.trips = 0

    def on_list(
        self, before: Collection[str], after: Collection[str], left_out: Collection[str], now: float
    ) -> bool:
        """Check a complete list (backends up before, up after, omitted); returns whether it is held back."""
        lost = set(left_out) & set(before)
        remaining = len(set(before) - lost)
        if lost and len(before) > 1 and remaining <= self.threshold * len(before):
            self.retained = frozenset(lost)
            self.until = now + self.confirm_s
            self.trips += 1
        elif self.retained:
            returned = self.retained & set(after)
            self.retained = self.retained - returned
        return bool(self.retained)

    def on_named(self, backends: Collection[str]) -> None:
        """Release backends that the list names as draining or removed."""
        self.retained -= set(backends)

    def retained_backends(self, now: float) -> frozenset[str]:
        """The backends that receivers keep although the list omits them."""
        if now >= self.until:
            self.retained = frozenset()
        return self.retained
