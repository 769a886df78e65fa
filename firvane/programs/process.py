"""What the processes of the fleet's daemons have in common, whatever they run."""

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
from firvane.programs.settings import Settings, load_again
from firvane.programs.settings_watch import SettingsWatch

INCARNATION_RANDOM_BITS = 16
GARBAGE_THRESHOLDS = (20_000, 20, 50)  # requests and messages leave little behind in cycles


def new_incarnation() -> int:
    """A number of 64 bits that rises from start to start as far as the time of day does.

    Milliseconds of Unix time, then random bits: the time of day may have stepped back, which the cluster's
    membership settles.
    """
    milliseconds = int(time.time() * 1000)
    return (milliseconds << INCARNATION_RANDOM_BITS) | random.getrandbits(INCARNATION_RANDOM_BITS)


@dataclass(frozen=True, slots=True)
class Lifetime:
    """What reaches a running daemon from outside."""

    ended: asyncio.Event  # SIGTERM or SIGINT has come
    watch: SettingsWatch  # reads the settings file again; it is to be started and stopped


def handle_process_events(
    loop: asyncio.AbstractEventLoop, log: Log, reload: Callable[[Settings], None]
) -> Lifetime:
    """Handle the process's signals and log what its callbacks raise.

    `reload` is called with the settings when the file has changed; a bad file changes nothing.
    """

    def read_again() -> None:
        settings = load_again(log)
        if settings is not None:
            reload(settings)

    loop.set_exception_handler(
        lambda _, context: log.error("process: callback failed.", **describe_fault(context))
    )
    lifetime = Lifetime(asyncio.Event(), SettingsWatch(loop, read_again))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lifetime.ended.set)
    loop.add_signal_handler(signal.SIGHUP, lifetime.watch.signalled)
    return lifetime


def tune_collector() -> None:
    """Leave what has been set up out of all later garbage collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GARBAGE_THRESHOLDS)


def describe_fault(context: dict[str, Any]) -> dict[str, Any]:
    """The fields of a log line for what an event loop reports to its exception handler."""
    return {"message": str(context.get("message")), "exc_info": context.get("exception")}
