"""The account of a played day adds up, and compares two days."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from tools.day_report import (
    describe,
    group_losses,
    part_losses,
    price_losses,
    troubles_near,
    worst_windows,
)


def group(name: str, asked: int, worth: float, **counts: int) -> dict[str, Any]:
    found = {"late": 0, "refused": 0, "failed": 0, "not_owed": 0, **counts}
    return {"name": name, "n": asked, "worth": worth, "p50_ms": 90.0, "p99_ms": 400.0, **found}


REPORT: dict[str, Any] = {
    "G": 0.9,
    "breaks": {},
    "parts": [["whole day", 0.6, 0.95], ["worst windows", 0.4, 0.8]],
    "prices": [["bytes", 3.0, 0.01], ["calls", 4.0, 0.0001], ["machines", 5.0, 0.02]],
    "classes": [group("long", 100, 0.9, late=10), group("short", 310, 1.0, not_owed=10)],
    "zones": [group("a", 410, 0.97)],
    "windows": [group("0", 100, 1.0), group("2", 100, 0.5, failed=50), group("4", 100, 0.9)],
    "events": [
        {"at_s": 1.5, "to_s": 2.5, "kind": "crash", "what": "one server"},
        {"at_s": 8.0, "to_s": 9.0, "kind": "burst", "what": ""},
    ],
    "unserved_by": [["502", 3, ["0.1 s sent", "0.2 s answered"]]],
}


def test_each_part_loses_by_its_weight() -> None:
    assert [loss.lost for loss in part_losses(REPORT)] == pytest.approx([0.03, 0.08])


def test_prices_come_highest_first_and_without_small_ones() -> None:
    assert [loss.name for loss in price_losses(REPORT)] == ["machines", "bytes"]


def test_what_is_not_owed_is_not_lost() -> None:
    assert [loss.lost for loss in group_losses(REPORT["classes"])] == pytest.approx([0.025, 0.0])


def test_the_worst_seconds_are_told_with_what_happened() -> None:
    worst, troubles = worst_windows(REPORT)[0]
    assert worst.name == "2" and troubles == ["crash one server"]
    assert troubles_near(REPORT, 4.0, 2.0) == []
    assert troubles_near(REPORT, 8.0, 2.0) == ["burst"]


def test_a_comparison_tells_differences() -> None:
    other = copy.deepcopy(REPORT)
    other["G"] = 0.85
    other["prices"][0][2] = 0.015
    lines = list(describe(REPORT, other))
    assert lines[0] == "worth less prices 0.9000 (+0.0500)"
    assert any("bytes" in line and "-0.0050" in line for line in lines)
    assert any(line.strip() == "0.1 s sent" for line in lines)


def test_broken_rules_are_named() -> None:
    broken = {**REPORT, "breaks": {"QUOTA": 1}}
    assert "rules broken: QUOTA 1" in list(describe(broken))
