"""The complete command: real daemons, stand-ins, load and shutdown."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from firvane.simulation.localfleet import run
from firvane.simulation.localfleet.command import BAD_USAGE, fleet

TIME_LIMIT = 60.0  # s, only for a run that hangs


def test_a_small_fleet_serves_everything(tmp_path: Path) -> None:
    """One run with a kill of the configuration's owner; it leaves no process and no folder behind."""
    metrics = tmp_path / "figures.json"
    command = [sys.executable, "-m", "firvane.simulation.localfleet", "--routers", "2", "--controllers", "1"]
    command += ["--backends", "2", "--seconds", "2.5", "--kill", "owner@0.3", "--json", str(metrics)]
    done = subprocess.run(
        command,
        env={**os.environ, "TMPDIR": str(tmp_path)},
        capture_output=True,
        text=True,
        timeout=TIME_LIMIT,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "no request ran twice" in done.stdout
    found = json.loads(metrics.read_text())
    total = found["total"]
    assert total["asked"] > 50
    assert total["in_time"] + total["late"] == total["asked"]
    assert found["doubled"] == found["total"]["wrong"] == 0
    assert found["prompt_tokens_read"] > 10_000
    assert {daemon["name"]: daemon["starts"] for daemon in found["daemons"]} == {
        "controller-1": 2,
        "router-1": 1,
        "router-2": 1,
    }
    assert all(daemon["peak_mb"] > 5 and daemon["processor_s"] > 0 for daemon in found["daemons"])
    assert list(tmp_path.iterdir()) == [metrics]
    assert not daemons_of(tmp_path)


def daemons_of(folder: Path) -> list[int]:
    """Processes whose settings file lies in this folder."""
    found = []
    for entry in Path("/proc").iterdir():
        try:
            environment = (entry / "environ").read_bytes() if entry.name.isdigit() else b""
        except OSError:
            continue
        if f"FIRVANE_BOOT={folder}".encode() in environment:
            found.append(int(entry.name))
    return found


@pytest.mark.parametrize(
    ("routers", "kill", "replace"),
    [(0, [], []), (2, ["router"], []), (2, ["router@9"], []), (2, [], [5.0]), (2, ["router-3@1"], [])],
)
def test_bad_usage_starts_nothing(
    routers: int, kill: list[str], replace: list[float], capsys: pytest.CaptureFixture[str]
) -> None:
    assert fleet(routers=routers, kill=kill, replace=replace, seconds=3.0) == BAD_USAGE
    assert capsys.readouterr().err


def test_a_list_option_given_twice_is_rejected() -> None:
    with pytest.raises(SystemExit, match="--kill"):
        run(["--kill", "owner@1", "--kill", "router@2"])
