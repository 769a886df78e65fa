"""The page in the terminal and the line of progress fit, and lead with what matters."""

from __future__ import annotations

import msgspec
import pytest

from firvane.simulation.emulation.service import Progress
from firvane.simulation.emulation.verdict import Breach, Grade, Rule
from firvane.simulation.runner.result import Result, Shade, Witness
from firvane.simulation.runner.summary import COLUMNS, ROWS, live_line, page
from tests.simulation.runner.samples import DAY, sample


def lines_of(result: Result) -> list[str]:
    lines = page(result).split("\n")
    assert len(lines) <= ROWS and all(len(line) <= COLUMNS for line in lines)
    return lines


def test_a_page_leads_with_the_verdict_and_holds_the_figures() -> None:
    result = sample()
    lines = lines_of(result)
    assert lines[1] == "All rules kept."
    told = "\n".join(lines)
    assert f"service {result.service:.3f}" in told and f"p99 {result.latency_ms['p99']:.0f}" in told
    assert "lagos" in told and "silent" in told and "far" in told
    assert any(line.split() == ["p", "46", "20", "0.02"] for line in lines)
    assert lines[-1].endswith("firvane rehearse sample --virtual --seed 1")


def test_a_breach_is_told_with_its_request_its_proxy_and_its_time() -> None:
    lines = lines_of(sample(lost=True))
    assert lines[1] == "BROKEN: a request lost its answer (1)"
    told = next(line for line in lines if line.startswith("BROKEN 21.050 s"))
    assert "gone <i>" in told and told.endswith(" p")
    assert any("an answer held back (2)" in line for line in lines)


def test_the_nearest_miss_is_the_one_that_is_told() -> None:
    result = sample()
    near = [
        Breach(rule=Rule.PUSHED_OVER, grade=Grade.NEAR, at=at, text="stood", box=box, fraction=fraction)
        for at, box, fraction in ((9.0, "a", 0.81), (11.0, "b", 0.97), (21.0, "d", 0.9))
    ]
    told = page(msgspec.structs.replace(result, near=near))
    assert "a cold box pushed over: b at 11.0 s had 0.97 of it" in told


def test_no_verdict_is_no_praise() -> None:
    result = msgspec.structs.replace(sample(), no_verdict="the machine was too busy")
    told = page(result)
    assert "NO VERDICT: the machine was too busy" in told and "rules kept" not in told


@pytest.mark.parametrize("many", [1, 30, 400])
def test_a_large_fleet_with_many_breaches_still_fits(many: int) -> None:
    result = sample(lost=True)
    box = result.boxes["b"]
    breach = msgspec.structs.replace(result.broken_rules[0], text="x" * 200)
    large = msgspec.structs.replace(
        result,
        boxes={f"box-with-a-long-name-{n}": box for n in range(many)},
        proxies={f"proxy-{n}": result.proxies["p"] for n in range(many)},
        communities={f"community-{n}": 0.5 for n in range(min(many, 30))},
        broken_rules=[breach] * min(many, 20),
        broken_counts={breach.rule.value: many, "x" * 80: 1},
        cost_counts=dict.fromkeys(map(str, range(min(many, 20))), 1),
        troubles=[Shade(name="t" * 40, at=1.0, until=2.0)] * many,
    )
    assert lines_of(large)[1].startswith("BROKEN")
    assert large.replay in page(large)


def test_a_run_of_nothing_has_a_page_too() -> None:
    assert "nothing served" in page(Witness(DAY, 1, "virtual").result())


def test_the_line_of_progress_is_one_short_line() -> None:
    told = Progress(at=12.0, service=0.876, asked=8520, refused=3, failed=1, unanswered=1, p99_ms=412.4)
    line = live_line(told, 60.0, broken=2, troubles=("silent yaba", "burst lagos", "cut ikeja" * 9))
    assert line.startswith("  12/60 s  service 0.88") and "BROKEN 2" in line and len(line) < COLUMNS
