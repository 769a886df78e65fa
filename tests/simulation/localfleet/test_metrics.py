"""Outcomes, metrics and faults of a run."""

from __future__ import annotations

import dataclasses
import json

from firvane.simulation.localfleet.config_operator import OperatorRecord
from firvane.simulation.localfleet.daemons import parse_usage, problems_in_log
from firvane.simulation.localfleet.metrics import (
    DaemonMetrics,
    RouterKill,
    RunMetrics,
    class_metrics,
    percentiles,
)
from firvane.simulation.localfleet.outcomes import Outcome, RequestRecord
from firvane.simulation.localfleet.profiles import LONG_PROMPTS, SHORT_PROMPTS
from firvane.simulation.localfleet.report_text import render
from firvane.simulation.localfleet.retries import AttemptEnd, AttemptResult

ROUTER = ("127.0.0.101", 80)


def record(
    end: AttemptEnd, status: int = 200, first: float | None = 0.1, pause: float = 0.01, began: float = 10.0
) -> RequestRecord:
    """A request with one attempt, sent at its intended time; `first` is the time to its first event."""
    made = RequestRecord(LONG_PROMPTS, began)
    made.begin_attempt(ROUTER, began)
    made.end(AttemptResult(end, status), began + 1, None if first is None else began + first, pause)
    return made


SERVED = record(AttemptEnd.SERVED)


def test_outcomes() -> None:
    assert SERVED.outcome is Outcome.IN_TIME
    assert record(AttemptEnd.SERVED, first=LONG_PROMPTS.latency_target + 0.01).outcome is Outcome.LATE
    assert record(AttemptEnd.SERVED, pause=LONG_PROMPTS.gap_target + 0.01).outcome is Outcome.LATE
    assert record(AttemptEnd.ANSWERED, 503, None).outcome is Outcome.REFUSED
    assert record(AttemptEnd.ANSWERED, 502, None).outcome is Outcome.FAILED
    assert record(AttemptEnd.BROKEN).outcome is Outcome.FAILED


def test_latency_counts_from_the_intended_time_of_sending() -> None:
    made = RequestRecord(SHORT_PROMPTS, 10.0)
    made.begin_attempt(ROUTER, 12.0)
    made.end(AttemptResult(AttemptEnd.SERVED, 200), 12.5, 12.1, 0.0)
    assert made.first_event is not None and abs(made.first_event - 2.1) < 1e-9
    assert made.outcome is Outcome.LATE


def test_percentiles() -> None:
    found = percentiles(number / 1000 for number in range(1, 101))
    assert (found.p50, found.p95, found.p99, found.longest) == (50, 95, 99, 100)
    assert percentiles([]).p99 == 0


def test_class_metrics_count_requests_broken_by_a_kill() -> None:
    records = [
        SERVED,
        record(AttemptEnd.BROKEN),
        record(AttemptEnd.BROKEN, began=30.0),
        record(AttemptEnd.WRONG),
    ]
    metrics = class_metrics("all", records, [RouterKill(ROUTER, 10.5)])
    assert (metrics.asked, metrics.in_time, metrics.failed) == (4, 1, 3)
    assert (metrics.cut_by_kills, metrics.wrong) == (2, 1)
    assert not metrics.all_served


def run_figures(**changes: object) -> RunMetrics:
    total = class_metrics("all", [SERVED], [])
    daemon = DaemonMetrics("router-1", 1, [], 30.0, 0.5, [])
    good = RunMetrics(
        ready_s=1.0,
        classes=[total],
        total=total,
        doubled=0,
        ran_after_refusal=0,
        unasked=0,
        altered=0,
        repeated=0,
        resumed=2,
        unasked_bytes=0,
        prompt_tokens_read=1,
        prompt_tokens_read_again=0,
        rejected_by_servers=0,
        cancelled_at_servers=0,
        server_connections=1,
        list_calls=1,
        list_calls_refused=0,
        operator=OperatorRecord(orders=1, acknowledged=1, read_back=True),
        daemons=[daemon],
        stand_in_delay_ms=1.0,
    )
    return dataclasses.replace(good, **changes)  # type: ignore[arg-type]


def test_a_run_without_faults_and_each_kind_of_fault() -> None:
    assert run_figures().good
    crashed = DaemonMetrics("router-1", 2, [1], 30.0, 0.5, ["Traceback"])
    bad: list[dict[str, object]] = [
        {"total": class_metrics("all", [record(AttemptEnd.BROKEN)], [])},
        {"doubled": 1},
        {"ran_after_refusal": 1},
        {"unasked": 1},
        {"altered": 1},
        {"unasked_bytes": 1},
        {"operator": OperatorRecord(orders=2, acknowledged=1, refused=[412], read_back=True)},
        {"operator": OperatorRecord(orders=1, acknowledged=1)},
        {"daemons": [crashed]},
    ]
    for changes in bad:
        metrics = run_figures(**changes)
        assert len(metrics.faults()) == 1, changes
        assert metrics.faults()[0] in render(metrics)
        assert json.loads(metrics.as_json())["good"] is False


def test_a_report_names_daemons_and_the_problems_in_their_logs() -> None:
    daemon = DaemonMetrics("router-1", 2, [1], 33.3, 0.51, ["Traceback (most recent call last):"])
    text = render(run_figures(daemons=[daemon]))
    assert "router-1: Traceback" in text
    assert "33.3" in text


def test_usage_is_parsed_from_proc_files() -> None:
    status = "Name:\tpython\nVmPeak:\t  99999 kB\nVmHWM:\t   36864 kB\n"
    stat = "12 (a (b) c) S " + " ".join(["0"] * 10) + " 150 50 0 0"
    usage = parse_usage(status, stat)
    assert usage.peak_mb == 36.0
    assert usage.processor_s > 0


def test_errors_in_a_log_are_found() -> None:
    good = "timestamp=1 level=info program=router event=x"
    bad = "timestamp=1 level=error program=router event=x"
    assert problems_in_log(f"{good}\n{bad}\nTraceback\n") == [bad, "Traceback"]
