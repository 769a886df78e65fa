"""Clients that leave while their requests wait: none is sent on 0.3 s later, in virtual time and live."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from benchmarks.rehearsals import shortened
from firvane.proxy.config.platform import parse_settings
from firvane.simulation.emulation.judge import LEFT_PART
from firvane.simulation.emulation.scenario import Proxies, Scenario
from firvane.simulation.emulation.scenarios import load_named
from firvane.simulation.emulation.verdict import Rule
from firvane.simulation.runner.plan import settings
from firvane.simulation.runner.run import rehearse
from firvane.simulation.runner.summary import page

DAY = load_named("clients-leave")
BURSTS = replace(DAY, load=replace(DAY.load, leave_beat_s=1.0, leave_s=(0.02, 0.6)))
MANY = replace(DAY, load=replace(DAY.load, at_once=4))
ALONE = replace(DAY, load=replace(DAY.load, at_once=1, rate=80.0))
KEEPS = replace(DAY, proxies=replace(DAY.proxies, cancel=False))


@pytest.mark.parametrize(
    "day", [DAY, BURSTS, MANY, ALONE, KEEPS], ids=["pairs", "bursts", "fours", "alone", "no cancel"]
)
def test_no_request_is_sent_on_for_a_client_that_left_while_it_waited(day: Scenario) -> None:
    result = rehearse(shortened(day, 12.0), 1)
    found = result.leavers
    assert found.left > 50 and found.sent_on == 0 and Rule.SENT_ON.value not in result.broken_counts
    if day is not ALONE:  # one that asks alone seldom waits for anything but its box
        assert found.waiting > 30
        assert f"{found.waiting} of {found.left} that left, 0 sent on (0.0%)" in page(result)


def test_whether_attempts_may_be_given_up_is_in_the_proxies_settings() -> None:
    for day, cancel in ((DAY, True), (KEEPS, False)):
        assert parse_settings(settings(day, 0, "yaba")).limits.cancel is cancel


def test_nor_is_one_live_on_real_sockets() -> None:
    calm = replace(DAY, seconds=4.0, warm_up_s=0.5, troubles=(), proxies=Proxies(count=2))
    calm = replace(calm, load=replace(calm.load, rate=60.0))
    result = rehearse(calm, 1, "live")
    assert result.leavers.waiting > 15
    assert result.leavers.share <= LEFT_PART and Rule.SENT_ON.value not in result.broken_counts
