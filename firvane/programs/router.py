"""The router's process: its settings file in, one router on an event loop, signals passed on."""

from __future__ import annotations

from firvane import orders

if __name__ == "__main__":
    orders.hold()  # a signal that comes while modules are imported waits until the loop listens

import asyncio
import gc
import signal
import sys

import uvloop

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
from firvane.router.router import Router, RouterSettings

EXIT_FAILED = 1
GARBAGE_THRESHOLDS = (20_000, 20, 50)  # requests leave no cycles behind


def router_settings(settings: Settings) -> RouterSettings:
    """What the settings file says, as a router needs it; `SettingsError` where an address is missing."""
    if settings.front is None or settings.readiness is None:
        raise SettingsError("listen_addresses: a router needs front and readiness")
    return RouterSettings(
        internal=settings.internal_address,
        front=settings.front,
        readiness=settings.readiness,
        seeds=settings.seed_internal,
        zone=settings.zone,
        zones=tuple(settings.zones) or (settings.zone,),
        incarnation=new_incarnation(),
        file_descriptors=settings.limits.file_descriptors,
        grace=settings.bounds.grace_s,
        retry_ratio=settings.bounds.retry_budget_ratio,
        retry_slack=settings.bounds.retry_slack,
    )


async def run(options: RouterSettings, log: Log) -> None:
    """One router from its start to its end by SIGTERM."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log.error("router: callback failed.", **describe_fault(context))
    )
    router = Router(loop, options, log)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    watch = SettingsWatch(loop, lambda: reload(router, log))
    loop.add_signal_handler(signal.SIGHUP, watch.signalled)
    await router.start()
    orders.heed()  # threads that the start has made hold signals for ever, and never end the process by one
    watch.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GARBAGE_THRESHOLDS)
    await ended.wait()
    watch.stop()
    await router.drain()
    orders.hold()  # the loop closes next, and one more signal must not end the process in another way


def reload(router: Router, log: Log) -> None:
    """The seeds may have changed; a bad file changes nothing."""
    settings = load_again(log)
    if settings is not None:
        router.agent.set_seeds(settings.seed_internal)


def main() -> int:
    """Run the daemon; the exit status."""
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
    return 0


if __name__ == "__main__":
    sys.exit(main())
