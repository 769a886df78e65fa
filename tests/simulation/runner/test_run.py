"""Whole runs in virtual time: alike to the bit, through every trouble, the proxies' lives as scripted."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from pathlib import Path

from msgspec.structs import replace

from firvane.simulation.emulation.records import Answered, Arrived, BoxState, ProxyState, Record, Shaded, Told
from firvane.simulation.emulation.scenario import Boxes, Load, Proxies, Scenario, Trouble
from firvane.simulation.runner.emulated_fleet import Fleet
from firvane.simulation.runner.plan import Plan
from firvane.simulation.runner.result import Witness, result_hash
from firvane.simulation.runner.run import play_virtual, rehearse
from tests.simulation.runner.standin_helpers import Bench, benched

SMALL = Scenario(
    name="small",
    seconds=6.0,
    warm_up_s=1.0,
    boxes=Boxes(count=6),
    load=Load(rate=60.0, vanishing=0.02, slow_readers=0.02),
    proxies=Proxies(back_s=0.5),
)
ROUGH = replace(
    SMALL,
    troubles=(
        Trouble(kind="silent", at_s=0.5, for_s=2.0),
        Trouble(kind="cut", at_s=1.0, for_s=2.0),
        Trouble(kind="deploy", at_s=1.5, for_s=3.0, part=0.5, drain_s=1.0),
        Trouble(kind="crash", at_s=2.0, for_s=1.0, part=0.1),
        Trouble(kind="reset", at_s=2.5, part=0.5),
        Trouble(kind="burst", at_s=2.0, for_s=2.0),
        Trouble(kind="kill", at_s=3.0, proxy=0),
        Trouble(kind="kill", at_s=3.2, proxy=0),  # which is down already
        Trouble(kind="pause", at_s=3.0, for_s=0.5),
        Trouble(kind="slow", at_s=3.5, for_s=1.0),
        Trouble(kind="restart", at_s=3.5, proxy=1),
        Trouble(kind="churn", at_s=4.0, for_s=1.0, every_s=0.5, drain_s=0.5),
        Trouble(kind="drain", at_s=4.0, part=0.1, drain_s=0.5),
        Trouble(kind="lockstep", at_s=4.0, for_s=1.0),
    ),
)
ALONE = """
import sys
from tests.simulation.runner.test_run import ROUGH, hashed
print(hashed(ROUGH, 3))
"""


def records(scenario: Scenario, seed: int) -> list[Record]:
    seen: list[Record] = []
    play_virtual(scenario, seed, seen.append)
    return seen


def hashed(scenario: Scenario, seed: int) -> str:
    return result_hash(records(scenario, seed))


def states(seen: list[Record], proxy: str) -> list[str]:
    return [r.state for r in seen if isinstance(r, ProxyState) and r.proxy == proxy]


def test_runs_are_alike_in_one_process_and_in_another_and_differ_by_the_seed() -> None:
    here = hashed(ROUGH, 3)
    assert hashed(ROUGH, 3) == here != hashed(ROUGH, 4)
    # Another process orders its sets in another way and has other addresses in memory.
    env = {**os.environ, "PYTHONHASHSEED": "7", "PYTHONPATH": str(Path(__file__).parents[3])}
    command = [sys.executable, "-c", ALONE]
    there = subprocess.run(command, env=env, capture_output=True, text=True, check=True, timeout=60)
    assert there.stdout.strip() == here


def test_every_trouble_is_carried_out_and_told_of() -> None:
    seen = records(ROUGH, 3)
    assert [r.at for r in seen] == sorted(r.at for r in seen)
    kinds = {record.name.split()[0] for record in seen if isinstance(record, Shaded)}
    assert kinds == {trouble.kind for trouble in ROUGH.troubles}
    boxes = {record.state for record in seen if isinstance(record, BoxState)}
    assert boxes >= {"warm", "cold", "silent", "down", "paused", "back"}
    assert {record.state for record in seen if isinstance(record, Told)} == {"up", "draining", "removed"}
    assert {r.verdict for r in seen if isinstance(r, Arrived)} >= {"taken", "unheard"}
    assert states(seen, "proxy-0") == ["started", "ready", "killed", "started", "ready"]
    assert states(seen, "proxy-1") == ["started", "ready", "ending", "ended", "started", "ready"]
    assert states(seen, "proxy-2") == ["started", "ready"]
    # Every try that a proxy took came to one end, and those after its return are served.
    back = max(r.at for r in seen if isinstance(r, ProxyState) and r.proxy == "proxy-0")
    served = [r for r in seen if isinstance(r, Answered) and r.status == 200]
    assert any(r.proxy == "proxy-0" and r.at > back for r in served)
    assert len(served) > 200


@benched()
async def test_a_cut_is_of_a_zone_with_its_agents_until_it_is_healed(b: Bench) -> None:
    cut = replace(SMALL, troubles=(Trouble(kind="cut", at_s=1.0, for_s=1.0, zone="lekki"),))
    fleet = Fleet(b.clock, b.loop.memory.door, Plan(20, 3), cut, 1, b.records.append)
    await fleet.open()
    for at, is_cut in ((0.5, False), (1.5, True), (2.5, False)):
        await asyncio.sleep(at - b.loop.time())
        for host in fleet.hosts.values():
            for seat in fleet.seats:
                parted = (host.box.zone == "lekki") != (seat.zone == "lekki")
                assert host.ways[seat.name].is_cut == (is_cut and parted)
        assert [agent.is_silent for agent in fleet.agents.values()] == [False, is_cut, False]
    fleet.close()


def test_a_rehearsal_is_judged_and_watched() -> None:
    watched: list[float] = []

    def watch(witness: Witness) -> None:
        watched.append(witness.progress().at)

    result = rehearse(SMALL, 1, replay="again", watch=watch)
    assert result.well and result.replay == "again" and result.clock == "virtual"
    assert result.service > 0.9 and result.requests.asked > 200
    assert len(watched) >= 6
    assert result.result_hash == rehearse(SMALL, 1).result_hash


def test_a_proxy_that_ends_answers_what_has_far_longer_than_it() -> None:
    # Requests that nobody can do in time, of clients that wait for 8 s: SIGKILL comes 3.7 s after SIGTERM.
    patient = Scenario(
        name="patient",
        seconds=9.0,
        warm_up_s=1.0,
        boxes=Boxes(count=4),
        load=Load(rate=3.0, deadline_s=8.0, abandon=(1.0, 1.0), work_ms=(6e4, 6e4)),
        proxies=Proxies(back_s=0.5),
        troubles=(Trouble(kind="restart", at_s=1.5, proxy=0),),
    )
    result = rehearse(patient, 3)
    assert result.requests.refused == result.requests.asked and not result.broken_rules
