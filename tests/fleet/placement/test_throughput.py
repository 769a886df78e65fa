"""Estimates of the throughput of model servers."""

from __future__ import annotations

import random

import pytest

from firvane.fleet.placement.throughput import RunningMedian, ThroughputEstimates


def test_a_median_follows_its_samples_except_outliers() -> None:
    rng, median = random.Random(1), RunningMedian(1.0, 0.001, 1000.0)
    for _ in range(400):
        median.add(20.0 * rng.uniform(0.8, 1.25) if rng.random() < 0.9 else 0.0)
    assert median.value == pytest.approx(20.0, rel=0.15)


def test_prefill_rate_and_first_event_are_estimated_within_some_samples() -> None:
    throughput = ThroughputEstimates()
    for _ in range(30):
        throughput.record_first_event("a", 300, 0.0, 0.07 + 300 / 40_000)
        throughput.record_first_event("a", 15_000, 0.0, 0.07 + 15_000 / 40_000)
    assert throughput.prefill_rate.value == pytest.approx(40_000, rel=0.15)
    assert throughput.first_event.value == pytest.approx(0.077, rel=0.15)
    assert throughput.expected(13_000) == pytest.approx(0.077 + 13_000 / 40_000, rel=0.15)


def test_samples_with_a_backlog_are_ignored() -> None:
    throughput = ThroughputEstimates()
    throughput.record_first_event("a", 300, 0.5, 3.0)
    assert throughput.first_event.samples == 0


def test_a_slow_server_is_distinguished_from_the_others() -> None:
    throughput = ThroughputEstimates()
    for number in range(200):
        name = "slow" if number % 4 == 0 else f"other-{number % 4}"
        throughput.record_first_event(name, 300, 0.0, 0.16 if name == "slow" else 0.08)
    assert throughput.slowdown("slow") > 1.4
    assert throughput.slowdown("other-1") == pytest.approx(1.0, abs=0.2)
    assert throughput.slowdown("unknown") == 1.0
    throughput.forget("slow")
    assert throughput.slowdown("slow") == 1.0


@pytest.mark.parametrize("duration", [0.0, -1.0, 1e-12, 1e9])
def test_any_duration_keeps_the_estimates_in_bounds(duration: float) -> None:
    throughput = ThroughputEstimates()
    for tokens in (0, 300, 1_000, 50_000):
        throughput.record_first_event("a", tokens, 0.0, duration)
    assert 0.0 < throughput.expected(10_000) < 1e3


def test_a_peers_estimates_from_more_samples_are_adopted() -> None:
    throughput, peer = ThroughputEstimates(), ThroughputEstimates()
    for _ in range(20):
        peer.record_first_event("a", 300, 0.0, 0.05)
        peer.record_first_event("a", 15_000, 0.0, 0.35)
    throughput.adopt(peer.prefill_rate.value, peer.first_event.value, peer.samples)
    assert throughput.expected(10_000) == pytest.approx(peer.expected(10_000))
    before = peer.expected(10_000)
    peer.adopt(1.0, 1.0, 3)
    peer.adopt(0.0, 0.0, 60_000)
    assert peer.expected(10_000) == before
