"""Faults that strike proxies, their links, their disks and discovery: that they do what their names say."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest

from firvane.core import checksum
from firvane.proxy.snapshots import format
from firvane.proxy.snapshots.types import Snapshot
from firvane.simulation.emulation.records import ProxyState, Record, Sent, Told
from firvane.simulation.emulation.scenario import Boxes, Load, Network, Proxies, Scenario, Trouble
from firvane.simulation.emulation.timeline import Action, Timeline
from firvane.simulation.runner.live import check
from firvane.simulation.runner.machines import spoil
from firvane.simulation.runner.process import Process
from firvane.simulation.runner.run import play_virtual
from firvane.simulation.runner.virtual import VirtualLoop


def day(*troubles: Trouble, seconds: float = 6.0, proxies: int = 3, **network: Any) -> Scenario:
    return Scenario(
        name="faults", seconds=seconds, warm_up_s=1.0, boxes=Boxes(count=6),
        load=Load(rate=60.0, keys=100, body_bytes=200), proxies=Proxies(count=proxies),
        network=Network(peer_loss=0.0, **network), troubles=troubles,
    )  # fmt: skip


def seen(scenario: Scenario) -> list[Record]:
    records: list[Record] = []
    play_virtual(scenario, 1, records.append)
    return records


def test_power_strikes_what_it_names_and_parts_come_back_late_or_never() -> None:
    power = Trouble(kind="power", at_s=1.0, for_s=2.0, part=1.0, never=1 / 3, late=1 / 3, late_s=2.0)
    steps = Timeline(day(power, proxies=6), 1).steps()
    counts = Counter(step.action for step in steps)
    assert counts[Action.KILL] == 6 and counts[Action.LAUNCH] == 4
    assert counts[Action.STOP] == counts[Action.RESTART] == 6
    assert sorted(step.at for step in steps if step.action is Action.LAUNCH) == [2.0, 2.0, 4.0, 4.0]
    power = Trouble(kind="power", at_s=1.0, for_s=2.0, part=1.0)
    zone = msgspec.structs.replace(power, zone="lekki", strikes="proxies", memory="torn")
    steps = Timeline(day(zone, proxies=6), 1).steps()
    assert {step.action for step in steps} == {Action.KILL, Action.LAUNCH}
    assert {step.proxy for step in steps} == {"proxy-1", "proxy-4"}
    assert {step.memory for step in steps if step.action is Action.KILL} == {"torn"}


def test_a_stalled_proxy_says_nothing_and_goes_on_where_it_was() -> None:
    records = seen(day(Trouble(kind="stall", at_s=2.0, for_s=2.0, proxy=1)))
    said = [r.at for r in records if isinstance(r, Sent) and r.proxy == "proxy-1"]
    assert not [at for at in said if 2.01 < at < 3.99]
    assert [at for at in said if at < 2.0] and [at for at in said if at > 4.0]
    ends = [r for r in records if isinstance(r, ProxyState) and r.state in ("killed", "ended")]
    assert not [r for r in ends if r.at < 6]


@pytest.mark.parametrize(
    ("way", "late", "lost"),
    [("both", 0.0, {(1, 0), (1, 2), (0, 1), (2, 1)}), ("out", 0.0, {(1, 0), (1, 2)}), ("in", 0.3, set())],
)
def test_a_link_loses_or_delays_what_goes_its_way(way: Any, late: float, lost: set[tuple[int, int]]) -> None:
    trouble = Trouble(kind="link", at_s=2.0, for_s=2.0, proxy=1, way=way, late_s=late)
    records = [r for r in seen(day(trouble)) if isinstance(r, Sent)]
    here = Counter((r.proxy, r.arrived) for r in records if 2.0 <= r.at < 4.0)
    assert not [r for r in records if not r.arrived and not 2.0 <= r.at < 4.0]
    gone = {name for (name, arrived) in here if not arrived}
    assert gone == {f"proxy-{sender}" for sender, _ in lost}


def test_discovery_that_is_away_tells_nothing_and_may_come_back_with_an_older_list() -> None:
    troubles = (
        Trouble(kind="away", at_s=1.0, for_s=3.0, older=True),
        Trouble(kind="drain", at_s=1.5, part=0.2, drain_s=5.0),
    )
    records = seen(day(*troubles, seconds=9.0, discovery_late_s=(0.1, 0.2)))
    told = [r.at for r in records if isinstance(r, Told)]
    assert not [at for at in told if 1.5 < at < 4.0] and [at for at in told if at >= 4.0]


def test_a_process_in_virtual_time_stands_still_and_keeps_its_order() -> None:
    loop, heard = VirtualLoop(), list[tuple[float, int]]()
    process = Process(loop, "one", "127.0.0.1")

    async def main() -> None:
        for number in range(4):
            process.call(loop.call_later, 0.1 * number, lambda n=number: heard.append((loop.time(), n)))
        loop.call_later(0.05, loop.stall, process, True)
        loop.call_later(1.0, loop.stall, process, False)
        await asyncio.sleep(2.0)

    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(main())
    assert heard == [(0.0, 0), (1.0, 1), (1.0, 2), (1.0, 3)]


@pytest.mark.parametrize("memory", ["kept", "lost", "torn", "old"])
def test_what_power_does_to_a_disk(memory: str, tmp_path: Path) -> None:
    file = tmp_path / "one.snapshot"
    spoil(file, memory)
    assert not file.exists()
    whole = format.encode(Snapshot(saved_at=1.8e9, proxy="p"))
    file.write_bytes(whole)
    spoil(file, memory)
    assert file.exists() is (memory != "lost")
    if memory == "kept":
        assert file.read_bytes() == whole
    elif memory == "old":
        assert format.decode(file.read_bytes()).saved_at < 1.8e9 - 20 * 86_400
    elif memory == "torn":
        with pytest.raises(checksum.DamagedDataError):
            format.decode(file.read_bytes())


def test_a_clock_that_steps_is_for_virtual_time() -> None:
    with pytest.raises(ValueError, match="virtual time"):
        check(day(Trouble(kind="clock", at_s=1.0, step_s=-3600.0)))
    stepped = day(Trouble(kind="clock", at_s=2.0, proxy=0, step_s=-3600.0))
    assert not [r for r in seen(stepped) if isinstance(r, ProxyState) and r.state == "ended" and r.at < 6]
