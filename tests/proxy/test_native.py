"""The compiled modules: alike to the bit with the sources, never stale, and no harm where there are none."""

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
FORM = Path(native.place()) / native.digest()
compiled = pytest.mark.skipif(
    not FORM.is_dir(), reason="nothing is compiled from the sources as they are: make native"
)


def python(*arguments: str, root: Path = ROOT, told: str = "", **environment: str) -> tuple[str, str]:
    """What a program of its own says on standard output and standard error."""
    done = subprocess.run(
        [sys.executable, *arguments],
        cwd=root,
        env={**os.environ, "PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1", **environment},
        input=told,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout, done.stderr


def histories() -> str:
    """A digest of all that the decisions do over drawn events: exact to the last bit of each number."""
    from tests.proxy.test_rules import CONFIGS, drive

    seen = hashlib.sha256()
    for seed in range(10):
        for config in CONFIGS:
            seen.update("".join(drive(random.Random(seed), 400, config)).encode())
    return seen.hexdigest()


def bank() -> str:
    """The same of a bank of proxies' decisions under an even load, where rows, keys and rooms count."""
    from benchmarks.decisions import measure

    return " ".join(str(measure(boxes, 0.05, 1)["actions"]) for boxes in (14, 120))


def whole_run() -> str:
    """The hash of a rehearsal with troubles of all kinds: every byte of real proxies in virtual time."""
    from tests.simulation.runner.test_run import ROUGH, hashed

    return hashed(ROUGH, 3)


def wire() -> str:
    """What the simulator's wire answers."""
    request = ["request", "node/0", 9, 0, 0, "k", 0, None, 1_000_000_000]
    lists = ["membership", "node/0", "total", 3, [["s1", 0, 0, "U", None, 1, 0], ["s2", 0, 1, "U", 0, 2, 0]]]
    lines = [batch(["power-on", "node/0", 7, PARAMS], lists, request)]
    lines += [batch(["deadline-hit", "node/0", token], now=6_000_000_000) for token in (0, 10)]
    return "\n".join(lines) + "\n"


ALONE = """
from firvane.proxy import native
on = native.activate().on
from tests.proxy import test_native
print(on, test_native.{}())
"""


@compiled
@pytest.mark.parametrize("play", [histories, bank, whole_run], ids=lambda play: play.__name__)
def test_compiled_and_interpreted_act_alike_to_the_bit(play: Callable[[], str]) -> None:
    code = ALONE.format(play.__name__)
    on, there = python("-c", code)[0].split(maxsplit=1)
    off, here = python("-c", code, FIRVANE_NATIVE="0")[0].split(maxsplit=1)
    assert (on, off) == ("True", "False")
    assert there == here


@compiled
def test_the_wire_says_the_same_compiled() -> None:
    there, said = python("-m", "firvane.proxy.simulator_adapter", told=wire())
    here, other = python("-m", "firvane.proxy.simulator_adapter", told=wire(), FIRVANE_NATIVE="0")
    assert "native on=true" in said and "native on=false" in other
    assert there == here and "issue" in there


@compiled
def test_a_fault_in_compiled_code_is_told_with_its_lines() -> None:
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
    told = python("-c", code)[1]
    assert 'firvane/proxy/balancer.py", line ' in told and "in on_request" in told
    assert "self.settings.classes[request.class_id]" in told


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """A checkout of the sources, with something in the place of a compiled form of them."""
    shutil.copytree(ROOT / "firvane", tmp_path / "firvane", ignore=shutil.ignore_patterns("__pycache__"))
    for name in native.RECIPE:
        (tmp_path / name).parent.mkdir(exist_ok=True)
        shutil.copyfile(ROOT / name, tmp_path / name)
    form = Path(native.place(str(tmp_path))) / native.digest(str(tmp_path))
    form.mkdir(parents=True)
    (form / f"{native.GROUP}__mypyc{native.SUFFIX}").write_bytes(b"cut short")
    return tmp_path


def why(root: Path, **environment: str) -> str:
    """What a program that starts there says, after a whole batch on the interpreted decisions."""
    answers, said = python(
        "-m", "firvane.proxy.simulator_adapter", root=root, told=wire(), PYTHONPATH=str(root), **environment
    )
    assert all(json.loads(line)["actions"] for line in answers.splitlines()[:1])
    assert "native on=false" in said
    return said


def test_what_cannot_be_loaded_is_left_and_said(checkout: Path) -> None:
    assert "file too short" in why(checkout) or "invalid ELF" in why(checkout)
    assert "FIRVANE_NATIVE=0" in why(checkout, FIRVANE_NATIVE="0")


@pytest.mark.parametrize("name", [*native.RECIPE, "firvane/proxy/balancer.py"])
def test_a_form_of_other_sources_is_never_used(checkout: Path, name: str) -> None:
    with open(checkout / name, "a") as file:
        file.write("\n")
    assert "not those that were compiled" in why(checkout)


def test_where_nothing_is_compiled_or_can_be_the_sources_run(checkout: Path) -> None:
    shutil.rmtree(native.place(str(checkout)))
    assert "nothing is compiled" in why(checkout)
    (checkout / "bin").mkdir()
    said = python("tools/build_native.py", root=checkout, PATH=str(checkout / "bin"))[0]
    assert said.count("\n") == 1 and "no C compiler" in said
    os.remove(checkout / "requirements-build.txt")
    assert "not compiled" in python("tools/build_native.py", root=checkout)[0]


def test_a_module_that_is_in_already_stays_as_it_is(request: pytest.FixtureRequest) -> None:
    # The tests hold the interpreted ones: others beside them would make two classes of each name.
    assert native.activate({}).on is request.config.getoption("--native")
    assert any(finder.__class__ is native.Finder for finder in sys.meta_path) is native.state().on
