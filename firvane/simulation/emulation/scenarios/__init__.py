"""The scenarios that come with firvane, one TOML file each, documented by its `about`."""

from __future__ import annotations

from importlib.resources import files

import msgspec

from firvane.simulation.emulation.scenario import Scenario


def scenario_names() -> list[str]:
    """All of them, in the order of the alphabet."""
    return sorted(file.name[:-5] for file in files(__name__).iterdir() if file.name.endswith(".toml"))


def load_named(name: str) -> Scenario:
    """One of them. KeyError if there is none of that name."""
    if name not in scenario_names():
        raise KeyError(name)
    return decode(files(__name__).joinpath(f"{name}.toml").read_bytes())


def decode(text: bytes) -> Scenario:
    """TOML as a scenario; msgspec.DecodeError or ValidationError for what is none."""
    return msgspec.toml.decode(text, type=Scenario)
