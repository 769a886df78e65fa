"""Whole runs of a power loss in virtual time: beside the reference, and by the rules."""

from __future__ import annotations

from pathlib import Path

import pytest

from firvane.fleet.reference import Reference
from firvane.fleet.scenario import Boxes, Load, Proxies, Scenario, Trouble
from firvane.rehearsal.report import write_html
from firvane.rehearsal.run import rehearse


def day(*troubles: Trouble, recovery: bool = True, **more: object) -> Scenario:
    return Scenario(
        name="recovery", seconds=24.0, warm_up_s=1.0, boxes=Boxes(count=6, warm_s=12.0),
        load=Load(rate=250.0, keys=800, body_bytes=200),
        proxies=Proxies(count=3, recovery=recovery, snapshots=recovery, back_s=1.0), troubles=troubles,
    )  # fmt: skip


ALL = Trouble(kind="power", at_s=3.0, for_s=2.0, part=1.0, memory="lost")
SOME = Trouble(
    kind="power", at_s=3.0, for_s=2.0, part=1.0, memory="torn", never=1 / 3, late=1 / 3, late_s=4.0
)
DEAF = Trouble(kind="link", at_s=3.0, for_s=10.0, proxy=0)
AWAY = Trouble(kind="away", at_s=3.0, for_s=8.0, older=True)
STALLED = Trouble(kind="stall", at_s=5.2, for_s=3.0, proxy=1)
STEPPED = Trouble(kind="clock", at_s=3.5, step_s=-7200.0, proxy=2)
AGAIN = Trouble(kind="power", at_s=8.0, for_s=1.0, part=1.0, memory="old")


@pytest.mark.parametrize(
    ("troubles", "part"),
    [
        ((ALL,), 0.85),
        ((SOME,), 0.6),  # a third of the proxies never returns, and their members wait in vain at first
        ((ALL, DEAF), 0.8),
        ((ALL, AWAY), 0.6),
        ((ALL, STALLED), 0.6),
        ((ALL, STEPPED), 0.8),
        ((ALL, AGAIN), 0.8),
    ],
    ids=["all", "never and late", "deaf", "discovery away", "stalled", "clock", "again"],
)
def test_a_power_loss_keeps_the_rules_and_most_of_what_can_be_served(
    troubles: tuple[Trouble, ...], part: float
) -> None:
    scenario = day(*troubles)
    result = rehearse(scenario, 2)
    assert not result.broken_rules
    assert result.service >= part * Reference(scenario, 2).play().counted.service()


def test_what_the_recovery_is_for_is_worse_without_it() -> None:
    assert rehearse(day(ALL), 2).service > rehearse(day(ALL, recovery=False), 2).service + 0.05


def test_two_runs_are_alike_to_the_last_bit() -> None:
    assert len({rehearse(day(SOME, DEAF, STALLED), 5).result_hash for _ in range(2)}) == 1


def test_the_report_shades_the_states_that_doors_told(tmp_path: Path) -> None:
    result = rehearse(day(ALL), 2)
    spans = [(shade.name, shade.at, shade.until) for shade in result.recovery]
    assert {"trials (recovery)", "growing (recovery)"} <= {name for name, *_ in spans}
    # The first start of all, and the one after power came back at 4 s and the boxes at 5.
    assert [at for name, at, until in spans if name == "growing (recovery)" and at < 1.0 and until <= 4.5]
    assert [at for name, at, until in spans if name == "growing (recovery)" and 5.0 <= at < 9.0 < until]
    page = tmp_path / "page.html"
    write_html([result], page)
    assert "growing (recovery)" in page.read_text()
