"""Time-outs of attempts that have received no event. All times are in seconds."""

from __future__ import annotations

from collections.abc import Iterable

from firvane.fleet.placement import health
from firvane.fleet.placement.events import PromptRequest
from firvane.fleet.placement.pending_request import Attempt
from firvane.fleet.placement.server_view import ServerView

RESPONSE_FACTOR = 3.0  # multiple of the expected time to the first event without the backlog
BACKLOG_FACTOR = 1.5  # multiple of the backlog, which is known less exactly
MIN_RESPONSE_TIMEOUT_S = 0.2
FIRST_CHECK_RATIO = 0.4  # part of the latency target; early enough to meet the target at another server
REROUTE_TARGET_RATIO = 0.9  # part of the latency target within which the other server must respond
MIN_REROUTE_GAIN = 1.5  # the remaining wait must exceed this multiple of the time at the other server
ATTEMPT_TIMEOUT_FACTOR = 4.0  # multiple of the expected time to the first event
MIN_ATTEMPT_TIMEOUT_S = 0.4
MIN_CHECK_DELAY_S = 0.01
TIMER_TOLERANCE_S = 0.001


def response_timeout(attempt: Attempt) -> float:
    """Return the seconds without an event after which the server of an attempt may be unresponsive."""
    without_backlog = attempt.expected - attempt.backlog
    return max(MIN_RESPONSE_TIMEOUT_S, RESPONSE_FACTOR * without_backlog + BACKLOG_FACTOR * attempt.backlog)


def attempt_timeout(attempt: Attempt) -> float:
    """Return the seconds after which an attempt times out although its server is responsive."""
    return max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_FACTOR * attempt.expected)


def first_check_delay(attempt: Attempt, request: PromptRequest) -> float:
    """Return the seconds from sending an attempt to its first check."""
    if request.retryable and attempt.number == 0:
        return min(response_timeout(attempt), FIRST_CHECK_RATIO * request.latency_target)
    return response_timeout(attempt)


def next_check_delay(attempt: Attempt, now: float) -> float:
    """Return the seconds to the next check of an attempt that stays open."""
    timeout_at = attempt.sent_at + attempt_timeout(attempt)
    return timeout_at - now if timeout_at > now + MIN_CHECK_DELAY_S else response_timeout(attempt)


def is_faster_elsewhere(
    attempt: Attempt, remaining_wait: float, expected_elsewhere: float, latency_target: float, now: float
) -> bool:
    """Return whether an attempt will miss its latency target at its server, but not at another server.

    Args:
        attempt: An attempt without an event.
        remaining_wait: Expected seconds until the server starts to process the attempt.
        expected_elsewhere: Expected seconds to the first event at the other server.
        latency_target: Seconds from sending the attempt to its first event.
        now: The current time.
    """
    waited = now - attempt.sent_at
    in_time = waited + expected_elsewhere <= REROUTE_TARGET_RATIO * latency_target
    return (
        in_time
        and waited + remaining_wait > latency_target
        and remaining_wait > MIN_REROUTE_GAIN * expected_elsewhere
    )


def is_unresponsive(attempt: Attempt, servers: Iterable[ServerView], backlog: float, now: float) -> bool:
    """Return whether an attempt's server sent nothing for the time-out while another server responded.

    Args:
        attempt: An attempt without an event.
        servers: The ready servers of the service.
        backlog: Estimated seconds of outstanding prefill at the server, which extend the time-out.
        now: The current time.
    """
    server = attempt.server
    if attempt.sent_at < server.suspected_at and health.is_ejected(server):
        return False  # already ejected; only a time-out of its trial may eject it again
    last_event_at = max(attempt.sent_at, server.last_response_at)
    if now - last_event_at < response_timeout(attempt) + backlog - TIMER_TOLERANCE_S:
        return False
    return any(other.last_response_at > last_event_at for other in servers if other is not server)


def is_timed_out(attempt: Attempt, now: float) -> bool:
    """Return whether an attempt without an event has timed out."""
    suspect = attempt.server.ejected_until > now and attempt.server.suspected_at >= attempt.sent_at
    return suspect or now - attempt.sent_at >= attempt_timeout(attempt) - TIMER_TOLERANCE_S
