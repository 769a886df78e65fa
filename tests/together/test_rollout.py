"""Rolls with real processes: places with keepers, controllers, and each of them killed or cut off."""

from __future__ import annotations

import asyncio
import json
import os
import select
import signal
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from subprocess import PIPE, Popen
from types import SimpleNamespace
from typing import Any, cast

import pytest

from firvane.proxy.rollout.rollout_state import RolloutState, StoredRollout
from firvane.proxy.rollout.supervisor import TAG_VARIABLE
from tests.together.rolling import STAGES, Fleets, Rolling, Supervisors

STEPS = 12  # more steps than a roll of these has: it would not end


@pytest.fixture(scope="module")
def fleets(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleets]:
    made = Fleets(lambda: tmp_path_factory.mktemp("rolling"))
    yield made
    made.end()
    made.runner.close()


def test_what_places_started_is_gone_once_they_are_closed(tmp_path: Path) -> None:
    """What it still held then, another suite could not bind: it has the net once these tests are over."""
    program = "import signal; print('up', flush=True); signal.pause()"
    env = {TAG_VARIABLE: f"1 v1 0 {tmp_path}/proxy-0.place"}
    wait, kill = select.select, os.kill
    late: list[int] = []

    def waited(*what: Any) -> tuple[list[int], list[int], list[int]]:
        for pid in late:
            kill(pid, signal.SIGKILL)
        return wait(*what)

    with Popen([sys.executable, "-c", program], env=env, start_new_session=True, stdout=PIPE) as made:
        handle = os.pidfd_open(made.pid)
        try:
            assert made.stdout and made.stdout.readline() == b"up\n"
            with pytest.MonkeyPatch.context() as busy:  # a machine on which it dies no sooner than waited for
                busy.setattr(os, "kill", lambda pid, number: late.append(made.pid))
                busy.setattr(signal, "pidfd_send_signal", lambda pid, number: late.append(made.pid))
                busy.setattr(select, "select", waited)
                Supervisors(cast(Rolling, SimpleNamespace(folder=tmp_path))).close()
            assert late == [made.pid] and wait([handle], [], [], 0)[0]
        finally:
            os.close(handle)
            made.kill()


def in_state(state: RolloutState) -> Callable[[StoredRollout], bool]:
    return lambda kept: kept.state is state


async def pids(fleet: Rolling, *places: int) -> list[str]:
    return [(await fleet.place(number)).get("pid", "") for number in places or range(len(fleet.names))]


def test_a_good_version_goes_to_the_end_and_no_request_is_lost(fleets: Fleets) -> None:
    async def work(fleet: Rolling) -> None:
        # Tried beside the fleet first: as a proxy of its own, which no peer knows.
        alone = json.loads((fleet.folder / "proxy-0.json").read_text())
        for key in ("peers", "peers_all", "peer_listen"):
            alone.pop(key, None)
        (fleet.folder / "trial.json").write_text(json.dumps(alone))
        fleet.write(environment={"NODE_CONFIG": str(fleet.folder / "trial.json")}, at_once=2)
        said = await fleet.ends(fleet.run(), 0)
        assert "is not tried" not in said and "planned -> replacing" in said
        await fleet.have(fleet.new)
        await fleet.serves(0, 1, 2)
        assert fleet.broken == 0
        page = fleet.folder / "roll.html"
        code, told = await fleet.say("report", "--html", str(page))
        assert code == 0 and all(f"{stage}   {side}" in told for stage in (1, 2) for side in ("old", "new"))
        assert page.read_text().count("<svg") == 2
        assert (await fleet.say("status"))[0] == 0

    fleets.play(work)


def test_a_worse_version_stops_at_the_first_stage_and_goes_back(fleets: Fleets) -> None:
    async def work(fleet: Rolling) -> None:
        before = await pids(fleet)
        fleet.write("refuses")
        said = await fleet.ends(fleet.run(), 1)
        assert "comparing -> going back: the share refused" in said and "stage 2" not in said
        await fleet.have(fleet.old)
        # Only one place has ever had another process.
        assert sum(a != b for a, b in zip(before, await pids(fleet), strict=True)) == 1
        assert fleet.broken == 0

    fleets.play(work)


def test_a_version_that_cannot_take_a_place_never_has_one(fleets: Fleets) -> None:
    async def work(fleet: Rolling) -> None:
        before = await pids(fleet)
        for fault, why in (
            ("dies", "ended with code 3 at its start"),
            ("late", "is not ready after 4 s"),
            ("mute", "reports ready but answers no requests"),
            ("gone", "cannot be started: /nowhere: No such file"),
            ("breaks", "leaves requests without an answer"),
        ):
            fleet.write(fault)
            said = await fleet.ends(fleet.run(), 1)
            assert why in said, said
            assert fleet.broken == 0 or fault == "breaks"  # which takes requests, and drops them
            await fleet.have(fleet.old)
            assert await pids(fleet) == before
        await fleet.serves(0, 1, 2)

    fleets.play(work)


def test_what_a_trial_shows_is_not_begun(fleets: Fleets) -> None:
    async def work(fleet: Rolling) -> None:
        before = await pids(fleet)
        fleet.write("dies", environment={"NODE_CONFIG": "/nowhere"})
        said = await fleet.ends(fleet.run(), 1)
        assert "given up: the new version was not rolled out: it ended with code 3 at its start" in said
        assert await pids(fleet) == before

    fleets.play(work)


@pytest.mark.parametrize(("fault", "code"), [("none", 0), ("refuses", 1)])
def test_a_controller_killed_at_each_step_is_gone_on_with(fleets: Fleets, fault: str, code: int) -> None:
    async def work(fleet: Rolling) -> None:
        fleet.write(fault)
        seen: set[object] = set()

        def step(kept: StoredRollout) -> object:
            return kept.state, kept.stage, tuple(kept.ordered)

        for _ in range(STEPS):
            controller = made = fleet.run()

            def new(made: Popen[bytes] = made) -> bool:
                kept = fleet.files.read_state()
                return made.poll() is not None or bool(kept and step(kept) not in seen)

            await fleet.until("the next step", new)
            if controller.poll() is not None:
                break
            kept = fleet.files.read_state()
            assert kept
            seen.add(step(kept))
            if kept.state in (RolloutState.DONE, RolloutState.BACK):
                break
            controller.kill()
            controller.wait()
        assert len(seen) >= 5, seen
        await fleet.ends(controller, code)
        await fleet.have(fleet.old if code else fleet.new)
        assert fleet.broken == 0

    fleets.play(work)


def test_a_controller_that_stood_still_past_a_take_over_changes_nothing_any_more(fleets: Fleets) -> None:
    async def work(fleet: Rolling) -> None:
        fleet.write(stages=[{**STAGES[0], "at_end": "pause"}, STAGES[1]])
        first = fleet.run()
        kept = await fleet.course(in_state(RolloutState.PAUSED))
        first.send_signal(signal.SIGSTOP)
        assert f"process {first.pid} has" in await fleet.ends(fleet.run(), 3)
        second = fleet.run("--take-over")
        await fleet.course(lambda now: now.roll > kept.roll)
        assert (await fleet.say("go"))[0] == 0
        await fleet.ends(second, 0)
        before = fleet.files.path.read_bytes()
        first.send_signal(signal.SIGCONT)
        assert "another process has taken" in await fleet.ends(first, 3)
        assert fleet.files.path.read_bytes() == before
        # What it might have had on its way to a place would have been refused there.
        for number in range(3):
            said = await fleet.order(number, f"place-replace {fleet.old} {kept.roll}")
            assert said.startswith(f"-ERR roll {kept.roll} is over")
        await fleet.have(fleet.new)
        assert fleet.broken == 0

    fleets.play(work)


def test_a_place_whose_links_are_cut_is_left_out_and_has_its_turn_when_they_are_back(fleets: Fleets) -> None:
    async def work(fleet: Rolling) -> None:
        fleet.write()
        fleet.wires[2].is_cut = True
        controller = fleet.run()
        await fleet.have(fleet.new, 0, 1)
        await fleet.course(lambda kept: kept.stage == 1 and not kept.ordered)
        assert (await fleet.place(2))["version"] == fleet.old and controller.poll() is None
        fleet.wires[2].is_cut = False
        await fleet.ends(controller, 0)
        await fleet.have(fleet.new)
        assert fleet.broken == 0

    fleets.play(work)


def test_a_place_that_is_down_at_its_turn_gets_the_version_when_it_is_back(fleets: Fleets) -> None:
    async def work(fleet: Rolling) -> None:
        fleet.write()
        (pid,) = await pids(fleet, 2)
        fleet.machines.kill(2)
        os.kill(int(pid), signal.SIGKILL)
        controller = fleet.run()
        await fleet.have(fleet.new, 0, 1)
        assert controller.poll() is None
        fleet.keepers.again(2)
        await fleet.ends(controller, 0)
        await fleet.have(fleet.new)

    fleets.play(work)


def test_processes_and_keepers_that_die_in_a_roll_are_followed_by_others(fleets: Fleets) -> None:
    async def work(fleet: Rolling) -> None:
        fleet.write(stages=[{**STAGES[0], "at_end": "pause"}, STAGES[1]])
        controller = fleet.run()
        await fleet.course(in_state(RolloutState.PAUSED))
        said = [await fleet.place(number) for number in range(3)]
        new = next(n for n, one in enumerate(said) if one["version"] == fleet.new)
        old = (new + 1) % 3
        # The process that serves is followed at once by one of its version.
        os.kill(int(said[new]["pid"]), signal.SIGKILL)

        async def followed() -> bool:
            now = await fleet.place(new)
            return now["version"] == fleet.new and now["deaths"] != said[new]["deaths"]

        await fleet.until("the one that follows", followed)
        # A keeper's death stops nobody: its process serves on, until the next keeper's own is proven.
        fleet.machines.kill(old)
        os.kill(int(said[old]["pid"]), 0)
        fleet.keepers.again(old)

        async def held() -> bool:
            now = await fleet.place(old)
            return now.get("socket") == "held" and now["state"] == "serving"

        await fleet.until("the keeper's own process", held)
        assert (await fleet.place(old))["version"] == fleet.old
        assert (await fleet.say("go"))[0] == 0
        await fleet.ends(controller, 0)
        await fleet.have(fleet.new)

    fleets.play(work)


def test_an_operator_lets_a_roll_go_on_and_sends_it_back(fleets: Fleets) -> None:
    async def work(fleet: Rolling) -> None:
        fleet.write(stages=[{**STAGES[0], "at_end": "pause"}, {**STAGES[1], "soak_s": 60.0}])
        said = await fleet.ends(fleet.run("--no-wait"), 3)
        assert "paused: the plan pauses after stage 1" in said
        code, told = await fleet.say("go")
        assert code == 3 and "nobody carries the roll out" in told
        controller = fleet.run("--no-wait")  # and hears what was said meanwhile
        await fleet.course(lambda kept: kept.stage == 1 and kept.state is RolloutState.COMPARING)
        await fleet.have(fleet.new)
        assert (await fleet.say("status"))[0] == 3
        assert (await fleet.say("pause"))[0] == 0
        assert "paused: an operator paused the rollout" in await fleet.ends(controller, 3)
        await asyncio.gather(fleet.say("back"), fleet.ends(fleet.run(), 1))
        await fleet.have(fleet.old)
        assert fleet.broken == 0

    fleets.play(work)


def test_where_the_old_program_is_gone_the_roll_says_so_and_places_serve_on(fleets: Fleets) -> None:
    async def work(fleet: Rolling) -> None:
        fleet.write("refuses")
        fleet.be(fleet.old, "gone")
        said = await fleet.ends(fleet.run(), 1)
        assert "given up" in said and "(cannot be started: /nowhere" in said
        versions = [(await fleet.place(number))["version"] for number in range(3)]
        assert sorted(versions) == sorted([fleet.old, fleet.old, fleet.new])
        await fleet.serves(0, 1, 2)
        # By hand, once it is there again.
        fleet.be(fleet.old, "none")
        kept = fleet.files.read_state()
        assert kept
        said = await fleet.order(versions.index(fleet.new), f"place-back {kept.roll}")
        assert said.startswith("+OK")
        await fleet.have(fleet.old)
        assert fleet.broken == 0

    fleets.play(work)
