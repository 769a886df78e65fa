"""The process of a control service: reads its configuration file and runs until a signal stops it."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from collections.abc import Callable
from functools import partial

import uvloop

from firvane.core import validation
from firvane.core.logs import LoggingBridge
from firvane.proxy import native
from firvane.proxy.config.checks import CHECKS
from firvane.proxy.config.file import build_config
from firvane.proxy.config.model import Control as ControlSettings
from firvane.proxy.config.model import File
from firvane.proxy.config.proxy_config import Config
from firvane.proxy.control.certificates import TlsFileError
from firvane.proxy.control.service import Control

ServiceSettings = tuple[Config, ControlSettings]


def read(path: str) -> ServiceSettings:
    """Read the settings of a control service; raises `validation.ValidationError`."""
    file = validation.read(path, File, CHECKS)
    if file.control is None:
        raise validation.ValidationError(
            [validation.Violation(path, "control", "is missing: a table that names the service")]
        )
    return build_config(file), file.control


async def run(settings: ServiceSettings, read_again: Callable[[], ServiceSettings]) -> None:
    """Run a service until SIGTERM or SIGINT; SIGHUP reloads its file."""
    loop = asyncio.get_running_loop()
    service = Control(loop, *settings)
    logging.getLogger().addHandler(LoggingBridge(service.log))
    service.log.info("native", **native.state()._asdict())
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, service.reload, read_again)
    await service.start()
    await stop_requested.wait()
    service.log.info("stopping", streams=len(service.ads.sessions))
    await service.stop()


def serve(file: str, settings: ServiceSettings) -> int:
    """Run a service until a signal stops it; returns the exit code."""
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(settings, partial(read, file)))
    except (OSError, TlsFileError) as error:
        print(f"firvane: cannot start: {error}", file=sys.stderr)
        return 2
    return 0
