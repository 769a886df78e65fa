"""The page of the configuration says of each field when it is in force, with a test that exists."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from firvane.fleet.configuration.routes import ConfigurationEntry

ROOT = Path(__file__).resolve().parents[3]
PAGE = (ROOT / "docs" / "configuration.md").read_text()
SECTION = PAGE.partition("## When a field is in force")[2].partition("\n## ")[0]
ROWS = [
    tuple(cell.strip() for cell in line.strip("|").split("|"))
    for line in SECTION.splitlines()
    if line.startswith("| `")
]
NAMED_TESTS = sorted(set(re.findall(r"`(tests/[\w/.]+::\w+)`", SECTION)))


def fields_of(struct: type[msgspec.Struct], prefix: str) -> set[str]:
    """Return the names of all fields, with the member of the document that has them."""
    names: set[str] = set()
    for field in msgspec.structs.fields(struct):
        names.add(f"{prefix}.{field.name}")
        names |= nested_fields(field)
    return names


def nested_fields(field: msgspec.structs.FieldInfo) -> set[str]:
    """Return the fields of the objects of a field, unless they are the items of a split or models."""
    if field.name in ("weighted_split", "models"):
        return set()
    for struct in structs_in(field.type):
        return fields_of(struct, field.name)
    return set()


def structs_in(annotation: object) -> list[type[msgspec.Struct]]:
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        return [annotation]
    return [struct for part in getattr(annotation, "__args__", ()) for struct in structs_in(part)]


def test_each_field_that_is_decoded_has_a_row() -> None:
    # Guards against: a field was acknowledged, and no process read it (DENIED).
    decoded = {name for field in msgspec.structs.fields(ConfigurationEntry) for name in nested_fields(field)}
    assert len(decoded) > 30
    assert sorted(decoded) == sorted(row[0].strip("`") for row in ROWS)


@pytest.mark.parametrize("row", ROWS, ids=[row[0].strip("`") for row in ROWS])
def test_each_row_names_a_test(row: tuple[str, ...]) -> None:
    assert len(row) == 4 and "`tests/" in row[3]
    assert ("not read" in row[1]) == (row[2] == "never")


@pytest.mark.parametrize("named", NAMED_TESTS)
def test_the_named_tests_exist(named: str) -> None:
    path, _, test = named.partition("::")
    assert f"def {test}(" in (ROOT / path).read_text()
