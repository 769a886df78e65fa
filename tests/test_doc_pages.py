"""The pages name only modules, pages and folders that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
HISTORY = ("docs/glossary.md", "docs/renames.md")  # name what there was as well
PAGES = (
    "README.md",
    "CONTRIBUTING.md",
    *(
        f"docs/{page.name}"
        for page in sorted((ROOT / "docs").glob("*.md"))
        if f"docs/{page.name}" not in HISTORY
    ),
)
FOLDERS = (
    "core",
    "proxy",
    "fleet",
    "simulation",
    "cli",
    "admin",
    "programs",
    "tests",
    "docs",
    "deploy",
    "benchmarks",
)
NAMED = re.compile(rf"`(?:firvane/)?((?:{'|'.join(FOLDERS)})/[\w/.-]*)`")
LINKED = re.compile(r"\]\(([\w/.-]+)\)")


@pytest.mark.parametrize("page", PAGES)
def test_what_a_page_names_exists(page: str) -> None:
    text = (ROOT / page).read_text()
    named = set(NAMED.findall(text))
    missing = [name for name in named if not any((base / name).exists() for base in (ROOT, ROOT / "firvane"))]
    assert not missing


@pytest.mark.parametrize("page", PAGES)
def test_what_a_page_links_to_exists(page: str) -> None:
    links = LINKED.findall((ROOT / page).read_text())
    assert not [link for link in links if not (ROOT / page).parent.joinpath(link).exists()]


def test_new_names_of_modules_in_the_glossary_exist() -> None:
    table = (ROOT / "docs" / "glossary.md").read_text().partition("## Old names of modules")[2]
    rows = re.findall(r"^\| `[^`]+` \| `([^`]+)` \|", table, re.MULTILINE)
    assert len(rows) > 60
    paths = [ROOT / "firvane" / new for new in rows]
    assert not [path for path in paths if not path.is_dir() and not path.with_suffix(".py").is_file()]


def test_the_architecture_stands_on_one_page() -> None:
    assert len((ROOT / "docs" / "architecture.md").read_text().splitlines()) <= 110
