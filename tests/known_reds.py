"""A pytest plugin: tests that `KNOWN-RED.txt` lists may fail, and are printed; nothing else is passed over.

Rules:

1. An entry is one line with five fields, separated by ` | `: the test's pytest id; `always` or `at times`;
   the command and the seed that show the failure; what was seen; the issue.
2. Only a failure in the body of a listed test is passed over. An error in its set-up or tear-down, a crash in
   collecting and a failure of any other test count as always.
3. A test listed as `always` that was to run and passes, or is skipped, fails the session: its entry is to be
   taken out. One listed as `at times` may pass; if it is skipped, the session fails.
4. An entry that cannot be read, or that names no test, fails the session. Where only some files are run,
   entries are looked up in these, and the files that they name must exist.
5. With pytest-xdist the workers judge each test, and the controller alone judges the session.
"""

from __future__ import annotations

import enum
from collections.abc import Generator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

FILE_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "
WORKER_REPORT = "known_reds"  # the key of a worker's `Collected` in what xdist passes to the controller
FORM = SEPARATOR.join(("test", "always or at times", "command and seed", "what was seen", "issue"))


class KnownRedError(ValueError):
    """The list cannot be read; the text says which line and why."""


class Frequency(enum.Enum):
    """How often a listed test fails."""

    ALWAYS = "always"
    AT_TIMES = "at times"


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that may fail."""

    test: str
    frequency: Frequency
    command: str
    seen: str
    issue: str

    @property
    def file(self) -> str:
        """The test's file, relative to the root."""
        return self.test.partition("::")[0]


def _parse_entry(number: int, line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != FORM.count(SEPARATOR) + 1 or not all(parts):
        raise KnownRedError(f"line {number}: not '{FORM}'")
    test, frequency, command, seen, issue = parts
    if "::" not in test:
        raise KnownRedError(f"line {number}: {test!r} is no id of a test")
    try:
        return KnownRed(test, Frequency(frequency), command, seen, issue)
    except ValueError:
        raise KnownRedError(f"line {number}: {frequency!r} is neither 'always' nor 'at times'") from None


def parse_known_reds(text: str) -> list[KnownRed]:
    """The entries of the list.

    Raises:
        KnownRedError: a line is no entry, or its test is listed twice.
    """
    known: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        entry = _parse_entry(number, line)
        if any(entry.test == other.test for other in known):
            raise KnownRedError(f"line {number}: {entry.test} stands twice")
        known.append(entry)
    return known


@dataclass(slots=True)
class Collected:
    """What the collection of one process has to do with the list."""

    existing: set[str] = field(default_factory=set)  # listed tests that were found, also where deselected
    selected: set[str] = field(default_factory=set)  # of these, those that are to run
    files: set[str] = field(default_factory=set)  # files of listed tests in which any test was found


@dataclass(slots=True)
class KnownReds:
    """The plugin: the list, and what became of each of its tests in this session."""

    entries: dict[str, KnownRed]
    collected: Collected = field(default_factory=Collected)
    failed: set[str] = field(default_factory=set)
    passed: set[str] = field(default_factory=set)
    problems: list[str] = field(default_factory=list)

    def pytest_itemcollected(self, item: pytest.Item) -> None:
        """Note which of the listed tests and files exist."""
        if item.nodeid in self.entries:
            self.collected.existing.add(item.nodeid)
        file = item.nodeid.partition("::")[0]
        if any(entry.file == file for entry in self.entries.values()):
            self.collected.files.add(file)

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Note which of the listed tests are to run."""
        if not session.config.option.collectonly:
            self.collected.selected |= {item.nodeid for item in session.items} & self.entries.keys()

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        """Turn the failure of a listed test's body into an expected one."""
        report = yield
        entry = self.entries.get(item.nodeid)
        if entry and report.when == "call" and report.failed:
            report.outcome = "skipped"
            report.wasxfail = f"known red: {entry.seen} ({entry.issue})"
        return report

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note how a listed test's body has ended, in this process or in a worker."""
        if report.nodeid not in self.entries or report.when != "call":
            return
        if hasattr(report, "wasxfail"):
            self.failed.add(report.nodeid)
        elif report.passed:
            self.passed.add(report.nodeid)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any, error: object) -> None:
        """Take in what an xdist worker has collected."""
        found = getattr(node, "workeroutput", {}).get(WORKER_REPORT, {})
        self.collected.existing.update(found.get("existing", ()))
        self.collected.selected.update(found.get("selected", ()))
        self.collected.files.update(found.get("files", ()))

    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        """Judge the session; a worker hands what it has collected to its controller instead."""
        if session.config.option.collectonly:
            return
        if hasattr(session.config, "workeroutput"):
            names = ("existing", "selected", "files")
            found = {name: sorted(getattr(self.collected, name)) for name in names}
            session.config.workeroutput[WORKER_REPORT] = found
            return
        self._find_missing(session)
        self._find_unexpected_passes()
        if self.problems and exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def _find_missing(self, session: pytest.Session) -> None:
        everything = session.config.args_source is not pytest.Config.ArgsSource.ARGS
        for test, entry in self.entries.items():
            missing_file = not (session.config.rootpath / entry.file).is_file()
            looked_for = everything or missing_file or entry.file in self.collected.files
            if test not in self.collected.existing and looked_for:
                self.problems.append(f"{test} is listed, and there is no such test")

    def _find_unexpected_passes(self) -> None:
        for test in sorted(self.collected.selected - self.failed):
            may_pass = self.entries[test].frequency is Frequency.AT_TIMES
            if not (may_pass and test in self.passed):
                self.problems.append(f"{test} is listed, and did not fail: take its line out")

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the listed tests that failed or passed this time, and what is wrong with the list."""
        if self.failed or self.passed:
            terminalreporter.section("known reds")
        for test in sorted(self.failed):
            entry = self.entries[test]
            terminalreporter.line(f"{test}: {entry.seen} ({entry.issue})")
        for test in sorted(self.passed):
            terminalreporter.line(f"{test}: passed this time ({self.entries[test].frequency.value} red)")
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
