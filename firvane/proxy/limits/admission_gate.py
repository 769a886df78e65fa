"""Load shedding in front of the decisions: rejects requests unparsed, in the fractions set by the balancer.

Invariants:

1. The fractions are the balancer's. Beyond them only requests that find the queue full are rejected.
2. A fraction is applied exactly, without randomness: 1/n rejects every n-th request of a tenant.
3. Rejections are counted by tenant, and reported to the balancer with the next overload signal.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence


class AdmissionGate:
    """Applies the fractions to reject, and counts the rejections."""

    def __init__(self, tenants: Sequence[bytes], is_queue_full: Callable[[bool], bool]) -> None:
        """Create the gate.

        Args:
            tenants: names, in the order of the settings.
            is_queue_full: whether the queue is full, given whether the client sends far more than others.
        """
        self.numbers = {name: i for i, name in enumerate(tenants)}
        self.is_queue_full = is_queue_full
        self.fractions = [0.0] * max(1, len(tenants))
        # By tenant: sum of the fractions of its requests, less the rejections by them.
        self.accumulated = [0.0] * len(self.fractions)
        self.rejected_by_tenant = [0] * len(self.fractions)  # since the last report
        self.rejects_retries = False  # whether marked retries are rejected
        self.is_shedding = False  # whether any fraction is above 0
        self.shed = self.overflowed = 0  # requests rejected by the fractions; by a full queue

    def set_tenants(self, tenants: Sequence[bytes]) -> None:
        """Set the names of the tenants; known tenants keep their numbers."""
        self.numbers = {name: i for i, name in enumerate(tenants)}
        added = max(1, len(tenants)) - len(self.fractions)
        self.fractions += [0.0] * added
        self.accumulated += [0.0] * added
        self.rejected_by_tenant += [0] * added

    def set_fractions(self, fractions: Sequence[float], retries: bool = False) -> None:
        """Set the fraction to reject by tenant, or one for all; `retries`: reject all marked retries too."""
        self.rejects_retries = retries
        if len(fractions) != len(self.fractions):
            fractions = [fractions[0] if fractions else 0.0] * len(self.fractions)
        self.fractions = [min(1.0, max(0.0, fraction)) for fraction in fractions]
        self.is_shedding = any(self.fractions)

    def rejects(self, tenant: bytes, greedy: bool = False, is_retry: bool = False) -> bool:
        """Return whether to reject a request of this tenant, and count the rejection.

        Args:
            tenant: its name.
            greedy: whether the client sends far more than others.
            is_retry: whether the request is a marked retry.
        """
        number = self.numbers.get(tenant, 0)
        if is_retry and self.rejects_retries:
            self.shed += 1
            self.rejected_by_tenant[number] += 1
            return True
        if fraction := self.fractions[number]:
            accumulated = self.accumulated[number] + fraction
            if accumulated >= 1.0:
                self.accumulated[number] = accumulated - 1.0
                self.shed += 1
                self.rejected_by_tenant[number] += 1
                return True
            self.accumulated[number] = accumulated
        if self.is_queue_full(greedy):
            self.overflowed += 1
            self.rejected_by_tenant[number] += 1
            return True
        return False

    def take_rejections(self) -> tuple[int, ...]:
        """Return the rejections by tenant since the last call."""
        rejected, self.rejected_by_tenant = tuple(self.rejected_by_tenant), [0] * len(self.rejected_by_tenant)
        return rejected
