"""Structured logging: one line per event, with its name and fields, as logfmt or JSON.

Invariants:

1. An event has a fixed name in snake case; all variable parts are fields.
2. An event below the level costs one call and formats nothing. Code on the request path that would have to
   collect fields first calls `is_enabled_for` once and caches the result.
3. Logging never fails: a line that cannot be written is dropped.
4. There is no global state: each proxy is passed its log with its name bound, so that several proxies in one
   process have separate logs. The clock is a parameter as well: simulations log virtual time.

The interface is that of structlog, so that an application that uses structlog can pass its own logger.
structlog itself is not imported, because of its memory use.
"""

from __future__ import annotations

import json
import logging
import sys
import time
import traceback
from collections.abc import Callable
from typing import Any, Protocol

from firvane.core.printable import plain

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
FORMATS = ("logfmt", "json")


class Log(Protocol):
    """The part of structlog's bound logger that the proxy uses."""

    def bind(self, **fields: Any) -> Log:
        """Return a log that adds these fields to each line."""

    def is_enabled_for(self, level: int) -> bool:
        """Return whether events of this level are written."""

    def debug(self, event: str, **fields: Any) -> Any:
        """Log an event for debugging."""

    def info(self, event: str, **fields: Any) -> Any:
        """Log an ordinary event."""

    def warning(self, event: str, **fields: Any) -> Any:
        """Log an event that operators should know of."""

    def error(self, event: str, **fields: Any) -> Any:
        """Log an error; an exception goes into `exc_info`."""

    def exception(self, event: str, **fields: Any) -> Any:
        """Log an error with the exception that is being handled."""


class LineLog:
    """A log that renders each event as a line."""

    def __init__(
        self,
        level: int,
        render: Callable[[dict[str, Any]], str],
        write: Callable[[str], object],
        wall: Callable[[], float],
        fields: dict[str, Any],
    ) -> None:
        """Create a log.

        Args:
            level: The lowest level that is written, of `LEVELS`.
            render: Formats the fields as a line.
            write: Writes a line.
            wall: Returns Unix time in s.
            fields: The fields of every line.
        """
        self.level, self.render, self.write, self.wall, self.fields = level, render, write, wall, fields

    def bind(self, **fields: Any) -> LineLog:
        """Return a log that adds these fields to each line."""
        return LineLog(self.level, self.render, self.write, self.wall, {**self.fields, **fields})

    def is_enabled_for(self, level: int) -> bool:
        """Return whether events of this level are written."""
        return level >= self.level

    def _write_event(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if LEVELS[level] >= self.level:
            at = self.wall()
            stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(at)) + f".{int(at % 1 * 1000):03}Z"
            line = {"at": stamp, "level": level, "event": event, **self.fields, **fields}
            if error := line.pop("exc_info", None):
                line["exception"] = "".join(traceback.format_exception(error)).rstrip()
            self.write(self.render(line))

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event for debugging."""
        if self.level <= logging.DEBUG:
            self._write_event("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an ordinary event."""
        self._write_event("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that operators should know of."""
        self._write_event("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an error; an exception goes into `exc_info`."""
        self._write_event("error", event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Log an error with the exception that is being handled."""
        self._write_event("error", event, {**fields, "exc_info": sys.exception()})


def to_stderr(line: str) -> None:
    """Write a line to standard error and flush it; does nothing if standard error is closed."""
    try:
        sys.stderr.write(line + "\n")
        sys.stderr.flush()
    except (OSError, ValueError):
        pass


def logfmt(fields: dict[str, Any]) -> str:
    """Return the fields as logfmt (`key=value`)."""
    return " ".join(f"{key}={_value(value)}" for key, value in fields.items())


def _value(value: Any) -> str:
    match value:
        case None:
            return ""
        case bool():
            return "true" if value else "false"
        case float():
            return f"{value:.6g}"
    text = plain(str(value))
    return text if text and not set(text) & set(' "=\\') else json.dumps(text, ensure_ascii=False)


def as_json(fields: dict[str, Any]) -> str:
    """Return the fields as a JSON object."""
    return json.dumps(fields, default=str)


def make(
    level: str = "info",
    form: str = "logfmt",
    write: Callable[[str], object] = to_stderr,
    wall: Callable[[], float] = time.time,
) -> Log:
    """Make a log.

    Args:
        level: The name of the lowest level that is written, of `LEVELS`.
        form: "logfmt" or "json".
        write: Writes a line.
        wall: Unix time in s.
    """
    return LineLog(LEVELS[level], as_json if form == "json" else logfmt, write, wall, {})


QUIET: Log = LineLog(logging.CRITICAL + 1, logfmt, to_stderr, time.time, {})  # writes nothing


class LoggingBridge(logging.Handler):
    """Forwards records that libraries log with the standard module, such as asyncio's errors in callbacks."""

    def __init__(self, log: Log) -> None:
        super().__init__(logging.WARNING)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as the event `library`."""
        try:
            write = self.log.warning if record.levelno < logging.ERROR else self.log.error
            error = record.exc_info[1] if record.exc_info else None
            write("library", logger=record.name, text=record.getMessage(), exc_info=error)
        except Exception:  # as the standard handlers do: a bad record must not fail the code that logged it
            self.handleError(record)
