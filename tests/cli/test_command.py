"""The `firvane` command: exit codes, one line for each error, and no traceback for any input."""

from __future__ import annotations

import io
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from firvane.cli import COMMANDS, main
from firvane.cli.progress import ProgressDisplay
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.runner.result import Witness
from tests.proxy.config.samples import CONFIG, SCENARIO
from tests.proxy.net.helpers import seeded

ROOT = Path(__file__).parent.parent.parent


def run_command(capsys: pytest.CaptureFixture[str], *args: str) -> tuple[int, str, list[str]]:
    """Run a command; return its exit code, standard output and the lines of standard error."""
    capsys.readouterr()
    code = main(args)
    captured = capsys.readouterr()
    return code, captured.out, captured.err.splitlines()


@pytest.mark.parametrize(
    ("args", "words"),
    [
        (["rehears"], "did you mean rehearse?"),
        (["--bogus"], "--bogus"),
        (["rehearse"], "--draw SEED"),
        (["rehearse", "quiet-sunday", "--draw", "3"], "--draw SEED"),
        (["rehearse", "quiet-sundy"], "did you mean quiet-sunday?"),
        (["rehearse", "quiet-sunday", "--seed", "x"], "--seed"),
        (["rehearse", "quiet-sunday", "--json", "/nowhere/a.json"], "/nowhere"),
        (["rehearse", "nowhere/x.toml"], "cannot be read"),
        (["serve", "nowhere.toml"], "cannot be read"),
        (["serve"], "FILE"),
        (["check", "."], "cannot be read"),
        (["report", "nowhere.json"], "cannot be read"),
        (["report", "pyproject.toml"], "no result"),
        (["scenarios", "quiet"], "neither a file nor"),
        (["config", "schema", "else"], "else"),
        (["boxes", "--discovery", "here"], "not an address"),
    ],
)
def test_bad_usage_prints_one_line_and_exits_with_2(
    args: list[str], words: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(ROOT)
    code, out, err = run_command(capsys, *args)
    assert code == 2 and len(err) == 1 and words in err[0] and not out


@pytest.mark.parametrize("command", COMMANDS)
def test_the_help_of_each_command_has_examples(command: str, capsys: pytest.CaptureFixture[str]) -> None:
    _, out, err = run_command(capsys, command, *(["schema"] if command == "config" else []), "--help")
    assert "Examples:" in out and f"firvane {command}" in out and not err


def test_check_detects_the_kind_of_each_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    files = {
        "a": CONFIG,
        "b": SCENARIO,
        "c": '{"settings": {}}',
        "d": "at = 1",
        "e": SCENARIO + "[boxes]\ncount = 0",
        "f": "[limits]\nattempts = 2",
        "g": "[limits]\nattempts = 0\n[rulez]",
    }
    for name, text in files.items():
        (tmp_path / name).write_text(text)
    code, out, err = run_command(capsys, "check", *(str(tmp_path / name) for name in files))
    assert code == 2
    assert "a: configuration of" in out and "b: scenario short" in out and out.count("\n") == 3
    assert "f: policy that says limits" in out
    assert "c: settings: obligations is missing" in err[0]
    assert [line for line in err if "d: listen: is missing" in line]
    assert err[-3].endswith("e: boxes.count: is 0, below 1")
    assert "g: limits.attempts: must be" in err[-2] and "did you mean rules?" in err[-1]


def test_the_examples_and_the_bundled_scenarios_are_valid(
    capsys: pytest.CaptureFixture[str],
) -> None:
    files = [*ROOT.glob("deploy/*.example.toml"), *ROOT.glob("firvane/simulation/emulation/scenarios/*.toml")]
    code, out, err = run_command(capsys, "check", *map(str, files))
    assert code == 0 and not err and out.count("\n") == len(files) > 5


@settings(seeded, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    st.binary(max_size=200), st.integers(0, 400), st.sampled_from(["check", "serve", "rehearse", "report"])
)
def test_no_file_content_causes_a_traceback(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], data: bytes, place: int, command: str
) -> None:
    # Either random bytes only, or random bytes within a valid file.
    file, valid = tmp_path / "some.toml", (SCENARIO if command == "serve" else CONFIG).encode()
    file.write_bytes(data if place > 300 else valid[:place] + data + valid[place + 9 :])
    code, _, err = run_command(capsys, command, str(file))
    assert code == 2 or (code == 0 and command == "check")
    assert all("Traceback" not in line for line in err) and bool(err) is (code == 2)


def test_help_imports_no_command_and_the_proxy_no_tool() -> None:
    # The proxy has a low memory limit, and --help must not wait for imports that only a run needs.
    probe = "import sys, {}; print(*(m for m in {} if m in sys.modules))"
    heavy = ["msgspec", "hdrh", "numpy", "matplotlib", "structlog"]
    heavy += ["firvane.core.validation", "firvane.simulation.runner", "firvane.proxy.quorum"]
    for module, unwanted in (("firvane.cli", heavy), ("firvane.__main__", [*heavy, "click", "tomllib"])):
        run = [sys.executable, "-c", probe.format(module, unwanted)]
        assert subprocess.run(run, capture_output=True, text=True, check=True, cwd=ROOT).stdout.split() == []


def test_a_real_process_exits_with_the_same_codes(tmp_path: Path) -> None:
    call = [sys.executable, "-c", "from firvane.cli import run; run()"]
    faulty = tmp_path / "f.toml"
    faulty.write_text(CONFIG.replace("aim_ms = 500", "aim = 500"))
    for args, code, words in (
        (["check", str(faulty)], 2, "aim: unknown key; did you mean aim_ms?"),
        (["scenarios"], 0, "quiet-sunday"),
        ([], 2, "Usage: firvane"),
    ):
        process = subprocess.run([*call, *args], capture_output=True, text=True, check=False, cwd=ROOT)
        assert process.returncode == code and words in process.stdout + process.stderr
    # A descriptor limit above that of the system is rejected at the start instead of failing under load.
    valid = tmp_path / "w.toml"
    valid.write_text(CONFIG)
    start = ["sh", "-c", 'ulimit -n 500; exec "$@"', "sh", *call, "serve", str(valid)]
    process = subprocess.run(start, capture_output=True, text=True, check=False, cwd=ROOT)
    assert process.returncode == 2 and "limits.sockets: is 1024, and the system allows 500" in process.stderr


def test_progress_rewrites_one_line_on_a_terminal_and_prints_lines_elsewhere() -> None:
    class Terminal(io.StringIO):
        def isatty(self) -> bool:
            return True

    witness = Witness(Scenario(name="day", seconds=60.0), 1, "virtual")
    for file, progress_count, line_count in ((Terminal(), 25, 0), (io.StringIO(), 3, 3)):
        display = ProgressDisplay(file)
        for at in range(25):
            witness.at = float(at)
            display(witness)
        display.end()
        assert (file.getvalue().count("/60 s"), file.getvalue().count("\n")) == (progress_count, line_count)
