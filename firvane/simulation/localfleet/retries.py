"""Retry policy of clients after an attempt that was not served.

1. A repeatable request is retried after any failure; any other only if it certainly has not run: after a
   rejection, or if no connection could be opened.
2. No request is retried after 400, 401, 404, 413, 431 or a success.
3. `Retry-After` is honoured, up to a third of the remaining time.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))  # guarantee that the request has not run
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))
DEFAULT_PAUSE = 0.02  # s before a retry without `Retry-After`
MAX_PAUSE_SHARE = 1 / 3  # of the remaining time
MIN_TIME_LEFT = 0.05  # s; no retry with less time left


class AttemptEnd(enum.Enum):
    """The outcome of an attempt."""

    SERVED = "served"
    ANSWERED = "answered"  # with a status other than success
    NOT_CONNECTED = "not connected"
    BROKEN = "connection lost"
    SILENT = "silent"
    OUT_OF_TIME = "deadline passed"
    WRONG = "wrong answer"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt; `status` is 0 without a response head, `retry_after` is in seconds."""

    end: AttemptEnd
    status: int = 0
    retry_after: float | None = None
    detail: str = ""

    @property
    def promised(self) -> bool:
        """Whether the response guarantees that the request has not run."""
        return self.end is AttemptEnd.ANSWERED and self.status in NOT_RUN_STATUSES


def retry_delay(result: AttemptResult, repeatable: bool, retries_left: int, time_left: float) -> float | None:
    """Seconds until the next attempt; None without a further attempt."""
    if retries_left <= 0 or time_left <= MIN_TIME_LEFT:
        return None
    if result.end in (AttemptEnd.SERVED, AttemptEnd.OUT_OF_TIME, AttemptEnd.WRONG):
        return None
    if result.end is AttemptEnd.ANSWERED and result.status in FINAL_STATUSES:
        return None
    certainly_not_run = result.promised or result.end is AttemptEnd.NOT_CONNECTED
    if not (repeatable or certainly_not_run):
        return None
    pause = DEFAULT_PAUSE if result.retry_after is None else result.retry_after
    return min(pause, time_left * MAX_PAUSE_SHARE)
