"""Text that others wrote, fit for a line of a log or a terminal."""

from __future__ import annotations


def plain(text: str) -> str:
    """On one line, and with nothing in it that a terminal would take for more than text."""
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)
