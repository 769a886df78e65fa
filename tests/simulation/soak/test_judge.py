"""For each rule a record that violates it, and one at the limit that does not."""

from __future__ import annotations

import dataclasses

import pytest

from firvane.simulation.soak.judge import Bounds, judge
from firvane.simulation.soak.records import (
    Arrival,
    AttemptEnd,
    AttemptRecord,
    ProcessEvent,
    Record,
    RunEnd,
    SignalKind,
    Usage,
)
from firvane.simulation.soak.retry_rule import RetryRule

BOUNDS = Bounds()
TERM_AT = 100.0
ROUTER = "router-1"


def attempt(**changes: object) -> AttemptRecord:
    """A request sent 4 s after SIGTERM whose connection is closed at the end of the drain."""
    made = AttemptRecord("a", "short", repeatable=True, max_attempts=2, router=ROUTER, number=1)
    made.connected = made.previous_response_at = made.sent = made.sent_completely = TERM_AT + 4.0
    made.deadline, made.status = TERM_AT + 20.0, 200
    made.ended, made.end = TERM_AT + 7.2, AttemptEnd.BROKEN
    return dataclasses.replace(made, **changes)  # type: ignore[arg-type]


def arrival(**changes: object) -> Arrival:
    made = Arrival("a", "i-1", TERM_AT + 4.01, TERM_AT + 7.2, RunEnd.CANCELLED)
    return dataclasses.replace(made, **changes)  # type: ignore[arg-type]


def event(at: float, kind: SignalKind, code: int = 0, daemon: str = ROUTER) -> ProcessEvent:
    return ProcessEvent(at, daemon, kind, code)


def graceful_shutdown() -> list[ProcessEvent]:
    return [
        event(50.0, SignalKind.STARTED),
        event(TERM_AT, SignalKind.TERM),
        event(TERM_AT + 7.3, SignalKind.ENDED),
    ]


def record(*attempts: AttemptRecord, arrivals: tuple[Arrival, ...] = (), **fields: object) -> Record:
    made = Record(
        attempts={each.id: each for each in attempts}, arrivals=list(arrivals), processes=graceful_shutdown()
    )
    made.read_back = True
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def rules(made: Record, bounds: Bounds = BOUNDS) -> list[str]:
    return [violation.rule for violation in judge(made, bounds)]


def test_a_correct_record_violates_no_rule() -> None:
    assert rules(record(attempt(end=AttemptEnd.WHOLE), arrivals=(arrival(end=RunEnd.ANSWERED),))) == []


# LOST


def test_a_forwarded_request_truncated_long_after_sigterm_is_lost() -> None:
    (found,) = judge(record(attempt(), arrivals=(arrival(),)), BOUNDS)
    assert (found.rule, found.request, found.daemon) == ("LOST", "a", ROUTER)
    assert "4.000 s after SIGTERM" in found.text


def test_a_forwarded_request_truncated_at_once_is_lost() -> None:
    early = attempt(ended=TERM_AT + 4.05)
    assert rules(record(early, arrivals=(arrival(ended=TERM_AT + 4.05),))) == ["LOST"]


def test_a_request_sent_in_time_may_be_truncated_in_the_last_phase_while_its_backend_is_active() -> None:
    sent = {"sent": TERM_AT + 3.0, "sent_completely": TERM_AT + 3.0, "previous_response_at": TERM_AT + 3.0}
    backend_active = arrival(at=TERM_AT + 3.01)
    assert rules(record(attempt(**sent), arrivals=(backend_active,))) == []
    later = {**sent, "sent_completely": TERM_AT + 3.001}
    assert rules(record(attempt(**later), arrivals=(backend_active,))) == ["LOST"]
    backend_finished = arrival(at=TERM_AT + 3.01, ended=TERM_AT + 6.6)
    assert rules(record(attempt(**sent), arrivals=(backend_finished,))) == ["LOST"]
    before_last_phase = attempt(**sent, ended=TERM_AT + 6.6)
    cut_early = arrival(at=TERM_AT + 3.01, ended=TERM_AT + 6.6)
    assert rules(record(before_last_phase, arrivals=(cut_early,))) == ["LOST"]


def test_a_request_that_was_not_forwarded_is_lost_only_if_it_must_have_been_read() -> None:
    within_slack = attempt(ended=TERM_AT + 3.999 + BOUNDS.loss_slack)
    assert rules(record(within_slack)) == []
    beyond_slack = attempt(ended=TERM_AT + 4.01 + BOUNDS.loss_slack)
    assert rules(record(beyond_slack)) == ["LOST"]
    assert rules(record(beyond_slack, clock_delay=0.02)) == []  # recorded times may be late by so much
    assert rules(record(attempt(reading_paused_until=TERM_AT + 7.1))) == []  # the client was not reading


def test_a_pipelined_request_is_read_after_the_previous_response() -> None:
    pipelined = attempt(number=2, previous_response_at=TERM_AT + 7.1)
    assert rules(record(pipelined)) == []
    assert rules(record(attempt(number=2, previous_response_at=TERM_AT + 6.0))) == ["LOST"]
    assert rules(record(attempt(number=2, previous_response_at=float("inf")))) == []
    assert rules(record(attempt(number=2, previous_response_at=float("inf")), arrivals=(arrival(),))) == [
        "LOST"
    ]


def test_a_pipelined_request_received_before_the_head_of_the_previous_response_must_be_answered() -> None:
    """Its client could not yet know that the connection would be closed."""
    received_in_time = TERM_AT + 4.01 + BOUNDS.loss_slack
    closed_at_once = {"number": 2, "previous_response_at": TERM_AT + 7.2}
    assert rules(record(attempt(**closed_at_once, previous_head_at=received_in_time))) == ["LOST"]
    assert rules(record(attempt(**closed_at_once, previous_head_at=received_in_time - 0.02))) == []
    assert rules(record(attempt(**closed_at_once, previous_head_at=received_in_time), clock_delay=0.02)) == []
    assert (
        rules(record(attempt(number=2, previous_response_at=float("inf"), previous_head_at=received_in_time)))
        == []
    )  # that response was truncated


@pytest.mark.parametrize(
    "fields",
    (
        {"deadline": TERM_AT + 7.2},
        {"end": AttemptEnd.LEFT},
        {"end": AttemptEnd.NOT_CONNECTED},
        {"end": AttemptEnd.WHOLE},
        {"sent_completely": float("inf")},
        {"router": "router-2"},
        {"ended": TERM_AT + BOUNDS.grace + BOUNDS.after_grace + 0.01, "deadline": 1e9},
    ),
)
def test_requests_that_are_not_lost(fields: dict[str, object]) -> None:
    assert rules(record(attempt(**fields), arrivals=(arrival(),))) == []


def test_a_request_is_not_lost_if_the_backend_broke_the_connection() -> None:
    assert rules(record(attempt(), arrivals=(arrival(end=RunEnd.BROKE_OFF),))) == []


def test_a_request_is_not_lost_if_the_process_was_interrupted_shortly_before() -> None:
    for at, expected in ((TERM_AT + 1.0, []), (TERM_AT + 0.9, ["LOST"])):
        made = record(attempt(), arrivals=(arrival(),))
        made.processes.append(event(at, SignalKind.STOPPED))
        assert rules(made) == expected
    made = record(attempt(), arrivals=(arrival(),))
    made.processes.append(event(TERM_AT + 5.0, SignalKind.KILLED, daemon="router-2"))
    assert rules(made) == ["LOST"]


def test_only_the_first_sigterm_of_the_running_process_counts() -> None:
    made = record(attempt(), arrivals=(arrival(),))
    made.processes.append(event(TERM_AT + 2.0, SignalKind.TERM))
    assert rules(made) == ["LOST"]
    made.processes = [
        event(50.0, SignalKind.STARTED),
        event(90.0, SignalKind.TERM),
        event(95.0, SignalKind.ENDED),
        event(96.0, SignalKind.STARTED),
    ]
    assert rules(made) == []


# BUDGET, ATTEMPTS


def test_the_retry_budget_counts_all_arrivals_of_a_request_except_the_first() -> None:
    bounds = Bounds(retry=RetryRule(0.2, 1.0, 10.0))
    attempts = [
        attempt(id=f"r{number}", sent=60.0 + 0.1 * number, end=AttemptEnd.WHOLE, max_attempts=9)
        for number in range(10)
    ]
    firsts = [Arrival(each.id, "i-1", each.sent, each.sent, RunEnd.ANSWERED) for each in attempts]
    repeats = [Arrival(f"r{number}", "i-2", 61.5, 61.6, RunEnd.TURNED_AWAY) for number in range(4)]
    assert rules(record(*attempts, arrivals=(*firsts, *repeats[:3])), bounds) == []
    assert rules(record(*attempts, arrivals=(*firsts, *repeats)), bounds) == ["BUDGET"]
    attempts[9].end = AttemptEnd.NOT_CONNECTED
    assert rules(record(*attempts, arrivals=(*firsts, *repeats[:3])), bounds) == ["BUDGET"]


def test_more_backends_than_max_attempts_violate_attempts() -> None:
    done = attempt(end=AttemptEnd.WHOLE)
    on = [arrival(backend=f"i-{number}", end=RunEnd.ANSWERED) for number in range(3)]
    assert rules(record(done, arrivals=tuple(on))) == ["ATTEMPTS"]
    on[1].end = RunEnd.TURNED_AWAY
    assert rules(record(done, arrivals=tuple(on))) == []
    assert rules(record(done, arrivals=(on[0], on[0], on[2]))) == []


# Other rules


@pytest.mark.parametrize(
    ("field", "value", "rule"),
    (
        ("doubled", ["a"], "TWICE"),
        ("ran_after_refusal", ["a"], "REFUSED"),
        ("unasked", ["a"], "UNASKED"),
        ("altered", ["a"], "UNASKED"),
        ("unsolicited_messages", 1, "MIXED"),
        ("orders_rejected", [412], "CONFIG"),
        ("rivals_both_accepted", 1, "CONFIG"),
        ("rivals_both_rejected", 1, "CONFIG"),
        ("read_back", False, "CONFIG"),
        ("log_problems", {ROUTER: ["Traceback"]}, "LOG"),
        ("usage", [Usage(ROUTER, BOUNDS.memory_mb + 1, 10)], "LEVEL"),
        ("usage", [Usage(ROUTER, 10, BOUNDS.descriptors + 1)], "LEVEL"),
        ("usage", [Usage(ROUTER, 10, 10, BOUNDS.threads + 1)], "LEVEL"),
        ("open_at_end", {ROUTER: 1}, "LEVEL"),
    ),
)
def test_a_single_field_violates_a_rule(field: str, value: object, rule: str) -> None:
    assert rules(record(**{field: value})) == [rule]


def test_resource_usage_at_its_bounds_is_allowed() -> None:
    level = Usage(ROUTER, BOUNDS.memory_mb, BOUNDS.descriptors, BOUNDS.threads)
    assert rules(record(usage=[level], open_at_end={ROUTER: 0})) == []


def test_a_wrong_response_violates_mixed() -> None:
    assert rules(record(attempt(end=AttemptEnd.WRONG))) == ["MIXED"]


@pytest.mark.parametrize(
    ("events", "violated"),
    (
        ([(50.0, SignalKind.STARTED, 0), (60.0, SignalKind.ENDED, 0)], True),
        ([(50.0, SignalKind.STARTED, 0), (60.0, SignalKind.TERM, 0), (68.0, SignalKind.ENDED, 0)], False),
        ([(50.0, SignalKind.STARTED, 0), (60.0, SignalKind.TERM, 0), (68.1, SignalKind.ENDED, 0)], True),
        ([(50.0, SignalKind.STARTED, 0), (60.0, SignalKind.TERM, 0), (61.0, SignalKind.ENDED, 1)], True),
        ([(50.0, SignalKind.STARTED, 0), (60.0, SignalKind.TERM, 0), (61.0, SignalKind.ENDED, -15)], True),
        ([(50.0, SignalKind.STARTED, 0), (60.0, SignalKind.KILLED, 0), (60.1, SignalKind.ENDED, -9)], False),
        (
            [
                (50.0, SignalKind.STARTED, 0),
                (60.0, SignalKind.TERM, 0),
                (62.0, SignalKind.STOPPED, 0),
                (64.0, SignalKind.CONTINUED, 0),
                (69.0, SignalKind.ENDED, 0),
            ],
            False,
        ),
        (
            [
                (50.0, SignalKind.STARTED, 0),
                (60.0, SignalKind.TERM, 0),
                (61.0, SignalKind.ENDED, 0),
                (62.0, SignalKind.STARTED, 0),
                (63.0, SignalKind.ENDED, 0),
            ],
            True,
        ),
    ),
)
def test_process_exits(events: list[tuple[float, SignalKind, int]], violated: bool) -> None:
    made = record(processes=[event(*each) for each in events])
    assert rules(made) == (["END"] if violated else [])


@pytest.mark.parametrize(
    ("handles_signal", "code", "violated"),
    ((False, -15, False), (True, -15, True), (False, 1, True), (False, 0, False)),
)
def test_a_signal_may_end_a_process_that_does_not_handle_it_yet(
    handles_signal: bool, code: int, violated: bool
) -> None:
    """Even if the signal is sent right after the start."""
    sigterm = ProcessEvent(50.2, ROUTER, SignalKind.TERM, handles_signal=handles_signal)
    events = [event(50.0, SignalKind.STARTED), sigterm, event(50.3, SignalKind.ENDED, code)]
    assert rules(record(processes=events)) == (["END"] if violated else [])


def test_an_exit_may_be_recorded_late_by_the_clock_delay() -> None:
    events = [event(50.0, SignalKind.STARTED), event(60.0, SignalKind.TERM), event(68.4, SignalKind.ENDED)]
    assert rules(record(processes=events, clock_delay=0.5)) == []
    assert rules(record(processes=events, clock_delay=0.3)) == ["END"]
