"""The log of the daemons: one line for each event, and errors of the stream do not reach the caller."""

import io
import logging

from firvane.programs.logging import bridge_library_logs, make_log


class BrokenStream(io.StringIO):
    def write(self, text: str) -> int:
        raise BrokenPipeError


def test_an_event_is_one_line_with_its_fields() -> None:
    stream = io.StringIO()
    log = make_log("controller", "core-1", stream=stream)
    log.info("configuration_committed", version=7, changed=True, reason="two words")
    line = stream.getvalue()
    assert line.endswith("\n") and line.count("\n") == 1
    assert "program=controller node=core-1 event=configuration_committed version=7 changed=true" in line
    assert 'reason="two words"' in line


def test_an_exception_is_in_the_line_of_its_event() -> None:
    stream = io.StringIO()
    log = make_log("controller", "core-1", stream=stream)
    try:
        raise ValueError("no\nnumber")
    except ValueError:
        log.exception("poll_failed")
    assert stream.getvalue().count("\n") == 1
    assert "ValueError" in stream.getvalue()


def test_events_below_the_level_are_dropped() -> None:
    stream = io.StringIO()
    log = make_log("controller", "core-1", stream=stream)
    log.debug("configuration_details")
    assert not log.is_enabled_for(logging.DEBUG)
    assert stream.getvalue() == ""


def test_a_broken_stream_only_drops_the_line() -> None:
    make_log("controller", "core-1", stream=BrokenStream()).info("configuration_committed")


def test_warnings_of_libraries_are_logged() -> None:
    stream = io.StringIO()
    root = logging.getLogger()
    handlers = list(root.handlers)
    bridge_library_logs(make_log("controller", "core-1", stream=stream))
    try:
        logging.getLogger("asyncio").error("Exception in callback")
    finally:
        root.handlers = handlers
    assert 'text="Exception in callback"' in stream.getvalue()
