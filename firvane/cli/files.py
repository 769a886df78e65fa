"""Detects the kind of a file by its content, and loads scenarios by name or path."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Literal

from firvane.cli import InvalidInputError
from firvane.core import validation
from firvane.simulation.emulation.scenario import Scenario

Form = Literal["configuration", "scenario", "platform", "policy", "plan", "place"]


def form_of(raw: dict[str, Any]) -> Form:
    """Return the kind of a parsed file by its keys, since each kind may be TOML or JSON.

    Only the platform's JSON has `settings`, only the plan of a rollout has `roll` without `name`, and only
    the file of a place has `versions`. A policy has only keys that it shares with a configuration. Otherwise
    the kind that defines more of the keys is returned, by default a configuration.
    """
    from firvane.proxy.config.model import File
    from firvane.proxy.config.policy import Policy

    if "settings" in raw:
        return "platform"
    if "roll" in raw and "name" not in raw:
        return "plan"
    if "versions" in raw:
        return "place"
    policy_keys = set(Policy.__struct_fields__)
    other_keys = {*File.__struct_fields__, *Scenario.__struct_fields__} - policy_keys
    if raw.keys() & policy_keys and not raw.keys() & other_keys:
        return "policy"
    matches = (len(raw.keys() & set(kind.__struct_fields__)) for kind in (File, Scenario))
    file_keys, scenario_keys = matches
    return "scenario" if scenario_keys > file_keys or raw.keys() & {"troubles", "boxes"} else "configuration"


def scenario(name: str) -> Scenario:
    """Return a scenario: a bundled one by name, or the one in a file.

    Raises:
        ValidationError: The file is invalid.
        InvalidInputError: There is no such scenario.
    """
    from firvane.simulation.emulation.checks import CHECKS
    from firvane.simulation.emulation.scenarios import load_named, scenario_names

    if name in scenario_names():
        return load_named(name)
    if Path(name).suffix or "/" in name or Path(name).exists():
        return validation.read(name, Scenario, CHECKS)
    from difflib import get_close_matches

    close_matches = get_close_matches(name, scenario_names(), 1)
    hint = f"; did you mean {close_matches[0]}?" if close_matches else ""
    raise InvalidInputError(
        f"firvane: {name!r} is neither a file nor one of the scenarios that come along{hint}"
    )


def names_for_completion(incomplete: str) -> list[str]:
    """Return the names of bundled scenarios with this prefix; the shell completes files itself."""
    from firvane.simulation.emulation.scenarios import scenario_names

    return [name for name in scenario_names() if name.startswith(incomplete)]
