"""The command `firvane-fleet`: runs a fleet on this machine for some seconds."""

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

NO_FAULTS = 0
FAULTS_FOUND = 1
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
    """Run a fleet on this machine and report how its requests were served.

    Routers and controllers are the real daemons, each a process with its own loopback address. Model
    servers, the platform's list, the operator and the clients are stand-ins in this process. Exits with 0
    only if every request was served, none ran twice and no other fault was found.

    :param routers: number of routers
    :param controllers: number of controllers
    :param backends: number of model servers
    :param seconds: duration of the load
    :param json: write all metrics to this file as JSON
    :param kill: ROLE@SECOND ...: SIGKILL, and a new start 1 s later; ROLE is router, controller, owner (of
        the configuration) or a name such as router-2
    :param replace: SECOND ...: the oldest model server drains and is replaced by a new one
    :param long_prompts: requests per second with long prompts, which run at maximum once
    :param short_prompts: requests per second with short prompts, whose streams may be resumed
    :param seed: seed of sizes, times and choices
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
    """The addresses of a fleet of this size, and the options with the parsed kills."""
    counts = (
        ("routers", options.routers, MAX_ROUTERS),
        ("controllers", options.controllers, MAX_CONTROLLERS),
        ("backends", options.backends, MAX_BACKENDS // 2),
    )
    for name, count, maximum in counts:
        if not 1 <= count <= maximum:
            raise ValueError(f"{name}: {count} is not between 1 and {maximum}")
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
    """Run the fleet on a new event loop; return the exit code."""
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
    return NO_FAULTS if metrics.good else FAULTS_FOUND


async def _run(layout: Layout, options: FleetOptions, folder: Path) -> RunMetrics:
    """Run the fleet; SIGTERM cancels the run, so that everything is stopped in order."""
    playing = asyncio.current_task()
    assert playing
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
    return await LocalFleet(layout, options, folder).play()
