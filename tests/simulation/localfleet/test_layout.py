"""Addresses, settings files and kills; the settings are read by the daemons' own parser."""

from __future__ import annotations

from pathlib import Path

import pytest
import yaml

from firvane.programs.controller import controller_options
from firvane.programs.router import router_settings
from firvane.programs.settings import load_settings
from firvane.simulation.localfleet.faults import FaultSpecError, Kill, parse_kill
from firvane.simulation.localfleet.layout import DaemonRole, Node, Ports, make_layout
from firvane.simulation.localfleet.settings_files import PlatformTerms, settings_document, write_settings
from firvane.simulation.localfleet.stand_ins import example_layout

LAYOUT = make_layout(5, 4, Ports(20_000))
EXAMPLES = Path(__file__).parents[3] / "deploy" / "fleet.example"


def test_each_process_has_its_own_address() -> None:
    hosts = [node.host for node in LAYOUT.nodes] + [LAYOUT.backend(number)[0] for number in range(6)]
    assert len(set(hosts)) == len(hosts)
    assert len(LAYOUT.seeds) == 3
    ports = LAYOUT.ports
    others = {ports.front, ports.readiness, ports.control, ports.backend, ports.platform}
    assert len(others) == 5 and min(others) > ports.internal[1]


@pytest.mark.parametrize("node", LAYOUT.nodes, ids=lambda node: node.name)
def test_the_daemons_read_their_settings(node: Node, tmp_path: Path) -> None:
    data = tmp_path / "data" if node.role is DaemonRole.CONTROLLER else None
    document = settings_document(node, LAYOUT, PlatformTerms(), data, first_start=True)
    write_settings(tmp_path / "settings.yaml", document)
    settings = load_settings(tmp_path / "settings.yaml")
    if data:
        options = controller_options(settings)
        assert options.group_size == 5
        assert options.first_start
        assert options.platform == LAYOUT.platform
    else:
        assert router_settings(settings).client_address in LAYOUT.fronts


def test_the_example_files_equal_those_that_the_command_writes() -> None:
    layout = example_layout()
    for node in layout.nodes:
        text = (EXAMPLES / f"{node.role}.yaml").read_text()
        data = Path("target/fleet/controller-1") if node.role is DaemonRole.CONTROLLER else None
        document = settings_document(node, layout, PlatformTerms(), data, first_start=True)
        assert yaml.safe_load(text) == document
    controller_options(load_settings(EXAMPLES / "controller.yaml"))
    router_settings(load_settings(EXAMPLES / "router.yaml"))


def test_kills_are_parsed() -> None:
    names = [node.name for node in LAYOUT.nodes]
    assert parse_kill("router@5", names) == Kill("router", 5.0)
    assert parse_kill("owner@0.5", names) == Kill("owner", 0.5)
    assert parse_kill("controller-2@1", names) == Kill("controller-2", 1.0)
    for text in ("router", "router@", "router@x", "model@3", "router-9@3", "@"):
        with pytest.raises(FaultSpecError):
            parse_kill(text, names)
