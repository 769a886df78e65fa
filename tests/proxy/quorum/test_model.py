"""Every way in which a change can go, within bounds; and each promise broken on purpose, which is found."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path
from typing import Any

import pytest


def load() -> Any:
    """The explorer, which is no module of a package."""
    path = Path(__file__).resolve().parents[3] / "tools" / "model_policy.py"
    spec = importlib.util.spec_from_file_location("model_policy", path)
    assert spec and spec.loader
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


model = load()


@pytest.mark.parametrize("bounds", model.QUICK, ids=lambda bounds: bounds.name)
def test_no_promise_breaks_in_any_state(bounds: Any) -> None:
    found = model.explore(bounds, most=200_000)
    assert (found.all, found.broken, found.trace) == (True, "", ())


@pytest.mark.parametrize("mutant", model.MUTANTS, ids=lambda mutant: mutant.name)
def test_what_breaks_a_promise_is_found(mutant: Any) -> None:
    assert model.explore(mutant.bounds, mutant.implementation, most=200_000).broken
