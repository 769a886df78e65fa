"""The page for on-call staff lists every event that routers and controllers log, and no other."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "operations-fleet.md").read_text()
SOURCES = ("firvane/fleet", "firvane/programs", "firvane/core/engine.py", "firvane/core/flows.py")
LOGGED = re.compile(r"\.(?:debug|info|warning|error|exception|critical)\(\s*\"([a-z_]+)\"")
NOT_STARTED = {"cluster_not_started", "operator_not_started", "replication_not_started"}  # made of two parts


def sources() -> str:
    """The text of all modules that log in the daemons."""
    paths = [ROOT / source for source in SOURCES]
    files = [file for path in paths for file in (path.rglob("*.py") if path.is_dir() else [path])]
    return "\n".join(file.read_text() for file in files)


def listed() -> set[str]:
    """The events in the first column of the table of events."""
    table = PAGE[PAGE.index("| event | level") : PAGE.index("## Looking at the fleet")]
    cells = [line.split("|")[1] for line in table.splitlines() if line.startswith("| `")]
    return {event for cell in cells for event in re.findall(r"`([^`]+)`", cell)}


def test_every_logged_event_is_listed() -> None:
    logged = set(LOGGED.findall(sources()))
    assert len(logged) > 40
    assert not logged - listed()


def test_every_listed_event_is_logged() -> None:
    text = sources()
    assert not [event for event in listed() - NOT_STARTED if f'"{event}"' not in text]
    assert '"{component}_not_started"' in text
