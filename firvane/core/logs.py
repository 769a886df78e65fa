"""The log: an event's name and its fields, one line each, as logfmt or JSON.

Rules that hold here and nowhere else:

1. An event is a name in lower case with underscores; whatever differs from one time to the next is a field.
2. What is below the level costs one call and formats nothing. Where a caller would have to gather fields
   first, on the way of a request, it asks `is_enabled_for` once and keeps the answer.
3. Nothing that is logged can end the proxy: a line that cannot be written is lost.
4. There is no global set-up: a proxy is handed its log, with its name bound to it, and several proxies in one
   process keep theirs apart. Its clock is handed in as well: lines of virtual time carry virtual times.

The interface is structlog's, so that an application which has structlog hands the proxy a logger of its own.
structlog itself is not loaded here: it would take 1.5 MB of the 25 that a proxy holds.
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

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
FORMATS = ("logfmt", "json")


class Log(Protocol):
    """The part of structlog's bound logger that the proxy uses."""

    def bind(self, **fields: Any) -> Log:
        """The same log, with these fields in each line."""

    def is_enabled_for(self, level: int) -> bool: ...

    def debug(self, event: str, **fields: Any) -> Any: ...

    def info(self, event: str, **fields: Any) -> Any: ...

    def warning(self, event: str, **fields: Any) -> Any: ...

    def error(self, event: str, **fields: Any) -> Any:
        """An exception goes into `exc_info`."""

    def exception(self, event: str, **fields: Any) -> Any:
        """An error, with the exception that is being handled."""


class Lines:
    """A log that renders each event into a line. `wall` tells Unix time in seconds."""

    def __init__(
        self,
        level: int,
        render: Callable[[dict[str, Any]], str],
        write: Callable[[str], object],
        wall: Callable[[], float],
        fields: dict[str, Any],
    ) -> None:
        self.level, self.render, self.write, self.wall, self.fields = level, render, write, wall, fields

    def bind(self, **fields: Any) -> Lines:
        return Lines(self.level, self.render, self.write, self.wall, {**self.fields, **fields})

    def is_enabled_for(self, level: int) -> bool:
        return level >= self.level

    def _tell(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if LEVELS[level] >= self.level:
            at = self.wall()
            stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(at)) + f".{int(at % 1 * 1000):03}Z"
            line = {"at": stamp, "level": level, "event": event, **self.fields, **fields}
            if error := line.pop("exc_info", None):
                line["exception"] = "".join(traceback.format_exception(error)).rstrip()
            self.write(self.render(line))

    def debug(self, event: str, **fields: Any) -> None:
        if self.level <= 10:
            self._tell("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        self._tell("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        self._tell("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        self._tell("error", event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        self._tell("error", event, {**fields, "exc_info": sys.exception()})


def to_stderr(line: str) -> None:
    """Write a line whole; who has closed standard error reads no log, and that is no fault of the proxy."""
    try:
        sys.stderr.write(line + "\n")
        sys.stderr.flush()
    except (OSError, ValueError):
        pass


def logfmt(fields: dict[str, Any]) -> str:
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
    return json.dumps(fields, default=str)


def make(
    level: str = "info",
    form: str = "logfmt",
    write: Callable[[str], object] = to_stderr,
    wall: Callable[[], float] = time.time,
) -> Log:
    """A log at a level of `LEVELS`, as "logfmt" or "json"; `wall` tells Unix time in seconds."""
    return Lines(LEVELS[level], as_json if form == "json" else logfmt, write, wall, {})


QUIET: Log = Lines(100, logfmt, to_stderr, time.time, {})  # for parts that stand alone


class Bridge(logging.Handler):
    """Passes on what libraries log in their own way: asyncio's word of an error in a callback, above all."""

    def __init__(self, log: Log) -> None:
        super().__init__(logging.WARNING)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        try:
            tell = self.log.warning if record.levelno < logging.ERROR else self.log.error
            error = record.exc_info[1] if record.exc_info else None
            tell("library", logger=record.name, text=record.getMessage(), exc_info=error)
        except Exception:  # as logging itself: no fault of a record may reach who logged it
            self.handleError(record)
