"""Errors of replication, each with a reason in plain words."""

from __future__ import annotations


class DecodeError(ValueError):
    """Bytes that are no message or record of this version."""


class UnknownRecordError(DecodeError):
    """A whole record of a version that this program does not know."""


class ReplicationInvariantError(RuntimeError):
    """Something that the protocol rules out has happened; the replica must not go on."""
