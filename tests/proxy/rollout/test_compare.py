"""The comparison: false alarms are rare, harm is detected, and too little data gives no verdict."""

from __future__ import annotations

import dataclasses
from itertools import islice
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.proxy.rollout import comparison
from firvane.proxy.rollout.comparison import Comparison, half_width
from firvane.proxy.rollout.comparison_types import Finding, Side, Verdict, bucket_start_s, latency_bucket
from firvane.proxy.rollout.plan import ComparisonSettings
from tests.proxy.rollout.helpers import traffic

HARMS = [
    ("refused", 0.05, "refused"),
    ("failed", 0.06, "failed"),
    ("slow", 0.5, "slow"),
    ("attempts", 0.5, "attempts"),
    ("cpu", 0.6, "cpu"),
    ("memory", 1.0, "memory"),
    ("tenant:3", 0.9, "refused"),
]


def evaluate(
    intervals: Any, max_intervals: int, comparison_type: type[Comparison] = Comparison, **given: Any
) -> tuple[int, Finding]:
    """Evaluate after each interval until the verdict is WORSE; return the interval count and the finding."""
    comparison = comparison_type(ComparisonSettings(), 0.05, **{"soak_s": 120.0, "baseline": 0.96, **given})
    finding = comparison.verdict()
    for n, interval in enumerate(islice(intervals, max_intervals), 1):
        comparison.add(interval)
        finding = comparison.verdict()
        if finding.verdict is Verdict.WORSE or (finding.verdict is Verdict.FINE and n >= max_intervals):
            return n, finding
    return max_intervals, finding


@pytest.mark.parametrize("count", [10, 60, 1000])
def test_the_width_is_smallest_near_the_planned_count_and_falls_with_observations(count: int) -> None:
    widths = [half_width(count, 0.01, planned) for planned in (count // 8 + 1, count, count * 8)]
    assert widths[1] < widths[0] and widths[1] < widths[2]
    assert half_width(4 * count, 0.01, count) < half_width(count, 0.01, count)
    assert half_width(count, 0.001, count) > half_width(count, 0.01, count)


def false_alarms(comparison_type: type[Comparison], runs: int = 40) -> int:
    """Count runs with a WORSE verdict in 80 intervals although the difference only equals the threshold."""
    ends = (
        evaluate(traffic(seed, "refused", 0.02, proxies=3), 80, comparison_type)[1] for seed in range(runs)
    )
    return sum(end.verdict is Verdict.WORSE for end in ends)


class EvaluatesAsIfOnce(Comparison):
    """Uses the bounds of a single evaluation, with all of alpha for each metric."""

    def verdict(self) -> Finding:
        tracks = [track for track in self._tracks.values() if track.count >= 2]
        if any(t.mean - 1.65 * (t.squares / t.count**2) ** 0.5 > t.threshold for t in tracks):
            return Finding(Verdict.WORSE, "by a single evaluation")
        return super().verdict()


def test_false_alarms_are_rarer_than_alpha_at_a_difference_equal_to_the_threshold() -> None:
    assert false_alarms(Comparison) <= 1  # of 40, 2 by alpha
    assert false_alarms(EvaluatesAsIfOnce) > 4


@settings(max_examples=8, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), herd=st.booleans())
def test_equal_sides_are_fine_after_the_soak_time(seed: int, herd: bool) -> None:
    intervals, finding = evaluate(traffic(seed, herd=herd), 150)
    assert intervals == 150 and finding.verdict is Verdict.FINE, finding


@pytest.mark.parametrize("harm,size,metric", HARMS)
def test_harm_is_detected_with_its_metric(harm: str, size: float, metric: str) -> None:
    for seed in range(3):
        intervals, finding = evaluate(traffic(seed, harm, size), 150)
        assert (finding.verdict, finding.metric) == (Verdict.WORSE, metric), finding
        assert intervals <= 120 and finding.new > finding.old and finding.bound > finding.threshold
        assert finding.key == (harm if ":" in harm else finding.key)


def test_young_processes_are_left_out_and_too_few_requests_give_no_verdict() -> None:
    def young() -> Any:
        for interval in traffic(1, "refused", 0.5):
            yield [dataclasses.replace(b, uptime_s=5.0) if b.side is Side.NEW else b for b in interval]

    assert evaluate(young(), 100)[1].verdict is Verdict.CANNOT_TELL
    assert evaluate(traffic(1, rate=0.4), 100)[1].verdict is Verdict.CANNOT_TELL


def test_the_comparison_is_suspended_while_the_old_side_is_below_the_baseline() -> None:
    _, finding = evaluate(traffic(1), 100, baseline=1.2)
    assert finding.verdict is Verdict.CANNOT_TELL and "the comparison is suspended" in finding.reason
    # Harm is not reported meanwhile either: the cause may affect both sides.
    assert evaluate(traffic(1, "refused", 0.3), 100, baseline=1.2)[1].verdict is Verdict.CANNOT_TELL


@pytest.mark.parametrize("covers_all,verdict", [(True, Verdict.FINE), (False, Verdict.CANNOT_TELL)])
def test_without_an_old_side_the_fleet_is_compared_with_the_baseline(
    covers_all: bool, verdict: Verdict
) -> None:
    def all_new() -> Any:
        for interval in traffic(1):
            yield [b for b in interval if b.side is Side.NEW]

    assert evaluate(all_new(), 80, covers_all=covers_all)[1].verdict is verdict
    assert evaluate(all_new(), 80, covers_all=covers_all, baseline=1.2)[1].verdict is Verdict.CANNOT_TELL


class IgnoresZones(Comparison):
    """Compares all new proxies with all old ones, regardless of zones."""

    def add(self, interval: Any) -> None:
        super().add([dataclasses.replace(block, zone="") for block in interval])


def weak_zone(seed: int) -> Any:
    """Yield intervals in which the new proxy's zone refuses many requests, on both sides."""
    for interval in traffic(seed):
        changed_blocks = []
        for block in interval:
            counts = {
                key: dataclasses.replace(c, refused=c.refused + c.in_time // 8, in_time=c.in_time * 7 // 8)
                for key, c in block.counts.items()
            }
            changed_blocks.append(dataclasses.replace(block, counts=counts) if block.zone == "z0" else block)
        yield changed_blocks


def test_a_zone_that_is_worse_on_both_sides_is_not_attributed_to_the_new_version() -> None:
    assert evaluate(weak_zone(1), 100)[1].verdict is not Verdict.WORSE
    assert evaluate(weak_zone(1), 100, IgnoresZones)[1].verdict is Verdict.WORSE


@given(latency=st.floats(1e-6, 1e3))
def test_a_latency_is_within_the_limits_of_its_bucket(latency: float) -> None:
    number = latency_bucket(latency)
    assert bucket_start_s(number) * (1 - 1e-6) <= latency < bucket_start_s(number + 1) * (1 + 1e-6)


def test_autocorrelation_widens_the_bounds() -> None:
    """Ten equal consecutive values count nearly as one observation: autocorrelation widens the bounds."""
    half_widths = []
    for repeat in (1, 10):
        track = comparison._MetricTrack(0.02, 60)
        for n in range(200):
            value = 0.01 * (-1) ** (n // repeat * 7 % 3)
            track.add(0.0, value, value, 0.0)
        half_widths.append(track.half_width(0.05))
    assert half_widths[1] > 1.5 * half_widths[0]
