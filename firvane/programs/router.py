"""The router daemon: reads its settings file and runs one router on an event loop."""

from __future__ import annotations

from firvane.core import process_signals

if __name__ == "__main__":
    process_signals.block()  # a signal during the imports stays pending until the loop handles signals

import asyncio
import sys

import uvloop

from firvane.core.logs import Log
from firvane.fleet.router.router import Router, RouterSettings
from firvane.programs.logging import bridge_library_logs, make_log
from firvane.programs.process import handle_process_events, new_incarnation, tune_collector
from firvane.programs.settings import (
    EXIT_BAD_SETTINGS,
    Settings,
    SettingsError,
    load_or_exit,
)

EXIT_OK = 0
EXIT_FAILED = 1


def router_settings(settings: Settings) -> RouterSettings:
    """Return the settings of a router.

    Raises:
        SettingsError: An address that a router needs is missing.
    """
    if settings.front is None or settings.readiness is None:
        raise SettingsError("listen_addresses: a router needs front and readiness")
    return RouterSettings(
        internal=settings.internal_address,
        client_address=settings.front,
        readiness_address=settings.readiness,
        seeds=settings.seed_internal,
        zone=settings.zone,
        zones=tuple(settings.zones) or (settings.zone,),
        incarnation=new_incarnation(),
        file_descriptors=settings.limits.file_descriptors,
        memory_mb=settings.limits.memory_mb,
        grace=settings.bounds.grace_s,
        retry_ratio=settings.bounds.retry_budget_ratio,
        retry_slack=settings.bounds.retry_slack,
        revoke=settings.bounds.revoke_ms / 1000 if settings.bounds.revocation_closed else 0.0,
    )


async def run(options: RouterSettings, log: Log) -> None:
    """Run one router until it has drained after SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    router = Router(loop, options, log)
    events = handle_process_events(loop, log, lambda settings: router.agent.set_seeds(settings.seed_internal))
    await (
        router.start()
    )  # starts the worker threads of the loop, which inherit the blocked signals and keep them blocked
    process_signals.unblock()
    events.watch.start()
    tune_collector()
    await events.stop_requested.wait()
    events.watch.stop()
    await router.drain()
    process_signals.block()  # the loop closes next: one more signal must not change the exit status


def main() -> int:
    """Run the daemon, and return its exit status."""
    settings = load_or_exit()
    try:
        options = router_settings(settings)
    except SettingsError as error:
        print(f"settings: {error}", file=sys.stderr, flush=True)
        return EXIT_BAD_SETTINGS
    log = make_log("router", settings.node_name)
    bridge_library_logs(log)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(options, log))
    except OSError as error:
        print(f"firvane: cannot start: {error}", file=sys.stderr, flush=True)
        return EXIT_FAILED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
