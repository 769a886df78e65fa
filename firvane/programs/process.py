"""What the daemons have in common: incarnation, signals, garbage collection."""

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
GARBAGE_THRESHOLDS = (20_000, 20, 50)  # higher than usual, since requests leave few cycles


def new_incarnation() -> int:
    """Return 64 bits that rise from start to start as far as the time of day does.

    Milliseconds of Unix time, then random bits. Where the time of day has stepped back, the cluster's
    membership raises the incarnation.
    """
    milliseconds = int(time.time() * 1000)
    return (milliseconds << INCARNATION_RANDOM_BITS) | random.getrandbits(INCARNATION_RANDOM_BITS)


@dataclass(frozen=True, slots=True)
class ProcessEvents:
    """What reaches a running daemon from outside.

    Attributes:
        stop_requested: Set at SIGTERM or SIGINT.
        watch: Reloads the settings file; to be started and stopped by the daemon.
    """

    stop_requested: asyncio.Event
    watch: SettingsWatch


def handle_process_events(
    loop: asyncio.AbstractEventLoop, log: Log, reload: Callable[[Settings], None]
) -> ProcessEvents:
    """Handle the process's signals, and log what its callbacks raise.

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
    """Exclude what exists after the start from all later garbage collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GARBAGE_THRESHOLDS)


def exception_fields(context: dict[str, Any]) -> dict[str, Any]:
    """Return the log fields of what an event loop reports to its exception handler."""
    return {"message": str(context.get("message")), "exc_info": context.get("exception")}
