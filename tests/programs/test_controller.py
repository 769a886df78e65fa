"""The controller daemon: its options from the settings, and its exit status."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
import yaml

from firvane.programs import controller
from firvane.programs.settings import SettingsError, parse_settings

DOCUMENT: dict[str, Any] = {
    "node_name": "core-1",
    "role": "controller",
    "zone": "east",
    "ip_address": "10.1.0.14",
    "internal_ports": [7300, 7315],
    "listen_addresses": {"control": "10.1.0.14:8262"},
    "seed_nodes": ["10.2.0.41:8262"],
    "first_start": True,
    "data_directory": "/data/core",
    "fault_tolerance": {"machines": 2, "zones": 1},
    "bounds": {"grace_s": 5},
    "cloud_api": {"address": "10.200.0.4:8266"},
}


def test_options_are_derived_from_the_settings() -> None:
    options = controller.controller_options(parse_settings(DOCUMENT))
    assert options.internal == ("10.1.0.14", 7300)
    assert options.control == ("10.1.0.14", 8262)
    assert options.seeds == (("10.2.0.41", 7300),)
    assert options.platform == ("10.200.0.4", 8266)
    assert options.directory == Path("/data/core")
    assert options.grace_period_s == 5
    assert options.first_start
    assert options.group_size == 5


def test_a_group_has_at_least_three_members() -> None:
    settings = parse_settings(DOCUMENT | {"fault_tolerance": {"machines": 0}})
    assert controller.controller_options(settings).group_size == 3


@pytest.mark.parametrize(
    ("field", "value"), [("listen_addresses", {"front": "10.1.0.14:80"}), ("data_directory", None)]
)
def test_a_missing_field_of_a_controller_is_named(field: str, value: Any) -> None:
    with pytest.raises(SettingsError, match=field):
        controller.controller_options(parse_settings(DOCUMENT | {field: value}))


def test_invalid_settings_exit_with_status_2(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(DOCUMENT | {"data_directory": None}))
    monkeypatch.setenv("FIRVANE_BOOT", str(path))
    assert controller.main() == 2
    assert capsys.readouterr().err == "settings: data_directory: a controller needs one\n"
