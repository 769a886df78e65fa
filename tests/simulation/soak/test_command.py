"""The command's options, its summary line and the trace of a violation."""

from __future__ import annotations

from pathlib import Path

import pytest

from firvane.simulation.soak.command import BAD_USAGE, Outcome, soak, summary
from firvane.simulation.soak.event_trace import format_trace
from firvane.simulation.soak.judge import Violation
from firvane.simulation.soak.plan import SIZES, draw_plan
from firvane.simulation.soak.player import Played
from firvane.simulation.soak.records import (
    Arrival,
    AttemptEnd,
    AttemptRecord,
    ProcessEvent,
    Record,
    RunEnd,
    SignalKind,
)


def test_bad_usage_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    invalid_plan = tmp_path / "plan.json"
    invalid_plan.write_text("{}")
    assert soak(size="vast") == BAD_USAGE
    assert soak(seeds=0) == BAD_USAGE
    assert soak(replay=invalid_plan) == BAD_USAGE
    assert soak(replay=tmp_path / "none.json") == BAD_USAGE
    stderr = capsys.readouterr().err
    assert "vast" in stderr and "not a plan" in stderr and "none.json" in stderr


def make_played() -> Played:
    record = Record()
    attempt = AttemptRecord("00a1", "short", True, 2, router="router-1", number=1)
    attempt.connected, attempt.sent, attempt.sent_completely = 103.0, 104.0, 104.5
    attempt.ended, attempt.end, attempt.status = 107.2, AttemptEnd.BROKEN, 200
    record.attempts["00a1"] = attempt
    record.arrivals = [
        Arrival("00a1", "i-1", 104.6, 107.1, RunEnd.CANCELLED),
        Arrival("00b2", "i-2", 104.7, 104.8, RunEnd.ANSWERED),
    ]
    record.processes = [
        ProcessEvent(80.0, "router-1", SignalKind.HUP),
        ProcessEvent(100.0, "router-1", SignalKind.TERM),
        ProcessEvent(107.3, "router-1", SignalKind.ENDED, 0),
        ProcessEvent(101.0, "router-2", SignalKind.TERM),
    ]
    log = (
        "event=drain_response_truncated request=00a1 x\n"
        "event=router_stopped open_requests=0\nrequest=00b2 y\nother\n"
    )
    return Played(record, {"router-1": log}, 100.0)


def test_a_trace_has_the_events_of_its_request_and_daemon_sorted_by_time() -> None:
    lines = format_trace(Violation("LOST", 107.2, "why", "00a1", "router-1"), make_played()).splitlines()
    assert lines[0] == "LOST at 7.200 s: why"
    event_lines = [line.split(" s  ") for line in lines[1:] if " s  " in line]
    assert [float(at) for at, _ in event_lines] == sorted(float(at) for at, _ in event_lines)
    texts = [text for _, text in event_lines]
    assert texts[0] == "router-1: SIGTERM" and texts[-1] == "router-1: ended"
    assert "reaches i-1" in texts and not any("i-2" in text or "SIGHUP" in text for text in texts)
    log = [line.strip() for line in lines if line.startswith("    ")]
    assert log == ["event=drain_response_truncated request=00a1 x", "event=router_stopped open_requests=0"]


def test_the_summary_counts_violations_and_outcomes() -> None:
    played = make_played()
    violations = [Violation("LOST", 1.0, ""), Violation("LOST", 2.0, ""), Violation("END", 3.0, "")]
    line = summary(draw_plan(4, SIZES["small"]), Outcome(played, violations))
    assert line.startswith("seed 4: broken END:1 LOST:2; 1 requests (whole=0 ")
    assert "broken=1" in line and "2 arrivals" in line
    assert "broken none" in summary(draw_plan(4, SIZES["small"]), Outcome(played, []))
