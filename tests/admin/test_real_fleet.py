"""The commands for the fleet against real daemons: three controllers and a router as processes."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from firvane import admin
from firvane.simulation.localfleet.daemons import Daemon
from firvane.simulation.localfleet.layout import Layout, find_free_ports, make_layout
from firvane.simulation.localfleet.settings_files import PlatformTerms
from tests.fleet.configuration.documents import make_document

PATIENCE = 15.0  # s until something that must happen is missed
LOOK_AGAIN = 0.05  # s between looks at what no event announces
CONTROLLERS, ROUTERS = 3, 1


class Ended:
    """What one command has printed, and its exit code."""

    def __init__(self, code: int, printed: str) -> None:
        self.code, self.printed = code, printed

    @property
    def json(self) -> Any:
        return json.loads(self.printed)


def command(*arguments: str) -> Ended:
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(io.StringIO()):
        try:
            admin.run([*arguments, "--rounds", "1", "--json"])
        except SystemExit as ended:
            return Ended(int(ended.code or 0), printed.getvalue())
    raise AssertionError("the command has no exit code")


async def run(*arguments: str) -> Ended:
    return await asyncio.to_thread(command, *arguments)


async def until(condition: Callable[[Ended], bool], *arguments: str) -> Ended:
    """Repeat a command until its end is as it must be."""
    loop = asyncio.get_running_loop()
    ended = None
    try:
        async with asyncio.timeout(PATIENCE):
            while True:
                ended = await run(*arguments)
                if condition(ended):
                    return ended
                look = loop.create_future()
                loop.call_later(LOOK_AGAIN, look.set_result, None)
                await look
    except TimeoutError:
        raise AssertionError(f"{arguments}: {ended and (ended.code, ended.printed)}") from None


def is_done(ended: Ended) -> bool:
    return ended.code == 0


def controls(layout: Layout) -> list[str]:
    return [f"{host}:{port}" for host, port in layout.controls]


def internal(layout: Layout, control: str) -> str:
    return f"{control.partition(':')[0]}:{layout.ports.internal[0]}"


async def scene(layout: Layout, daemons: list[Daemon], file: Path) -> None:
    await asyncio.gather(*(daemon.start() for daemon in daemons))
    addresses = controls(layout)
    await until(is_done, "replace", str(file), *addresses, "--base", "0")
    await until(is_done, "parts", addresses[1])
    await check_members(layout, addresses)
    await until(lambda ended: is_done(ended) and len(ended.json["current"]) == 4, "behind", addresses[0])
    router = f"{layout.routers[0].host}:{layout.ports.readiness}"
    await until(lambda ended: is_done(ended) and len(ended.json["members"]) == 4, "members", router)
    own = (await run("members", router)).json
    assert (own["config_version"], own["members"][0]["config_version"]) == (5, 5)
    await check_hand_over(layout, addresses)
    await check_lost(daemons, addresses)


async def check_members(layout: Layout, addresses: list[str]) -> None:
    ended = await until(
        lambda ended: is_done(ended) and len(ended.json["members"]) == 4, "members", addresses[0]
    )
    found = {each["address"]: each for each in ended.json["members"]}
    roles = {node.host: str(node.role) for node in layout.nodes}
    assert {address.partition(":")[0]: each["role"] for address, each in found.items()} == roles
    assert {each["state"] for each in found.values()} == {"alive"}
    assert {each["control"] for each in found.values()} == {*addresses, None}


async def check_hand_over(layout: Layout, addresses: list[str]) -> None:
    before = (await run("parts", addresses[0])).json["parts"][0]["owner_control"]
    successor = next(each for each in addresses if each != before)
    ended = await run("hand-over", "0", *addresses, "--to", successor)
    assert (ended.code, ended.json["owner"]) == (0, internal(layout, successor))

    def moved(ended: Ended) -> bool:
        return is_done(ended) and ended.json["parts"][0]["owner_control"] == successor

    await until(moved, "parts", before)
    assert (await run("hand-over", "0", *addresses, "--to", "127.9.9.9:1")).json["code"] == 2021


async def check_lost(daemons: list[Daemon], addresses: list[str]) -> None:
    """Two controllers end without warning: the third one says so."""
    await asyncio.gather(daemons[0].kill(), daemons[1].kill())
    states = {address: "alive" for address in addresses}

    def noticed(ended: Ended) -> bool:
        if not is_done(ended):
            return False
        states.update({each["control"]: each["state"] for each in ended.json["members"] if each["control"]})
        return [states[address] for address in addresses] == ["dead", "dead", "alive"]

    await until(noticed, "members", addresses[2])
    await until(lambda ended: ended.code == 4, "parts", addresses[2])
    assert (await run("hand-over", "0", addresses[2])).code == 3
    assert (await run("members", *addresses[:2])).code == 3


def test_a_real_fleet_is_told_and_moved(tmp_path: Path) -> None:
    file = tmp_path / "configuration.json"
    file.write_text(json.dumps(make_document(5)))
    layout = make_layout(CONTROLLERS, ROUTERS, find_free_ports(CONTROLLERS, ROUTERS, 0))

    async def play() -> None:
        daemons = [Daemon(node, layout, PlatformTerms(), tmp_path) for node in layout.nodes]
        try:
            await scene(layout, daemons, file)
        finally:
            await asyncio.gather(*(daemon.kill() for daemon in daemons))
        assert all(daemon.problems() == [] for daemon in daemons)

    asyncio.run(play())
