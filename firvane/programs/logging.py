"""The log of a daemon: structlog, one logfmt line for each event on standard error.

Events are constant names in snake case that begin with their component (`configuration_applied`); variable
parts are fields, with the unit in the name. A line that cannot be written is dropped: logging must not end
a daemon.
"""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

import structlog

from firvane.core.logs import Log, LoggingBridge

KEY_ORDER = ("timestamp", "level", "program", "node", "event")


class LineWriter:
    """Writes rendered lines; structlog calls the method of the level."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def msg(self, line: str) -> None:
        """Write one line; drop it if the stream is closed or broken."""
        try:
            self._stream.write(line + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            pass

    debug = info = warning = error = critical = msg


def make_log(program: str, node: str, level: int = logging.INFO, stream: TextIO | None = None) -> Log:
    """Return a logger bound to the names of the program and the node; events below `level` are dropped."""
    target = stream or sys.stderr
    processors: list[Any] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        structlog.processors.LogfmtRenderer(key_order=KEY_ORDER, drop_missing=True, bool_as_flag=False),
    ]
    log: Log = structlog.wrap_logger(
        LineWriter(target),
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(level),
        cache_logger_on_first_use=True,
    ).bind(program=program, node=node)
    return log


def bridge_library_logs(log: Log) -> None:
    """Write the log records of libraries, such as asyncio, to the daemon's log."""
    logging.getLogger().addHandler(LoggingBridge(log))
