"""Escapes untrusted text for log lines and terminals."""

from __future__ import annotations


def plain(text: str) -> str:
    """Return the text with line ends, control characters and other unprintable characters escaped."""
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)
