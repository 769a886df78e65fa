"""What a client does after an attempt that was not served.

1. A repeatable request is tried again after any failure, any other only where it surely has not run: after a
   refusal, or where no connection came up.
2. Nothing is tried again after 400, 401, 404, 413, 431 or a success.
3. `Retry-After` is honoured, up to a third of the time that is left.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

PROMISES = frozenset((408, 421, 429, 503))  # the request has not run and never will
FINAL = frozenset((400, 401, 404, 413, 431))
PAUSE = 0.02  # s before a retry, where no other time is asked for
LONGEST_PART = 1 / 3  # of the time left
SMALLEST_REST = 0.05  # s; with less left no retry is made


class AttemptEnd(enum.Enum):
    """How an attempt has ended."""

    SERVED = "served"
    ANSWERED = "answered"  # with another status than a success
    NOT_CONNECTED = "not connected"
    BROKEN = "connection lost"
    SILENT = "silent"
    OUT_OF_TIME = "deadline passed"
    WRONG = "wrong answer"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of an attempt; `status` is 0 where no head came, `retry_after` is in seconds."""

    end: AttemptEnd
    status: int = 0
    retry_after: float | None = None
    detail: str = ""

    @property
    def promised(self) -> bool:
        """Whether the client was informed that the request has not run."""
        return self.end is AttemptEnd.ANSWERED and self.status in PROMISES


def retry_delay(result: AttemptResult, repeatable: bool, retries_left: int, time_left: float) -> float | None:
    """Seconds until the next attempt; None where there is none."""
    if retries_left <= 0 or time_left <= SMALLEST_REST:
        return None
    if result.end in (AttemptEnd.SERVED, AttemptEnd.OUT_OF_TIME, AttemptEnd.WRONG):
        return None
    if result.end is AttemptEnd.ANSWERED and result.status in FINAL:
        return None
    surely_not_run = result.promised or result.end is AttemptEnd.NOT_CONNECTED
    if not (repeatable or surely_not_run):
        return None
    asked = PAUSE if result.retry_after is None else result.retry_after
    return min(asked, time_left * LONGEST_PART)
