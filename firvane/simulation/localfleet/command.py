"""The command `firvane-fleet`: a whole fleet on this machine for some seconds."""

from __future__ import annotations

import asyncio
import dataclasses
import shutil
import signal
import sys
import tempfile
from pathlib import Path

import uvloop

from firvane.simulation.localfleet.faults import FaultSpecError, parse_kill
from firvane.simulation.localfleet.fleet import FleetOptions, LocalFleet
from firvane.simulation.localfleet.fleet_run import StartError
from firvane.simulation.localfleet.layout import (
    MAX_BACKENDS,
    MAX_CONTROLLERS,
    MAX_ROUTERS,
    Layout,
    find_free_ports,
    make_layout,
)
from firvane.simulation.localfleet.metrics import RunMetrics
from firvane.simulation.localfleet.profiles import LONG_PROMPTS, SHORT_PROMPTS
from firvane.simulation.localfleet.report_text import render

DONE = 0
NOT_GOOD = 1
BAD_USAGE = 2
NOT_STARTED = 3
INTERRUPTED = 130


def fleet(
    *,
    routers: int = 3,
    controllers: int = 3,
    backends: int = 4,
    seconds: float = 20.0,
    json: Path | None = None,
    kill: list[str] = [],  # noqa: B006 - defopt reads the default, and nothing changes it
    replace: list[float] = [],  # noqa: B006
    long_prompts: float = LONG_PROMPTS.per_second,
    short_prompts: float = SHORT_PROMPTS.per_second,
    seed: int = 1,
    keep: bool = False,
) -> int:
    """Run a whole fleet on this machine and report what was served.

    Routers and controllers are the real daemons, each a process with a loopback address of its own. Model
    servers, the platform's list, the operator and the clients are stand-ins in this process. Ends with 0 only
    if every request was served and none ran twice.

    :param routers: how many routers
    :param controllers: how many controllers
    :param backends: how many model servers
    :param seconds: how long requests are sent
    :param json: write all figures to this file
    :param kill: ROLE@SECOND ...: SIGKILL, and a new start 1 s later; ROLE is router, controller, owner (of
        the configuration) or a name such as router-2
    :param replace: SECOND ...: the oldest model server drains and a new one takes its place
    :param long_prompts: requests a second with long prompts, which run at most once
    :param short_prompts: requests a second with short prompts, whose streams may be resumed
    :param seed: of sizes, times and choices
    :param keep: keep the folder with settings, data and logs
    """
    try:
        layout, options = _read(
            FleetOptions(
                routers=routers,
                controllers=controllers,
                backends=backends,
                seconds=seconds,
                kinds=(
                    dataclasses.replace(LONG_PROMPTS, per_second=long_prompts),
                    dataclasses.replace(SHORT_PROMPTS, per_second=short_prompts),
                ),
                replacements=tuple(replace),
                seed=seed,
            ),
            kill,
        )
    except (FaultSpecError, ValueError, OSError) as error:
        print(error, file=sys.stderr)
        return BAD_USAGE
    folder = Path(tempfile.mkdtemp(prefix="firvane-fleet-"))
    try:
        return _play(layout, options, folder, json)
    finally:
        if keep:
            print(f"Settings, data and logs are in {folder}.")
        else:
            shutil.rmtree(folder, ignore_errors=True)


def _read(options: FleetOptions, kills: list[str]) -> tuple[Layout, FleetOptions]:
    """The addresses of a fleet of this size, and the options with the kills that were asked for."""
    counts = (
        ("routers", options.routers, MAX_ROUTERS),
        ("controllers", options.controllers, MAX_CONTROLLERS),
        ("backends", options.backends, MAX_BACKENDS // 2),
    )
    for name, count, most in counts:
        if not 1 <= count <= most:
            raise ValueError(f"{name}: {count} is not between 1 and {most}")
    servers = options.backends + len(options.replacements)
    ports = find_free_ports(options.controllers, options.routers, servers)
    layout = make_layout(options.controllers, options.routers, ports)
    names = [node.name for node in layout.nodes]
    options = dataclasses.replace(options, kills=tuple(parse_kill(text, names) for text in kills))
    for at in (*(each.at for each in options.kills), *options.replacements):
        if not 0 <= at < options.seconds:
            raise ValueError(f"second {at:g} is not within the {options.seconds:g} s of the load")
    return layout, options


def _play(layout: Layout, options: FleetOptions, folder: Path, json: Path | None) -> int:
    """One run on a loop of its own; the exit code."""
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            metrics = runner.run(_run(layout, options, folder))
    except StartError as error:
        print(error, file=sys.stderr)
        return NOT_STARTED
    except (KeyboardInterrupt, asyncio.CancelledError):
        return INTERRUPTED
    print(render(metrics))
    if json:
        json.write_text(metrics.as_json() + "\n")
    return DONE if metrics.good else NOT_GOOD


async def _run(layout: Layout, options: FleetOptions, folder: Path) -> RunMetrics:
    """Play, and end everything in order when SIGTERM comes as well."""
    playing = asyncio.current_task()
    assert playing
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
    return await LocalFleet(layout, options, folder).play()
