"""Admission control: the fraction of requests to reject, from the throughput measured during a backlog.

Invariants:

1. Only a period in which the queue was full, or never empty, shows the capacity; a period without a backlog
   only gives a lower bound.
2. The fraction to reject is what is offered beyond the capacity. It rises at once and falls by
   `RELEASE_FACTOR` a period, so that the capacity is probed step by step and load is not readmitted at once.
3. The fraction is a request: the balancer decides which requests are rejected.
"""

from __future__ import annotations

RELEASE_FACTOR = 0.5  # of the fraction, after a period with spare capacity
PROBE_FACTOR = 1.05  # of the known capacity, admitted in the next period: it may have grown
CAPACITY_GAIN = 0.5  # weight of one period in the estimate of the capacity
MIN_FRACTION = 0.02  # smaller fractions become 0
MAX_FRACTION = 0.98


class AdmissionController:
    """Estimates the capacity, period by period."""

    def __init__(self) -> None:
        self.capacity = 0.0  # requests a second, in the last period with a backlog
        self.offered = 0.0  # requests a second in the last period
        self.fraction = 0.0  # of the offered requests that is to be rejected

    def update(self, span: float, taken: int, rejected: int, overflowed: int, waited: bool) -> float:
        """Return the fraction of requests to reject in the next period.

        Args:
            span: length of the period, in seconds.
            taken: requests passed to the decisions.
            rejected: requests rejected by the present fraction.
            overflowed: requests rejected by a full queue.
            waited: whether the queue was never empty.
        """
        if span <= 0:
            return self.fraction
        throughput = taken / span
        self.offered = (taken + rejected + overflowed) / span
        if overflowed or waited:
            self.capacity += (CAPACITY_GAIN if self.capacity else 1.0) * (throughput - self.capacity)
            wanted = 1.0 - PROBE_FACTOR * self.capacity / self.offered if self.offered else 0.0
            self.fraction = max(wanted, self.fraction * RELEASE_FACTOR)
        else:
            self.capacity = max(self.capacity, throughput)
            self.fraction *= RELEASE_FACTOR
        if self.fraction < MIN_FRACTION:
            self.fraction = 0.0
        self.fraction = min(self.fraction, MAX_FRACTION)
        return self.fraction
