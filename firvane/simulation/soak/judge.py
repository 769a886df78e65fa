"""Judges a record by the rules of the protocol's pages. Pure; it knows nothing of the daemons.

| rule | sentence of the pages |
| --- | --- |
| LOST | around a SIGTERM a process has read a request, and the connection ends without a complete answer |
| BUDGET | repeats at a service in any window exceed the ratio of its requests and the slack |
| ATTEMPTS | a request runs on more backends than its route's `max_attempts` |
| TWICE | what may not be repeated runs more than once |
| REFUSED | what was answered with a promise that it has not run has run, or runs later |
| UNASKED | a backend is sent what no client has sent, or something else |
| MIXED | a client gets an answer that is not its own or incomplete, or bytes that it did not ask for |
| CONFIG | an order is refused, two under one number are both taken, what was acknowledged is not read back |
| END | a process ends by itself, with a status that is not 0, or later than its grace |
| LOG | a line on standard error is an error, or no line of the log |
| LEVEL | a process holds more memory, descriptors, threads or requests than so few clients can need |
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from firvane.simulation.soak.records import (
    Arrival,
    AttemptEnd,
    AttemptRecord,
    ProcessEvent,
    Record,
    RunEnd,
    SignalKind,
)
from firvane.simulation.soak.retry_rule import RetryRule


@dataclass(frozen=True, slots=True)
class Terms:
    """The bounds of the settings that the rules name, in s where they are times."""

    grace: float = 8.0
    contact: float = 3.0
    loss_slack: float = 0.2
    excused_until: float = (
        3.0  # after SIGTERM: what was sent by then may be cut in the last part of the grace
    )
    last_phase: float = 1 / 6  # of the grace
    after_grace: float = 1.0
    retry: RetryRule = field(default_factory=lambda: RetryRule(ratio=0.2, slack=52.0, window=10.0))
    memory_mb: float = 120.0
    descriptors: int = 900
    threads: int = 24
    deadline_margin: float = 0.05


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule; `request` is the id of the request that shows it, if there is one."""

    rule: str
    at: float
    text: str
    request: str = ""
    daemon: str = ""


TROUBLES = (SignalKind.KILLED, SignalKind.STOPPED, SignalKind.CONTINUED)


def judge(record: Record, terms: Terms) -> list[Violation]:
    """All broken rules, in the order of their times."""
    found = [
        *_lost(record, terms),
        *_budget(record, terms),
        *_attempts(record),
        *_ids("TWICE", "ran more than once", record.doubled),
        *_ids("REFUSED", "ran although its client was told that it has not", record.ran_after_refusal),
        *_ids("UNASKED", "no client has sent it", record.unasked),
        *_ids("UNASKED", "was changed on its way", record.altered),
        *_mixed(record),
        *_config(record),
        *_ends(record, terms),
        *_logs(record),
        *_levels(record, terms),
    ]
    return sorted(found, key=lambda violation: violation.at)


# LOST


def _lost(record: Record, terms: Terms) -> Iterator[Violation]:
    arrivals = arrivals_by_request(record.arrivals)
    processes = _by_daemon(record.processes)
    for each in record.attempts.values():
        if each.end is not AttemptEnd.BROKEN or each.sent_completely > each.ended:
            continue
        events = processes.get(each.router, [])
        term = _term_before(events, each.ended, terms)
        if term is None or _is_excused(each, arrivals.get(each.id, []), events, term, terms):
            continue
        if not (arrivals.get(each.id) or _was_read(each, terms, record.clock_delay)):
            continue
        after, lasted = each.sent_completely - term, each.ended - each.sent_completely
        text = f"sent {after:.3f} s after SIGTERM of {each.router}, cut {lasted:.3f} s later"
        yield Violation("LOST", each.ended, text, each.id, each.router)


def _term_before(events: list[ProcessEvent], moment: float, terms: Terms) -> float | None:
    """When the process that was there at this moment got its first SIGTERM, within the bounds of the rule."""
    term = None
    for event in events:
        if event.at > moment:
            break
        if event.kind is SignalKind.STARTED:
            term = None
        elif event.kind is SignalKind.TERM and term is None:
            term = event.at
    if term is None or moment > term + terms.grace + terms.after_grace:
        return None
    return term


def _was_read(each: AttemptRecord, terms: Terms, delay: float) -> bool:
    """Whether the process must have read a request that it did not pass on.

    What comes behind another request is read once that one is answered, and never where it was not. Where it
    was here before the head of that answer, the head cannot have told its client to send nothing more.
    """
    if each.turn > each.ended:
        return False
    if each.sent_completely + terms.loss_slack + delay < each.head_before <= each.ended:
        return True
    readable = max(each.sent_completely, each.turn, each.blind_until)
    return each.ended - readable > terms.loss_slack + delay


def _is_excused(
    each: AttemptRecord, arrivals: list[Arrival], events: list[ProcessEvent], term: float, terms: Terms
) -> bool:
    if each.ended >= each.deadline - terms.deadline_margin:
        return True
    if any(arrival.end is RunEnd.BROKE_OFF for arrival in arrivals):
        return True
    begins = each.sent - terms.contact
    if any(event.kind in TROUBLES and begins <= event.at <= each.ended for event in events):
        return True
    in_last_phase = term + terms.grace * (1.0 - terms.last_phase)
    works = any(arrival.at <= each.ended and arrival.ended >= in_last_phase for arrival in arrivals)
    return works and each.ended >= in_last_phase and each.sent_completely <= term + terms.excused_until


# BUDGET, ATTEMPTS


def _budget(record: Record, terms: Terms) -> Iterator[Violation]:
    requests = sorted(
        each.sent for each in record.attempts.values() if each.end is not AttemptEnd.NOT_CONNECTED
    )
    seen: set[str] = set()
    repeats: list[float] = []
    for arrival in sorted(record.arrivals, key=lambda each: each.at):
        if arrival.id in seen:
            repeats.append(arrival.at)
        seen.add(arrival.id)
    excess = terms.retry.worst_excess(requests, repeats)
    if excess > 0.0:
        text = f"{excess:.1f} arrivals beyond what is allowed in the worst window, of {len(repeats)} in all"
        yield Violation("BUDGET", repeats[0], text)


def _attempts(record: Record) -> Iterator[Violation]:
    for request, arrivals in arrivals_by_request(record.arrivals).items():
        sent = record.attempts.get(request)
        backends = {arrival.backend for arrival in arrivals if arrival.end is not RunEnd.TURNED_AWAY}
        if sent and len(backends) > sent.max_attempts:
            text = f"ran on {len(backends)} backends, {sent.max_attempts} allowed"
            yield Violation("ATTEMPTS", arrivals[-1].at, text, request, sent.router)


# The rest


def _ids(rule: str, text: str, ids: Iterable[str]) -> Iterator[Violation]:
    for request in ids:
        yield Violation(rule, 0.0, text, request)


def _mixed(record: Record) -> Iterator[Violation]:
    for each in record.attempts.values():
        if each.end is AttemptEnd.WRONG:
            yield Violation("MIXED", each.ended, each.detail, each.id, each.router)
    if record.unasked_bytes:
        yield Violation("MIXED", 0.0, f"{record.unasked_bytes} bytes came to clients without a request")


def _config(record: Record) -> Iterator[Violation]:
    for status in record.orders_refused:
        yield Violation("CONFIG", 0.0, f"an order on top of the newest version was refused with {status}")
    if record.rivals_both_taken:
        text = f"{record.rivals_both_taken} pairs of different orders under one number were both acknowledged"
        yield Violation("CONFIG", 0.0, text)
    if record.rivals_both_refused:
        text = f"{record.rivals_both_refused} pairs of orders under one number were both refused"
        yield Violation("CONFIG", 0.0, text)
    if not record.read_back:
        yield Violation("CONFIG", 0.0, "the newest acknowledged configuration was not read back")


@dataclass(slots=True)
class _Life:
    """One process of a daemon, up to now."""

    started: float
    told: float = float("inf")  # the first SIGTERM
    listened: bool = True  # when that came
    killed: bool = False


def _ends(record: Record, terms: Terms) -> Iterator[Violation]:
    bound = terms.grace + record.clock_delay
    for daemon, events in _by_daemon(record.processes).items():
        life = _Life(float("-inf"))
        for event in events:
            if event.kind is SignalKind.STARTED:
                life = _Life(event.at)
            elif event.kind is SignalKind.TERM and event.at < life.told:
                life.told, life.listened = event.at, event.listens
            elif event.kind is SignalKind.KILLED:
                life.killed = True
            elif event.kind is SignalKind.ENDED and (fault := _fault_of_end(event, life, events, bound)):
                yield Violation("END", event.at, fault, daemon=daemon)


def _fault_of_end(end: ProcessEvent, life: _Life, events: list[ProcessEvent], bound: float) -> str:
    """What is wrong with an end; `bound` is the longest time in s from SIGTERM to it."""
    if life.killed:
        return ""
    if life.told > end.at:
        return f"ended by itself with {end.code}"
    ended_by_signal = end.code < 0 and not life.listened
    if end.code != 0 and not ended_by_signal:
        return f"ended with {end.code} after SIGTERM"
    frozen = any(each.kind in TROUBLES and life.told - bound <= each.at <= end.at for each in events)
    if end.at - life.told > bound and not frozen:
        return f"ended {end.at - life.told:.1f} s after SIGTERM"
    return ""


def _logs(record: Record) -> Iterator[Violation]:
    for daemon, lines in record.log_problems.items():
        for line in lines[:3]:
            yield Violation("LOG", 0.0, line[:300], daemon=daemon)


def _levels(record: Record, terms: Terms) -> Iterator[Violation]:
    for usage in record.usage:
        bounds = (terms.memory_mb, terms.descriptors, terms.threads)
        held = (usage.memory_mb, usage.descriptors, usage.threads)
        if any(value > bound for value, bound in zip(held, bounds, strict=True)):
            text = f"holds {held[0]:.0f} MB, {held[1]} descriptors and {held[2]} threads"
            yield Violation("LEVEL", 0.0, text, daemon=usage.daemon)
    for daemon, count in record.open_at_end.items():
        if count:
            yield Violation(
                "LEVEL", 0.0, f"holds {count} requests after all clients have ended", daemon=daemon
            )


def arrivals_by_request(arrivals: Iterable[Arrival]) -> dict[str, list[Arrival]]:
    """The arrivals of each request in the order of their times."""
    found: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda each: each.at):
        found[arrival.id].append(arrival)
    return found


def _by_daemon(events: Iterable[ProcessEvent]) -> dict[str, list[ProcessEvent]]:
    found: dict[str, list[ProcessEvent]] = defaultdict(list)
    for event in sorted(events, key=lambda each: each.at):
        found[event.daemon].append(event)
    return found
