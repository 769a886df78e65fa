"""Speeds of model servers as learnt."""

from __future__ import annotations

import random

import pytest

from firvane.fleet.placement.throughput import RunningMedian, Speeds


def test_a_median_follows_its_samples_and_no_outlier() -> None:
    dice, median = random.Random(1), RunningMedian(1.0, 0.001, 1000.0)
    for _ in range(400):
        median.add(20.0 * dice.uniform(0.8, 1.25) if dice.random() < 0.9 else 0.0)
    assert median.value == pytest.approx(20.0, rel=0.15)


def test_speed_and_first_event_are_learnt_within_some_samples() -> None:
    speeds = Speeds()
    for _ in range(30):
        speeds.learn_first("a", 300, 0.0, 0.07 + 300 / 40_000)
        speeds.learn_first("a", 15_000, 0.0, 0.07 + 15_000 / 40_000)
    assert speeds.reading.value == pytest.approx(40_000, rel=0.15)
    assert speeds.first_event.value == pytest.approx(0.077, rel=0.15)
    assert speeds.expected(13_000) == pytest.approx(0.077 + 13_000 / 40_000, rel=0.15)


def test_what_stood_behind_other_work_teaches_nothing() -> None:
    speeds = Speeds()
    speeds.learn_first("a", 300, 0.5, 3.0)
    assert speeds.first_event.samples == 0


def test_a_slow_server_is_told_from_the_others() -> None:
    speeds = Speeds()
    for number in range(200):
        name = "slow" if number % 4 == 0 else f"other-{number % 4}"
        speeds.learn_first(name, 300, 0.0, 0.16 if name == "slow" else 0.08)
    assert speeds.factor("slow") > 1.4
    assert speeds.factor("other-1") == pytest.approx(1.0, abs=0.2)
    assert speeds.factor("unknown") == 1.0
    speeds.forget("slow")
    assert speeds.factor("slow") == 1.0


@pytest.mark.parametrize("took", [0.0, -1.0, 1e-12, 1e9])
def test_no_time_breaks_it(took: float) -> None:
    speeds = Speeds()
    for tokens in (0, 300, 1_000, 50_000):
        speeds.learn_first("a", tokens, 0.0, took)
    assert 0.0 < speeds.expected(10_000) < 1e3


def test_what_a_peer_has_learnt_from_more_is_adopted() -> None:
    speeds, peer = Speeds(), Speeds()
    for _ in range(20):
        peer.learn_first("a", 300, 0.0, 0.05)
        peer.learn_first("a", 15_000, 0.0, 0.35)
    speeds.adopt(peer.reading.value, peer.first_event.value, peer.samples)
    assert speeds.expected(10_000) == pytest.approx(peer.expected(10_000))
    before = peer.expected(10_000)
    peer.adopt(1.0, 1.0, 3)
    peer.adopt(0.0, 0.0, 60_000)
    assert peer.expected(10_000) == before
