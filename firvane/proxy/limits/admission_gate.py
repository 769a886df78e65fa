"""Load shedding in front of the decisions: rejects, unparsed, what the balancer has said to reject.

Rules that hold here and nowhere else:

1. The fractions are the balancer's. Beyond them only what finds the queue full is rejected.
2. A fraction is followed exactly and without chance: of a tenant's requests every n-th is rejected.
3. Rejections are counted by tenant, and reported to the balancer with the next overload signal.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence


class AdmissionGate:
    """The fractions to reject, and the counts of what was."""

    def __init__(self, tenants: Sequence[bytes], is_queue_full: Callable[[bool], bool]) -> None:
        """Create the gate.

        Args:
            tenants: names, in the order of the settings.
            is_queue_full: whether the queue is full for a client, given whether that asks more than others.
        """
        self.numbers = {name: i for i, name in enumerate(tenants)}
        self.is_queue_full = is_queue_full
        self.fractions = [0.0] * max(1, len(tenants))
        self.accumulated = [0.0] * len(
            self.fractions
        )  # what the fractions have added up to since the last rejection
        self.rejected_by_tenant = [0] * len(self.fractions)  # rejected since the last report
        self.rejects_retries = False  # marked retries are rejected
        self.is_shedding = False  # some fraction is rejected
        self.shed = self.overflowed = 0  # rejected by the fractions; by a full queue

    def set_tenants(self, tenants: Sequence[bytes]) -> None:
        """Take over the names of tenants; those that were known keep their numbers."""
        self.numbers = {name: i for i, name in enumerate(tenants)}
        more = max(1, len(tenants)) - len(self.fractions)
        self.fractions += [0.0] * more
        self.accumulated += [0.0] * more
        self.rejected_by_tenant += [0] * more

    def set_fractions(self, fractions: Sequence[float], retries: bool = False) -> None:
        """Set the fraction to reject of each tenant, or one for all; `retries`: and all marked retries."""
        self.rejects_retries = retries
        if len(fractions) != len(self.fractions):
            fractions = [fractions[0] if fractions else 0.0] * len(self.fractions)
        self.fractions = [min(1.0, max(0.0, fraction)) for fraction in fractions]
        self.is_shedding = any(self.fractions)

    def rejects(self, tenant: bytes, greedy: bool = False, is_retry: bool = False) -> bool:
        """Whether a request of this tenant, a marked retry or not, is to be rejected; it is counted."""
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
        """Rejections by tenant since the last call."""
        rejected, self.rejected_by_tenant = tuple(self.rejected_by_tenant), [0] * len(self.rejected_by_tenant)
        return rejected
