"""The list of known reds: what it lets pass, and everything that it must not."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_reds import FILE_NAME, KnownRedError, parse_known_reds

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
RED = "test_some.py::test_red | a cause | issue 7"


def play(folder: Path, known: str | None, *arguments: str, other: str = "True") -> tuple[int, str]:
    """A session of its own in a folder; its exit status and what it printed."""
    (folder / "test_some.py").write_text(TESTS.format(other=other))
    (folder / "pytest.ini").write_text("[pytest]\n")
    if known is not None:
        (folder / FILE_NAME).write_text(known)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_reds", "-p", "no:cacheprovider"]
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


def test_only_the_listed_test_may_fail_and_is_printed_with_cause_and_issue(tmp_path: Path) -> None:
    status, said = play(tmp_path, RED, *WITHOUT_ERRORS)
    assert status == 0
    assert "test_some.py::test_red: a cause (issue 7)" in said and "1 xfailed" in said


def test_without_a_list_nothing_is_passed_over(tmp_path: Path) -> None:
    for known in (None, "", "\n\n"):
        assert play(tmp_path, known, *WITHOUT_ERRORS)[0] == 1


def test_another_failure_still_fails(tmp_path: Path) -> None:
    status, said = play(tmp_path, RED, *WITHOUT_ERRORS, other="False")
    assert status == 1 and "FAILED test_some.py::test_other" in said


def test_a_listed_test_that_passes_or_is_skipped_fails_the_run(tmp_path: Path) -> None:
    for name in ("good", "skipped"):
        status, said = play(tmp_path, f"test_some.py::test_{name} | c | i", "-k", name)
        assert status == 1 and f"test_{name} is listed, and did not fail" in said


def test_errors_of_set_up_and_tear_down_are_not_passed_over(tmp_path: Path) -> None:
    for name in ("set_up", "tear_down"):
        status, said = play(tmp_path, f"test_some.py::test_{name} | c | i", "-k", name)
        assert status == 1 and "ERROR" in said


def test_a_crash_in_collecting_is_not_passed_over(tmp_path: Path) -> None:
    (tmp_path / "test_crash.py").write_text("import no_such_module\n")
    status, _ = play(tmp_path, f"{RED}\ntest_crash.py::test_one | c | i", *WITHOUT_ERRORS)
    assert status not in (0, 5)


def test_one_case_of_a_parametrized_test_is_one_test(tmp_path: Path) -> None:
    assert play(tmp_path, "test_some.py::test_many[2] | c | i", "-k", "many")[0] == 0
    assert play(tmp_path, "test_some.py::test_many[1] | c | i", "-k", "many")[0] == 1
    assert play(tmp_path, "test_some.py::test_many | c | i", "-k", "many")[0] == 1


def test_a_line_that_names_no_test_fails_the_run(tmp_path: Path) -> None:
    for gone in ("test_some.py::test_gone", "test_gone.py::test_red"):
        status, said = play(tmp_path, f"{RED}\n{gone} | c | i", *WITHOUT_ERRORS)
        assert status == 1 and f"{gone} is listed" in said
        assert play(tmp_path, f"{gone} | c | i", "test_some.py::test_good")[0] == 1


def test_a_part_of_the_tests_does_not_ask_for_lines_of_other_files(tmp_path: Path) -> None:
    (tmp_path / "test_more.py").write_text("def test_fine(): pass\n")
    assert play(tmp_path, RED, "test_more.py")[0] == 0


def test_a_listed_test_that_is_deselected_may_stand(tmp_path: Path) -> None:
    assert play(tmp_path, RED, "-k", "good")[0] == 0


def test_a_list_that_cannot_be_read_ends_the_run(tmp_path: Path) -> None:
    status, said = play(tmp_path, "test_some.py::test_red | a cause", *WITHOUT_ERRORS)
    assert status == 4 and "line 1" in said


@pytest.mark.parametrize(
    "text",
    (
        "a.py::t",
        "a.py::t | cause",
        "a.py::t | cause | ",
        " | cause | issue 1",
        "a.py::t |  | issue 1",
        "a.py | cause | issue 1",
        "a.py::t | cause | issue 1 | more",
        "a.py::t | c | i\na.py::t | c | i",
        "\n".join(f"a.py::t{number} | c | i" for number in range(4)),
    ),
)
def test_bad_lists(text: str) -> None:
    with pytest.raises(KnownRedError):
        parse_known_reds(text)


def test_three_lines_are_read() -> None:
    known = parse_known_reds("\n".join(f"a/b.py::t[{number}-x] | c: d | issue 1" for number in range(3)))
    assert [entry.test for entry in known] == [f"a/b.py::t[{number}-x]" for number in range(3)]
    assert known[0].file == "a/b.py" and known[0].cause == "c: d" and known[0].issue == "issue 1"
