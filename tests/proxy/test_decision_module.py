"""Limits on the size of the decision module, and on what it may import and call."""

from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
CHECKED = (
    "firvane/**/*.py",
    "tests/*.py",
    "tests/core/**/*.py",
    "tests/proxy/*.py",
    "tests/proxy/config/*.py",
    "tests/proxy/net/*.py",
)
MODULE = (ROOT / "firvane" / "proxy" / "balancer.py").read_text()
PARTS = [
    (ROOT / "firvane" / "proxy" / name).read_text() for name in ("slice_table.py", "server_selection.py")
]


def test_module_is_short() -> None:
    assert sum(bool(line.strip()) for line in MODULE.splitlines()) <= 500


def test_lines_are_short() -> None:
    for path in (file for pattern in CHECKED for file in ROOT.glob(pattern)):
        assert all(len(line) <= 110 for line in path.read_text().splitlines()), path


def test_module_names_its_interface_first() -> None:
    assert "interface.py" in MODULE.splitlines()[0]


def test_module_uses_no_clock_and_no_input_or_output() -> None:
    for word in ("import time", "datetime", "threading", "asyncio", "open(", "print(", ".name"):
        assert not any(word in text for text in (MODULE, *PARTS)), word
