"""A pytest plugin: tests that `KNOWN-RED.txt` lists may fail, and are printed; nothing else is passed over.

Rules:

1. A line names a test by its pytest id, the cause of its failure and the issue, divided by ` | `. At most
   `MOST_LINES` lines stand in the file.
2. Only a failure in the body of a listed test is passed over. An error in its set-up or tear-down, a crash in
   collecting and a failure of any other test count as always.
3. A listed test that was to run and passes, or is skipped, fails the session: its line is to be taken out.
4. A line that cannot be read, or that names no test, fails the session. Where only some files are asked for,
   lines are looked up in these, and the files that they name must be there.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MOST_LINES = 3
SEPARATOR = " | "
FIELDS = 3


class KnownRedError(ValueError):
    """The list cannot be read; the text says which line and why."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that may fail."""

    test: str
    cause: str
    issue: str

    @property
    def file(self) -> str:
        """The test's file, relative to the root."""
        return self.test.partition("::")[0]


def parse_known_reds(text: str) -> list[KnownRed]:
    """The lines of the list; `KnownRedError` for one that is no line, is doubled, or is one too many."""
    known: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if len(parts) != FIELDS or not all(parts):
            raise KnownRedError(f"line {number}: not 'test{SEPARATOR}cause{SEPARATOR}issue'")
        entry = KnownRed(*parts)
        if "::" not in entry.test:
            raise KnownRedError(f"line {number}: {entry.test!r} is no id of a test")
        if any(entry.test == other.test for other in known):
            raise KnownRedError(f"line {number}: {entry.test} stands twice")
        known.append(entry)
    if len(known) > MOST_LINES:
        raise KnownRedError(f"{len(known)} lines, and at most {MOST_LINES} may stand in it")
    return known


@dataclass(slots=True)
class KnownReds:
    """The plugin: the list, and what became of each of its tests in this session."""

    entries: dict[str, KnownRed]
    failed: set[str] = field(default_factory=set)
    problems: list[str] = field(default_factory=list)
    names: set[str] = field(default_factory=set)  # of all tests that were collected
    selected: set[str] = field(default_factory=set)  # listed tests that are to run

    def pytest_itemcollected(self, item: pytest.Item) -> None:
        self.names.add(item.nodeid)

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        if session.config.option.collectonly:
            return
        everything = session.config.args_source is not pytest.Config.ArgsSource.ARGS
        files = {name.partition("::")[0] for name in self.names}
        self.selected = {item.nodeid for item in session.items} & self.entries.keys()
        for test, entry in self.entries.items():
            missing_file = not (session.config.rootpath / entry.file).is_file()
            if test not in self.names and (everything or missing_file or entry.file in files):
                self.problems.append(f"{test} is listed, and there is no such test")

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        entry = self.entries.get(item.nodeid)
        if entry and report.when == "call" and report.failed:
            self.failed.add(entry.test)
            report.outcome = "skipped"
            report.wasxfail = f"known red: {entry.cause} ({entry.issue})"
        return report

    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        if session.config.option.collectonly:
            return
        for test in sorted(self.selected - self.failed):
            self.problems.append(f"{test} is listed, and did not fail: take its line out")
        if self.problems and exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if self.failed:
            terminalreporter.section("known reds")
        for test in sorted(self.failed):
            entry = self.entries[test]
            terminalreporter.line(f"{test}: {entry.cause} ({entry.issue})")
        for problem in self.problems:
            terminalreporter.line(f"{FILE_NAME}: {problem}", red=True)


def pytest_configure(config: pytest.Config) -> None:
    """Read the list at the root and register the plugin; a list that cannot be read ends the session."""
    path = Path(config.rootpath) / FILE_NAME
    if not path.exists():
        return
    try:
        entries = parse_known_reds(path.read_text())
    except KnownRedError as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from None
    config.pluginmanager.register(
        KnownReds({entry.test: entry for entry in entries}), "known reds of the root"
    )
