"""Plays the mutants; exit code 1 where one survives, or where a test fails without any."""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from tests.crossings.mutants import Mutant, mutants

ROOT = Path(__file__).resolve().parents[3]
LEFT_OUT = shutil.ignore_patterns(".*", "journal", "__pycache__", "docs", "build", "dist")


def fails(tree: Path, tests: list[str]) -> bool:
    """Whether pytest finds a failing test among these; `RuntimeError` where it finds none to run."""
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", *tests],
        cwd=tree, capture_output=True, text=True, timeout=300,
    )  # fmt: skip
    if done.returncode not in (0, 1):
        raise RuntimeError(f"{tests}: {done.stdout[-800:]}{done.stderr[-800:]}")
    return done.returncode == 1


def words(test: str) -> list[str]:
    """As on the command line: what follows `-k` is one word."""
    names, _, chosen = test.partition(" -k ")
    return names.split() + (["-k", chosen] if chosen else [])


def survives(mutant: Mutant) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder) / "tree"
        shutil.copytree(ROOT, tree, ignore=LEFT_OUT)
        source = tree / mutant.file
        text = source.read_text()
        if text.count(mutant.old) != 1:
            raise RuntimeError(f"{mutant.promise}: {mutant.old!r} stands {text.count(mutant.old)} times")
        source.write_text(text.replace(mutant.old, mutant.new))
        return not fails(tree, words(mutant.test))


def main() -> int:
    chosen = mutants(sys.argv[1] if len(sys.argv) > 1 else "")
    left = 0
    for mutant in chosen:
        lives = survives(mutant)
        left += lives
        print("SURVIVED" if lives else "caught  ", mutant.promise, flush=True)
    plain = [test for test in dict.fromkeys(mutant.test for mutant in chosen) if fails(ROOT, words(test))]
    for test in plain:
        print("FAILS WITHOUT A MUTANT", test)
    print(f"{len(chosen) - left} of {len(chosen)} caught")
    return 1 if left or plain else 0


if __name__ == "__main__":
    sys.exit(main())
