"""Tests of the comparison of runs, on series with a known difference."""

from __future__ import annotations

from random import Random

import pytest

from firvane.simulation.emulation.compare import Difference, differences, interval, student
from firvane.simulation.emulation.metrics import ServiceResult
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.service import Service


def run(series: list[float]) -> ServiceResult:
    result = Service(Scenario(name="some")).result()
    result.over_time.service = list(series)
    return result


def told(first: list[float], second: list[float], paired: bool = True) -> Difference:
    return differences(run(first), run(second), 3.0, paired)[0]


def noisy(seed: int, mean: float, scatter: float = 0.02, seconds: int = 60) -> list[float]:
    draw = Random(seed)
    return [draw.gauss(mean, scatter) for _ in range(seconds)]


def test_a_real_difference_is_significant_and_variance_alone_is_not() -> None:
    found = told(noisy(1, 0.90), noisy(2, 0.94))
    assert found.apart and found.verdict == "more" and 0.0 < found.low < found.change
    wrong = sum(told(noisy(n, 0.90), noisy(-n, 0.90)).apart is True for n in range(1, 61))
    assert wrong <= 6  # by chance, three of sixty
    assert told(noisy(1, 0.94), noisy(2, 0.90), paired=False).verdict == "less"


def test_what_both_went_through_cancels_out_in_pairs_only() -> None:
    trouble = [0.0] * 20 + [0.6] * 20 + [0.0] * 20
    first = [value - hit for value, hit in zip(noisy(1, 0.95), trouble, strict=True)]
    second = [value - hit for value, hit in zip(noisy(2, 0.98), trouble, strict=True)]
    assert told(first, second).apart and not told(first, second, paired=False).apart


def test_the_interval_covers_the_truth_about_as_often_as_it_says() -> None:
    covered = 0
    for seed in range(300):
        mean, half = interval(noisy(seed, 0.0, 1.0, seconds=11))
        covered += abs(mean) <= half
    assert 0.92 <= covered / 300 <= 0.99


def test_short_runs_and_like_runs_are_not_told_apart() -> None:
    short = told(noisy(1, 0.5, seconds=20), noisy(2, 0.9, seconds=20))
    assert short.apart is None and short.verdict == "too short to tell"
    warming = [0.2] * 3 + noisy(1, 0.9)[3:]
    assert told(warming, noisy(1, 0.9)).change == 0.0
    same = told(noisy(1, 0.9), noisy(1, 0.9))
    assert same.apart is False and (same.low, same.high) == (0.0, 0.0)


def test_students_points_are_those_of_the_tables() -> None:
    for freedom, point in ((2, 4.303), (3, 3.182), (5, 2.571), (10, 2.228), (30, 2.042)):
        assert student(freedom) == pytest.approx(point, rel=0.04)
