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

TIMEOUT_S = 15.0  # for each awaited condition
POLL_INTERVAL_S = 0.05
CONTROLLERS, ROUTERS = 3, 1


class CommandResult:
    """The output of a command, and its exit code."""

    def __init__(self, code: int, printed: str) -> None:
        self.code, self.printed = code, printed

    @property
    def json(self) -> Any:
        return json.loads(self.printed)


def command(*arguments: str) -> CommandResult:
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(io.StringIO()):
        try:
            admin.run([*arguments, "--rounds", "1", "--json"])
        except SystemExit as result:
            return CommandResult(int(result.code or 0), printed.getvalue())
    raise AssertionError("the command has no exit code")


async def run(*arguments: str) -> CommandResult:
    return await asyncio.to_thread(command, *arguments)


async def run_until(condition: Callable[[CommandResult], bool], *arguments: str) -> CommandResult:
    """Repeat a command until its result meets a condition."""
    loop = asyncio.get_running_loop()
    result = None
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                result = await run(*arguments)
                if condition(result):
                    return result
                poll = loop.create_future()
                loop.call_later(POLL_INTERVAL_S, poll.set_result, None)
                await poll
    except TimeoutError:
        raise AssertionError(f"{arguments}: {result and (result.code, result.printed)}") from None


def is_done(result: CommandResult) -> bool:
    return result.code == 0


def controls(layout: Layout) -> list[str]:
    return [f"{host}:{port}" for host, port in layout.controls]


def internal(layout: Layout, control: str) -> str:
    return f"{control.partition(':')[0]}:{layout.ports.internal[0]}"


async def check_commands(layout: Layout, daemons: list[Daemon], file: Path) -> None:
    await asyncio.gather(*(daemon.start() for daemon in daemons))
    addresses = controls(layout)
    await run_until(is_done, "replace", str(file), *addresses, "--base", "0")
    await run_until(is_done, "parts", addresses[1])
    await check_members(layout, addresses)
    await run_until(
        lambda result: is_done(result) and len(result.json["current"]) == 4, "behind", addresses[0]
    )
    router = f"{layout.routers[0].host}:{layout.ports.readiness}"
    await run_until(lambda result: is_done(result) and len(result.json["members"]) == 4, "members", router)
    own = (await run("members", router)).json
    assert (own["config_version"], own["members"][0]["config_version"]) == (5, 5)
    await check_hand_over(layout, addresses)
    await check_lost(daemons, addresses)


async def check_members(layout: Layout, addresses: list[str]) -> None:
    result = await run_until(
        lambda result: is_done(result) and len(result.json["members"]) == 4, "members", addresses[0]
    )
    found = {each["address"]: each for each in result.json["members"]}
    roles = {node.host: str(node.role) for node in layout.nodes}
    assert {address.partition(":")[0]: each["role"] for address, each in found.items()} == roles
    assert {each["state"] for each in found.values()} == {"alive"}
    assert {each["control"] for each in found.values()} == {*addresses, None}


async def check_hand_over(layout: Layout, addresses: list[str]) -> None:
    before = (await run("parts", addresses[0])).json["parts"][0]["owner_control"]
    successor = next(each for each in addresses if each != before)
    result = await run("hand-over", "0", *addresses, "--to", successor)
    assert (result.code, result.json["owner"]) == (0, internal(layout, successor))

    def moved(result: CommandResult) -> bool:
        return is_done(result) and result.json["parts"][0]["owner_control"] == successor

    await run_until(moved, "parts", before)
    assert (await run("hand-over", "0", *addresses, "--to", "127.9.9.9:1")).json["code"] == 2021


async def check_lost(daemons: list[Daemon], addresses: list[str]) -> None:
    """Check that the third controller reports the two that are killed."""
    await asyncio.gather(daemons[0].kill(), daemons[1].kill())
    states = {address: "alive" for address in addresses}

    def noticed(result: CommandResult) -> bool:
        if not is_done(result):
            return False
        states.update({each["control"]: each["state"] for each in result.json["members"] if each["control"]})
        return [states[address] for address in addresses] == ["dead", "dead", "alive"]

    await run_until(noticed, "members", addresses[2])
    await run_until(lambda result: result.code == 4, "parts", addresses[2])
    assert (await run("hand-over", "0", addresses[2])).code == 3
    assert (await run("members", *addresses[:2])).code == 3


def test_the_commands_work_against_real_daemons(tmp_path: Path) -> None:
    file = tmp_path / "configuration.json"
    file.write_text(json.dumps(make_document(5)))
    layout = make_layout(CONTROLLERS, ROUTERS, find_free_ports(CONTROLLERS, ROUTERS, 0))

    async def work() -> None:
        daemons = [Daemon(node, layout, PlatformTerms(), tmp_path) for node in layout.nodes]
        try:
            await check_commands(layout, daemons, file)
        finally:
            await asyncio.gather(*(daemon.kill() for daemon in daemons))
        assert all(daemon.problems() == [] for daemon in daemons)

    asyncio.run(work())
