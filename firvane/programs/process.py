"""Parts that all daemons share: incarnation, signals, garbage collection."""

from __future__ import annotations

import asyncio
import gc
import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from firvane.core.logs import Log
from firvane.programs.settings import Settings, reload_settings
from firvane.programs.settings_watch import SettingsWatch

INCARNATION_RANDOM_BITS = 16
GARBAGE_THRESHOLDS = (20_000, 20, 50)  # higher than the defaults, since requests create few cycles


def new_incarnation() -> int:
    """Return a 64-bit number that rises from start to start unless the system clock steps back.

    It holds milliseconds of Unix time, then random bits. After a step back of the clock, the cluster's
    membership raises the incarnation.
    """
    milliseconds = int(time.time() * 1000)
    return (milliseconds << INCARNATION_RANDOM_BITS) | random.getrandbits(INCARNATION_RANDOM_BITS)


@dataclass(frozen=True, slots=True)
class ProcessEvents:
    """The external events that a running daemon handles.

    Attributes:
        stop_requested: Set at SIGTERM or SIGINT.
        watch: Reloads the settings file; the daemon starts and stops it.
    """

    stop_requested: asyncio.Event
    watch: SettingsWatch


def handle_process_events(
    loop: asyncio.AbstractEventLoop, log: Log, reload: Callable[[Settings], None]
) -> ProcessEvents:
    """Handle the signals of the process, and log exceptions of callbacks on the loop.

    Args:
        loop: The event loop.
        log: The log.
        reload: Called with the new settings when the file has changed; an invalid file changes nothing.
    """

    def reload_if_valid() -> None:
        settings = reload_settings(log)
        if settings is not None:
            reload(settings)

    loop.set_exception_handler(
        lambda _, context: log.error("process_callback_failed", **exception_fields(context))
    )
    events = ProcessEvents(asyncio.Event(), SettingsWatch(loop, reload_if_valid))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, events.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, events.watch.on_signal)
    return events


def tune_collector() -> None:
    """Exclude the objects that exist now from later garbage collections, and raise the thresholds."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GARBAGE_THRESHOLDS)


def exception_fields(context: dict[str, Any]) -> dict[str, Any]:
    """Return the log fields for a context that an event loop passes to its exception handler."""
    return {"message": str(context.get("message")), "exc_info": context.get("exception")}
