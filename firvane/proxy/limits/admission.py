"""What part of the requests that come can be carried, from what was carried while there was more to do.

Rules that hold here and nowhere else:

1. Only a period in which somebody was refused for want of turns, or had to wait for one throughout, says
   what can be carried; a calm one says only that it was no less.
2. The part to turn away follows what is offered beyond that. It rises at once and falls by `EASE` a period,
   so that the brake is looked at again and again, and never released in one go.
3. It is a wish: the decision module says whom it falls on.
"""

from __future__ import annotations

EASE = 0.5  # of the part turned away that is left after a period with room to spare
SPARE = 1.05  # of what was carried is tried next: what can be carried may have grown
GAIN = 0.5  # how far one period moves what is thought to be carried
LEAST = 0.02  # a smaller part is none


class Admission:
    """Follows what can be carried, period by period."""

    def __init__(self) -> None:
        self.carried = 0.0  # requests a second, as last seen at the limit
        self.offered = 0.0  # requests a second in the last period
        self.part = 0.0  # of the offered that is to be turned away

    def period(self, span: float, taken: int, turned_away: int, overflowed: int, waited: bool) -> float:
        """The part of what comes to turn away in the next period.

        `span` is in seconds; `taken` went to the decisions, `turned_away` by the part in force, `overflowed`
        for want of turns; `waited` says that the line was never empty.
        """
        if span <= 0:
            return self.part
        rate = taken / span
        self.offered = (taken + turned_away + overflowed) / span
        if overflowed or waited:
            self.carried += (GAIN if self.carried else 1.0) * (rate - self.carried)
            wanted = 1.0 - SPARE * self.carried / self.offered if self.offered else 0.0
            self.part = max(wanted, self.part * EASE)
        else:
            self.carried = max(self.carried, rate)
            self.part *= EASE
        if self.part < LEAST:
            self.part = 0.0
        self.part = min(self.part, 0.98)
        return self.part
