"""Exhaustive exploration of bounded models of a change; mutants that violate a guarantee are detected."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path
from typing import Any

import pytest


def load() -> Any:
    """Load the explorer, which is not part of a package."""
    path = Path(__file__).resolve().parents[3] / "tools" / "model_policy.py"
    spec = importlib.util.spec_from_file_location("model_policy", path)
    assert spec and spec.loader
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


model = load()


@pytest.mark.parametrize("bounds", model.QUICK, ids=lambda bounds: bounds.name)
def test_guarantees_hold_in_all_states(bounds: Any) -> None:
    found = model.explore(bounds, most=200_000)
    assert (found.all, found.broken, found.trace) == (True, "", ())


@pytest.mark.parametrize("mutant", model.MUTANTS, ids=lambda mutant: mutant.name)
def test_mutants_are_detected(mutant: Any) -> None:
    assert model.explore(mutant.bounds, mutant.implementation, most=200_000).broken
