"""The comparison: equal sides are seldom called worse, harms are found, what is not known waits."""

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


def look(moments: Any, most: int, make: type[Comparison] = Comparison, **given: Any) -> tuple[int, Finding]:
    """Looks after each moment until something is told; how many moments that took."""
    comparison = make(ComparisonSettings(), 0.05, **{"soak_s": 120.0, "baseline": 0.96, **given})
    finding = comparison.verdict()
    for n, moment in enumerate(islice(moments, most), 1):
        comparison.add(moment)
        finding = comparison.verdict()
        if finding.verdict is Verdict.WORSE or (finding.verdict is Verdict.FINE and n >= most):
            return n, finding
    return most, finding


@pytest.mark.parametrize("count", [10, 60, 1000])
def test_the_width_is_least_near_what_is_planned_and_falls_with_observations(count: int) -> None:
    widths = [half_width(count, 0.01, planned) for planned in (count // 8 + 1, count, count * 8)]
    assert widths[1] < widths[0] and widths[1] < widths[2]
    assert half_width(4 * count, 0.01, count) < half_width(count, 0.01, count)
    assert half_width(count, 0.001, count) > half_width(count, 0.01, count)


def false_alarms(make: type[Comparison], runs: int = 40) -> int:
    """Of runs with a difference as large as only just does not count, looked at after each of 80 moments."""
    ends = (look(traffic(seed, "refused", 0.02, proxies=3), 80, make)[1] for seed in range(runs))
    return sum(end.verdict is Verdict.WORSE for end in ends)


class LooksAsIfOnce(Comparison):
    """The bounds of a single look, all of alpha for each metric."""

    def verdict(self) -> Finding:
        tracks = [track for track in self._tracks.values() if track.count >= 2]
        if any(t.mean - 1.65 * (t.squares / t.count**2) ** 0.5 > t.threshold for t in tracks):
            return Finding(Verdict.WORSE, "by one look")
        return super().verdict()


def test_false_alarms_are_rarer_than_alpha_where_the_sides_differ_by_what_does_not_count() -> None:
    assert false_alarms(Comparison) <= 1  # of 40, 2 by alpha
    assert false_alarms(LooksAsIfOnce) > 4


@settings(max_examples=8, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), herd=st.booleans())
def test_equal_sides_are_not_worse_and_fine_in_the_end(seed: int, herd: bool) -> None:
    moments, finding = look(traffic(seed, herd=herd), 150)
    assert moments == 150 and finding.verdict is Verdict.FINE, finding


@pytest.mark.parametrize("harm,size,metric", HARMS)
def test_harm_is_found_and_named(harm: str, size: float, metric: str) -> None:
    for seed in range(3):
        moments, finding = look(traffic(seed, harm, size), 150)
        assert (finding.verdict, finding.metric) == (Verdict.WORSE, metric), finding
        assert moments <= 120 and finding.new > finding.old and finding.bound > finding.threshold
        assert finding.key == (harm if ":" in harm else finding.key)


def test_young_processes_are_left_out_and_too_few_requests_tell_nothing() -> None:
    def young() -> Any:
        for moment in traffic(1, "refused", 0.5):
            yield [dataclasses.replace(b, uptime_s=5.0) if b.side is Side.NEW else b for b in moment]

    assert look(young(), 100)[1].verdict is Verdict.CANNOT_TELL
    assert look(traffic(1, rate=0.4), 100)[1].verdict is Verdict.CANNOT_TELL


def test_a_fleet_struck_since_before_the_roll_is_not_judged() -> None:
    _, finding = look(traffic(1), 100, baseline=1.2)
    assert finding.verdict is Verdict.CANNOT_TELL and "the comparison is suspended" in finding.reason
    # Harm is not judged meanwhile either: a new version may be blamed for what strikes all.
    assert look(traffic(1, "refused", 0.3), 100, baseline=1.2)[1].verdict is Verdict.CANNOT_TELL


@pytest.mark.parametrize("alone,verdict", [(True, Verdict.FINE), (False, Verdict.CANNOT_TELL)])
def test_where_no_old_side_is_left_the_fleet_is_held_against_before(alone: bool, verdict: Verdict) -> None:
    def all_new() -> Any:
        for moment in traffic(1):
            yield [b for b in moment if b.side is Side.NEW]

    assert look(all_new(), 80, covers_all=alone)[1].verdict is verdict
    assert look(all_new(), 80, covers_all=alone, baseline=1.2)[1].verdict is Verdict.CANNOT_TELL


class AcrossZones(Comparison):
    """Sets all new against all old, whatever the zone."""

    def add(self, moment: Any) -> None:
        super().add([dataclasses.replace(block, zone="") for block in moment])


def weak_zone(seed: int) -> Any:
    """A zone that refuses much on both sides: the new proxy's."""
    for moment in traffic(seed):
        out = []
        for block in moment:
            worse = {
                key: dataclasses.replace(c, refused=c.refused + c.in_time // 8, in_time=c.in_time * 7 // 8)
                for key, c in block.counts.items()
            }
            out.append(dataclasses.replace(block, counts=worse) if block.zone == "z0" else block)
        yield out


def test_a_weak_zone_is_not_the_new_versions_fault() -> None:
    assert look(weak_zone(1), 100)[1].verdict is not Verdict.WORSE
    assert look(weak_zone(1), 100, AcrossZones)[1].verdict is Verdict.WORSE


@given(latency=st.floats(1e-6, 1e3))
def test_a_bucket_holds_its_latency(latency: float) -> None:
    number = latency_bucket(latency)
    assert bucket_start_s(number) * (1 - 1e-6) <= latency < bucket_start_s(number + 1) * (1 + 1e-6)


def test_lingering_widens_the_bounds() -> None:
    """Ten moments that are alike are one observation rather than ten."""
    halves = []
    for repeat in (1, 10):
        track = comparison._MetricTrack(0.02, 60)
        for n in range(200):
            value = 0.01 * (-1) ** (n // repeat * 7 % 3)
            track.add(0.0, value, value, 0.0)
        halves.append(track.half_width(0.05))
    assert halves[1] > 1.5 * halves[0]
