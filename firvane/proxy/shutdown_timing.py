"""The schedule of a graceful shutdown, which must end before the platform sends SIGKILL."""

from __future__ import annotations

from typing import NamedTuple

LAME_DUCK_S = 0.7  # after SIGTERM, during which clients may still connect
MAX_COUNTED_DEADLINE_S = 3.0  # SIGKILL follows after LAME_DUCK_S and the longest deadline, up to this
RESPONSE_MARGIN_S = 0.2  # before SIGKILL, reserved for the last responses
MAX_MARGIN_PART = 0.25  # of the longest deadline, so that the margin does not use up short deadlines
MAX_CHECK_INTERVAL_S = 0.02


class ShutdownTiming(NamedTuple):
    """The times of a graceful shutdown, in seconds on the loop's clock, except the interval.

    Attributes:
        serve_until: Until then connected clients are served as usual.
        request_deadline: All requests must have ended by then.
        close_idle_until: Until then connections are closed when they become idle.
        close_all_until: Until then all other connections are closed; then the process exits.
        check_interval: Seconds between checks of the connections.
    """

    serve_until: float
    request_deadline: float
    close_idle_until: float
    close_all_until: float
    check_interval: float

    @classmethod
    def begin(cls, now: float, longest_deadline: float) -> ShutdownTiming:
        """Return the schedule of a shutdown that begins at `now`; `longest_deadline` is in seconds."""
        longest = min(MAX_COUNTED_DEADLINE_S, longest_deadline)
        margin = min(RESPONSE_MARGIN_S, MAX_MARGIN_PART * longest)
        sigkill_at = now + LAME_DUCK_S + longest  # at the earliest
        return cls(
            serve_until=now + LAME_DUCK_S + longest / 2,
            request_deadline=sigkill_at - margin,
            close_idle_until=sigkill_at - margin / 2,
            close_all_until=sigkill_at - margin / 4,
            check_interval=min(MAX_CHECK_INTERVAL_S, margin / 10),
        )
