"""For each rule a record that breaks it and one that just does not."""

from __future__ import annotations

import dataclasses

import pytest

from firvane.simulation.soak.judge import Terms, judge
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

TERMS = Terms()
TERM_AT = 100.0
ROUTER = "router-1"


def attempt(**changes: object) -> AttemptRecord:
    """A request sent 4 s after SIGTERM and cut at the end of the drain."""
    made = AttemptRecord("a", "short", repeatable=True, max_attempts=2, router=ROUTER, number=1)
    made.connected = made.turn = made.sent = made.sent_completely = TERM_AT + 4.0
    made.deadline, made.status = TERM_AT + 20.0, 200
    made.ended, made.end = TERM_AT + 7.2, AttemptEnd.BROKEN
    return dataclasses.replace(made, **changes)  # type: ignore[arg-type]


def arrival(**changes: object) -> Arrival:
    made = Arrival("a", "i-1", TERM_AT + 4.01, TERM_AT + 7.2, RunEnd.CANCELLED)
    return dataclasses.replace(made, **changes)  # type: ignore[arg-type]


def event(at: float, kind: SignalKind, code: int = 0, daemon: str = ROUTER) -> ProcessEvent:
    return ProcessEvent(at, daemon, kind, code)


def drained() -> list[ProcessEvent]:
    return [
        event(50.0, SignalKind.STARTED),
        event(TERM_AT, SignalKind.TERM),
        event(TERM_AT + 7.3, SignalKind.ENDED),
    ]


def record(*attempts: AttemptRecord, arrivals: tuple[Arrival, ...] = (), **fields: object) -> Record:
    made = Record(attempts={each.id: each for each in attempts}, arrivals=list(arrivals), processes=drained())
    made.read_back = True
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def rules(made: Record, terms: Terms = TERMS) -> list[str]:
    return [violation.rule for violation in judge(made, terms)]


def test_a_record_in_order_breaks_nothing() -> None:
    assert rules(record(attempt(end=AttemptEnd.WHOLE), arrivals=(arrival(end=RunEnd.ANSWERED),))) == []


# LOST


def test_a_request_that_was_passed_on_long_after_sigterm_and_cut_is_lost() -> None:
    (found,) = judge(record(attempt(), arrivals=(arrival(),)), TERMS)
    assert (found.rule, found.request, found.daemon) == ("LOST", "a", ROUTER)
    assert "4.000 s after SIGTERM" in found.text


def test_a_request_that_was_passed_on_at_once_and_cut_at_once_is_lost() -> None:
    early = attempt(ended=TERM_AT + 4.05)
    assert rules(record(early, arrivals=(arrival(ended=TERM_AT + 4.05),))) == ["LOST"]


def test_what_was_sent_in_time_may_be_cut_while_its_backend_is_at_work_at_the_end() -> None:
    sent = {"sent": TERM_AT + 3.0, "sent_completely": TERM_AT + 3.0, "turn": TERM_AT + 3.0}
    at_work = arrival(at=TERM_AT + 3.01)
    assert rules(record(attempt(**sent), arrivals=(at_work,))) == []
    later = {**sent, "sent_completely": TERM_AT + 3.001}
    assert rules(record(attempt(**later), arrivals=(at_work,))) == ["LOST"]
    not_at_work = arrival(at=TERM_AT + 3.01, ended=TERM_AT + 6.6)
    assert rules(record(attempt(**sent), arrivals=(not_at_work,))) == ["LOST"]
    before_the_last_part = attempt(**sent, ended=TERM_AT + 6.6)
    cut_early = arrival(at=TERM_AT + 3.01, ended=TERM_AT + 6.6)
    assert rules(record(before_the_last_part, arrivals=(cut_early,))) == ["LOST"]


def test_a_request_that_was_not_passed_on_is_lost_only_where_it_must_have_been_read() -> None:
    crossed = attempt(ended=TERM_AT + 3.999 + TERMS.loss_slack)
    assert rules(record(crossed)) == []
    held = attempt(ended=TERM_AT + 4.01 + TERMS.loss_slack)
    assert rules(record(held)) == ["LOST"]
    assert rules(record(held, clock_delay=0.02)) == []  # the witness's own times may be so late
    assert rules(record(attempt(blind_until=TERM_AT + 7.1))) == []  # it did not look


def test_what_stands_behind_another_request_is_read_when_that_one_is_answered() -> None:
    behind = attempt(number=2, turn=TERM_AT + 7.1)
    assert rules(record(behind)) == []
    assert rules(record(attempt(number=2, turn=TERM_AT + 6.0))) == ["LOST"]
    assert rules(record(attempt(number=2, turn=float("inf")))) == []
    assert rules(record(attempt(number=2, turn=float("inf")), arrivals=(arrival(),))) == ["LOST"]


def test_what_was_here_before_the_head_of_the_answer_before_it_has_to_be_answered() -> None:
    """Its client could not know yet that the connection will be closed."""
    here = TERM_AT + 4.01 + TERMS.loss_slack
    closed_at_once = {"number": 2, "turn": TERM_AT + 7.2}
    assert rules(record(attempt(**closed_at_once, head_before=here))) == ["LOST"]
    assert rules(record(attempt(**closed_at_once, head_before=here - 0.02))) == []
    assert rules(record(attempt(**closed_at_once, head_before=here), clock_delay=0.02)) == []
    assert rules(record(attempt(number=2, turn=float("inf"), head_before=here))) == []  # it was cut


@pytest.mark.parametrize(
    "fields",
    (
        {"deadline": TERM_AT + 7.2},
        {"end": AttemptEnd.LEFT},
        {"end": AttemptEnd.NOT_CONNECTED},
        {"end": AttemptEnd.WHOLE},
        {"sent_completely": float("inf")},
        {"router": "router-2"},
        {"ended": TERM_AT + TERMS.grace + TERMS.after_grace + 0.01, "deadline": 1e9},
    ),
)
def test_what_is_not_lost(fields: dict[str, object]) -> None:
    assert rules(record(attempt(**fields), arrivals=(arrival(),))) == []


def test_it_is_not_lost_where_the_backend_broke_off() -> None:
    assert rules(record(attempt(), arrivals=(arrival(end=RunEnd.BROKE_OFF),))) == []


def test_it_is_not_lost_beside_an_unplanned_trouble_of_the_process() -> None:
    for at, expected in ((TERM_AT + 1.0, []), (TERM_AT + 0.9, ["LOST"])):
        made = record(attempt(), arrivals=(arrival(),))
        made.processes.append(event(at, SignalKind.STOPPED))
        assert rules(made) == expected
    made = record(attempt(), arrivals=(arrival(),))
    made.processes.append(event(TERM_AT + 5.0, SignalKind.KILLED, daemon="router-2"))
    assert rules(made) == ["LOST"]


def test_the_first_sigterm_counts_and_only_that_of_this_life() -> None:
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


def test_the_budget_counts_all_arrivals_but_the_first() -> None:
    terms = Terms(retry=RetryRule(0.2, 1.0, 10.0))
    attempts = [
        attempt(id=f"r{number}", sent=60.0 + 0.1 * number, end=AttemptEnd.WHOLE, max_attempts=9)
        for number in range(10)
    ]
    firsts = [Arrival(each.id, "i-1", each.sent, each.sent, RunEnd.ANSWERED) for each in attempts]
    repeats = [Arrival(f"r{number}", "i-2", 61.5, 61.6, RunEnd.TURNED_AWAY) for number in range(4)]
    assert rules(record(*attempts, arrivals=(*firsts, *repeats[:3])), terms) == []
    assert rules(record(*attempts, arrivals=(*firsts, *repeats)), terms) == ["BUDGET"]
    attempts[9].end = AttemptEnd.NOT_CONNECTED
    assert rules(record(*attempts, arrivals=(*firsts, *repeats[:3])), terms) == ["BUDGET"]


def test_more_backends_than_the_route_allows() -> None:
    done = attempt(end=AttemptEnd.WHOLE)
    on = [arrival(backend=f"i-{number}", end=RunEnd.ANSWERED) for number in range(3)]
    assert rules(record(done, arrivals=tuple(on))) == ["ATTEMPTS"]
    on[1].end = RunEnd.TURNED_AWAY
    assert rules(record(done, arrivals=tuple(on))) == []
    assert rules(record(done, arrivals=(on[0], on[0], on[2]))) == []


# The rest


@pytest.mark.parametrize(
    ("field", "value", "rule"),
    (
        ("doubled", ["a"], "TWICE"),
        ("ran_after_refusal", ["a"], "REFUSED"),
        ("unasked", ["a"], "UNASKED"),
        ("altered", ["a"], "UNASKED"),
        ("unasked_bytes", 1, "MIXED"),
        ("orders_refused", [412], "CONFIG"),
        ("rivals_both_taken", 1, "CONFIG"),
        ("rivals_both_refused", 1, "CONFIG"),
        ("read_back", False, "CONFIG"),
        ("log_problems", {ROUTER: ["Traceback"]}, "LOG"),
        ("usage", [Usage(ROUTER, TERMS.memory_mb + 1, 10)], "LEVEL"),
        ("usage", [Usage(ROUTER, 10, TERMS.descriptors + 1)], "LEVEL"),
        ("usage", [Usage(ROUTER, 10, 10, TERMS.threads + 1)], "LEVEL"),
        ("open_at_end", {ROUTER: 1}, "LEVEL"),
    ),
)
def test_single_facts_break_a_rule(field: str, value: object, rule: str) -> None:
    assert rules(record(**{field: value})) == [rule]


def test_levels_at_their_bounds_are_in_order() -> None:
    level = Usage(ROUTER, TERMS.memory_mb, TERMS.descriptors, TERMS.threads)
    assert rules(record(usage=[level], open_at_end={ROUTER: 0})) == []


def test_a_wrong_answer_is_mixed() -> None:
    assert rules(record(attempt(end=AttemptEnd.WRONG))) == ["MIXED"]


@pytest.mark.parametrize(
    ("events", "broken"),
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
def test_ends_of_processes(events: list[tuple[float, SignalKind, int]], broken: bool) -> None:
    made = record(processes=[event(*each) for each in events])
    assert rules(made) == (["END"] if broken else [])


@pytest.mark.parametrize(
    ("listens", "code", "broken"),
    ((False, -15, False), (True, -15, True), (False, 1, True), (False, 0, False)),
)
def test_a_signal_may_end_a_process_that_does_not_listen_yet(listens: bool, code: int, broken: bool) -> None:
    """However soon after its start it comes."""
    told = ProcessEvent(50.2, ROUTER, SignalKind.TERM, listens=listens)
    events = [event(50.0, SignalKind.STARTED), told, event(50.3, SignalKind.ENDED, code)]
    assert rules(record(processes=events)) == (["END"] if broken else [])


def test_an_end_may_be_seen_late_by_a_witness_that_was_late_itself() -> None:
    events = [event(50.0, SignalKind.STARTED), event(60.0, SignalKind.TERM), event(68.4, SignalKind.ENDED)]
    assert rules(record(processes=events, clock_delay=0.5)) == []
    assert rules(record(processes=events, clock_delay=0.3)) == ["END"]
