"""The controller's process: its settings file in, one controller on an event loop, signals passed on."""

from __future__ import annotations

from firvane import orders

if __name__ == "__main__":
    orders.hold()  # a signal that comes while modules are imported waits until the loop listens

import asyncio
import gc
import signal
import sys

import uvloop

from firvane.controller.controller import Controller
from firvane.controller.options import ControllerOptions
from firvane.logs import Log
from firvane.programs.logging import bridge_library_logs, make_log
from firvane.programs.process import describe_fault, new_incarnation
from firvane.programs.settings import (
    EXIT_BAD_SETTINGS,
    Settings,
    SettingsError,
    load_again,
    load_or_exit,
)
from firvane.programs.settings_watch import SettingsWatch

SIGNALS_HELD = 1.0  # s at the most that signals wait for the start
GARBAGE_THRESHOLDS = (20_000, 20, 50)  # little is left behind in cycles


def controller_options(settings: Settings) -> ControllerOptions:
    """What the settings file says, as a controller needs it; `SettingsError` where something is missing."""
    if settings.control is None:
        raise SettingsError("listen_addresses: a controller needs control")
    if settings.data_directory is None:
        raise SettingsError("data_directory: a controller needs one")
    tolerance = settings.fault_tolerance
    return ControllerOptions(
        zone=settings.zone,
        internal=settings.internal_address,
        control=settings.control,
        seeds=settings.seed_internal,
        directory=settings.data_directory,
        first_start=settings.first_start,
        incarnation=new_incarnation(),
        tolerated_losses=max(tolerance.machines, tolerance.zones, tolerance.regions),
        region_of_zone=settings.zones,
        loses_regions=tolerance.regions > 0,
        platform=settings.cloud_api.address,
        grace=settings.bounds.grace_s,
    )


async def run(options: ControllerOptions, log: Log) -> None:
    """One controller from its start to its end by SIGTERM."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log.error("controller: callback failed.", **describe_fault(context))
    )
    controller = Controller(loop, options, log)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    watch = SettingsWatch(loop, lambda: reload(controller, log))
    loop.add_signal_handler(signal.SIGHUP, watch.signalled)
    watch.start()
    starting = loop.create_task(controller.start())
    starting.add_done_callback(lambda _: tune_collector())
    await asyncio.wait({starting}, timeout=SIGNALS_HELD)
    orders.heed()  # threads that the start has made hold signals for ever, and never end the process by one
    await ended.wait()
    watch.stop()
    starting.cancel()
    try:
        await controller.stop()
    except Exception:
        log.exception("controller: stop failed.")
    orders.hold()  # the loop closes next, and one more signal must not end the process in another way


def tune_collector() -> None:
    """Leave what has been set up out of all later garbage collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GARBAGE_THRESHOLDS)


def reload(controller: Controller, log: Log) -> None:
    """The seeds and the platform's address may have changed; a bad file changes nothing."""
    settings = load_again(log)
    if settings is not None:
        controller.reload(settings.seed_internal, settings.cloud_api.address)


def main() -> int:
    """Run the daemon; the exit status."""
    settings = load_or_exit()
    try:
        options = controller_options(settings)
    except SettingsError as error:
        print(f"settings: {error}", file=sys.stderr, flush=True)
        return EXIT_BAD_SETTINGS
    log = make_log("controller", settings.node_name)
    bridge_library_logs(log)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(options, log))
    return 0


if __name__ == "__main__":
    sys.exit(main())
