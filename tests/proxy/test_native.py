"""The compiled modules: results bit-identical to the sources, never stale, and optional."""

from __future__ import annotations

import hashlib
import json
import os
import random
import shutil
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from firvane.proxy import native
from tests.proxy.test_simulator_adapter import PARAMS, batch

ROOT = Path(native.ROOT)
COMPILED = Path(native.compiled_folder()) / native.digest()
compiled = pytest.mark.skipif(
    not COMPILED.is_dir(), reason="nothing is compiled from the sources as they are: make native"
)


def python(*arguments: str, root: Path = ROOT, stdin: str = "", **environment: str) -> tuple[str, str]:
    """Run Python as a separate process, and return its standard output and standard error."""
    done = subprocess.run(
        [sys.executable, *arguments],
        cwd=root,
        env={**os.environ, "PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1", **environment},
        input=stdin,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout, done.stderr


def random_histories() -> str:
    """Return a digest of all actions over random events, exact to the last bit of each number."""
    from tests.proxy.test_rules import CONFIGS, drive

    digest = hashlib.sha256()
    for seed in range(10):
        for config in CONFIGS:
            digest.update("".join(drive(random.Random(seed), 400, config)).encode())
    return digest.hexdigest()


def proxies_under_load() -> str:
    """Return the actions of several proxies under constant load, which uses rows, keys and capacities."""
    from benchmarks.decisions import measure

    return " ".join(str(measure(boxes, 0.05, 1)["actions"]) for boxes in (14, 120))


def rehearsal() -> str:
    """Return the hash of a rehearsal with all kinds of faults: every byte of real proxies in virtual time."""
    from tests.simulation.runner.test_run import ROUGH, hashed

    return hashed(ROUGH, 3)


def simulator_input() -> str:
    """Return batches of the simulator's protocol."""
    request = ["request", "node/0", 9, 0, 0, "k", 0, None, 1_000_000_000]
    lists = ["membership", "node/0", "total", 3, [["s1", 0, 0, "U", None, 1, 0], ["s2", 0, 1, "U", 0, 2, 0]]]
    lines = [batch(["power-on", "node/0", 7, PARAMS], lists, request)]
    lines += [batch(["deadline-hit", "node/0", token], now=6_000_000_000) for token in (0, 10)]
    return "\n".join(lines) + "\n"


SCRIPT = """
from firvane.proxy import native
on = native.activate().on
from tests.proxy import test_native
print(on, test_native.{}())
"""


@compiled
@pytest.mark.parametrize(
    "play", [random_histories, proxies_under_load, rehearsal], ids=lambda play: play.__name__
)
def test_compiled_and_interpreted_results_are_bit_identical(play: Callable[[], str]) -> None:
    code = SCRIPT.format(play.__name__)
    on, compiled_result = python("-c", code)[0].split(maxsplit=1)
    off, interpreted_result = python("-c", code, FIRVANE_NATIVE="0")[0].split(maxsplit=1)
    assert (on, off) == ("True", "False")
    assert compiled_result == interpreted_result


@compiled
def test_the_simulator_adapter_replies_the_same_when_compiled() -> None:
    compiled, log = python("-m", "firvane.proxy.simulator_adapter", stdin=simulator_input())
    interpreted, other_log = python(
        "-m", "firvane.proxy.simulator_adapter", stdin=simulator_input(), FIRVANE_NATIVE="0"
    )
    assert "native on=true" in log and "native on=false" in other_log
    assert compiled == interpreted and "issue" in compiled


@compiled
def test_a_traceback_of_compiled_code_has_source_lines() -> None:
    code = (
        "from firvane.proxy import native; assert native.activate().on\n"
        "from firvane.proxy.balancer import Balancer\n"
        "from tests.helpers import settings\n"
        "from firvane.core import interface as api\n"
        "import traceback\n"
        "balancer = Balancer(settings(), 1, 0.0)\n"
        "try: balancer.handle(api.Request(1, 99, 1.0), 0.0)\n"
        "except IndexError: traceback.print_exc()\n"
    )
    log = python("-c", code)[1]
    assert 'firvane/proxy/balancer.py", line ' in log and "in on_request" in log
    assert "self.settings.classes[request.class_id]" in log


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """A checkout of the sources, with an invalid file in place of their compiled modules."""
    shutil.copytree(ROOT / "firvane", tmp_path / "firvane", ignore=shutil.ignore_patterns("__pycache__"))
    for name in native.RECIPE:
        (tmp_path / name).parent.mkdir(exist_ok=True)
        shutil.copyfile(ROOT / name, tmp_path / name)
    folder = Path(native.compiled_folder(str(tmp_path))) / native.digest(str(tmp_path))
    folder.mkdir(parents=True)
    (folder / f"{native.GROUP}__mypyc{native.SUFFIX}").write_bytes(b"cut short")
    return tmp_path


def log_without_compiled(root: Path, **environment: str) -> str:
    """Run the simulator's adapter in a checkout without usable compiled modules, and return its log."""
    answers, log = python(
        "-m",
        "firvane.proxy.simulator_adapter",
        root=root,
        stdin=simulator_input(),
        PYTHONPATH=str(root),
        **environment,
    )
    assert all(json.loads(line)["actions"] for line in answers.splitlines()[:1])
    assert "native on=false" in log
    return log


def test_modules_that_cannot_be_loaded_are_not_used_and_the_log_has_the_reason(checkout: Path) -> None:
    assert "file too short" in log_without_compiled(checkout) or "invalid ELF" in log_without_compiled(
        checkout
    )
    assert "FIRVANE_NATIVE=0" in log_without_compiled(checkout, FIRVANE_NATIVE="0")


@pytest.mark.parametrize("name", [*native.RECIPE, "firvane/proxy/balancer.py"])
def test_modules_compiled_from_other_sources_are_never_used(checkout: Path, name: str) -> None:
    with open(checkout / name, "a") as file:
        file.write("\n")
    assert "not those that were compiled" in log_without_compiled(checkout)


def test_without_compiled_modules_or_a_compiler_the_sources_are_interpreted(checkout: Path) -> None:
    shutil.rmtree(native.compiled_folder(str(checkout)))
    assert "nothing is compiled" in log_without_compiled(checkout)
    (checkout / "bin").mkdir()
    output = python("tools/build_native.py", root=checkout, PATH=str(checkout / "bin"))[0]
    assert output.count("\n") == 1 and "no C compiler" in output
    os.remove(checkout / "requirements-build.txt")
    assert "not compiled" in python("tools/build_native.py", root=checkout)[0]


def test_modules_already_imported_are_not_replaced(request: pytest.FixtureRequest) -> None:
    # The tests have imported the interpreted modules: compiled ones would define each class a second time.
    assert native.activate({}).on is request.config.getoption("--native")
    assert any(finder.__class__ is native.Finder for finder in sys.meta_path) is native.state().on
