"""Mutants of the program, one for each promise of docs/crossings.md: each breaks it, and a test must see it.

    .venv/bin/python -m tests.crossings.mutants [topic]

A topic's file beside this one holds its `MUTANTS`. The command plays each in a copy of the tree and fails
where one survives; `test_mutants.py` holds the table to the sources, so that none is a mutant of nothing.
"""

from __future__ import annotations

import importlib
import pkgutil
from typing import NamedTuple


class Mutant(NamedTuple):
    """One change of one source file, and what must fail with it."""

    promise: str  # the row of docs/crossings.md that it breaks, in its words
    file: str  # below the root
    old: str  # stands there exactly once
    new: str
    test: str  # pytest's words: files, or `file::test_name`, and at the end ` -k ` with what chooses


def mutants(topic: str = "") -> list[Mutant]:
    """Those of one topic, or all."""
    topics = [found.name for found in pkgutil.iter_modules(__path__) if not found.name.startswith("_")]
    chosen = [topic] if topic else topics
    return [one for name in chosen for one in importlib.import_module(f"{__name__}.{name}").MUTANTS]
