"""Log lines: complete, one per event, for any field values and outputs."""

from __future__ import annotations

import io
import json
import logging
import re
import sys

import pytest
import structlog
from hypothesis import given
from hypothesis import strategies as st

from firvane.core import logs
from tests.proxy.net.helpers import seeded


def lines(form: str, level: str = "info") -> tuple[logs.Log, list[str]]:
    written: list[str] = []
    return logs.make(level, form, written.append, lambda: 1.5).bind(proxy="n0"), written


def test_a_logger_of_structlog_can_be_used() -> None:
    log: logs.Log = structlog.wrap_logger(None, wrapper_class=structlog.make_filtering_bound_logger(20))
    with structlog.testing.capture_logs() as written:
        made = log.bind(proxy="n0")
        made.info("ready", targets=1)
        made.debug("unseen")
    assert written == [{"event": "ready", "proxy": "n0", "targets": 1, "log_level": "info"}]
    assert not made.is_enabled_for(logs.LEVELS["debug"])


def test_a_line_has_time_level_event_and_fields() -> None:
    log, written = lines("logfmt")
    log.info("ready", listen="1.2.3.4:5", why="a b", none=None, on=True, part=0.1 + 0.2)
    log.debug("unseen", text=1)
    assert written == [
        "at=1970-01-01T00:00:01.500Z level=info event=ready proxy=n0 "
        'listen=1.2.3.4:5 why="a b" none= on=true part=0.3'
    ]


@seeded
@given(st.text(alphabet=st.characters(codec="utf-8"), max_size=30))
def test_no_field_value_breaks_a_line_or_adds_a_field(text: str) -> None:
    log, written = lines("logfmt")
    log.info("x", text=text, last=1)
    assert written[0].isprintable() and len(re.findall(r'(?:[^\s"]|"(?:\\.|[^"\\])*")+', written[0])) == 6
    log, written = lines("json")
    log.info("x", text=text)
    assert json.loads(written[0])["text"] == text and len(written[0].splitlines()) == 1


def test_events_below_the_level_are_not_formatted() -> None:
    class NeverFormatted:
        def __str__(self) -> str:
            raise AssertionError("it was formatted")

    log, written = lines("logfmt")
    log.debug("attempt_ended", what=NeverFormatted())
    assert not written and not log.is_enabled_for(logs.LEVELS["debug"])


def test_a_closed_standard_error_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    class ClosedPipe(io.StringIO):
        def write(self, text: str) -> int:
            raise BrokenPipeError

    monkeypatch.setattr(sys, "stderr", ClosedPipe())
    logs.make().error("x")


def test_a_record_of_a_library_has_its_traceback_on_one_line() -> None:
    log, written = lines("logfmt")
    library = logging.Logger("asyncio")
    library.addHandler(logs.LoggingBridge(log))
    try:
        raise RuntimeError("lost")
    except RuntimeError:
        library.exception("in a %s", "callback")
    assert (
        len(written) == 1 and "level=error event=library" in written[0] and "RuntimeError: lost" in written[0]
    )
