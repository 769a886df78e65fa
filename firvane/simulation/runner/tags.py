"""The few pieces of HTML that a report is made of."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from html import escape

Cell = str | tuple[str, str]  # text, or text and class; already escaped where it holds tags


def section(title: str, note: str, *parts: str) -> str:
    """A heading, a line about it, and what stands under it."""
    about = f'<p class="soft">{note}</p>' if note else ""
    return f"<h2>{escape(title)}</h2>{about}{''.join(parts)}"


def cells(head: Sequence[Cell], rows: Iterable[Sequence[Cell]]) -> str:
    """A table, which scrolls by itself where the window is narrow."""
    first = _row("th", head)
    return f'<div class="scroll"><table>{first}{"".join(_row("td", row) for row in rows)}</table></div>'


def _row(tag: str, row: Sequence[Cell]) -> str:
    told = []
    for cell in row:
        text, css = cell if isinstance(cell, tuple) else (cell, "")
        told.append(f'<{tag} class="{css}">{text}</{tag}>' if css else f"<{tag}>{text}</{tag}>")
    return f"<tr>{''.join(told)}</tr>"


def figure(text: str, css: str = "") -> Cell:
    """A cell that stands to the right."""
    return escape(text), f"n {css}".strip()


def grid(columns: int, pieces: Sequence[tuple[str, str]]) -> str:
    """Pieces of (title, content) beside one another, fewer in a row where the window is narrow."""
    told = [f"<div>{f'<h3>{title}</h3>' if title else ''}{content}</div>" for title, content in pieces]
    return f'<div class="grid{columns}">{"".join(told)}</div>'


def key(entries: Iterable[tuple[str, str]]) -> str:
    """What the lines of a plot are: (class, name)."""
    told = "".join(f'<span><i class="{css}"></i>{escape(name)}</span>' for css, name in entries)
    return f'<div class="key">{told}</div>'
