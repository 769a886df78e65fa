"""The scenarios that are shipped with firvane, one TOML file each, documented by its `about`."""

from __future__ import annotations

from importlib.resources import files

import msgspec

from firvane.simulation.emulation.scenario import Scenario


def scenario_names() -> list[str]:
    """Return the names of all shipped scenarios, sorted."""
    return sorted(file.name[:-5] for file in files(__name__).iterdir() if file.name.endswith(".toml"))


def load_named(name: str) -> Scenario:
    """Return a shipped scenario by name. Raises KeyError for an unknown name."""
    if name not in scenario_names():
        raise KeyError(name)
    return decode(files(__name__).joinpath(f"{name}.toml").read_bytes())


def decode(text: bytes) -> Scenario:
    """Decode a scenario from TOML. Raises msgspec.DecodeError or ValidationError for invalid input."""
    return msgspec.toml.decode(text, type=Scenario)
