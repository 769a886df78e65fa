"""Untrusted text made safe for a line of a log or a terminal."""

from __future__ import annotations


def plain(text: str) -> str:
    """The text with line ends, control characters and the like escaped."""
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)
