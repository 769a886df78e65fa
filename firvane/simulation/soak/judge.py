"""Checks the record of a run against the documented protocol rules. Pure: independent of the daemons' code.

| rule | violated when |
| --- | --- |
| LOST | around a SIGTERM a process has read a request, but the connection ends without a complete response |
| BUDGET | retries of a service in any window exceed the ratio of its requests plus the slack |
| ATTEMPTS | a request runs on more backends than its route's `max_attempts` |
| TWICE | a request that must not be retried runs more than once |
| REFUSED | a request whose response status guarantees that it has not run has run, or runs later |
| UNASKED | a backend receives a request that no client sent, or one that differs from what was sent |
| MIXED | a client receives the response to another request, an incomplete one, or an unsolicited one |
| CONFIG | an order is rejected, two with one number are both accepted, an acknowledged one is not readable |
| END | a process exits without SIGTERM or SIGKILL, with a non-zero status, or after its grace period |
| LOG | a line on standard error is an error or not a valid log line |
| LEVEL | a process uses more memory, descriptors, threads or requests than this number of clients can need |
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
class Bounds:
    """The limits that the rules apply; times in s."""

    grace: float = 8.0
    interruption_effect: float = 3.0  # an interruption so long before a request still excuses its loss
    loss_slack: float = 0.2
    excused_until: float = (
        3.0  # after SIGTERM: a request sent by then may be truncated in the last phase of the grace period
    )
    last_phase: float = 1 / 6  # of the grace period
    after_grace: float = 1.0
    retry: RetryRule = field(default_factory=lambda: RetryRule(ratio=0.2, slack=52.0, window=10.0))
    memory_mb: float = 120.0
    descriptors: int = 900
    threads: int = 24
    deadline_margin: float = 0.05


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule; `request` is the id of the request that violates it, if any."""

    rule: str
    at: float
    text: str
    request: str = ""
    daemon: str = ""


INTERRUPTIONS = (SignalKind.KILLED, SignalKind.STOPPED, SignalKind.CONTINUED)


def judge(record: Record, bounds: Bounds) -> list[Violation]:
    """All violations, sorted by time."""
    violations = [
        *_lost_requests(record, bounds),
        *_retry_budget(record, bounds),
        *_attempts(record),
        *_per_request("TWICE", "ran more than once", record.doubled),
        *_per_request(
            "REFUSED", "ran although its response guarantees that it has not", record.ran_after_refusal
        ),
        *_per_request("UNASKED", "no client sent this request", record.unasked),
        *_per_request("UNASKED", "differs from what the client sent", record.altered),
        *_wrong_responses(record),
        *_config(record),
        *_exits(record, bounds),
        *_logs(record),
        *_resource_usage(record, bounds),
    ]
    return sorted(violations, key=lambda violation: violation.at)


# LOST


def _lost_requests(record: Record, bounds: Bounds) -> Iterator[Violation]:
    arrivals = arrivals_by_request(record.arrivals)
    processes = _by_daemon(record.processes)
    for attempt in record.attempts.values():
        if attempt.end is not AttemptEnd.BROKEN or attempt.sent_completely > attempt.ended:
            continue
        events = processes.get(attempt.router, [])
        term_at = _first_sigterm(events, attempt.ended, bounds)
        if term_at is None or _is_excused(attempt, arrivals.get(attempt.id, []), events, term_at, bounds):
            continue
        if not (arrivals.get(attempt.id) or _must_have_been_read(attempt, bounds, record.clock_delay)):
            continue
        after, duration = attempt.sent_completely - term_at, attempt.ended - attempt.sent_completely
        text = f"sent {after:.3f} s after SIGTERM of {attempt.router}, truncated {duration:.3f} s later"
        yield Violation("LOST", attempt.ended, text, attempt.id, attempt.router)


def _first_sigterm(events: list[ProcessEvent], moment: float, bounds: Bounds) -> float | None:
    """The time of the first SIGTERM of the process running at `moment`.

    None without a SIGTERM, or if `moment` is later than the grace period plus `after_grace`.
    """
    term_at = None
    for event in events:
        if event.at > moment:
            break
        if event.kind is SignalKind.STARTED:
            term_at = None
        elif event.kind is SignalKind.TERM and term_at is None:
            term_at = event.at
    if term_at is None or moment > term_at + bounds.grace + bounds.after_grace:
        return None
    return term_at


def _must_have_been_read(attempt: AttemptRecord, bounds: Bounds, delay: float) -> bool:
    """Whether the process must have read a request that it did not forward.

    A pipelined request is read after the response to the previous request, and never if that response is
    incomplete. If the request arrived before the head of that response, its client could not yet have seen
    a `Connection: close` in that head, so the request counts as read.
    """
    if attempt.previous_response_at > attempt.ended:
        return False
    if attempt.sent_completely + bounds.loss_slack + delay < attempt.previous_head_at <= attempt.ended:
        return True
    readable = max(attempt.sent_completely, attempt.previous_response_at, attempt.reading_paused_until)
    return attempt.ended - readable > bounds.loss_slack + delay


def _is_excused(
    attempt: AttemptRecord,
    arrivals: list[Arrival],
    events: list[ProcessEvent],
    term_at: float,
    bounds: Bounds,
) -> bool:
    if attempt.ended >= attempt.deadline - bounds.deadline_margin:
        return True
    if any(arrival.end is RunEnd.BROKE_OFF for arrival in arrivals):
        return True
    excused_from = attempt.sent - bounds.interruption_effect
    if any(event.kind in INTERRUPTIONS and excused_from <= event.at <= attempt.ended for event in events):
        return True
    last_phase_start = term_at + bounds.grace * (1.0 - bounds.last_phase)
    backend_active = any(
        arrival.at <= attempt.ended and arrival.ended >= last_phase_start for arrival in arrivals
    )
    return (
        backend_active
        and attempt.ended >= last_phase_start
        and attempt.sent_completely <= term_at + bounds.excused_until
    )


# BUDGET, ATTEMPTS


def _retry_budget(record: Record, bounds: Bounds) -> Iterator[Violation]:
    requests = sorted(
        attempt.sent for attempt in record.attempts.values() if attempt.end is not AttemptEnd.NOT_CONNECTED
    )
    seen: set[str] = set()
    retries: list[float] = []
    for arrival in sorted(record.arrivals, key=lambda each: each.at):
        if arrival.id in seen:
            retries.append(arrival.at)
        seen.add(arrival.id)
    excess = bounds.retry.worst_excess(requests, retries)
    if excess > 0.0:
        text = f"{excess:.1f} retries above the limit in the worst window, of {len(retries)} retries in total"
        yield Violation("BUDGET", retries[0], text)


def _attempts(record: Record) -> Iterator[Violation]:
    for request, arrivals in arrivals_by_request(record.arrivals).items():
        attempt = record.attempts.get(request)
        backends = {arrival.backend for arrival in arrivals if arrival.end is not RunEnd.TURNED_AWAY}
        if attempt and len(backends) > attempt.max_attempts:
            text = f"ran on {len(backends)} backends, {attempt.max_attempts} allowed"
            yield Violation("ATTEMPTS", arrivals[-1].at, text, request, attempt.router)


# Other rules


def _per_request(rule: str, text: str, ids: Iterable[str]) -> Iterator[Violation]:
    for request in ids:
        yield Violation(rule, 0.0, text, request)


def _wrong_responses(record: Record) -> Iterator[Violation]:
    for attempt in record.attempts.values():
        if attempt.end is AttemptEnd.WRONG:
            yield Violation("MIXED", attempt.ended, attempt.detail, attempt.id, attempt.router)
    if record.unsolicited_messages:
        yield Violation(
            "MIXED", 0.0, f"{record.unsolicited_messages} unsolicited responses were received by clients"
        )


def _config(record: Record) -> Iterator[Violation]:
    for status in record.orders_rejected:
        yield Violation("CONFIG", 0.0, f"an order based on the newest version was rejected with {status}")
    if record.rivals_both_accepted:
        text = (
            f"{record.rivals_both_accepted} pairs of different orders with one number were both acknowledged"
        )
        yield Violation("CONFIG", 0.0, text)
    if record.rivals_both_rejected:
        text = f"{record.rivals_both_rejected} pairs of orders with one number were both rejected"
        yield Violation("CONFIG", 0.0, text)
    if not record.read_back:
        yield Violation("CONFIG", 0.0, "the newest acknowledged configuration was not read back")


@dataclass(slots=True)
class _ProcessLife:
    """The state of one process of a daemon while its events are processed in order."""

    started: float
    term_at: float = float("inf")  # the first SIGTERM
    handles_term: bool = True  # whether SIGTERM was blocked or handled at that time
    killed: bool = False


def _exits(record: Record, bounds: Bounds) -> Iterator[Violation]:
    bound = bounds.grace + record.clock_delay
    for daemon, events in _by_daemon(record.processes).items():
        life = _ProcessLife(float("-inf"))
        for event in events:
            if event.kind is SignalKind.STARTED:
                life = _ProcessLife(event.at)
            elif event.kind is SignalKind.TERM and event.at < life.term_at:
                life.term_at, life.handles_term = event.at, event.handles_signal
            elif event.kind is SignalKind.KILLED:
                life.killed = True
            elif event.kind is SignalKind.ENDED and (fault := _exit_fault(event, life, events, bound)):
                yield Violation("END", event.at, fault, daemon=daemon)


def _exit_fault(end: ProcessEvent, life: _ProcessLife, events: list[ProcessEvent], bound: float) -> str:
    """What is wrong with a process exit, or ""; `bound` is the longest allowed time in s since SIGTERM."""
    if life.killed:
        return ""
    if life.term_at > end.at:
        return f"exited without SIGTERM or SIGKILL, with status {end.code}"
    ended_by_signal = end.code < 0 and not life.handles_term
    if end.code != 0 and not ended_by_signal:
        return f"exited with status {end.code} after SIGTERM"
    frozen = any(each.kind in INTERRUPTIONS and life.term_at - bound <= each.at <= end.at for each in events)
    if end.at - life.term_at > bound and not frozen:
        return f"exited {end.at - life.term_at:.1f} s after SIGTERM"
    return ""


def _logs(record: Record) -> Iterator[Violation]:
    for daemon, lines in record.log_problems.items():
        for line in lines[:3]:
            yield Violation("LOG", 0.0, line[:300], daemon=daemon)


def _resource_usage(record: Record, bounds: Bounds) -> Iterator[Violation]:
    for usage in record.usage:
        limits = (bounds.memory_mb, bounds.descriptors, bounds.threads)
        used = (usage.memory_mb, usage.descriptors, usage.threads)
        if any(value > limit for value, limit in zip(used, limits, strict=True)):
            text = f"uses {used[0]:.0f} MB, {used[1]} descriptors and {used[2]} threads"
            yield Violation("LEVEL", 0.0, text, daemon=usage.daemon)
    for daemon, count in record.open_at_end.items():
        if count:
            yield Violation(
                "LEVEL", 0.0, f"has {count} open requests after all clients have finished", daemon=daemon
            )


def arrivals_by_request(arrivals: Iterable[Arrival]) -> dict[str, list[Arrival]]:
    """The arrivals of each request, sorted by time."""
    groups: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda each: each.at):
        groups[arrival.id].append(arrival)
    return groups


def _by_daemon(events: Iterable[ProcessEvent]) -> dict[str, list[ProcessEvent]]:
    groups: dict[str, list[ProcessEvent]] = defaultdict(list)
    for event in sorted(events, key=lambda each: each.at):
        groups[event.daemon].append(event)
    return groups
