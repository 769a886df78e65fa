"""When an attempt without an event is looked at, when its server counts as silent, and when it is lost."""

from __future__ import annotations

from collections.abc import Iterable

from firvane.fleet.placement import health
from firvane.fleet.placement.events import PromptRequest
from firvane.fleet.placement.jobs import Attempt
from firvane.fleet.placement.server_view import Server

SILENT_FACTOR = 3.0  # times the expected time to the first event, after which silence is a sign
BACKLOG_FACTOR = 1.5  # times the part of it that is work ahead
SILENT_LEAST = 0.2  # s
RESCUE_PART = 0.4  # of the aim: when a request that may be repeated is first looked at
RESCUE_AIM = 0.9  # of the aim: within which the other server must answer
RESCUE_GAIN = 1.5  # times the wait elsewhere that the wait here must be
LOST_FACTOR = 4.0  # of the expected time, after which an attempt is given up although its server lives
LOST_LEAST = 0.4  # s


def patience(attempt: Attempt) -> float:
    """Seconds without an event after which an attempt's silence is a sign."""
    alone = attempt.expected - attempt.backlog
    return max(SILENT_LEAST, SILENT_FACTOR * alone + BACKLOG_FACTOR * attempt.backlog)


def first_look(attempt: Attempt, request: PromptRequest) -> float:
    """Seconds from the send to the first look; early enough to meet the aim elsewhere where that may be."""
    if request.repeatable and attempt.number == 0:
        return min(patience(attempt), RESCUE_PART * request.aim)
    return patience(attempt)


def is_better_elsewhere(attempt: Attempt, ahead: float, elsewhere: float, aim: float, now: float) -> bool:
    """Whether an attempt without an event misses its aim behind so many seconds of work, but not elsewhere.

    `elsewhere` is the time to the first event at the other server, in seconds as all spans.
    """
    waited = now - attempt.sent_at
    in_time = waited + elsewhere <= RESCUE_AIM * aim
    return in_time and waited + ahead > aim and ahead > RESCUE_GAIN * elsewhere


def next_look(attempt: Attempt, now: float) -> float:
    """Seconds to the next look at an attempt that is left as it is."""
    lost_at = attempt.sent_at + lost_after(attempt)
    return lost_at - now if lost_at > now + 0.01 else patience(attempt)


def lost_after(attempt: Attempt) -> float:
    """Seconds from the send after which an attempt is given up although its server lives."""
    return max(LOST_LEAST, LOST_FACTOR * attempt.expected)


def is_silent(attempt: Attempt, servers: Iterable[Server], ahead: float, now: float) -> bool:
    """Whether nothing came from an attempt's server for its patience, while another server answered.

    `ahead`: seconds of work that are believed to be ahead of the server still; they are waited for.
    """
    server = attempt.server
    if attempt.sent_at < server.suspected_at and health.is_ejected(server):
        return False  # known already; its trial may be silent again
    since = max(attempt.sent_at, server.heard_at)
    if now - since < patience(attempt) + ahead - 0.001:
        return False
    return any(other.heard_at > since for other in servers if other is not server)


def is_lost(attempt: Attempt, now: float) -> bool:
    """Whether a request is better sent elsewhere."""
    suspect = attempt.server.retry_at > now and attempt.server.suspected_at >= attempt.sent_at
    return suspect or now - attempt.sent_at >= lost_after(attempt) - 0.001
