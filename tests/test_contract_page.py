"""The page of what the users ask for names modules and tests that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "contract.md").read_text()
NAMED = sorted(set(re.findall(r"`((?:firvane|tests|deploy)/[\w/.]+(?:::\w+)?)`", PAGE)))


def rows() -> list[list[str]]:
    """The cells of each line of a table, without heads and rules."""
    lines = [line for line in PAGE.splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [row for row in cells if row[0] not in ("term", "rule") and set(row[0]) != {"-"}]


@pytest.mark.parametrize("named", NAMED)
def test_what_the_page_names_exists(named: str) -> None:
    path, _, test = named.partition("::")
    assert (ROOT / path).is_file()
    if test:
        assert f"def {test}(" in (ROOT / path).read_text()


def test_each_term_has_a_module_and_a_test_or_is_open() -> None:
    assert len(rows()) > 40
    for term, module, test in rows():
        assert "`" in module or module == "none", term
        assert "`tests/" in test or "**open**" in test or "build" in test, term
        if module == "none":
            assert "**open**" in test, term
