"""The times of a graceful shutdown, by the platform's rules: it kills a process some time after SIGTERM."""

from __future__ import annotations

from typing import NamedTuple

LAME_DUCK_S = 0.7  # after SIGTERM, in which clients may still connect
MAX_COUNTED_DEADLINE_S = 3.0  # of the longest deadline, which the platform waits after that before SIGKILL
RESPONSE_MARGIN_S = 0.2  # before SIGKILL, kept for the last responses
MAX_MARGIN_PART = 0.25  # of the longest deadline: short deadlines must not be used up by the margin
MAX_CHECK_INTERVAL_S = 0.02


class ShutdownTiming(NamedTuple):
    """The times of a graceful shutdown, all in s of loop time but the interval.

    Attributes:
        serve_until: Connected clients are served as usual.
        request_deadline: All requests must have ended.
        close_idle_until: Connections are closed as they fall idle.
        close_all_until: All connections are closed in order; the process exits then.
        check_interval: Seconds between checks of the connections.
    """

    serve_until: float
    request_deadline: float
    close_idle_until: float
    close_all_until: float
    check_interval: float

    @classmethod
    def begin(cls, now: float, longest_deadline: float) -> ShutdownTiming:
        """The times of a shutdown that begins now, where requests may take up to a deadline in s."""
        longest = min(MAX_COUNTED_DEADLINE_S, longest_deadline)
        margin = min(RESPONSE_MARGIN_S, MAX_MARGIN_PART * longest)
        killed = now + LAME_DUCK_S + longest  # no sooner than that
        return cls(
            serve_until=now + LAME_DUCK_S + longest / 2,
            request_deadline=killed - margin,
            close_idle_until=killed - margin / 2,
            close_all_until=killed - margin / 4,
            check_interval=min(MAX_CHECK_INTERVAL_S, margin / 10),
        )
