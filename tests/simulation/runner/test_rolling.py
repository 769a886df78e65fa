"""Rolls in virtual time: a fault that clients or the measures see stops where it should."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from firvane.proxy.routing import row_codec
from firvane.simulation.emulation.records import Answered, ProxyState, Record, Rolled
from firvane.simulation.emulation.scenario import Boxes, Load, Proxies, Roll, Scenario, Trouble
from firvane.simulation.runner import rolling, versions
from firvane.simulation.runner.run import play_virtual, rehearse


def day(version: str, **more: Any) -> Scenario:
    """Three proxies with little to do, and stages of seconds."""
    more = {"soak_s": 24.0, "longest_s": 60.0, "settle_s": 2.0, "before_s": 4.0, "at_s": 2.0, **more}
    return Scenario(
        name="roll",
        seconds=more.pop("seconds", 200.0),
        warm_up_s=1.0,
        boxes=Boxes(count=4),
        load=Load(rate=60.0, body_bytes=200),
        proxies=Proxies(count=3, back_s=0.2),
        troubles=more.pop("troubles", ()),
        roll=Roll(version=version, stages=(0.0, 1.0), then_s=1.0, **more),  # type: ignore[arg-type]
    )


def played(scenario: Scenario, seed: int = 1) -> tuple[list[Record], list[Rolled]]:
    records: list[Record] = []
    play_virtual(scenario, seed, records.append)
    return records, [one for one in records if isinstance(one, Rolled)]


def test_a_bad_version_stops_at_its_first_place_and_goes_back_the_same_way_twice() -> None:
    records, told = played(day("refuses", size=4.0))
    assert [one.state for one in told] == ["planned", "replacing", "comparing", "going back", "back"]
    assert told[-1].stage == 0 and "the share refused" in told[-1].why
    # Only requests that came to one proxy of three, until it was stopped, met the new version.
    assert 0 < told[-1].new < 0.34 * told[-1].all
    starts = Counter(r.proxy for r in records if isinstance(r, ProxyState) and r.state == "started")
    assert sorted(starts.values()) == [1, 1, 3]
    assert played(day("refuses", size=4.0))[0] == records


def test_what_dies_under_its_first_requests_never_has_a_place() -> None:
    records, told = played(day("dies", seconds=60.0))
    assert told[-1].state == "back" and told[-1].stage == 0 and "ended before it was proved" in told[-1].why
    # Two tries, of a few requests each.
    assert 0 < told[-1].new <= 60 and told[-1].at < 40.0
    codes = [r.code for r in records if isinstance(r, ProxyState) and r.state == "ended"]
    assert sorted(codes) == [0, 0, 1, 1]


def test_without_a_comparison_the_same_version_reaches_all() -> None:
    _, told = played(day("refuses", size=4.0, judged_by="nothing"))
    assert told[-1].state == "done" and told[-1].new > 0.3 * told[-1].all
    _, told = played(day("refuses", size=4.0, judged_by="errors"))
    assert told[-1].state == "back" and "errors are" in told[-1].why


def test_a_comparison_that_never_sees_the_new_ones_lets_none_through(monkeypatch: pytest.MonkeyPatch) -> None:
    class Blind(rolling.Comparison):
        def add(self, moment: Any) -> None:
            super().add([block for block in moment if block.side is rolling.Side.OLD])

    monkeypatch.setattr(rolling, "Comparison", Blind)
    _, told = played(day("refuses", size=4.0, longest_s=40.0))
    states = [one.state for one in told]
    assert "paused" in states and "done" not in states  # it waits, and then asks


def test_proxies_that_are_killed_meanwhile_come_back_as_what_their_place_has() -> None:
    herd = Trouble(kind="herd", at_s=20.0, part=1.0)
    records, told = played(day("repeats", troubles=(herd,), seconds=120.0))
    assert told[-1].state == "back" and "attempts per request" in told[-1].why
    kills = [r for r in records if isinstance(r, ProxyState) and r.state == "killed"]
    assert len(kills) == 3
    assert sum(isinstance(r, Answered) and r.status == 200 for r in records) > 1000


@pytest.mark.parametrize("new", [False, True])
def test_rows_that_are_misread_are_rows_still(new: bool) -> None:
    # Guards against a fault that harms nobody, as peers throw away what cannot be.
    head = row_codec.RowHeader(0, 1, 7, 3, 1.0, 2.0, 3.0, 4.0, 5)
    row = row_codec.pack_v2(head, True, [(9, 2)], []) if new else row_codec.pack_v1(head, [(9, 2)])
    told: list[bytes] = []
    proxy = SimpleNamespace(
        loop=SimpleNamespace(time=lambda: 0.0),
        engine=SimpleNamespace(accept_request=None),
        peers=SimpleNamespace(send_datagram=lambda peer, payload: told.append(payload)),
        limiter=SimpleNamespace(metrics=None),
    )
    versions.Fault(proxy, "misread", 1.0, 1, lambda: None)
    proxy.peers.send_datagram(None, row)
    right, wrong = row_codec.unpack(row, 0.0), row_codec.unpack(told[0], 0.0)
    assert (wrong.zone, wrong.sequence, wrong.arrivals) == (right.zone, right.sequence, 40 * right.arrivals)
    assert right.in_flight == [(9, 2)] and wrong.in_flight == [(9, 80)]


def test_a_roll_is_played_in_virtual_time_alone() -> None:
    with pytest.raises(ValueError, match="virtual"):
        rehearse(day("same"), 1, "live")
