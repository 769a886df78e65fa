"""Whole runs of a power loss in virtual time: beside the reference, and by the rules."""

from __future__ import annotations

from collections import Counter
from functools import cache
from pathlib import Path

import pytest

from benchmarks.situations import played
from firvane.simulation.emulation.records import Answered, Record
from firvane.simulation.emulation.reference import Reference
from firvane.simulation.emulation.scenario import Boxes, Load, Proxies, Scenario, Trouble
from firvane.simulation.runner.report import write_html
from firvane.simulation.runner.result import Result
from firvane.simulation.runner.run import rehearse


def day(*troubles: Trouble, recovery: bool = True, seconds: float = 24.0) -> Scenario:
    return Scenario(
        name="recovery", seconds=seconds, warm_up_s=1.0, boxes=Boxes(count=6, warm_s=12.0),
        load=Load(rate=250.0, keys=800, body_bytes=200),
        proxies=Proxies(count=3, recovery=recovery, snapshots=recovery, back_s=1.0), troubles=troubles,
    )  # fmt: skip


ALL = Trouble(kind="power", at_s=3.0, for_s=2.0, part=1.0, memory="lost")
SOME = Trouble(
    kind="power", at_s=3.0, for_s=2.0, part=1.0, memory="torn", never=1 / 3, late=1 / 3, late_s=4.0
)
HALF = Trouble(kind="power", at_s=3.0, for_s=2.0, part=1.0, memory="lost", late=0.5, late_s=20.0)
DEAF = Trouble(kind="link", at_s=3.0, for_s=10.0, proxy=0)
AWAY = Trouble(kind="away", at_s=3.0, for_s=8.0, older=True)
STALLED = Trouble(kind="stall", at_s=5.2, for_s=3.0, proxy=1)
STARTING = Trouble(kind="stall", at_s=4.04, for_s=6.0, proxy=1)  # its start takes from 4.0 to 4.05 s
BEAT = Trouble(kind="lockstep", at_s=3.0, for_s=12.0)
DRAIN = Trouble(kind="drain", at_s=6.0, part=0.3, drain_s=1.0)
STEPPED = Trouble(kind="clock", at_s=3.5, step_s=-7200.0, proxy=2)
AGAIN = Trouble(kind="power", at_s=8.0, for_s=1.0, part=1.0, memory="old")


@cache
def came_back(scenario: Scenario, seed: int) -> tuple[Result, Counter[str]]:
    """A run that broke no rule (no box pushed over, nothing sent to what drained, no proxy down), and what
    each proxy answered in its last 3 s."""
    late: Counter[str] = Counter()

    def see(record: Record) -> None:
        if isinstance(record, Answered) and record.status == 200 and record.at > scenario.seconds - 3.0:
            late[record.proxy] += 1

    result = played(scenario, seed, see)
    assert not result.broken_rules
    return result, late


@pytest.mark.parametrize(
    ("troubles", "part", "back"),
    [
        ((ALL,), 0.85, 3),
        ((SOME,), 0.6, 2),  # a third of the proxies never returns, and their members wait in vain at first
        ((ALL, DEAF), 0.8, 3),
        ((ALL, AWAY), 0.6, 3),
        ((ALL, STALLED), 0.6, 3),
        ((ALL, STARTING, DRAIN), 0.6, 3),
        ((ALL, BEAT, DRAIN), 0.8, 3),
        ((ALL, STEPPED), 0.8, 3),
        ((ALL, AGAIN), 0.8, 3),
    ],
    ids=["all", "never and late", "deaf", "discovery away", "stalled", "stalled in its start", "one beat",
         "clock", "again"],
)  # fmt: skip
def test_a_power_loss_keeps_the_rules_and_most_of_what_can_be_served(
    troubles: tuple[Trouble, ...], part: float, back: int
) -> None:
    scenario = day(*troubles)
    result, late = came_back(scenario, 2)
    assert len(late) == back
    assert result.service >= part * Reference(scenario, 2).play().counted.service()


def test_half_of_the_proxies_back_20_s_after_the_rest_serve_and_push_nothing_over() -> None:
    # The reference has no proxies that are late: there is nothing to compare it with.
    _, late = came_back(day(HALF, DRAIN, seconds=34.0), 2)
    assert len(late) == 3


def test_what_the_recovery_is_for_is_worse_without_it() -> None:
    assert came_back(day(ALL), 2)[0].service > rehearse(day(ALL, recovery=False), 2).service + 0.05


def test_two_runs_are_alike_to_the_last_bit() -> None:
    assert len({rehearse(day(SOME, DEAF, STALLED, seconds=12.0), 5).result_hash for _ in range(2)}) == 1


def test_the_report_shades_the_states_that_doors_told(tmp_path: Path) -> None:
    result, _ = came_back(day(ALL), 2)
    spans = [(shade.name, shade.at, shade.until) for shade in result.recovery]
    assert {"trials (recovery)", "growing (recovery)"} <= {name for name, *_ in spans}
    # The first start of all, and the one after power came back at 4 s and the boxes at 5.
    assert [at for name, at, until in spans if name == "growing (recovery)" and at < 1.0 and until <= 4.5]
    assert [at for name, at, until in spans if name == "growing (recovery)" and 5.0 <= at < 9.0 < until]
    page = tmp_path / "page.html"
    write_html([result], page)
    assert "growing (recovery)" in page.read_text()
