"""The controller daemon: reads its settings file and runs one controller on an event loop."""

from __future__ import annotations

from firvane.core import process_signals

if __name__ == "__main__":
    process_signals.block()  # a signal during the imports stays pending until the loop handles signals

import asyncio
import sys

import uvloop

from firvane.core.logs import Log
from firvane.fleet.controller.controller import Controller
from firvane.fleet.controller.options import ControllerOptions
from firvane.fleet.tenancy.quota import QuotaRules
from firvane.programs.logging import bridge_library_logs, make_log
from firvane.programs.process import handle_process_events, new_incarnation, tune_collector
from firvane.programs.settings import (
    EXIT_BAD_SETTINGS,
    Settings,
    SettingsError,
    load_or_exit,
)

MAX_START_S = 1.0  # signals stay blocked for at most this time during the start
EXIT_OK = 0


def controller_options(settings: Settings) -> ControllerOptions:
    """Return the options of a controller.

    Raises:
        SettingsError: A setting that a controller needs is missing.
    """
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
        tolerates_region_loss=tolerance.regions > 0,
        platform=settings.cloud_api.address,
        grace_period_s=settings.bounds.grace_s,
        quota=QuotaRules(
            settings.bounds.quota_window_s, settings.bounds.quota_overage, settings.bounds.quota_slack
        ),
    )


async def run(options: ControllerOptions, log: Log) -> None:
    """Run one controller until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    controller = Controller(loop, options, log)
    events = handle_process_events(
        loop,
        log,
        lambda settings: controller.reload(settings.seed_internal, settings.cloud_api.address),
    )
    events.watch.start()
    starting = loop.create_task(controller.start())
    starting.add_done_callback(lambda _: tune_collector())
    await asyncio.wait({starting}, timeout=MAX_START_S)
    process_signals.unblock()
    await events.stop_requested.wait()
    events.watch.stop()
    starting.cancel()
    try:
        await controller.stop()
    except Exception:  # the exit status must not depend on a failed stop
        log.exception("controller_stop_failed")
    process_signals.block()  # the loop closes next: one more signal must not change the exit status


def main() -> int:
    """Run the daemon, and return its exit status."""
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
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
