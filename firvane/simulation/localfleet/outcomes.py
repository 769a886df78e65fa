"""The outcome of a request for its client."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from firvane.core.address import Address
from firvane.simulation.localfleet.profiles import RequestClass
from firvane.simulation.localfleet.retries import AttemptEnd, AttemptResult

NO_ROUTER: Address = ("", 0)
NOT_FINISHED = AttemptResult(AttemptEnd.OUT_OF_TIME)


class Outcome(enum.Enum):
    """The outcome of a request after all its attempts."""

    IN_TIME = "in time"
    LATE = "late"  # served, but its first event or a pause took too long
    REFUSED = "refused"  # the last response guarantees that the request has not run
    FAILED = "failed"


@dataclass(slots=True)
class RequestRecord:
    """One request of the schedule; times are seconds of the loop's clock."""

    kind: RequestClass
    intended: float
    outcome: Outcome = Outcome.FAILED
    attempts: int = 0
    first_event: float | None = None  # s from the intended time of sending
    longest_gap: float = 0.0
    ended: float = 0.0
    last_router: Address = NO_ROUTER
    last_began: float = 0.0
    last: AttemptResult = NOT_FINISHED

    def begin_attempt(self, router: Address, now: float) -> None:
        """Record the start of an attempt at a router."""
        self.attempts += 1
        self.last_router, self.last_began = router, now

    def end(
        self, result: AttemptResult, now: float, first_event_at: float | None, longest_gap: float
    ) -> None:
        """Record the result of the last attempt; `first_event_at` is None if no event arrived."""
        self.last, self.ended, self.longest_gap = result, now, longest_gap
        if first_event_at is not None:
            self.first_event = first_event_at - self.intended
        self.outcome = self._judge(result)

    def _judge(self, result: AttemptResult) -> Outcome:
        if result.promised:
            return Outcome.REFUSED
        if result.end is not AttemptEnd.SERVED:
            return Outcome.FAILED
        begins_in_time = self.first_event is not None and self.first_event <= self.kind.latency_target
        flows_in_time = self.longest_gap <= self.kind.gap_target
        return Outcome.IN_TIME if begins_in_time and flows_in_time else Outcome.LATE

    def was_broken_by(self, router: Address, at: float) -> bool:
        """Whether the request failed while its last attempt was in progress at `router` at time `at`."""
        in_progress = self.last_began <= at <= self.ended
        return self.outcome is Outcome.FAILED and self.last_router == router and in_progress
