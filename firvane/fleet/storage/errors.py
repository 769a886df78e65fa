"""Errors of storage."""

from __future__ import annotations


class DamagedJournalError(Exception):
    """Something that was synced cannot be read back; the reason is one line."""


class UnknownFormatError(Exception):
    """What was written whole is of a format that this program does not know; it is left as it is."""
