"""Timeouts of attempts without an event. All times are in seconds."""

from __future__ import annotations

from collections.abc import Iterable

from firvane.fleet.placement import health
from firvane.fleet.placement.events import PromptRequest
from firvane.fleet.placement.pending_request import Attempt
from firvane.fleet.placement.server_view import ServerView

RESPONSE_FACTOR = 3.0  # times the expected time to the first event, without the backlog
BACKLOG_FACTOR = 1.5  # times the backlog, which is known less exactly
MIN_RESPONSE_TIMEOUT_S = 0.2
FIRST_CHECK_RATIO = 0.4  # of the latency target: early enough to meet it at another server
REROUTE_TARGET_RATIO = 0.9  # of the latency target, within which the other server must respond
MIN_REROUTE_GAIN = 1.5  # times the wait at the other server that the remaining wait must be
ATTEMPT_TIMEOUT_FACTOR = 4.0  # times the expected time to the first event
MIN_ATTEMPT_TIMEOUT_S = 0.4
MIN_CHECK_DELAY_S = 0.01
TIMER_TOLERANCE_S = 0.001


def response_timeout(attempt: Attempt) -> float:
    """Return the seconds without an event after which the server of an attempt may be unresponsive."""
    without_backlog = attempt.expected - attempt.backlog
    return max(MIN_RESPONSE_TIMEOUT_S, RESPONSE_FACTOR * without_backlog + BACKLOG_FACTOR * attempt.backlog)


def attempt_timeout(attempt: Attempt) -> float:
    """Return the seconds after which an attempt is given up although its server is alive."""
    return max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_FACTOR * attempt.expected)


def first_check_delay(attempt: Attempt, request: PromptRequest) -> float:
    """Return the seconds from the send of an attempt to its first check."""
    if request.retryable and attempt.number == 0:
        return min(response_timeout(attempt), FIRST_CHECK_RATIO * request.latency_target)
    return response_timeout(attempt)


def next_check_delay(attempt: Attempt, now: float) -> float:
    """Return the seconds to the next check of an attempt that goes on."""
    timeout_at = attempt.sent_at + attempt_timeout(attempt)
    return timeout_at - now if timeout_at > now + MIN_CHECK_DELAY_S else response_timeout(attempt)


def is_faster_elsewhere(
    attempt: Attempt, remaining: float, elsewhere: float, latency_target: float, now: float
) -> bool:
    """Return whether an attempt misses its latency target where it is, but not at another server.

    Args:
        attempt: An attempt without an event.
        remaining: Expected seconds until its server gets to it.
        elsewhere: Expected seconds to the first event at the other server.
        latency_target: Seconds from the send of the attempt.
        now: The current time.
    """
    waited = now - attempt.sent_at
    in_time = waited + elsewhere <= REROUTE_TARGET_RATIO * latency_target
    return in_time and waited + remaining > latency_target and remaining > MIN_REROUTE_GAIN * elsewhere


def is_unresponsive(attempt: Attempt, servers: Iterable[ServerView], backlog: float, now: float) -> bool:
    """Return whether an attempt's server sent nothing for its timeout while another server responded.

    Args:
        attempt: An attempt without an event.
        servers: The ready servers of the service.
        backlog: Seconds of prefill that the server is believed to have left; the timeout is longer by them.
        now: The current time.
    """
    server = attempt.server
    if attempt.sent_at < server.suspected_at and health.is_ejected(server):
        return False  # known already, and its trial may time out again
    since = max(attempt.sent_at, server.last_response_at)
    if now - since < response_timeout(attempt) + backlog - TIMER_TOLERANCE_S:
        return False
    return any(other.last_response_at > since for other in servers if other is not server)


def is_timed_out(attempt: Attempt, now: float) -> bool:
    """Return whether an attempt without an event is to be given up."""
    suspect = attempt.server.ejected_until > now and attempt.server.suspected_at >= attempt.sent_at
    return suspect or now - attempt.sent_at >= attempt_timeout(attempt) - TIMER_TOLERANCE_S
