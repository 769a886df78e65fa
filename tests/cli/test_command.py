"""The command as it is called: exit codes, one line for each fault, and no traceback whatever it is given."""

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


def told(capsys: pytest.CaptureFixture[str], *args: str) -> tuple[int, str, list[str]]:
    """Exit code, standard output and the lines on standard error of one call."""
    capsys.readouterr()
    code = main(args)
    out = capsys.readouterr()
    return code, out.out, out.err.splitlines()


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
def test_bad_usage_is_one_line_and_two(
    args: list[str], words: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(ROOT)
    code, out, err = told(capsys, *args)
    assert code == 2 and len(err) == 1 and words in err[0] and not out


@pytest.mark.parametrize("command", COMMANDS)
def test_each_command_explains_itself_with_examples(command: str, capsys: pytest.CaptureFixture[str]) -> None:
    _, out, err = told(capsys, command, *(["schema"] if command == "config" else []), "--help")
    assert "Examples:" in out and f"firvane {command}" in out and not err


def test_check_tells_configurations_scenarios_and_the_platform_s_apart(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
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
    code, out, err = told(capsys, "check", *(str(tmp_path / name) for name in files))
    assert code == 2
    assert "a: configuration of" in out and "b: scenario short" in out and out.count("\n") == 3
    assert "f: policy that says limits" in out
    assert "c: settings: obligations is missing" in err[0]
    assert [line for line in err if "d: listen: is missing" in line]
    assert err[-3].endswith("e: boxes.count: is 0, below 1")
    assert "g: limits.attempts: must be" in err[-2] and "did you mean rules?" in err[-1]


def test_the_examples_and_the_scenarios_that_come_along_have_no_fault(
    capsys: pytest.CaptureFixture[str],
) -> None:
    files = [*ROOT.glob("deploy/*.example.toml"), *ROOT.glob("firvane/simulation/emulation/scenarios/*.toml")]
    code, out, err = told(capsys, "check", *map(str, files))
    assert code == 0 and not err and out.count("\n") == len(files) > 5


@settings(seeded, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    st.binary(max_size=200), st.integers(0, 400), st.sampled_from(["check", "serve", "rehearse", "report"])
)
def test_no_bytes_in_a_file_end_in_a_traceback(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], data: bytes, place: int, command: str
) -> None:
    # Both nonsense as it is, and nonsense in the middle of what is well.
    file, whole = tmp_path / "some.toml", (SCENARIO if command == "serve" else CONFIG).encode()
    file.write_bytes(data if place > 300 else whole[:place] + data + whole[place + 9 :])
    code, _, err = told(capsys, command, str(file))
    assert code == 2 or (code == 0 and command == "check")
    assert all("Traceback" not in line for line in err) and bool(err) is (code == 2)


def test_help_loads_no_command_and_the_proxy_no_tool() -> None:
    # The proxy lives in a few megabytes, and whoever asks for help does not wait for what only a run needs.
    probe = "import sys, {}; print(*(m for m in {} if m in sys.modules))"
    heavy = ["msgspec", "hdrh", "numpy", "matplotlib", "structlog"]
    heavy += ["firvane.core.validation", "firvane.simulation.runner", "firvane.proxy.quorum"]
    for module, unwanted in (("firvane.cli", heavy), ("firvane.__main__", [*heavy, "click", "tomllib"])):
        run = [sys.executable, "-c", probe.format(module, unwanted)]
        assert subprocess.run(run, capture_output=True, text=True, check=True, cwd=ROOT).stdout.split() == []


def test_a_real_process_ends_with_the_same_codes(tmp_path: Path) -> None:
    call = [sys.executable, "-c", "from firvane.cli import run; run()"]
    faulty = tmp_path / "f.toml"
    faulty.write_text(CONFIG.replace("aim_ms = 500", "aim = 500"))
    for args, code, words in (
        (["check", str(faulty)], 2, "aim: unknown key; did you mean aim_ms?"),
        (["scenarios"], 0, "quiet-sunday"),
        ([], 2, "Usage: firvane"),
    ):
        ended = subprocess.run([*call, *args], capture_output=True, text=True, check=False, cwd=ROOT)
        assert ended.returncode == code and words in ended.stdout + ended.stderr
    # More descriptors than the system allows are told at the start, and not met under load.
    well = tmp_path / "w.toml"
    well.write_text(CONFIG)
    start = ["sh", "-c", 'ulimit -n 500; exec "$@"', "sh", *call, "serve", str(well)]
    ended = subprocess.run(start, capture_output=True, text=True, check=False, cwd=ROOT)
    assert ended.returncode == 2 and "limits.sockets: is 1024, and the system allows 500" in ended.stderr


def test_progress_is_one_line_that_changes_on_a_terminal_and_lines_elsewhere() -> None:
    class Terminal(io.StringIO):
        def isatty(self) -> bool:
            return True

    witness = Witness(Scenario(name="day", seconds=60.0), 1, "virtual")
    for file, told, lines in ((Terminal(), 25, 0), (io.StringIO(), 3, 3)):
        display = ProgressDisplay(file)
        for at in range(25):
            witness.at = float(at)
            display(witness)
        display.end()
        assert (file.getvalue().count("/60 s"), file.getvalue().count("\n")) == (told, lines)
