"""The list of known reds: what it lets pass, and everything that it must not."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_reds import FILE_NAME, Frequency, KnownRedError, parse_known_reds

ROOT = Path(__file__).resolve().parents[1]
TESTS = """
import pytest

@pytest.fixture
def broken():
    raise OSError("set-up")

@pytest.fixture
def breaks_after():
    yield
    raise OSError("tear-down")

def test_good(): pass
def test_red(): assert 1 == 2
def test_other(): assert {other}
def test_set_up(broken): pass
def test_tear_down(breaks_after): assert 1 == 2
@pytest.mark.skip
def test_skipped(): pass
@pytest.mark.parametrize("number", (1, 2))
def test_many(number): assert number == 1
"""
RED = "test_some.py::test_red | always | pytest -k red, no seed | 1 in place of 2 | issue 7"
AT_TIMES = "at times | pytest, seed 3 | late by 1 s | issue 8"


def entry(test: str, rest: str = "always | c | s | i") -> str:
    """A line of the list."""
    return f"{test} | {rest}"


@pytest.fixture(params=(None, 2), ids=("one process", "two workers"))
def workers(request: pytest.FixtureRequest) -> int | None:
    """The number of xdist's workers; None: without xdist."""
    number: int | None = request.param
    return number


def play(
    folder: Path, known: str | None, *arguments: str, other: str = "True", workers: int | None = None
) -> tuple[int, str]:
    """A session of its own in a folder; its exit status and what it printed."""
    (folder / "test_some.py").write_text(TESTS.format(other=other))
    (folder / "pytest.ini").write_text("[pytest]\n")
    if known is not None:
        (folder / FILE_NAME).write_text(known)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_reds", "-p", "no:cacheprovider"]
    if workers is not None:
        command += ["-p", "xdist.plugin", "-n", str(workers)]
    done = subprocess.run(
        [*command, *arguments],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(ROOT), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"},
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


WITHOUT_ERRORS = ("-k", "good or red or other")


def test_only_the_listed_test_may_fail_and_is_printed_with_cause_and_issue(
    tmp_path: Path, workers: int | None
) -> None:
    status, said = play(tmp_path, RED, *WITHOUT_ERRORS, workers=workers)
    assert status == 0
    assert "test_some.py::test_red: 1 in place of 2 (issue 7)" in said and "1 xfailed" in said


def test_without_a_list_nothing_is_passed_over(tmp_path: Path, workers: int | None) -> None:
    for known in (None, "", "\n\n"):
        assert play(tmp_path, known, *WITHOUT_ERRORS, workers=workers)[0] == 1


def test_another_failure_still_fails(tmp_path: Path, workers: int | None) -> None:
    status, said = play(tmp_path, RED, *WITHOUT_ERRORS, other="False", workers=workers)
    assert status == 1 and "FAILED test_some.py::test_other" in said


def test_a_listed_test_that_passes_or_is_skipped_fails_the_run(tmp_path: Path, workers: int | None) -> None:
    for name in ("good", "skipped"):
        status, said = play(tmp_path, entry(f"test_some.py::test_{name}"), "-k", name, workers=workers)
        assert status == 1 and f"test_{name} is listed, and did not fail" in said


def test_one_that_fails_at_times_may_pass_and_is_printed_either_way(
    tmp_path: Path, workers: int | None
) -> None:
    for name, printed in (("good", "passed this time (at times red)"), ("red", "late by 1 s (issue 8)")):
        known = entry(f"test_some.py::test_{name}", AT_TIMES)
        status, said = play(tmp_path, known, "-k", name, workers=workers)
        assert status == 0 and f"test_{name}: {printed}" in said


def test_one_that_fails_at_times_and_is_skipped_fails_the_run(tmp_path: Path, workers: int | None) -> None:
    known = entry("test_some.py::test_skipped", AT_TIMES)
    status, said = play(tmp_path, known, "-k", "skipped", workers=workers)
    assert status == 1 and "test_skipped is listed, and did not fail" in said


def test_errors_of_set_up_and_tear_down_are_not_passed_over(tmp_path: Path, workers: int | None) -> None:
    for name in ("set_up", "tear_down"):
        status, said = play(tmp_path, entry(f"test_some.py::test_{name}"), "-k", name, workers=workers)
        assert status == 1 and "ERROR" in said


def test_a_crash_in_collecting_is_not_passed_over(tmp_path: Path, workers: int | None) -> None:
    (tmp_path / "test_crash.py").write_text("import no_such_module\n")
    status, _ = play(tmp_path, f"{RED}\n{entry('test_crash.py::test_one')}", *WITHOUT_ERRORS, workers=workers)
    assert status not in (0, 5)


def test_one_case_of_a_parametrized_test_is_one_test(tmp_path: Path, workers: int | None) -> None:
    assert play(tmp_path, entry("test_some.py::test_many[2]"), "-k", "many", workers=workers)[0] == 0
    assert play(tmp_path, entry("test_some.py::test_many[1]"), "-k", "many", workers=workers)[0] == 1
    assert play(tmp_path, entry("test_some.py::test_many"), "-k", "many", workers=workers)[0] == 1


def test_a_line_that_names_no_test_fails_the_run(tmp_path: Path, workers: int | None) -> None:
    for gone in ("test_some.py::test_gone", "test_gone.py::test_red"):
        status, said = play(tmp_path, f"{RED}\n{entry(gone)}", *WITHOUT_ERRORS, workers=workers)
        assert status == 1 and f"{gone} is listed" in said
        assert play(tmp_path, entry(gone), "test_some.py::test_good", workers=workers)[0] == 1


def test_a_part_of_the_tests_does_not_ask_for_lines_of_other_files(
    tmp_path: Path, workers: int | None
) -> None:
    (tmp_path / "test_more.py").write_text("def test_fine(): pass\n")
    assert play(tmp_path, RED, "test_more.py", workers=workers)[0] == 0


def test_a_listed_test_that_is_deselected_may_stand(tmp_path: Path, workers: int | None) -> None:
    assert play(tmp_path, RED, "-k", "good", workers=workers)[0] == 0


def test_a_list_that_cannot_be_read_ends_the_run(tmp_path: Path, workers: int | None) -> None:
    status, said = play(
        tmp_path, "test_some.py::test_red | always | a cause", *WITHOUT_ERRORS, workers=workers
    )
    assert status == 4 and "line 1" in said


@pytest.mark.parametrize(
    "text",
    (
        "a.py::t",
        "a.py::t | always | command | seen",
        "a.py::t | always | command | seen | ",
        " | always | command | seen | issue 1",
        "a.py::t |  | command | seen | issue 1",
        "a.py::t | always |  | seen | issue 1",
        "a.py::t | now and then | command | seen | issue 1",
        "a.py | always | command | seen | issue 1",
        "a.py::t | always | command | seen | issue 1 | more",
        "a.py::t | always | c | s | i\na.py::t | at times | c | s | i",
    ),
)
def test_bad_lists(text: str) -> None:
    with pytest.raises(KnownRedError):
        parse_known_reds(text)


def test_every_line_is_read() -> None:
    known = parse_known_reds(
        "\n".join(
            f"a/b.py::t[{number}-x] | at times | c -n 8, seed 4 | d: e | issue 1" for number in range(5)
        )
    )
    assert [entry.test for entry in known] == [f"a/b.py::t[{number}-x]" for number in range(5)]
    first = known[0]
    assert first.file == "a/b.py" and first.frequency is Frequency.AT_TIMES
    assert first.command == "c -n 8, seed 4" and first.seen == "d: e" and first.issue == "issue 1"
