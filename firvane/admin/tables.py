"""Formats plain tables for a terminal; columns are as wide as their longest cell."""

from __future__ import annotations

from collections.abc import Sequence

PLACEHOLDER = "-"
COLUMN_SEPARATOR = "  "


def format_table(titles: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return the titles and the rows, one line each, without trailing spaces."""
    lines = [list(titles), *(list(row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(titles))]
    return "\n".join(_format_line(line, widths) for line in lines)


def _format_line(line: Sequence[str], widths: Sequence[int]) -> str:
    return COLUMN_SEPARATOR.join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()


def cell(value: object) -> str:
    """Return a value as text; an unknown value is a dash."""
    return PLACEHOLDER if value is None else printable(str(value))


def seconds(value: float | None) -> str:
    """Return a time in seconds as text."""
    return PLACEHOLDER if value is None else f"{value:.1f}s"


def printable(text: str) -> str:
    """Return a text without characters that a terminal may interpret; an empty text becomes a dash."""
    return "".join(char if char.isprintable() else "?" for char in text) or PLACEHOLDER
