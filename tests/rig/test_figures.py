"""What the rig makes of what it has seen: marks, shares, and the limits that it sets."""

import json
from pathlib import Path
from typing import Any

import pytest

from benchmarks.rig import calm, curve, table
from benchmarks.rig.proxy import LAG, WEIGHT_STEP, Limits, settings
from benchmarks.rig.soak import Soak
from benchmarks.rig.watch import Watch
from firvane.proxy.settings import parse_settings


def row(**more: Any) -> dict[str, Any]:
    part = {"p50": 6.4, "p99": 9.6, "max": 12.0, "share": 0.9996}
    plain = {
        "greed": "pipe5",
        "root": "abc1234",
        "limits": {"memory_mb": 192, "cores": 1.0},
        "peak_mb": 745.2,
        "own_mb": 731.0,
        "calm": part,
        "greedy": {**part, "p99": 611.0, "share": 0.815},
        "up_ms": 522.1,
        "lag_ms": None,
        "descriptors": 210,
        "owed": 194,
        "ended_s": 5.0,
        "status": None,
        "crashed": False,
        "killed": False,
        "kept_off": 0.0,
    }
    return {**plain, **more}


def test_the_table_marks_what_is_over_a_limit_or_did_not_end() -> None:
    told = table.greeds([row(), row(peak_mb=26.0, status=0), row(crashed=True, kept_off=0.3)])
    first, second, third, note = told.splitlines()[2:]
    assert (
        "745 (731) OVER" in first
        and "not in time" in first
        and "9.6 > 611" in first
        and "99.9% > 81.5%" in first
    )
    assert "OVER" not in second and "5.0" in second
    assert "crashed" in third and "30.0%" in note
    assert len({len(line) for line in (first, second, third)}) == 1


@pytest.mark.parametrize(
    "line",
    [
        "INFO firvane: clients 3, open 1, lag 12 ms; served 4",
        "figures clients=3 lag_ms=12 open=1",
        '"lag_ms": 12,',
    ],
)
def test_lag_is_read_from_the_sentence_and_from_fields(line: str) -> None:
    match = LAG.search(line)
    assert match and float(match[1] or match[2]) == 12


@pytest.mark.parametrize("cores", [0.1, 0.25, 0.3, 0.5, 0.75, 0.9])
def test_the_nices_come_closest_to_the_part_of_a_core(cores: float) -> None:
    nices = Limits(cores=cores).nices()
    assert nices
    own, other = (WEIGHT_STEP**-nice for nice in nices)
    assert abs(own / (own + other) - cores) < 0.03
    assert Limits(cores=1.0).nices() is None


def test_the_settings_are_those_that_the_program_takes() -> None:
    read = parse_settings(json.loads(json.dumps(settings(500, 2000))))
    assert [(cls.name, cls.latency_target, cls.deadline) for cls in read.classes] == [
        ("read", 0.5, 2.0),
        ("pay", 0.5, 2.0),
    ]


def test_a_run_that_others_have_spoilt_says_how() -> None:
    assert not table.disturbed(row(rig_late_p99_ms=1.0, rig_stalled_ms=4.0))
    told = table.disturbed(row(kept_off=0.3, rig_late_p99_ms=60.0, rig_stalled_ms=450.0))
    assert "30.0%" in told and "60.0 ms late" in told and "450 ms" in told
    # With a part of a core the proxy is meant to be kept off.
    assert not table.disturbed(row(kept_off=0.7, limits={"memory_mb": 192, "cores": 0.3}))
    watch = Watch(0, 0, 100.0)
    watch.memory = [(1.02, 20.0, 10.0), (1.04, 20.0, 10.0), (1.54, 20.0, 10.0)]
    assert watch.stalled_ms(1.0, 2.0) == pytest.approx(480.0)


def test_a_calm_day_goes_by_the_runs_that_were_calm() -> None:
    run = {
        "root": "a",
        "boxes": 8,
        "rate": 800.0,
        "kept_off": 0.0,
        "p50_ms": 6.0,
        "p99_ms": 9.0,
        "rss_mb": 26.0,
    }
    shares = ((2400.0, 1.0), (2500.0, 1.0), (19_000.0, 0.4))
    (told,) = calm.medians({**run, "per_core": each, "share": share} for each, share in shares)
    assert (told["per_core"], told["most"], told["runs"], told["of"]) == (2450.0, 2500.0, 2, 3)


def test_a_wait_that_has_no_end_counts_up_to_where_one_looked() -> None:
    watch = Watch(0, 0, 100.0)
    watch.ups = [(1.0, 5.0), (1.5, 40.0), (1.9, float("inf")), (2.5, 900.0)]
    assert watch.worst_up(1.0, 2.0) == pytest.approx(100.0)
    assert watch.worst_up(1.0, 1.8) == pytest.approx(40.0)


def test_flatness_is_the_last_seconds_against_the_first() -> None:
    assert curve.flatness([100] * 60) == 1.0
    assert curve.flatness([100] * 10 + [0] * 40 + [50] * 10) == 0.5
    assert curve.flatness([90, 5, 30]) == pytest.approx(1 / 3)


def test_a_generator_that_was_late_or_busy_says_so() -> None:
    def result(late: float, cpu: float) -> dict[str, Any]:
        return {"cpu": cpu, "phases": {"step": {"late_p99_ms": late}}}

    assert not curve.short_of_cpu([result(1.0, 0.2), result(2.0, 0.5)], "step")
    assert "90%" in curve.short_of_cpu([result(1.0, 0.9), result(1.0, 0.2)], "step")
    assert "50.0 ms" in curve.short_of_cpu([result(1.0, 0.2), result(50.0, 0.2)], "step")


def test_quarters_tell_what_stands_and_the_most() -> None:
    soak = Soak(seen=[(float(i), 20.0 + (i >= 60) * 5 + (i == 10) * 30, 40 + i) for i in range(81)])
    quarters = soak.quarters()
    assert [quarter["mb"] for quarter in quarters] == [20.0, 20.0, 20.0, 25.0]
    assert quarters[0]["most_mb"] == 50.0 and quarters[3]["most_descriptors"] == 120


def test_a_plot_needs_no_screen(tmp_path: Path) -> None:
    pytest.importorskip("matplotlib")
    step = {"root": "a", "setting": {"heed": True}, "times": 2.0, "goodput": 900.0, "by_second": [1, 2]}
    curve.plot([step], tmp_path / "curve.png")
    assert (tmp_path / "curve.png").stat().st_size > 1000
