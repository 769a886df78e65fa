"""A panic threshold against server lists that would remove most backends at once.

1. Only complete lists are held back, since omissions may mean that the discovery service lost its state.
   Backends that a list marks as draining or removed are always removed.
2. A complete list that leaves no more than `threshold` of the backends that were up is held back until it has
   been the latest for `confirm_s` seconds. Receivers keep the last good snapshot meanwhile.
3. A threshold of 0 holds back only an empty list. The only backend of a fleet can always be removed.
"""

from __future__ import annotations

import math
from collections.abc import Collection


class PanicGuard:
    """Retains backends that a suspicious list omits; times are seconds of one clock."""

    def __init__(self, threshold: float, confirm_s: float) -> None:
        self.threshold = threshold
        self.confirm_s = confirm_s
        self.retained_until = -math.inf  # when the suspicious list is confirmed
        self.retained: frozenset[str] = frozenset()  # backends that the suspicious list omits
        self.trips = 0

    def on_list(
        self, before: Collection[str], after: Collection[str], omitted: Collection[str], now: float
    ) -> bool:
        """Check a complete list (backends up before, up after, omitted); returns whether it is held back."""
        removed = set(omitted) & set(before)
        remaining = len(set(before) - removed)
        if removed and len(before) > 1 and remaining <= self.threshold * len(before):
            self.retained = frozenset(removed)
            self.retained_until = now + self.confirm_s
            self.trips += 1
        elif self.retained:
            returned = self.retained & set(after)
            self.retained = self.retained - returned
        return bool(self.retained)

    def on_removed_by_name(self, backends: Collection[str]) -> None:
        """Stop retaining backends that a list marks as draining or removed."""
        self.retained -= set(backends)

    def retained_backends(self, now: float) -> frozenset[str]:
        """Return the backends that receivers keep although the list omits them."""
        if now >= self.retained_until:
            self.retained = frozenset()
        return self.retained
