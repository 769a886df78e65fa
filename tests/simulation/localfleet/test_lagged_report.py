"""`LaggedReport` returns old samples."""

from __future__ import annotations

from firvane.simulation.localfleet.lagged_report import LaggedReport


def test_the_report_lags() -> None:
    report = LaggedReport(0.2, {"active": 0})
    assert report.read(10.0) == {"active": 0}
    for step in range(10):
        report.add_sample(10.0 + step * 0.1, {"active": step})
    assert report.read(10.9) == {"active": 7}
    assert report.read(11.5) == {"active": 9}


def test_samples_in_quick_succession_are_dropped() -> None:
    report = LaggedReport(0.0, {})
    report.add_sample(10.0, {"active": 1})
    report.add_sample(10.01, {"active": 2})
    assert report.read(10.5) == {"active": 1}
