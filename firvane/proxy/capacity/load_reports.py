"""What is believed of a box from sums: of what others did there, told now and then, no attempt by itself.

Rules that hold here and nowhere else:

1. Sums say what single ends say, in the same words of `BackendEstimates`: a box that serves is not down, one
   that mostly fails is left alone, one that takes long has little room. What only single ends can show (which
   attempt was lost, which were overtaken) is not guessed at.
2. A failure that most boxes have alike is not a box's: what they turn away and what they spoil is told as
   one number, and where all are short it is the room that is cut, not the box that is left alone.
3. The time that answers take is what was out, divided by what was served a second: it holds in the mean.
4. Nothing said here makes a cold box warm.
5. Sums move a belief no further than so many single ends would, and no more than `MOST` of them at once.
"""

from __future__ import annotations

from typing import NamedTuple

from firvane.core.balancing.records import Backend
from firvane.proxy.capacity.backend_estimates import (
    AFTER,
    FAULT,
    FAULTY,
    GUESS,
    SLOW,
    BackendEstimates,
    slowness,
)

MOST = 20  # answers that one sum counts for, where it moves a belief
SPOILT, CUT = 0.02, 0.9  # part of the answers that fail where a box is short of room; what of it is left then
CLEAR = 5.0  # answers from which a sum says something of the time they take


class Sum(NamedTuple):
    """What all have done at one box within a span, as far as it is believed."""

    served: int = 0
    failed: int = 0
    issued: int = 0
    out: float = 0.0  # in progress now
    rate: float = 0.0  # answers a second, over a longer span than this one
    bad: float = 0.0  # part of the answers that failed, as most of those who told agree on
    worse: float = 0.0  # the same, beyond what most boxes fail
    silent: bool = False  # work was issued, and nothing has ended for too long


def take(evidence: BackendEstimates, server: Backend, told: Sum, aim: float, now: float) -> float:
    """Believe a sum; `aim` is the seconds that an answer may usually take.

    Returns the seconds that an answer takes there, 0 where too few came to tell.
    """
    server.in_flight = round(told.out)
    ended = told.served + told.failed
    if ended:
        server.response_gap += 0.2 * (min(1.0, now - server.last_response_at) - server.response_gap)
        server.last_response_at = now
    if told.silent:
        evidence.on_silence(server, now)
        return 0.0
    if told.served and not evidence.is_in_slow_start(server, now):
        kind = server.entry.kind
        evidence.served_counts[kind] = evidence.served_counts.get(kind, 0) + told.served
        if flow := evidence.kind_windows.get(kind):
            flow.answers += told.served
    if ended:
        _judge(server, told, ended, now)
    return _time(evidence, server, told, aim, now) if ended else 0.0


def _judge(server: Backend, told: Sum, ended: int, now: float) -> None:
    """Whether it mostly fails."""
    before, weight = server.error_rate, 1.0 - (1.0 - FAULT) ** min(ended, MOST)
    server.error_rate += weight * (told.worse - server.error_rate)
    if server.error_rate > FAULTY:
        server.failures = max(2, server.failures)  # one trial at a time
        server.retry_at = max(server.retry_at, now + AFTER)
    elif told.served:
        if before > FAULTY or server.failures:
            server.retry_at = min(server.retry_at, now)
        server.failures = server.connection_failures = 0


def _time(evidence: BackendEstimates, server: Backend, told: Sum, aim: float, now: float) -> float:
    """Its pace and its room."""
    took = told.out / told.rate if told.rate * 2.0 * aim >= CLEAR else 0.0
    answers = min(told.served, MOST)
    if took and answers:
        typical = evidence.typical_duration[0]
        evidence.typical_duration[0] += min(0.1, 0.01 * answers) * (min(took, aim) - typical)
        kept = 0.8**answers
        ratio = min(8.0, took / max(typical, 1e-3))
        server.relative_latency, server.relative_latency_at = (
            kept * slowness(server, now) + (1.0 - kept) * ratio,
            now,
        )
    short = took > SLOW * aim or told.bad > SPOILT
    if short:
        if now > server.capacity_cut_at + 0.5 * aim:
            server.capacity, server.capacity_cut_at = max(1.0, CUT * server.capacity), now
    elif answers and server.in_flight + 1 > 0.7 * server.capacity:
        guess = not server.capacity_cut_at and now < evidence.started + GUESS
        server.capacity += 0.5 * min(answers, 4) if guess else 0.1 * answers / server.capacity
    return took
