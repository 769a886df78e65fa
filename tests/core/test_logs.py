"""The log's lines: whole, one for each event, whatever is in their fields and wherever they go."""

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
    told: list[str] = []
    return logs.make(level, form, told.append, lambda: 1.5).bind(proxy="n0"), told


def test_a_logger_of_structlog_s_own_serves_as_well() -> None:
    log: logs.Log = structlog.wrap_logger(None, wrapper_class=structlog.make_filtering_bound_logger(20))
    with structlog.testing.capture_logs() as told:
        made = log.bind(proxy="n0")
        made.info("ready", targets=1)
        made.debug("unseen")
    assert told == [{"event": "ready", "proxy": "n0", "targets": 1, "log_level": "info"}]
    assert not made.is_enabled_for(logs.LEVELS["debug"])


def test_a_line_is_time_level_event_proxy_and_fields() -> None:
    log, told = lines("logfmt")
    log.info("ready", listen="1.2.3.4:5", why="a b", none=None, on=True, part=0.1 + 0.2)
    log.debug("unseen", text=1)
    assert told == [
        "at=1970-01-01T00:00:01.500Z level=info event=ready proxy=n0 "
        'listen=1.2.3.4:5 why="a b" none= on=true part=0.3'
    ]


@seeded
@given(st.text(alphabet=st.characters(codec="utf-8"), max_size=30))
def test_no_field_breaks_a_line_or_passes_for_another(text: str) -> None:
    log, told = lines("logfmt")
    log.info("x", text=text, last=1)
    assert told[0].isprintable() and len(re.findall(r'(?:[^\s"]|"(?:\\.|[^"\\])*")+', told[0])) == 6
    log, told = lines("json")
    log.info("x", text=text)
    assert json.loads(told[0])["text"] == text and len(told[0].splitlines()) == 1


def test_what_is_off_is_not_looked_at() -> None:
    class Costly:
        def __str__(self) -> str:
            raise AssertionError("it was formatted")

    log, told = lines("logfmt")
    log.debug("attempt_ended", what=Costly())
    assert not told and not log.is_enabled_for(logs.LEVELS["debug"])


def test_a_reader_that_has_gone_is_no_fault_of_the_proxy(monkeypatch: pytest.MonkeyPatch) -> None:
    class Gone(io.StringIO):
        def write(self, text: str) -> int:
            raise BrokenPipeError

    monkeypatch.setattr(sys, "stderr", Gone())
    logs.make().error("x")


def test_a_library_s_word_keeps_its_traceback_in_one_line() -> None:
    log, told = lines("logfmt")
    library = logging.Logger("asyncio")
    library.addHandler(logs.LoggingBridge(log))
    try:
        raise RuntimeError("lost")
    except RuntimeError:
        library.exception("in a %s", "callback")
    assert len(told) == 1 and "level=error event=library" in told[0] and "RuntimeError: lost" in told[0]
