"""Errors of replication."""

from __future__ import annotations


class ReplicationError(Exception):
    """Base class of this package's errors."""


class DecodeError(ReplicationError, ValueError):
    """The bytes are not a valid message or record of this version."""


class UnsupportedRecordError(DecodeError):
    """A complete record has a version that this program does not support."""


class ReplicationInvariantError(ReplicationError, RuntimeError):
    """A state that the protocol rules out was reached; the replica must stop."""
