"""The trace of a violation: events of clients, backends and processes, sorted by time."""

from __future__ import annotations

import re
from collections.abc import Iterator

from firvane.simulation.soak.judge import Violation
from firvane.simulation.soak.player import Played
from firvane.simulation.soak.records import UNKNOWN, AttemptRecord

SHOWN_BEFORE_S = 9.0
SHOWN_AFTER_S = 1.0
MAX_LOG_LINES = 12
REQUEST_IN_LOG = re.compile(r"request=([0-9a-f]+)")


def format_trace(violation: Violation, played: Played) -> str:
    """The trace of a violation as text; times are seconds since the start of the load."""
    head = f"{violation.rule} at {_time(violation.at, played)}: {violation.text}"
    lines = sorted(_events(violation, played))
    log = [line for line in _log_lines(violation, played)][:MAX_LOG_LINES]
    return "\n".join([head, *(f"  {_time(at, played)}  {text}" for at, text in lines), *log])


def _time(moment: float, played: Played) -> str:
    return f"{moment - played.load_start:.3f} s" if moment else "the end"


def _events(violation: Violation, played: Played) -> Iterator[tuple[float, str]]:
    record = played.record
    if each := record.attempts.get(violation.request):
        yield from _attempt_events(each)
        for other in record.attempts.values():
            if other is not each and (other.router, other.connected) == (each.router, each.connected):
                yield from _other_request_events(other)
    for arrival in record.arrivals:
        if arrival.id == violation.request:
            yield arrival.at, f"reaches {arrival.backend}"
            if arrival.ended < UNKNOWN:
                yield arrival.ended, f"at {arrival.backend}: {arrival.end.value}"
    for event in record.processes:
        in_time_range = violation.at - SHOWN_BEFORE_S <= event.at <= violation.at + SHOWN_AFTER_S
        if event.daemon == violation.daemon and in_time_range:
            yield event.at, f"{event.daemon}: {event.kind.value} {event.code or ''}".rstrip()


def _attempt_events(each: AttemptRecord) -> Iterator[tuple[float, str]]:
    if each.connected < UNKNOWN:
        yield each.connected, f"client connected to {each.router}"
    if each.sent < UNKNOWN:
        yield (
            each.sent,
            f"request {each.id} ({each.kind}, number {each.number} on its connection): first byte sent",
        )
    if each.sent_completely < UNKNOWN:
        yield each.sent_completely, "last byte sent"
    if each.previous_head_at < UNKNOWN:
        yield each.previous_head_at, "head of the previous response received"
    if each.sent_completely < each.previous_response_at < UNKNOWN:
        yield each.previous_response_at, "previous response complete"
    if each.reading_paused_until:
        yield each.reading_paused_until, "client resumes reading"
    if each.ended < UNKNOWN and each.end:
        yield each.ended, f"outcome for the client: {each.end.value}, status {each.status}, {each.detail}"


def _other_request_events(other: AttemptRecord) -> Iterator[tuple[float, str]]:
    """Events of another request on the same connection."""
    if other.sent < UNKNOWN:
        yield other.sent, f"on the same connection: request {other.id} ({other.kind}, number {other.number})"
    if other.ended < UNKNOWN and other.end:
        yield other.ended, f"outcome of number {other.number}: {other.end.value}, status {other.status}"


def _log_lines(violation: Violation, played: Played) -> Iterator[str]:
    """Lines of the daemon's log with the id of the request, and those logged at the end of its drain."""
    for line in played.logs.get(violation.daemon, "").splitlines():
        request_match = REQUEST_IN_LOG.search(line)
        if (request_match and request_match.group(1) == violation.request) or (
            not request_match and "router_stopped" in line and violation.rule in ("LOST", "END")
        ):
            yield f"    {line}"
