"""Server estimates from load summaries: totals over many receivers, in place of single ended attempts.

Invariants:

1. A summary changes the same fields of `BackendEstimates` in the same way as ended attempts: a server that
   serves is not down, one that mostly fails is ejected, one with long response times has little capacity.
   What only single attempts can show (which one was lost, which were overtaken) is not estimated.
2. A failure ratio that most servers share is not a fault of one server: rejections and errors are reported as
   one number, and where all servers lack capacity the capacities are cut, but no server is ejected.
3. The response time is the attempts in progress divided by the responses a second (Little's law, as a mean).
4. No summary ends a server's slow start.
5. A summary changes an estimate no more than as many single attempts would, and counts as
   `MAX_COUNTED_RESPONSES` at the most.
"""

from __future__ import annotations

from typing import NamedTuple

from firvane.core.balancing.records import Backend
from firvane.proxy.capacity.backend_estimates import (
    EJECTION_ERROR_RATE,
    EJECTION_TRIAL_S,
    ERROR_RATE_GAIN,
    INITIAL_GROWTH_S,
    LATE_TARGET_FRACTION,
    BackendEstimates,
    slowness,
)

MAX_COUNTED_RESPONSES = 20  # responses that one summary counts for in an estimate
# Failure ratio above which a server lacks capacity; the factor by which its capacity is then cut.
MAX_FAILURE_RATIO, CAPACITY_CUT_FACTOR = 0.02, 0.9
MIN_TIMED_RESPONSES = 5.0  # from which on a summary gives a response time


class LoadSummary(NamedTuple):
    """What all receivers did at one server within a period, outliers left out."""

    served: int = 0
    failed: int = 0
    issued: int = 0
    pending: float = 0.0  # attempts without a result now
    rate: float = 0.0  # responses a second, over a longer period than this one
    failure_ratio: float = 0.0  # failed fraction of the responses, as most receivers report it
    excess_failure_ratio: float = 0.0  # the same, beyond the ratio that most servers share
    silent: bool = False  # requests were issued, and none has ended for too long


def apply_summary(
    estimates: BackendEstimates, server: Backend, summary: LoadSummary, latency_target: float, now: float
) -> float:
    """Apply a summary to a server's estimates.

    Returns the response time in seconds, or 0 where there were too few responses to know it.
    """
    server.in_flight = round(summary.pending)
    ended = summary.served + summary.failed
    if ended:
        server.response_gap += 0.2 * (min(1.0, now - server.last_response_at) - server.response_gap)
        server.last_response_at = now
    if summary.silent:
        estimates.on_silence(server, now)
        return 0.0
    if summary.served and not estimates.is_in_slow_start(server, now):
        kind = server.entry.kind
        estimates.served_counts[kind] = estimates.served_counts.get(kind, 0) + summary.served
        if windows := estimates.kind_windows.get(kind):
            windows.responses += summary.served
    if ended:
        _update_error_rate(server, summary, ended, now)
    return _update_capacity(estimates, server, summary, latency_target, now) if ended else 0.0


def _update_error_rate(server: Backend, summary: LoadSummary, ended: int, now: float) -> None:
    """Update the error rate, and eject or readmit the server."""
    before, weight = server.error_rate, 1.0 - (1.0 - ERROR_RATE_GAIN) ** min(ended, MAX_COUNTED_RESPONSES)
    server.error_rate += weight * (summary.excess_failure_ratio - server.error_rate)
    if server.error_rate > EJECTION_ERROR_RATE:
        server.failures = max(2, server.failures)  # one trial at a time
        server.retry_at = max(server.retry_at, now + EJECTION_TRIAL_S)
    elif summary.served:
        if before > EJECTION_ERROR_RATE or server.failures:
            server.retry_at = min(server.retry_at, now)
        server.failures = server.connection_failures = 0


def _update_capacity(
    estimates: BackendEstimates, server: Backend, summary: LoadSummary, latency_target: float, now: float
) -> float:
    """Update the relative latency and the capacity; return the response time, 0 where it is not known."""
    response_time = (
        summary.pending / summary.rate if summary.rate * 2.0 * latency_target >= MIN_TIMED_RESPONSES else 0.0
    )
    responses = min(summary.served, MAX_COUNTED_RESPONSES)
    if response_time and responses:
        typical = estimates.typical_duration[0]
        estimates.typical_duration[0] += min(0.1, 0.01 * responses) * (
            min(response_time, latency_target) - typical
        )
        retained = 0.8**responses
        ratio = min(8.0, response_time / max(typical, 1e-3))
        server.relative_latency, server.relative_latency_at = (
            retained * slowness(server, now) + (1.0 - retained) * ratio,
            now,
        )
    lacks_capacity = (
        response_time > LATE_TARGET_FRACTION * latency_target or summary.failure_ratio > MAX_FAILURE_RATIO
    )
    if lacks_capacity:
        if now > server.capacity_cut_at + 0.5 * latency_target:
            server.capacity, server.capacity_cut_at = max(1.0, CAPACITY_CUT_FACTOR * server.capacity), now
    elif responses and server.in_flight + 1 > 0.7 * server.capacity:
        is_guess = not server.capacity_cut_at and now < estimates.started + INITIAL_GROWTH_S
        server.capacity += 0.5 * min(responses, 4) if is_guess else 0.1 * responses / server.capacity
    return response_time
