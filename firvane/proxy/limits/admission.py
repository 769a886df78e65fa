"""Admission control: which fraction of requests to reject, from what was served while there was a backlog.

Rules that hold here and nowhere else:

1. Only a period in which the queue was full, or never empty, shows the capacity; a calm one shows only that
   it is no less.
2. The fraction to reject follows what is offered beyond that. It rises at once and falls by `RELEASE_FACTOR`
   a period, so that it is probed again and again, and never released in one go.
3. It is a request: the balancer decides which requests are rejected.
"""

from __future__ import annotations

RELEASE_FACTOR = 0.5  # of the fraction, that is left after a period with spare capacity
PROBE_FACTOR = 1.05  # of the known capacity that is admitted next: it may have grown
CAPACITY_GAIN = 0.5  # weight of one period in the estimate of the capacity
MIN_FRACTION = 0.02  # less is none
MAX_FRACTION = 0.98


class AdmissionController:
    """Follows the capacity, period by period."""

    def __init__(self) -> None:
        self.capacity = 0.0  # requests a second, in the last period with a backlog
        self.offered = 0.0  # requests a second in the last period
        self.fraction = 0.0  # of the offered requests, to reject

    def update(self, span: float, taken: int, rejected: int, overflowed: int, waited: bool) -> float:
        """Return the fraction of requests to reject in the next period.

        Args:
            span: length of the period, in seconds.
            taken: requests that went to the decisions.
            rejected: requests rejected by the fraction in force.
            overflowed: requests rejected by a full queue.
            waited: the queue was never empty.
        """
        if span <= 0:
            return self.fraction
        rate = taken / span
        self.offered = (taken + rejected + overflowed) / span
        if overflowed or waited:
            self.capacity += (CAPACITY_GAIN if self.capacity else 1.0) * (rate - self.capacity)
            wanted = 1.0 - PROBE_FACTOR * self.capacity / self.offered if self.offered else 0.0
            self.fraction = max(wanted, self.fraction * RELEASE_FACTOR)
        else:
            self.capacity = max(self.capacity, rate)
            self.fraction *= RELEASE_FACTOR
        if self.fraction < MIN_FRACTION:
            self.fraction = 0.0
        self.fraction = min(self.fraction, MAX_FRACTION)
        return self.fraction
