"""The story of a broken rule: what clients, backends and processes did, in the order of time."""

from __future__ import annotations

import re
from collections.abc import Iterator

from firvane.simulation.soak.judge import Violation
from firvane.simulation.soak.player import Played
from firvane.simulation.soak.records import UNKNOWN, AttemptRecord

SHOWN_BEFORE_S = 9.0
SHOWN_AFTER_S = 1.0
MOST_LOG_LINES = 12
REQUEST_IN_LOG = re.compile(r"request=([0-9a-f]+)")


def tell(violation: Violation, played: Played) -> str:
    """A few lines; times are seconds from the start of the load."""
    head = f"{violation.rule} at {_time(violation.at, played)}: {violation.text}"
    lines = sorted(_events(violation, played))
    log = [line for line in _log_lines(violation, played)][:MOST_LOG_LINES]
    return "\n".join([head, *(f"  {_time(at, played)}  {text}" for at, text in lines), *log])


def _time(moment: float, played: Played) -> str:
    return f"{moment - played.began:.3f} s" if moment else "the end"


def _events(violation: Violation, played: Played) -> Iterator[tuple[float, str]]:
    record = played.record
    if each := record.attempts.get(violation.request):
        yield from _of_attempt(each)
        for other in record.attempts.values():
            if other is not each and (other.router, other.connected) == (each.router, each.connected):
                yield from _of_neighbour(other)
    for arrival in record.arrivals:
        if arrival.id == violation.request:
            yield arrival.at, f"reaches {arrival.backend}"
            if arrival.ended < UNKNOWN:
                yield arrival.ended, f"at {arrival.backend}: {arrival.end.value}"
    for event in record.processes:
        near = violation.at - SHOWN_BEFORE_S <= event.at <= violation.at + SHOWN_AFTER_S
        if event.daemon == violation.daemon and near:
            yield event.at, f"{event.daemon}: {event.kind.value} {event.code or ''}".rstrip()


def _of_attempt(each: AttemptRecord) -> Iterator[tuple[float, str]]:
    if each.connected < UNKNOWN:
        yield each.connected, f"its client's connection to {each.router} is made"
    if each.sent < UNKNOWN:
        yield each.sent, f"request {each.id} ({each.kind}, number {each.number} there): first byte"
    if each.sent_completely < UNKNOWN:
        yield each.sent_completely, "its last byte"
    if each.head_before < UNKNOWN:
        yield each.head_before, "the head of the answer before it"
    if each.sent_completely < each.turn < UNKNOWN:
        yield each.turn, "the answer before it is whole"
    if each.blind_until:
        yield each.blind_until, "its client reads again"
    if each.ended < UNKNOWN and each.end:
        yield each.ended, f"for its client: {each.end.value}, status {each.status}, {each.detail}"


def _of_neighbour(other: AttemptRecord) -> Iterator[tuple[float, str]]:
    """Another request on the same connection."""
    if other.sent < UNKNOWN:
        yield other.sent, f"on the same connection: request {other.id} ({other.kind}, number {other.number})"
    if other.ended < UNKNOWN and other.end:
        yield other.ended, f"for number {other.number}: {other.end.value}, status {other.status}"


def _log_lines(violation: Violation, played: Played) -> Iterator[str]:
    """The lines of the daemon's log that name the request, and the last ones of its drain."""
    for line in played.logs.get(violation.daemon, "").splitlines():
        named = REQUEST_IN_LOG.search(line)
        if (named and named.group(1) == violation.request) or (
            not named and "router_stopped" in line and violation.rule in ("LOST", "END")
        ):
            yield f"    {line}"
