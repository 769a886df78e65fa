"""Errors raised by the journal storage."""

from __future__ import annotations


class StorageError(Exception):
    """Base class of the errors of this package; the text is one line."""


class CorruptJournalError(StorageError):
    """Synced data is missing or unreadable."""


class UnsupportedFormatError(StorageError):
    """A complete segment or record has a format that this program does not support; it is not modified."""
