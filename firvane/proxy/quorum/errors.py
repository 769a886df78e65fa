"""Errors of the policy consensus."""

from __future__ import annotations


class QuorumError(Exception):
    """Base of all errors of `firvane.proxy.quorum`."""


class MessageError(QuorumError, ValueError):
    """A datagram does not contain a valid message."""


class UploadError(QuorumError, ValueError):
    """A chunk of a policy's text was rejected; the error text is sent to the caller."""
