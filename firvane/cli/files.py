"""What a file is, told by its content, and scenarios by name or file."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Literal

from firvane.cli import Bad
from firvane.core import validation
from firvane.simulation.emulation.scenario import Scenario

Form = Literal["configuration", "scenario", "platform", "policy", "plan", "place"]


def form_of(raw: dict[str, Any]) -> Form:
    """What bare data is meant to be: by its keys, since all of them may be TOML or JSON.

    The platform's JSON alone has settings, the plan of a rolling change alone a roll and no name, a place's
    file alone versions. Between the others the one decides that knows more of the keys; a file without any is
    held to be a configuration. A policy has keys of a configuration, and none of those that say which proxy
    it is.
    """
    from firvane.proxy.config.model import File
    from firvane.proxy.config.policy import Policy

    if "settings" in raw:
        return "platform"
    if "roll" in raw and "name" not in raw:
        return "plan"
    if "versions" in raw:
        return "place"
    of_policy = set(Policy.__struct_fields__)
    others = {*File.__struct_fields__, *Scenario.__struct_fields__} - of_policy
    if raw.keys() & of_policy and not raw.keys() & others:
        return "policy"
    known = (len(raw.keys() & set(kind.__struct_fields__)) for kind in (File, Scenario))
    of_file, of_scenario = known
    return "scenario" if of_scenario > of_file or raw.keys() & {"troubles", "boxes"} else "configuration"


def scenario(name: str) -> Scenario:
    """A scenario that comes along, by name, or a file; raises `validation.ValidationError` or `Bad`."""
    from firvane.simulation.emulation.checks import CHECKS
    from firvane.simulation.emulation.scenarios import load_named, scenario_names

    if name in scenario_names():
        return load_named(name)
    if Path(name).suffix or "/" in name or Path(name).exists():
        return validation.read(name, Scenario, CHECKS)
    from difflib import get_close_matches

    near = get_close_matches(name, scenario_names(), 1)
    meant = f"; did you mean {near[0]}?" if near else ""
    raise Bad(f"firvane: {name!r} is neither a file nor one of the scenarios that come along{meant}")


def names_for_completion(incomplete: str) -> list[str]:
    """The scenarios that begin like that; files are the shell's own affair."""
    from firvane.simulation.emulation.scenarios import scenario_names

    return [name for name in scenario_names() if name.startswith(incomplete)]
