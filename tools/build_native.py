"""Compile with mypyc the modules that `firvane/proxy/native.py` names, into `.native/<digest>/`.

    .venv/bin/python tools/build_native.py

Quick where they are compiled already. What it needs besides a C compiler (requirements-build.txt) is taken
from the environment that runs it, if it is there, else from one that is made for the purpose and removed. It
never fails: where nothing can be compiled it says why in one line, the sources run as they are, and the exit
code is 0.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[0] = str(ROOT)  # in place of this folder

from firvane.proxy import native  # noqa: E402

LONGEST = 900.0  # s for everything: the platform gives 20 minutes
KEPT = 4  # compiled forms that are kept: of branches that one goes back and forth between
# Sums and products must round as the interpreter's do, so nothing may be fused; those of i64 wrap. No flag
# may name this very processor: what is built here may run on another. -O2 gains nothing to speak of.
FLAGS = "-O1 -g0 -fwrapv -ffp-contract=off"
TRIAL = """
import importlib, sys
from firvane.proxy import native
found = native.Finder(sys.argv[1])
sys.meta_path.insert(0, found)
for name in native.MODULES:
    assert importlib.import_module(name).__file__ == found.files[name], name
"""


class Failed(Exception):  # noqa: N818 - an ordinary end here
    """Nothing is compiled, and why."""


def run(command: Sequence[str], until: float, **more: object) -> None:
    """Run it to its end; `Failed` with the last that it said."""
    try:
        done = subprocess.run(
            command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
            timeout=max(1.0, until - time.monotonic()), **more,  # type: ignore[call-overload]
        )  # fmt: skip
    except subprocess.TimeoutExpired:
        raise Failed(f"more than {LONGEST:g} s") from None
    if done.returncode:
        said = [line.strip() for line in done.stdout.splitlines() if line.strip()]
        faults = [line for line in said if "error" in line.lower()]
        raise Failed((faults or said or [f"exit code {done.returncode}"])[-1])


def is_here() -> bool:
    """Whether this environment holds what is needed, in the versions that are pinned."""
    for line in (ROOT / "requirements-build.txt").read_text().split():
        name, _, pinned = line.partition("==")
        try:
            if version(name.partition("[")[0]) != pinned:
                return False
        except PackageNotFoundError:
            return False
    return True


def compile_in(work: Path, until: float) -> Path:
    """Compile in a folder that holds nothing yet; the folder of what came of it, named by its digest."""
    source, python = work / "source", sys.executable
    left_out = shutil.ignore_patterns("__pycache__", "*.so")
    shutil.copytree(ROOT / "firvane", source / "firvane", ignore=left_out)
    for name in native.RECIPE:
        (source / name).parent.mkdir(exist_ok=True)
        shutil.copyfile(ROOT / name, source / name)
    if not is_here():
        run([sys.executable, "-m", "venv", str(work / "env")], until)
        python = str(work / "env/bin/python")
        run([python, "-m", "pip", "-q", "install", "-r", str(source / "requirements-build.txt")], until)
    files = [os.path.relpath(native.source_path(name, str(source)), source) for name in native.MODULES]
    environment = {**os.environ, "CFLAGS": FLAGS, "SETUPTOOLS_USE_DISTUTILS": "local"}
    run(
        [python, "tools/compile_native.py", native.GROUP, sys.executable, *files],
        until,
        cwd=source,
        env=environment,
    )
    made = work / native.digest(str(source))
    for file in native.Finder(str(source)).files.values():
        target = made / os.path.relpath(file, source)
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.move(file, target)
    run([sys.executable, "-c", TRIAL, str(made)], until, cwd=source)
    return made


def build() -> str:
    """Make what is not there yet; what has come of it, in a few words."""
    place = Path(native.compiled_folder(str(ROOT)))
    if (place / native.digest(str(ROOT))).is_dir():
        return "up to date"
    began = time.monotonic()
    if not any(map(shutil.which, ("cc", "gcc", "clang"))):
        raise Failed("no C compiler is here")
    place.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="making-", dir=place) as folder:
        made = compile_in(Path(folder), began + LONGEST)
        if not (place / made.name).is_dir():  # another build may have been quicker
            made.rename(place / made.name)
    forms = (form for form in place.iterdir() if not form.name.startswith("making-"))
    for old in sorted(forms, key=lambda form: form.stat().st_mtime, reverse=True)[KEPT:]:
        shutil.rmtree(old, ignore_errors=True)
    return f"compiled {len(native.MODULES)} modules in {time.monotonic() - began:.0f} s"


def main() -> int:
    try:
        print(f"native: {build()}")
    except (Failed, OSError, subprocess.SubprocessError) as error:
        print(f"native: not compiled, the sources run interpreted: {' '.join(str(error).split())}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
