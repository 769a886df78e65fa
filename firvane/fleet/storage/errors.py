"""Errors of the journal storage."""

from __future__ import annotations


class StorageError(Exception):
    """Base of the errors of this package; the text is one line."""


class CorruptJournalError(StorageError):
    """Data that was synced cannot be read back."""


class UnsupportedFormatError(StorageError):
    """A complete segment or record has a format that this program does not know; it is left unchanged."""
