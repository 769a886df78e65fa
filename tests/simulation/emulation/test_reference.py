"""Tests of the reference dispatcher: it uses the capacity, overloads no backend, and bounds every run."""

from __future__ import annotations

import pytest

from firvane.simulation.emulation.backend import EmulatedBackend
from firvane.simulation.emulation.reference import Reference
from firvane.simulation.emulation.scenario import Boxes, Load, Scenario, Trouble
from firvane.simulation.runner.run import rehearse

POWER = Trouble(kind="power", at_s=4.0, for_s=2.0, part=1.0)


def day(*troubles: Trouble, rate: float = 120.0, seconds: float = 12.0) -> Scenario:
    return Scenario(
        name="reference", seconds=seconds, warm_up_s=1.0, boxes=Boxes(count=4, warm_s=6.0),
        load=Load(rate=rate, keys=300, body_bytes=200), troubles=troubles,
    )  # fmt: skip


def test_a_calm_day_is_served_whole_and_the_same_twice() -> None:
    first, second = (Reference(day(), 3).play() for _ in range(2))
    assert first.counted.service() > 0.999 and list(first.all.earned) == list(second.all.earned)


def test_nothing_is_earned_while_all_is_off_and_more_from_second_to_second() -> None:
    worth = Reference(day(POWER, rate=250.0), 3).play()
    series = worth.all.series(1)
    assert series[4] == 0.0 and 0.0 < (series[6] or 0) < 0.9 < (series[11] or 0)


def test_the_reference_never_overloads_a_cold_backend(monkeypatch: pytest.MonkeyPatch) -> None:
    fell: list[str] = []
    leave = EmulatedBackend._terminate

    def watched(self: EmulatedBackend, now: float, state: str) -> None:
        fell.extend([self.name] if state == "fell" else [])
        leave(self, now, state)

    monkeypatch.setattr(EmulatedBackend, "_terminate", watched)
    Reference(day(POWER, rate=400.0), 4).play()
    assert not fell


@pytest.mark.parametrize("seed", [1, 2])
def test_proxies_do_not_exceed_the_reference(seed: int) -> None:
    scenario = day(POWER, rate=200.0)
    assert rehearse(scenario, seed).service <= Reference(scenario, seed).play().counted.service() + 0.01
